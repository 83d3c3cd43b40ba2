/**
 * Sends requests to upstreams: selects a host, reserves or submits, retries,
 * hedges and decides the final verdict. Handles messages and returns actions;
 * its driver does the I/O.
 */

import { createAccountBudgets } from "./account_budgets.ts";
import {
  addAttempt,
  createEndAction,
  createPendingRequest,
  createVerdict,
  endCancelled,
  endWithoutVerdict,
  endWithVerdict,
  findAttemptToSettle,
  findTimedOutReservation,
  findUnaccepted,
  getLastAttempt,
  getLossReason,
  isAtMostOnce,
  isOpen,
  isOwnTicket,
  isUpstreamFailure,
  mustReserve,
} from "./attempts.ts";
import {
  type AttemptPlanner,
  createAttemptPlanner,
  type PlannedAttempt,
  type PlannedRefusal,
} from "./attempt_plan.ts";
import { createResponseRecorder } from "./response_recorder.ts";
import { createAttemptCost } from "./attempt_cost.ts";
import { createResponseSizes } from "./response_sizes.ts";
import { createAttemptTimers } from "./attempt_timers.ts";
import { createChooser } from "./choice.ts";
import { createCounters } from "./counters.ts";
import { createExtraAttempts } from "./extra_attempts.ts";
import { explainDecision } from "./explain.ts";
import { createGivenUpRuns } from "./given_up_runs.ts";
import { findStaleHosts, rankHosts } from "./host_ranking.ts";
import { Debug } from "./debug.ts";
import { type DiagnosticName, Diagnostics } from "./diagnostics.ts";
import {
  type Attempt,
  AttemptPhase,
  type Gateway,
  type GatewayHandlers,
  type GatewayOptions,
  type PendingRequest,
} from "./gateway_types.ts";
import { countRuns, isGuardRefusal } from "./refused_attempts.ts";
import { withPreview } from "./preview_random.ts";
import { chooseRetryAfter } from "./retry_after.ts";
import { createOpenRequests } from "./open_requests.ts";
import { createRetryPolicy, FIRST_FAILURE_STATUS } from "./retry_policy.ts";
import { hasUntriedHost } from "./retry_rules.ts";
import { createSettleQueries } from "./settle_queries.ts";
import { createKnownNotices } from "./known_notices.ts";
import { createLoadTable } from "./load_table.ts";
import { createUsableHosts } from "./usable_hosts.ts";
import {
  type Arrival,
  type CoreHost,
  Execution,
  type GatewayAction,
  GatewayActionKind,
  type GatewayMessage,
  GatewayMessageKind,
  type LoadReport,
  type Millis,
  type OfKind,
  type Ticket,
} from "./types.ts";

/** Settle queries after which an attempt is abandoned if its guard can't be reached. */
const MAX_SETTLE_TRIES = 2;
const SETTLE_RETRY_MS = 50;

