/**
 * Controls all access to one upstream: owns its slots, its admission queue and
 * the records of its idempotency keys. Maps each message to actions for the
 * driver and does no I/O.
 */

import { Admission } from "./admission.ts";
import { PROBE_INTERVAL_MS } from "./called_services.ts";
import { ColdState } from "./cold_starts.ts";
import { createCounters } from "./counters.ts";
import { Debug } from "./debug.ts";
import {
  type Diagnostic,
  type DiagnosticName,
  Diagnostics,
} from "./diagnostics.ts";
import {
  createFailureShare,
  type FailureShare,
  REPORTED_HALF_LIFE_MS,
} from "./failure_share.ts";
import { createFairQueue } from "./fair_queue.ts";
import {
  type Entry,
  EntryState,
  findWaiting,
  isWaiting,
} from "./guard_entry.ts";
import { createGuardEstimates } from "./guard_estimates.ts";
import type { ClosedReason, Guard, GuardOptions } from "./guard_types.ts";
import { checkKey, type KeyVerdict } from "./key_verdict.ts";
import { createKeyTable, KeyStanding, KeyState } from "./key_table.ts";
import { createLingeringRuns } from "./lingering_runs.ts";
import { hashTicket } from "./ticket_hash.ts";
import {
  type AccountName,
  type CoreHost,
  Execution,
  type GuardAction,
  GuardActionKind,
  type GuardMessage,
  GuardMessageKind,
  type LoadReport,
  type Millis,
  type OfKind,
  Repeatability,
  type RequestHead,
  type Ticket,
  type Verdict,
} from "./types.ts";
import {
  createRequestRate,
  createStatedBound,
  RateLimit,
} from "./request_rate.ts";
import { createStartRules } from "./start_rules.ts";
import { createUpstreamNotices } from "./upstream_notices.ts";
import { createUrgencyQueue } from "./urgency_queue.ts";
import { createWakeQueue } from "./wake_queue.ts";

/** Responses with this HTTP status or above don't reflect the work time and are not sampled. */
const FIRST_FAILURE_STATUS = 500;
/** A request is started only if this share of its expected work time is left; hardly any request ends in less. */
const MIN_WORK_TIME_SHARE = 0.5;
/** Weight of the newest response in the share of failures; a single failure stays below what placement avoids. */
const FAILURE_SMOOTHING = 0.1;
/** Smallest share of failures that a report states. */
const MIN_REPORTED_FAILURE_SHARE = 0.01;
/** Failures that are the upstream's own fault rather than a lack of capacity or time. */
const UPSTREAM_FAULTS = new Set<Diagnostic>([
  Diagnostics.upstream_unreachable,
  Diagnostics.upstream_lost,
  Diagnostics.upstream_ended,
  Diagnostics.response_too_large,
  Diagnostics.answer_mismatch,
  Diagnostics.answer_garbled,
]);
/**
 * Time for which the count of a grant stands for the start at a cold upstream,
 * in ms: some ten round trips. Grants that are used later count again, as
 * several of them may be used at once.
 */
const GRANT_COUNT_MS = 100;
/** Stands for no ticket in the queue of wakes. */
const RATE_WAKE: Ticket = "";
/** Time for which finished tickets are kept to detect duplicate messages, in ms. */
const TICKET_RETENTION_MS = 10_000;
/** Tickets are forgotten at multiples of this time, in ms, so that many share one wake. */
const FORGET_STEP_MS = 500;

type Handlers = {
  [K in GuardMessageKind]: (
    msg: OfKind<GuardMessage, K>,
  ) => GuardAction[];
};

/** Creates a guard for one upstream. */
export function createGuard(host: CoreHost, options: GuardOptions): Guard {
  const counters = createCounters();
  const entries = new Map<Ticket, Entry>();
  const queue = options.upstream === undefined
    ? createFairQueue<Entry>({
      capacity: options.queueCapacity,
      getWeight: options.getWeight,
      isFirstComeFirstServed: options.isFirstComeFirstServed ?? false,
    })
    : createUrgencyQueue<Entry>(host, { capacity: options.queueCapacity });
  const notices = createUpstreamNotices(host);
  const rate = createRequestRate(host, options);
  const estimates = createGuardEstimates(host, options, { queue, rate });
  const { getUsableSlots, getSlowdown, getStartDelayMs, getRetryAfter } =
    estimates;
  const { getSlotsFor, getSlotsForLate, getMaxSlots } = estimates;
  const rules = createStartRules({
    ...(options.tryGetClosedReason &&
      { tryGetClosedReason: options.tryGetClosedReason }),
    ...(options.tryGetListedLeavingSince &&
      { tryGetListedLeavingSince: options.tryGetListedLeavingSince }),
    tryGetStatedLeavingSince: notices.tryGetLeavingSince,
    leavingMs: options.leavingMs ?? 0,
    tryGetReplacement: tryGetCurrent,
    tryGetInstance: () => options.upstream?.getInstance(),
  });
  const keys = createKeyTable(host, {
    home: options.self,
    incarnation: options.incarnation,
    capacity: options.keyCapacity,
  });
  const wakes = createWakeQueue<Ticket>(isWakeNeeded);
  const startedAt = host.now();
  const lingering = createLingeringRuns(host);
  let failures = createFailures();
  let busySlots = 0;
  let runningCount = 0;
  let draining = false;
  /** Time until which a draining guard accepts work as the last choice, in ms. */
  let stopsAt: Millis = -Infinity;
  /** Time at which queued requests are tried again because of the limit, in ms. */
  let rateWakeAt: Millis = -Infinity;
  /** Time at which requests that are held for their calls are tried again, in ms. */
  let heldWakeAt: Millis = -Infinity;
  let grantCount = 0;
  let reportCount = 0;
  let openCount = 0;

  const handlers: Handlers = {
    [GuardMessageKind.Reserve]: (msg) => admit(msg.ticket, msg.head, true),
    [GuardMessageKind.Submit]: (msg) => admit(msg.ticket, msg.head, false),
    [GuardMessageKind.Run]: (msg) => run(msg.ticket, msg.grant),
    [GuardMessageKind.Release]: (msg) => release(msg.ticket),
    [GuardMessageKind.Cancel]: (msg) => cancel(msg.ticket),
    [GuardMessageKind.Settle]: settle,
    [GuardMessageKind.UpstreamResponded]: upstreamResponded,
    [GuardMessageKind.UpstreamFailed]: upstreamFailed,
    [GuardMessageKind.Drain]: drain,
    [GuardMessageKind.Noticed]: ({ notice, source }) => {
      notices.record(notice, source);
      return applyLimit();
    },
    [GuardMessageKind.UpstreamListed]: ({ start }) => {
      notices.recordListed(start);
      failures = createFailures();
      return applyLimit();
    },
    [GuardMessageKind.UpstreamEnded]: ({ end, next }) => {
      if (next === undefined) notices.recordEnded();
      if (end !== undefined) lingering.recordEnd(end, next);
      return applyLimit();
    },
    [GuardMessageKind.Tick]: tick,
  };
  return {
    handle,
    mayStart,
    issueKeys,
    getReport,
    getNotice: notices.get,
    getNextWake: wakes.getNext,
    isDraining: () => draining,
    getOpenCount: () => openCount,
    getLingeringUntil: lingering.getUntil,
    hasLingering: lingering.hasAny,
    getEnds: lingering.getEnds,
    getKeyHorizon: keys.getHorizon,
    counters,
  };

  function handle(msg: GuardMessage): GuardAction[] {
    const handler = handlers[msg.kind] as (m: GuardMessage) => GuardAction[];
    applyColdLimit();
    const actions = handler(msg);
    actions.push(...refuseBarred(), ...fillSlots());
    wakeForRate();
    wakeForHeld();
    Debug.assert(busySlots <= options.slots, "slots are never overcommitted");
    return actions;
  }

  function createFailures(): FailureShare {
    return createFailureShare(host, {
      smoothing: FAILURE_SMOOTHING,
      halfLifeMs: REPORTED_HALF_LIFE_MS,
    });
  }

  function mayStart(head: RequestHead): boolean {
    return tryGetClosedReason() === undefined &&
      (!draining || head.isLastChoice === true) &&
      rate.getWaitMs(0, getKnownLimits()) === 0 &&
      busySlots < getSlotsFor(head) && mayCall(head);
  }

  /** False while the calls that such requests make would probably be refused. */
  function mayCall({ route }: RequestHead): boolean {
    return options.calledServices?.mayStart(route) ?? true;
  }

  /** Limits that don't depend on a reading that is still to be made. */
  function getKnownLimits(): readonly RateLimit[] {
    applyColdLimit();
    return options.coldStarts?.getState() === ColdState.Cold
      ? [RateLimit.Stated, RateLimit.Cold]
      : [RateLimit.Stated];
  }

  function applyColdLimit(): void {
    const bound = options.coldStarts?.tryGetBound();
    if (bound !== undefined || rate.isLimited(RateLimit.Cold)) {
      rate.setLimit(RateLimit.Cold, bound);
    }
  }

  function tryGetClosedReason(): ClosedReason | undefined {
    return options.tryGetClosedReason?.();
  }

  /** Refuses what waits and must not be started now; what runs ends normally. */
  function refuseBarred(): GuardAction[] {
    if (!rules.takeChange()) return [];
    const actions: GuardAction[] = [];
    for (const entry of entries.values()) {
      if (!isWaiting(entry)) continue;
      const reason = rules.tryGetRefusal(entry);
      if (reason === undefined) continue;
      if (entry.state === EntryState.Queued) {
        queue.remove(entry);
        actions.push(refuse(entry, reason));
      } else actions.push(revokeGrant(entry, reason));
    }
    return actions;
  }

  function issueKeys(account: AccountName, count: number): string[] {
    if (draining) return [];
    return Array.from({ length: count }, () => keys.issue(account));
  }

  function getReport(): LoadReport {
    reportCount += 1;
    const failureShare = failures.get();
    const notice = notices.get();
    const startsInMs = tryGetStartsInMs();
    const ends = lingering.getEnds();
    return {
      host: options.self,
      incarnation: options.incarnation,
      sequence: reportCount,
      slots: getUsableSlots(),
      inFlight: busySlots,
      queued: queue.size(),
      serviceMs: estimates.getMeanMs(),
      draining,
      ageMs: host.now() - startedAt,
      ...(options.upstream && { slowdown: getSlowdown() }),
      ...(failureShare >= MIN_REPORTED_FAILURE_SHARE && { failureShare }),
      ...(notice && { notice }),
      ...(startsInMs !== undefined && { startsInMs }),
      ...(ends.length > 0 && {
        ends: ends.map(({ end, tickets }) => ({
          end,
          hashes: tickets.map(hashTicket),
        })),
      }),
    };
  }

  /** Time until the limits and a slow period allow another start, in ms; undefined without any of them. */
  function tryGetStartsInMs(): Millis | undefined {
    const turnMs = rate.tryGetTurnMs(getKnownLimits());
    const delayMs = estimates.getMeanStartDelayMs();
    return delayMs === 0 ? turnMs : Math.max(turnMs ?? 0, delayMs);
  }

  function applyLimit(): GuardAction[] {
    const bound = createStatedBound(notices.get()?.limitPerS);
    rate.setLimit(RateLimit.Stated, bound);
    return [];
  }

  /** Queued requests may wait for nothing but the limit. */
  function wakeForRate(): void {
    const waitMs = queue.size() === 0 ? 0 : rate.getWaitMs(0);
    if (waitMs === 0 || rateWakeAt > host.now()) return;
    rateWakeAt = host.now() + waitMs;
    wakes.add(rateWakeAt, RATE_WAKE);
  }

  /** A start may become possible without a message, as a probe. */
  function wakeForHeld(): void {
    const held = options.calledServices?.countHeld() ?? 0;
    if (held === 0 || queue.size() === 0 || heldWakeAt > host.now()) return;
    heldWakeAt = host.now() + PROBE_INTERVAL_MS;
    wakes.add(heldWakeAt, RATE_WAKE);
  }

  function admit(
    ticket: Ticket,
    head: RequestHead,
    isReservation: boolean,
  ): GuardAction[] {
    if (entries.has(ticket)) {
      counters.add("duplicate_message");
      return [];
    }
    const workMs = estimates.getWorkMs(head);
    const startBy = host.now() + (head.objectiveMs ?? head.timeoutMs) - workMs;
    const latestStart = host.now() + getLatestStartMs(head, workMs);
    const entry: Entry = {
      ticket,
      account: head.account,
      head,
      isReservation,
      deadline: host.now() + head.timeoutMs,
      latestStart,
      rank: head.priority ?? 0,
      startBy,
      usefulUntil: Math.min(
        host.now() + estimates.getUsefulWaitMs(head),
        Math.max(startBy, latestStart),
      ),
      state: EntryState.Queued,
    };
    entries.set(ticket, entry);
    openCount += 1;
    if (head.service !== options.service) return [refuse(entry, "wrong_host")];
    if (tryGetCurrent(head) !== undefined) {
      return [refuse(entry, "instance_replaced")];
    }
    adoptLimit(head);
    if (head.key !== undefined) {
      const verdict = checkKey(keys, { ...head, key: head.key });
      if (verdict !== undefined) return [applyKeyVerdict(entry, verdict)];
      entry.record = keys.open(head.key, head.fingerprint);
    }
    return enqueue(entry);
  }

  /** Time in which a queued request has to start, in ms. */
  function getLatestStartMs(head: RequestHead, workMs: Millis): Millis {
    if (head.mayQueue === false) return head.maxWaitMs ?? 0;
    const minWorkMs = options.upstream === undefined
      ? 0
      : workMs * MIN_WORK_TIME_SHARE;
    return head.timeoutMs - minWorkMs;
  }

  function adoptLimit({ limitPerS, instance, bornAt }: RequestHead): void {
    if (limitPerS === undefined || instance === undefined) return;
    notices.adoptLimit(limitPerS, { instance, bornAt });
    applyLimit();
  }

  /** The current incarnation if the request names another one of this service. */
  function tryGetCurrent(
    { service, instance }: RequestHead,
  ): string | undefined {
    if (instance === undefined || service !== options.service) return undefined;
    const current = options.upstream?.getInstance();
    return current === instance ? undefined : current;
  }

  /** Seals a key that has not run, so that its request can be sent to another host; else refuses or replays it. */
  function settle(
    msg: OfKind<GuardMessage, GuardMessageKind.Settle>,
  ): GuardAction[] {
    const { ticket, account, key } = msg;
    counters.add("settle_asked");
    const sealed = trySealKey(account, key);
    if (sealed !== undefined) return [...sealed, refuseSealed(ticket)];
    const record = keys.tryGetRecord(key);
    const head = {
      account,
      service: options.service,
      repeatability: Repeatability.AtMostOnce,
      key,
      fingerprint: record?.fingerprint ?? "",
      timeoutMs: 0,
    };
    return admit(ticket, head, true);
  }

  /** Seals the key and returns the resulting actions; undefined if it can't be sealed. */
  function trySealKey(
    account: AccountName,
    key: string,
  ): GuardAction[] | undefined {
    const standing = keys.getStanding(key, account);
    if (standing === KeyStanding.Unused) {
      keys.open(key, "").state = KeyState.Sealed;
      return [];
    }
    const record = keys.tryGetRecord(key);
    if (standing !== KeyStanding.Recorded || record === undefined) {
      return undefined;
    }
    const holder = findWaiting(entries.values(), record);
    if (holder === undefined) return undefined;
    if (holder.state === EntryState.Queued) queue.remove(holder);
    if (holder.state === EntryState.Granted) freeUnusedSlot(holder);
    return [refuse(holder, "key_sealed")];
  }

  function refuseSealed(ticket: Ticket): GuardAction {
    counters.add("key_sealed");
    return {
      kind: GuardActionKind.Refuse,
      ticket,
      verdict: { execution: NotRun, diagnostic: Diagnostics.key_sealed },
    };
  }

  function applyKeyVerdict(entry: Entry, verdict: KeyVerdict): GuardAction {
    if (!("replay" in verdict)) {
      const retryAfter = verdict.isTransient ? getRetryAfter() : undefined;
      return refuse(entry, verdict.name, verdict.execution, retryAfter);
    }
    counters.add("answer_replayed");
    finish(entry);
    return {
      kind: GuardActionKind.Replay,
      ticket: entry.ticket,
      response: verdict.replay,
    };
  }

  function enqueue(entry: Entry): GuardAction[] {
    const barred = rules.tryGetRefusal(entry);
    if (barred !== undefined) return [refuse(entry, barred)];
    if (draining && !mayEndBefore(entry, stopsAt)) {
      return [refuse(entry, "draining")];
    }
    const decision = estimates.decide(entry, busySlots);
    if (decision.admission === Admission.Refuse) {
      if (decision.reason === "over_upstream_limit") rate.defer();
      return [refuse(entry, decision.reason, NotRun, getRetryAfter())];
    }
    const holdMs = getHoldMs(entry);
    if (holdMs > 0 && !mayBeHeld(entry, holdMs)) {
      const retryAfterMs = Math.max(holdMs, getRetryAfter());
      return [refuse(entry, "called_service_full", NotRun, retryAfterMs)];
    }
    if (decision.admission === Admission.Start && holdMs === 0) {
      return [assignSlot(entry)];
    }
    wakes.add(entry.latestStart, entry.ticket);
    if (options.upstream) wakes.add(entry.usefulUntil, entry.ticket);
    const leaving = queue.push(entry);
    if (leaving === undefined) return [];
    const reason = leaving === entry ? "queue_full" : "over_fair_share";
    return [refuse(leaving, reason, NotRun, getRetryAfter())];
  }

  /** Time for which the request is expected to be held for its calls, in ms. */
  function getHoldMs(entry: Entry): Millis {
    const { calledServices } = options;
    const { route } = entry.head;
    if (calledServices === undefined || mayCall(entry.head)) return 0;
    const ahead = queue.getAheadOf?.(entry, (it) => it.head.route === route);
    return calledServices.getWaitMs(route, ahead ?? 0);
  }

  /** True if the request may wait that long and still meet its objective. */
  function mayBeHeld(entry: Entry, holdMs: Millis): boolean {
    const startsAt = host.now() + holdMs;
    return startsAt <= entry.latestStart && startsAt <= entry.startBy;
  }

  function fillSlots(): GuardAction[] {
    const actions: GuardAction[] = [];
    if (tryGetClosedReason() !== undefined) return actions;
    while (busySlots < getMaxSlots() && rate.getWaitMs(0) === 0) {
      const entry = queue.pop((item) =>
        getStartDelayMs(item) === 0 && busySlots < getSlotsForQueued(item) &&
        mayCall(item.head)
      );
      if (entry === undefined) break;
      const barred = rules.tryGetRefusal(entry);
      if (barred !== undefined) {
        actions.push(refuse(entry, barred));
        continue;
      }
      actions.push(
        // After a pause of the process, messages come before the tick that ends what is overdue.
        host.now() < entry.latestStart
          ? assignSlot(entry)
          : refuseOverdue(entry),
      );
    }
    return actions;
  }

  function getSlotsForQueued({ head, usefulUntil }: Entry): number {
    return options.upstream === undefined || host.now() <= usefulUntil
      ? getSlotsFor(head)
      : getSlotsForLate();
  }

  /** Assigns a free slot to the entry. */
  function assignSlot(entry: Entry): GuardAction {
    busySlots += 1;
    countStart(entry);
    options.calledServices?.recordStart(entry.head.route);
    return entry.isReservation ? grant(entry) : start(entry);
  }

  function countStart(entry: Entry): void {
    rate.acquire();
    if (rate.isLimited(RateLimit.Cold)) entry.countedAt = host.now();
    else delete entry.countedAt;
  }

  /** True if the start of a granted request is counted against the limit of a cold upstream, or can be now. */
  function mayUseGrant(entry: Entry): boolean {
    if (!rate.isLimited(RateLimit.Cold) || isRecentlyCounted(entry)) {
      return true;
    }
    if (rate.getWaitMs(0) > 0) return false;
    countStart(entry);
    return true;
  }

  function isRecentlyCounted({ countedAt = -Infinity }: Entry): boolean {
    return host.now() - countedAt <= GRANT_COUNT_MS;
  }

  function grant(entry: Entry): GuardAction {
    const key = entry.head.key ?? keys.issue(entry.account);
    entry.record ??= keys.open(key, entry.head.fingerprint);
    entry.record.state = KeyState.Granted;
    grantCount += 1;
    entry.state = EntryState.Granted;
    entry.grant = `${options.incarnation}-${grantCount}`;
    entry.grantExpires = host.now() + options.grantTtlMs;
    wakes.add(entry.grantExpires, entry.ticket);
    return {
      kind: GuardActionKind.Grant,
      ticket: entry.ticket,
      grant: entry.grant,
      key,
    };
  }

  function start(entry: Entry): GuardAction {
    wakes.add(entry.deadline, entry.ticket);
    entry.state = EntryState.Running;
    entry.startedAt = host.now();
    entry.startSlowdown = getSlowdown();
    runningCount += 1;
    entry.startRunning = runningCount;
    options.upstream?.recordStart(runningCount);
    if (entry.record !== undefined) entry.record.state = KeyState.Running;
    counters.add("started");
    return { kind: GuardActionKind.Start, ticket: entry.ticket };
  }

  function run(ticket: Ticket, grantText: string): GuardAction[] {
    const entry = entries.get(ticket);
    if (entry === undefined || entry.state === EntryState.Finished) {
      return [refuseUnknownRun(ticket, grantText)];
    }
    if (entry.state === EntryState.Running) {
      counters.add("grant_used");
      return [];
    }
    if (entry.state !== EntryState.Granted || entry.grant !== grantText) {
      return [refuseUnknownRun(ticket, grantText)];
    }
    if (host.now() >= entry.grantExpires!) {
      return [revokeGrant(entry, "grant_expired")];
    }
    const barred = rules.tryGetRefusal(entry);
    if (barred !== undefined) return [revokeGrant(entry, barred)];
    if (!mayUseGrant(entry)) return [revokeGrant(entry, "over_upstream_limit")];
    return [start(entry)];
  }

  /**
   * Refuses a run that matches no valid grant. The verdict is NotRun only if
   * this incarnation issued the grant and the ticket finished without a start.
   */
  function refuseUnknownRun(ticket: Ticket, grantText: string): GuardAction {
    const isOwn = grantText.startsWith(`${options.incarnation}-`);
    const entry = entries.get(ticket);
    const neverRan = entry?.state === EntryState.Finished &&
      entry.startedAt === undefined;
    const execution = isOwn && neverRan ? NotRun : MayHaveRun;
    const name = execution === NotRun ? "grant_expired" : "grant_used";
    counters.add(name);
    return {
      kind: GuardActionKind.Refuse,
      ticket,
      verdict: { execution, diagnostic: Diagnostics[name] },
      grant: grantText,
    };
  }

  function release(ticket: Ticket): GuardAction[] {
    const entry = entries.get(ticket);
    if (entry === undefined) return [];
    if (entry.state === EntryState.Queued) queue.remove(entry);
    if (entry.state === EntryState.Granted) freeUnusedSlot(entry);
    if (!isWaiting(entry)) return [];
    sealRecord(entry);
    counters.add("released");
    finish(entry);
    return [];
  }

  function cancel(ticket: Ticket): GuardAction[] {
    const entry = entries.get(ticket);
    if (entry === undefined || entry.state === EntryState.Finished) return [];
    if (isWaiting(entry)) return release(ticket);
    if (entry.isCancelled) return [];
    entry.isCancelled = true;
    counters.add("cancelled");
    return [{ kind: GuardActionKind.CancelUpstream, ticket }];
  }

  function upstreamResponded(
    msg: OfKind<GuardMessage, GuardMessageKind.UpstreamResponded>,
  ): GuardAction[] {
    const entry = entries.get(msg.ticket);
    if (entry?.state !== EntryState.Running) return [];
    const isGood = msg.status < FIRST_FAILURE_STATUS;
    failures.record(isGood);
    recordRunEnd(entry, isGood);
    if (isGood) estimates.recordCompletion(entry);
    if (entry.record !== undefined) {
      entry.record.state = KeyState.Answered;
      if (msg.kept !== undefined) entry.record.response = msg.kept;
    }
    counters.add("answered");
    runningCount -= 1;
    freeSlot();
    finish(entry);
    return [];
  }

  function recordRunEnd({ head, startedAt }: Entry, isGood: boolean): void {
    options.calledServices?.recordEnd(head.route, {
      startedAt: startedAt!,
      isGood,
    });
  }

  function upstreamFailed(
    msg: OfKind<GuardMessage, GuardMessageKind.UpstreamFailed>,
  ): GuardAction[] {
    const entry = entries.get(msg.ticket);
    if (entry?.state !== EntryState.Running) return [];
    runningCount -= 1;
    freeSlot();
    recordRunEnd(entry, false);
    // Nobody is left to whom a verdict could tell of the upstream's end.
    if (entry.isCancelled && msg.execution !== NotRun) {
      lingering.add(entry.ticket, {
        deadline: entry.deadline,
        instance: entry.head.instance,
      });
      if (msg.end !== undefined) lingering.recordEnd(msg.end);
    }
    if (entry.record !== undefined) {
      entry.record.state = msg.execution === NotRun
        ? KeyState.Sealed
        : KeyState.InDoubt;
    }
    const name = msg.diagnostic.reason as DiagnosticName;
    if (UPSTREAM_FAULTS.has(msg.diagnostic)) failures.record(false);
    const retryAfter = msg.execution === NotRun ? getRetryAfter() : undefined;
    const action = refuse(entry, name, msg.execution, retryAfter);
    return [msg.end === undefined ? action : withEnd(action, msg.end)];
  }

  function drain(
    msg: OfKind<GuardMessage, GuardMessageKind.Drain>,
  ): GuardAction[] {
    draining = true;
    stopsAt = msg.stopsAt ?? -Infinity;
    const actions: GuardAction[] = [];
    for (let entry = queue.pop(); entry !== undefined; entry = queue.pop()) {
      actions.push(refuse(entry, "draining"));
    }
    return actions;
  }

  /** True if no other host serves the request and it ends by a time in ms. */
  function mayEndBefore({ head, deadline }: Entry, endsAt: Millis): boolean {
    return head.isLastChoice === true && deadline <= endsAt;
  }

  function tick(): GuardAction[] {
    const actions: GuardAction[] = [];
    const now = host.now();
    for (
      let ticket = wakes.popDue(now);
      ticket !== undefined;
      ticket = wakes.popDue(now)
    ) {
      const entry = entries.get(ticket);
      if (entry !== undefined) actions.push(...expire(entry, now));
    }
    return actions;
  }

  function isWakeNeeded(ticket: Ticket, at: Millis): boolean {
    const entry = entries.get(ticket);
    switch (entry?.state) {
      case undefined:
        return ticket === RATE_WAKE;
      case EntryState.Queued:
        return true;
      case EntryState.Granted:
        return at === entry.grantExpires;
      case EntryState.Running:
        return at === entry.deadline;
      case EntryState.Finished:
        return at === entry.forgetAt;
    }
  }

  function expire(entry: Entry, now: Millis): GuardAction[] {
    switch (entry.state) {
      case EntryState.Queued:
        if (now < entry.latestStart && !isOvertaken(entry, now)) return [];
        queue.remove(entry);
        return [refuseOverdue(entry)];
      case EntryState.Granted:
        return now < entry.grantExpires!
          ? []
          : [revokeGrant(entry, "grant_expired")];
      case EntryState.Running:
        return now < entry.deadline ? [] : cancel(entry.ticket);
      case EntryState.Finished:
        if (now >= entry.forgetAt!) entries.delete(entry.ticket);
        return [];
    }
  }

  function refuseOverdue(entry: Entry): GuardAction {
    const name = entry.head.mayQueue === false
      ? "no_room_now"
      : "deadline_in_queue";
    return refuse(entry, name, NotRun, getRetryAfter());
  }

  /** True for work past its latest useful start that would wait beside others. */
  function isOvertaken(entry: Entry, now: Millis): boolean {
    if (options.upstream === undefined || now < entry.usefulUntil) return false;
    return queue.size() > estimates.getMaxLateWaiting();
  }

  function revokeGrant(entry: Entry, name: DiagnosticName): GuardAction {
    freeUnusedSlot(entry);
    return refuse(entry, name, NotRun, getRevocationDelay(name));
  }

  function getRevocationDelay(name: DiagnosticName): Millis | undefined {
    return name === "over_upstream_limit" ? getRetryAfter() : undefined;
  }

  function refuse(
    entry: Entry,
    name: DiagnosticName,
    execution: Execution = NotRun,
    retryAfterMs?: Millis,
  ): OfKind<GuardAction, GuardActionKind.Refuse> {
    counters.add(name);
    if (execution === NotRun) sealRecord(entry);
    finish(entry);
    // While its daemon stops, another service may already use the upstream's address.
    const currentInstance = draining ? undefined : tryGetCurrent(entry.head);
    const verdict: Verdict = {
      execution,
      diagnostic: Diagnostics[name],
      ...(retryAfterMs !== undefined && { retryAfterMs }),
      ...(currentInstance !== undefined && { currentInstance }),
    };
    return {
      kind: GuardActionKind.Refuse,
      ticket: entry.ticket,
      verdict,
      ...(entry.grant !== undefined && { grant: entry.grant }),
    };
  }

  function sealRecord(entry: Entry): void {
    const record = entry.record;
    if (record === undefined) return;
    Debug.assert(
      record.state !== KeyState.Running && record.state !== KeyState.Answered,
      "a key whose request was passed to the upstream is never sealed",
    );
    record.state = KeyState.Sealed;
  }

  function finish(entry: Entry): void {
    entry.state = EntryState.Finished;
    openCount -= 1;
    const forgetAt = host.now() + TICKET_RETENTION_MS;
    entry.forgetAt = Math.ceil(forgetAt / FORGET_STEP_MS) * FORGET_STEP_MS;
    wakes.add(entry.forgetAt, entry.ticket);
  }

  /** Frees the slot of a request that did not reach the upstream. */
  function freeUnusedSlot(entry: Entry): void {
    freeSlot();
    options.calledServices?.recordUnused(entry.head.route);
    // At a cold upstream, starts that were counted long ago must not add to what starts now.
    rate.release(
      isRecentlyCounted(entry)
        ? [RateLimit.Stated, RateLimit.Cold]
        : [RateLimit.Stated],
    );
  }

  function freeSlot(): void {
    busySlots -= 1;
    Debug.assert(busySlots >= 0, "no slot is freed twice");
  }
}

function withEnd(
  action: OfKind<GuardAction, GuardActionKind.Refuse>,
  end: string,
): GuardAction {
  return { ...action, verdict: { ...action.verdict, end } };
}

const { NotRun, MayHaveRun } = Execution;