/** Creates a gateway. */
export function createGateway(
  coreHost: CoreHost,
  options: GatewayOptions,
): Gateway {
  const host = withPreview(coreHost);
  const counters = createCounters();
  const loads = createLoadTable(host);
  const chooser = createChooser(host, { ...options.chooser, loads });
  const notices = createKnownNotices(host, {
    leavingMs: options.leavingMs ?? 0,
    onNotice: options.onNotice,
    ...(options.tryGetBornAt && { tryGetBornAt: options.tryGetBornAt }),
  });
  const responseSizes = createResponseSizes();
  const usableHosts = createUsableHosts(host, { ...options, counters });
  const usesNonQueueing = (options.maxNonQueueingAttempts ?? 0) > 0;
  const budgets = createAccountBudgets(host, options);
  const open = createOpenRequests();
  const { wakes } = open;
  const settleQueries = createSettleQueries(host, { counters, wakes });
  const responses = createResponseRecorder(host, { counters, loads, budgets });
  const retries = createRetryPolicy(host, options, { budgets });
  const attemptCost = createAttemptCost(host);
  const givenUp = createGivenUpRuns(host);
  const planBasis = {
    options,
    chooser,
    loads,
    notices,
    responseSizes,
    usableHosts,
    attemptCost,
  };
  const planner: AttemptPlanner = createAttemptPlanner(host, planBasis);
  const timers = createAttemptTimers(host, { options, wakes, budgets, loads });
  const extras = createExtraAttempts(host, {
    options: options.extraWork,
    self: options.self,
    failureDomain: options.chooser.failureDomain,
    counters,
    loads,
    open,
    placement: planner.placement,
    retries,
  });

  const handlers: GatewayHandlers = {
    [GatewayMessageKind.Arrived]: (msg) => openRequest(msg.arrival),
    [GatewayMessageKind.Granted]: onGranted,
    [GatewayMessageKind.Accepted]: onAccepted,
    [GatewayMessageKind.Refused]: onRefused,
    [GatewayMessageKind.ResponseReceived]: onResponseReceived,
    [GatewayMessageKind.Completed]: onCompleted,
    [GatewayMessageKind.LinkFailed]: onLinkFailed,
    [GatewayMessageKind.Settled]: onSettled,
    [GatewayMessageKind.CallerGone]: onCallerGone,
    [GatewayMessageKind.Stopping]: endAll,
    [GatewayMessageKind.Tick]: tick,
  };
  return {
    handle: (msg) =>
      (handlers[msg.kind] as (m: GatewayMessage) => GatewayAction[])(msg),
    receiveReport: (report) => {
      usableHosts.recordMessage(report.host);
      recordEnds(report);
      const isNew = loads.recordReport(report);
      notices.recordReport(report, isNew);
      if (isNew) extras?.recordReport(report.host);
    },
    getNextWake: wakes.getNext,
    getOpenCount: open.getCount,
    getTicket,
    explain: (arrival, random = host.previewRandom()) =>
      explainDecision(arrival, { host, basis: planBasis, random }),
    rankHosts: (service) => rankHosts(options.getCandidates(service), chooser),
    getStaleHosts: (service, ageMs) =>
      findStaleHosts(options.getCandidates(service), { loads, ageMs }),
    getLoad: loads.get,
    forgetHost: (id) => {
      loads.forget(id);
      usableHosts.forget(id);
    },
    getExtraWorkShare: () => extras?.getMeasuredShare() ?? 0,
    counters,
  };

  function getTicket(id: string, attempt: number): Ticket {
    return `${options.incarnation}/${id}/${attempt}`;
  }

  function openRequest(arrival: Arrival): GatewayAction[] {
    Debug.assert(open.tryGet(arrival.id) === undefined, "ids are unique");
    counters.add("arrived");
    const request = createPendingRequest(arrival, host.now());
    open.add(request);
    budgets.recordRequest(arrival.account);
    options.retryAllowance?.recordRequest(arrival.service);
    return sendAttempt(request, false);
  }

  function sendAttempt(
    request: PendingRequest,
    isHedge: boolean,
  ): GatewayAction[] {
    const plan = planQuarantine(request) ?? planner.plan(request);
    if ("refusal" in plan) {
      // No final verdict while another attempt is open.
      const mayEnd = !isHedge && !request.attempts.some(isOpen);
      return mayEnd ? [finish(request, plan.refusal, plan.retryAfterMs)] : [];
    }
    const attempt = addAttempt(request, plan.candidate, {
      ...plan,
      now: host.now(),
      isHedge,
    });
    if (mustReserve(request.arrival)) timers.scheduleReserve(request, attempt);
    else {
      timers.scheduleAccept(request, attempt);
      timers.scheduleHedge(request, attempt);
      extras?.recordSend(request, attempt);
    }
    return [createSendAction(request, attempt, plan)];
  }

  function planQuarantine(
    { arrival }: PendingRequest,
  ): PlannedRefusal | undefined {
    const retryAfterMs = options.suspects?.tryGetQuarantineMs(arrival);
    return retryAfterMs === undefined
      ? undefined
      : { refusal: "request_quarantined", retryAfterMs };
  }

  /** Sends an extra attempt if one is due and allowed. */
  function sendExtra(request: PendingRequest): GatewayAction[] {
    if (planQuarantine(request) !== undefined) return [];
    const target = extras?.tryStart(request, planner.getCandidates(request));
    if (target === undefined) return [];
    const { candidate } = target;
    const limitPerS = notices.tryGetLimit(candidate);
    const placed = {
      candidate,
      kind: GatewayActionKind.Submit as const,
      mayQueue: false,
      maxWaitMs: 0,
      ...(limitPerS !== undefined && { limitPerS }),
    };
    const attempt = addAttempt(request, candidate, {
      ...placed,
      now: host.now(),
      isHedge: false,
      isExtra: true,
    });
    target.begin(attempt);
    timers.scheduleAccept(request, attempt);
    return [createSendAction(request, attempt, placed)];
  }

  function createSendAction(
    request: PendingRequest,
    attempt: Attempt,
    { candidate, kind, mayQueue, maxWaitMs, isLastChoice, limitPerS }:
      PlannedAttempt,
  ): GatewayAction {
    loads.recordSend(candidate.host);
    usableHosts.recordSend(candidate.host);
    return {
      kind,
      id: request.arrival.id,
      attempt: attempt.number,
      to: candidate.host,
      timeoutMs: request.deadline - host.now(),
      ...(!mayQueue && { mayQueue }),
      ...(maxWaitMs > 0 && { maxWaitMs }),
      ...(isLastChoice && { isLastChoice }),
      ...(candidate.instance !== undefined &&
        { instance: candidate.instance }),
      ...(limitPerS !== undefined && { limitPerS }),
      ...(limitPerS !== undefined && candidate.bornAt !== undefined &&
        { bornAt: candidate.bornAt }),
    };
  }

  function recordAttemptCost(
    { arrival }: PendingRequest,
    { mayQueue, isExtra, sentAt }: Attempt,
    isAccepted: boolean,
  ): void {
    // Extra attempts are refused more often, as they never wait for a slot.
    if (mayQueue || isExtra) return;
    attemptCost.record(arrival.service, { sentAt, isAccepted });
  }

  function onAccepted(
    msg: OfKind<GatewayMessage, GatewayMessageKind.Accepted>,
  ): GatewayAction[] {
    const found = open.tryFind(msg.id, msg.attempt);
    if (found === undefined) return [];
    const { request, attempt } = found;
    usableHosts.recordMessage(attempt.host);
    attempt.isAccepted = true;
    recordAttemptCost(request, attempt, true);
    delete attempt.acceptDeadline;
    return [];
  }

  function onGranted(
    msg: OfKind<GatewayMessage, GatewayMessageKind.Granted>,
  ): GatewayAction[] {
    const found = open.tryFind(msg.id, msg.attempt);
    if (found?.attempt.phase !== AttemptPhase.Reserving) {
      counters.add("late_grant");
      return [];
    }
    const { request, attempt } = found;
    recordAttemptCost(request, attempt, true);
    attempt.phase = AttemptPhase.Sent;
    attempt.grant = msg.grant;
    attempt.key = msg.key;
    attempt.wasDispatched = true;
    settleQueries.schedule(msg.id, attempt, {
      delayMs: options.suspectAfterMs,
    });
    return [{
      kind: GatewayActionKind.Run,
      id: msg.id,
      attempt: msg.attempt,
      to: attempt.host,
      grant: msg.grant,
      key: msg.key,
    }];
  }

  function onRefused(
    msg: OfKind<GatewayMessage, GatewayMessageKind.Refused>,
  ): GatewayAction[] {
    const found = open.tryFindOpen(msg.id, msg.attempt);
    if (found === undefined) return [];
    const { request, attempt } = found;
    if (attempt.grant !== undefined && attempt.grant !== msg.grant) {
      counters.add("stale_refusal");
      return [];
    }
    counters.add(`refused_${msg.verdict.diagnostic.reason}`);
    if (msg.verdict.diagnostic === Diagnostics.no_room_now) {
      recordAttemptCost(request, attempt, false);
    }
    usableHosts.recordRefusal(attempt, msg.verdict);
    if (msg.verdict.diagnostic === Diagnostics.domain_evacuated) {
      recordEvacuated(request, attempt);
    }
    if (isUpstreamFailure(msg.verdict)) loads.recordResult(attempt.host, false);
    attempt.neverReachedUpstream = usesNonQueueing &&
      isGuardRefusal(msg.verdict);
    const { diagnostic, currentInstance, end } = msg.verdict;
    if (end !== undefined) options.suspects?.recordEnd(request.arrival, end);
    attempt.isOverLimit = diagnostic === Diagnostics.over_upstream_limit;
    attempt.isOutdated = diagnostic === Diagnostics.instance_replaced &&
      currentInstance !== undefined;
    loads.recordEnd(attempt.host);
    endWithVerdict(request, attempt, msg.verdict);
    return retryOrFinish(request);
  }

  function recordEvacuated(request: PendingRequest, attempt: Attempt): void {
    const refusing = options.getCandidates(request.arrival.service)
      .find((c) => c.host === attempt.host);
    if (refusing !== undefined) {
      options.onDomainRefused?.(refusing.failureDomain);
    }
  }

  function onLinkFailed(
    msg: OfKind<GatewayMessage, GatewayMessageKind.LinkFailed>,
  ): GatewayAction[] {
    const found = open.tryFindOpen(msg.id, msg.attempt);
    if (found === undefined) return [];
    const { request, attempt } = found;
    loads.recordResult(attempt.host, false);
    attempt.neverReachedUpstream = usesNonQueueing &&
      (attempt.phase === AttemptPhase.Reserving || !msg.mayHaveArrived);
    const isOutcomeUnknown = msg.mayHaveArrived &&
      attempt.phase === AttemptPhase.Sent;
    if (
      isOutcomeUnknown && attempt.key !== undefined &&
      isAtMostOnce(request.arrival)
    ) {
      counters.add("link_lost");
      attempt.isLinkLost = true;
      return [settleQueries.createAction(request, attempt)];
    }
    return abandon(request, attempt, {
      name: getLossReason(request, "link_lost"),
      mayHaveRun: msg.mayHaveArrived,
    });
  }

  /** Runs that were given up ended with their upstream. */
  function recordEnds({ ends = [] }: LoadReport): void {
    for (const { end, hashes } of ends) {
      for (const hash of hashes) {
        const arrival = givenUp.take(hash);
        if (arrival !== undefined) options.suspects?.recordEnd(arrival, end);
      }
    }
  }

  /** Its guard's verdict won't come. */
  function giveUp({ arrival }: PendingRequest, attempt: Attempt): void {
    if (options.suspects === undefined) return;
    if (attempt.phase !== AttemptPhase.Sent) return;
    givenUp.add(getTicket(arrival.id, attempt.number), arrival);
  }

  function abandon(
    request: PendingRequest,
    attempt: Attempt,
    how: { name: DiagnosticName; mayHaveRun: boolean },
  ): GatewayAction[] {
    if (how.mayHaveRun) giveUp(request, attempt);
    counters.add(how.name);
    loads.recordEnd(attempt.host);
    endWithoutVerdict(request, attempt, how);
    return retryOrFinish(request);
  }

  function onSettled(
    msg: OfKind<GatewayMessage, GatewayMessageKind.Settled>,
  ): GatewayAction[] {
    const found = open.tryFindOpen(msg.id, msg.attempt);
    if (found === undefined) return [];
    const { request, attempt } = found;
    if (msg.verdict === undefined) return onSettleFailed(request, attempt);
    const isRunning = msg.verdict.diagnostic === Diagnostics.key_in_progress;
    if (isRunning) {
      const delayMs = attempt.isLinkLost
        ? SETTLE_RETRY_MS
        : options.suspectAfterMs;
      settleQueries.schedule(msg.id, attempt, { delayMs });
      return [];
    }
    counters.add(`settled_${msg.verdict.execution}`);
    const endAction = createEndAction(request, attempt);
    loads.recordEnd(attempt.host);
    endWithVerdict(request, attempt, msg.verdict);
    return [endAction, ...retryOrFinish(request)];
  }

  function onSettleFailed(
    request: PendingRequest,
    attempt: Attempt,
  ): GatewayAction[] {
    if (attempt.settleTries < MAX_SETTLE_TRIES) {
      settleQueries.schedule(request.arrival.id, attempt, {
        delayMs: SETTLE_RETRY_MS,
      });
      return [];
    }
    const endAction = createEndAction(request, attempt);
    return [
      endAction,
      ...abandon(request, attempt, { name: "link_lost", mayHaveRun: true }),
    ];
  }

  function retryOrFinish(request: PendingRequest): GatewayAction[] {
    extras?.settle(request);
    if (request.attempts.some(isOpen)) return [];
    if (planner.mayAskAnother(request)) {
      counters.add("asked_on");
      return sendAttempt(request, false);
    }
    const verdict = Debug.checkDefined(
      request.lastVerdict,
      "the verdict on the last attempt",
    );
    const obstacle = retries.findObstacle(request);
    if (obstacle === undefined) {
      request.retriesLeft -= 1;
      counters.add(`retry_${verdict.diagnostic.reason}`);
      return sendAttempt(request, false);
    }
    const name = obstacle === "last"
      ? verdict.diagnostic.reason as DiagnosticName
      : obstacle;
    return [finish(request, name, verdict.retryAfterMs)];
  }

  function onResponseReceived(
    msg: OfKind<GatewayMessage, GatewayMessageKind.ResponseReceived>,
  ): GatewayAction[] {
    const found = open.tryFindOpen(msg.id, msg.attempt);
    if (found === undefined) {
      counters.add("late_answer");
      return [];
    }
    const { request, attempt } = found;
    const own = getTicket(msg.id, msg.attempt);
    if (!isOwnTicket(msg.ticket, own)) return handleForeign(request, attempt);
    responses.record(request, attempt, msg.status);
    const isFailure = msg.status >= FIRST_FAILURE_STATUS;
    if (isFailure && mayOtherRespond(request, attempt)) {
      const name = "answered_failure";
      endWithoutVerdict(request, attempt, { name, mayHaveRun: true });
      extras?.settle(request);
      return [];
    }
    if (!isFailure) {
      extras?.recordResponse(request, attempt);
      options.suspects?.recordSuccess(request.arrival);
    }
    const mayRetry = planQuarantine(request) === undefined;
    if (mayRetry && retries.mayReplaceResponse(request, msg.status)) {
      endWithoutVerdict(request, attempt, {
        name: "answered_failure",
        mayHaveRun: true,
      });
      counters.add("retry_answered_failure");
      request.retriesLeft -= 1;
      return sendAttempt(request, false);
    }
    attempt.phase = AttemptPhase.Delivering;
    request.isDelivering = true;
    const others = cancelOpen(request);
    extras?.settle(request);
    return [
      { kind: GatewayActionKind.Deliver, id: msg.id, attempt: msg.attempt },
      ...others,
    ];
  }

  /** True if an extra attempt runs beside this one, or this is one and the first is open. */
  function mayOtherRespond(request: PendingRequest, attempt: Attempt): boolean {
    const { extra } = request;
    if (extra === undefined) return false;
    if (attempt.isExtra) return isOpen(extra.first);
    return isOpen(extra.attempt) && extra.attempt.isAccepted === true;
  }

  /** Handles a response whose ticket is not the attempt's own. */
  function handleForeign(
    request: PendingRequest,
    attempt: Attempt,
  ): GatewayAction[] {
    counters.add("answer_mismatch");
    if (attempt.key !== undefined && isAtMostOnce(request.arrival)) {
      attempt.isLinkLost = true;
      return [settleQueries.createAction(request, attempt)];
    }
    loads.recordEnd(attempt.host);
    endWithVerdict(request, attempt, {
      execution: Execution.MayHaveRun,
      diagnostic: Diagnostics.answer_mismatch,
    });
    return retryOrFinish(request);
  }

  function onCompleted(
    { id, responseBytes }: OfKind<GatewayMessage, GatewayMessageKind.Completed>,
  ): GatewayAction[] {
    const route = open.tryGet(id)?.arrival.route;
    if (route !== undefined && responseBytes !== undefined) {
      responseSizes.record(route, responseBytes);
    }
    open.remove(id);
    return [];
  }

  function onCallerGone(
    msg: OfKind<GatewayMessage, GatewayMessageKind.CallerGone>,
  ): GatewayAction[] {
    const request = open.tryGet(msg.id);
    if (request === undefined) return [];
    counters.add("caller_gone");
    const actions = cancelOpen(request);
    extras?.settle(request);
    open.remove(msg.id);
    return actions;
  }

  /** Ends all requests but those whose response is being delivered. */
  function endAll(): GatewayAction[] {
    const requests: PendingRequest[] = [];
    open.forEach((request) => {
      if (!request.isDelivering) requests.push(request);
    });
    return requests.flatMap((request) => {
      const actions = cancelOpen(request);
      extras?.settle(request);
      return [...actions, finish(request, "stopping")];
    });
  }

  function tick(): GatewayAction[] {
    const actions: GatewayAction[] = [];
    const now = host.now();
    extras?.recordTimer(now - (wakes.getNext() ?? now));
    for (
      let request = open.popDue(now);
      request !== undefined;
      request = open.popDue(now)
    ) {
      actions.push(...handleTimer(request, now));
    }
    return actions;
  }

  function handleTimer(request: PendingRequest, now: Millis): GatewayAction[] {
    if (now >= request.deadline) return endAtDeadline(request);
    const timedOut = findTimedOutReservation(request, now);
    if (timedOut !== undefined) {
      const name = getLossReason(request, "reserve_timeout");
      return abandonUnresponsive(request, timedOut, {
        name,
        mayHaveRun: false,
      });
    }
    const unaccepted = findUnaccepted(request, now);
    if (unaccepted !== undefined) return retryUnaccepted(request, unaccepted);
    const due = findAttemptToSettle(request, now);
    if (due !== undefined) return [settleQueries.createAction(request, due)];
    const exhausted = extras?.tryFindExhausted(request);
    if (exhausted !== undefined) return cancelExtra(request, exhausted);
    if (now >= (request.extraAt ?? Infinity)) return sendExtra(request);
    if (request.hedgeAt === undefined || now < request.hedgeAt) return [];
    return sendHedge(request);
  }

  function endAtDeadline(request: PendingRequest): GatewayAction[] {
    const unanswered = request.attempts.filter(isOpen);
    for (const attempt of unanswered) loads.recordResult(attempt.host, false);
    const actions = cancelOpen(request);
    extras?.settle(request);
    const retryAfterMs = request.lastVerdict?.retryAfterMs;
    return [...actions, finish(request, "deadline_passed", retryAfterMs)];
  }

  /** Sends a retry, but keeps the attempt open: a missing reply doesn't show that it won't run. */
  function retryUnaccepted(
    request: PendingRequest,
    attempt: Attempt,
  ): GatewayAction[] {
    delete attempt.acceptDeadline;
    recordTimeout(attempt);
    // The attempt that an extra one stands beside is still open.
    if (attempt.isExtra) return [];
    if (retries.findObstacle(request) !== undefined) return [];
    counters.add("retry_link_silent");
    request.retriesLeft -= 1;
    return sendAttempt(request, false);
  }

  function recordTimeout({ host: id }: Attempt): void {
    loads.recordResult(id, false);
    usableHosts.recordTimeout(id);
  }

  function abandonUnresponsive(
    request: PendingRequest,
    attempt: Attempt,
    how: { name: DiagnosticName; mayHaveRun: boolean },
  ): GatewayAction[] {
    recordTimeout(attempt);
    attempt.neverReachedUpstream = usesNonQueueing && !how.mayHaveRun;
    const endAction = createEndAction(request, attempt, {
      isUnresponsive: true,
    });
    return [endAction, ...abandon(request, attempt, how)];
  }

  /** Sends a hedge, or a retry if the link is suspected by now. */
  function sendHedge(request: PendingRequest): GatewayAction[] {
    delete request.hedgeAt;
    const isPossible = countRuns(request) < retries.getMaxRuns(request) &&
      request.attempts.some(isOpen) &&
      hasUntriedHost(request, planner.getCandidates(request));
    if (!isPossible) return [];
    const suspectAt = getLastAttempt(request)!.sentAt + options.suspectAfterMs;
    if (host.now() >= suspectAt) {
      for (const attempt of request.attempts) {
        if (isOpen(attempt)) loads.recordResult(attempt.host, false);
      }
      if (request.retriesLeft <= 0) return [];
      if (!retries.tryAcquireRetry(request)) return [];
      counters.add("retry_link_silent");
      request.retriesLeft -= 1;
      return sendAttempt(request, false);
    }
    if (!retries.tryAcquireHedge(request)) {
      timers.setHedgeAt(request, suspectAt);
      return [];
    }
    counters.add("hedge_sent");
    return sendAttempt(request, true);
  }

  function cancelOpen(request: PendingRequest): GatewayAction[] {
    return request.attempts.filter(isOpen).map((a) => cancel(request, a));
  }

  function cancel(request: PendingRequest, attempt: Attempt): GatewayAction {
    giveUp(request, attempt);
    const endAction = createEndAction(request, attempt);
    loads.recordEnd(attempt.host);
    endCancelled(attempt);
    return endAction;
  }

  /** Ends an extra attempt beside the one that is still open. */
  function cancelExtra(
    request: PendingRequest,
    attempt: Attempt,
  ): GatewayAction[] {
    counters.add("extra_exhausted");
    const endAction = cancel(request, attempt);
    return [endAction, ...retryOrFinish(request)];
  }

  function finish(
    request: PendingRequest,
    name: DiagnosticName,
    retryAfterMs?: Millis,
  ): GatewayAction {
    Debug.assert(!request.attempts.some(isOpen), "no attempt is left open");
    const { arrival } = request;
    open.remove(arrival.id);
    const verdict = createVerdict(request, name, {
      retryAfterMs: chooseRetryAfter(host, retryAfterMs),
    });
    counters.add(`verdict_${verdict.execution}`);
    counters.add(`finished_${name}`);
    // A request that is refused by itself shows nothing of its service.
    if (name !== "request_quarantined") {
      options.onUnserved?.(arrival, request.deadline - arrival.timeoutMs);
    }
    return { kind: GatewayActionKind.Finish, id: arrival.id, verdict };
  }
}
