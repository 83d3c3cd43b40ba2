/**
 * Extra attempts against the slowest responses: a second, non-queueing attempt
 * at another host while the first one stays open. Decides whether and when, and
 * accounts for the work that it costs. The losing attempt is cancelled, so its
 * time until then is the cost.
 */

import { hasReachedUpstream, isAtMostOnce, isOpen } from "./attempts.ts";
import type { Counters } from "./counters.ts";
import { ExtraCause } from "./extra_types.ts";
import { createExtraMoment, type ExtraMoment } from "./extra_moment.ts";
import { createExtraWork } from "./extra_work.ts";
import {
  type Attempt,
  AttemptPhase,
  type ExtraWorkOptions,
  type PendingRequest,
} from "./gateway_types.ts";
import type { LoadTable } from "./load_table.ts";
import type { OpenRequests } from "./open_requests.ts";
import type { Placement } from "./placement.ts";
import { countRuns } from "./refused_attempts.ts";
import type { RetryPolicy } from "./retry_policy.ts";
import { SLOW_FACTOR } from "./slow_periods.ts";
import type {
  Candidate,
  CoreHost,
  FailureDomainName,
  HostId,
  Millis,
  ServiceName,
} from "./types.ts";

/** Time until a due request is checked again, in ms; half of the age up to which reports of load are used. */
const CHECK_INTERVAL_MS = 25;
/** Extra attempts of one request that guards may refuse. */
const MAX_REFUSALS = 3;
/** Maximum age of a report that shows a slow period, in ms; a typical one lasts 150 ms. */
const SLOW_REPORT_MAX_AGE_MS = 100;
/** Lateness of a timer from which this daemon was late itself, in ms; timers round up by 1 ms. */
const LATE_TIMER_MS = 5;
/** Share of placements in a queue from which a service counts as short of capacity. */
const MAX_QUEUED_SHARE = 0.2;
/** Weight of the newest placement in that share. */
const QUEUED_SMOOTHING = 0.05;

/** Where an extra attempt goes, and what to do once it is added to the request. */
export interface ExtraTarget {
  readonly candidate: Candidate;
  begin(attempt: Attempt): void;
}

/** Extra attempts of a gateway. */
export interface ExtraAttempts {
  /** Records whether a first attempt had to queue; schedules the check for an extra one. */
  recordSend(request: PendingRequest, attempt: Attempt): void;
  /** Records a response that is delivered. */
  recordResponse(request: PendingRequest, attempt: Attempt): void;
  /** Checks the requests at a host again if its new report shows a slow period. */
  recordReport(host: HostId): void;
  /** Moves all moments by the lateness of this daemon's timer. */
  recordTimer(lateMs: Millis): void;
  /** The target of an extra attempt if one is due and allowed; else schedules the next check. */
  tryStart(
    request: PendingRequest,
    candidates: readonly Candidate[],
  ): ExtraTarget | undefined;
  /** The open extra attempt whose reserved work is used up, if any. */
  tryFindExhausted(request: PendingRequest): Attempt | undefined;
  /** Accounts for the extra attempt of a request once it or the request has ended. */
  settle(request: PendingRequest): void;
  /** Extra work as a share of the work of own requests. */
  getMeasuredShare(): number;
}

/** What extra attempts depend on. */
export interface ExtraAttemptsContext {
  readonly options: ExtraWorkOptions;
  readonly self: HostId;
  readonly failureDomain: FailureDomainName;
  readonly counters: Counters;
  readonly loads: LoadTable;
  readonly open: OpenRequests;
  readonly placement: Placement;
  readonly retries: RetryPolicy;
}

interface Evidence {
  readonly cause: ExtraCause;
  readonly ageMs: Millis;
  readonly slowdown: number;
}

/** Creates the extra attempts of a gateway; undefined if they are disabled. */
export function createExtraAttempts(
  host: CoreHost,
  context: Omit<ExtraAttemptsContext, "options"> & {
    readonly options: ExtraWorkOptions | undefined;
  },
): ExtraAttempts | undefined {
  const { options } = context;
  if (options === undefined || options.share <= 0) return undefined;
  return createEnabled(host, { ...context, options });
}

function createEnabled(
  host: CoreHost,
  context: ExtraAttemptsContext,
): ExtraAttempts {
  const { options, counters, loads, open, placement, retries } = context;
  const work = createExtraWork(host, options);
  const moments = new Map<string, ExtraMoment>();
  /** Smoothed share of placements in a queue, by service. */
  const queuedShares = new Map<ServiceName, number>();
  return {
    recordSend,
    recordResponse,
    recordReport,
    recordTimer,
    tryStart,
    tryFindExhausted,
    settle,
    getMeasuredShare: work.getMeasuredShare,
  };

  function recordSend(request: PendingRequest, attempt: Attempt): void {
    const { service } = request.arrival;
    const before = queuedShares.get(service) ?? 0;
    const queued = attempt.mayQueue ? 1 : 0;
    queuedShares.set(service, before + QUEUED_SMOOTHING * (queued - before));
    const dueMs = getMoment(request).tryGetMs();
    if (!mayRepeat(request) || dueMs === undefined) return;
    schedule(request, attempt.sentAt + dueMs);
  }

  function recordResponse(request: PendingRequest, attempt: Attempt): void {
    const moment = getMoment(request);
    const first = attempt.isExtra ? request.extra?.first : attempt;
    if (first === undefined) return;
    moment.recordTime(getElapsedMs(first));
    work.recordWork(request.arrival.service, {
      // A non-queueing attempt may have waited for a slot; that is no work.
      ms: Math.max(0, getElapsedMs(attempt) - (attempt.maxWaitMs ?? 0)),
      mayHaveQueued: attempt.mayQueue,
    });
  }

  function recordReport(id: HostId): void {
    if (getSlowdown(id) <= 1) return;
    open.forEach((request) => {
      const isWaiting = request.extraAt !== undefined &&
        request.extraAt > host.now();
      if (
        isWaiting && request.attempts.some((a) => isOpen(a) && a.host === id)
      ) {
        schedule(request, host.now());
      }
    });
  }

  /** Responses that arrived while this daemon was late are read only now. */
  function recordTimer(lateMs: Millis): void {
    if (lateMs <= LATE_TIMER_MS) return;
    counters.add("extra_moments_moved");
    open.forEach((request) => {
      for (const attempt of request.attempts) {
        if (isOpen(attempt)) {
          attempt.pausedMs = (attempt.pausedMs ?? 0) + lateMs;
        }
      }
      if (request.extraAt === undefined) return;
      schedule(request, Math.max(request.extraAt, host.now()) + lateMs);
    });
  }

  function tryStart(
    request: PendingRequest,
    candidates: readonly Candidate[],
  ): ExtraTarget | undefined {
    delete request.extraAt;
    const first = tryGetFirst(request);
    if (first === undefined) return undefined;
    const moment = getMoment(request);
    const evidence = getEvidence(first);
    const elapsedMs = getElapsedMs(first);
    const openAttempt = { elapsedMs, slowdown: evidence.slowdown };
    if (!moment.isDue(openAttempt)) {
      const dueMs = moment.tryGetMs();
      const delayMs = dueMs === undefined ? Infinity : dueMs - elapsedMs;
      if (delayMs < Infinity) schedule(request, host.now() + delayMs);
      return undefined;
    }
    schedule(request, host.now() + CHECK_INTERVAL_MS);
    if (request.deadline - host.now() < moment.getExpectedMs()) {
      return decline("no_time");
    }
    if (isShortOfCapacity(request)) return decline("short_of_capacity");
    const reservedMs = moment.getReservedMs();
    // Before the placement, whose random draws would change other decisions.
    const reservation = work.tryReserve(
      request.arrival.service,
      host.now() - first.sentAt + reservedMs,
    );
    if (reservation === undefined) {
      moment.recordSpending(1);
      return decline("no_budget");
    }
    const isUnaffected = createFilter(first, evidence.cause);
    const candidate = placement.tryPlaceExtra(
      request,
      candidates.filter(isUnaffected),
    );
    if (candidate === undefined) {
      reservation.settle(0);
      moment.recordSpending(0);
      return decline("no_host");
    }
    const charge = retries.tryReserveRepeatedRun(request);
    if (charge === undefined) {
      reservation.settle(0);
      return decline("no_retry_budget");
    }
    return {
      candidate,
      begin: (attempt) => {
        const predictedMs = moment.getRemainingMs(openAttempt);
        const endAt = host.now() + reservedMs;
        request.extra = {
          attempt,
          first,
          cause: evidence.cause,
          predictedMs,
          reservation,
          charge,
          endAt,
        };
        open.wakes.add(endAt, request.arrival.id);
        counters.add(`extra_sent_${evidence.cause}`);
        options.onStarted?.({
          id: request.arrival.id,
          to: attempt.host,
          cause: evidence.cause,
          evidenceAgeMs: evidence.ageMs,
          afterMs: elapsedMs,
        });
      },
    };
  }

  function decline(reason: string): undefined {
    counters.add(`extra_declined_${reason}`);
    return undefined;
  }

  /** The only open attempt of a request that may have an extra one. */
  function tryGetFirst(request: PendingRequest): Attempt | undefined {
    const isExhausted = request.extra !== undefined ||
      request.attempts.some((a) => a.isExtra && hasReachedUpstream(a)) ||
      request.attempts.filter((a) => a.isExtra).length >= MAX_REFUSALS ||
      countRuns(request) >= retries.getMaxRuns(request);
    if (isExhausted || !mayRepeat(request)) return undefined;
    const [first, ...others] = request.attempts.filter(isOpen);
    return others.length === 0 ? first : undefined;
  }

  function getEvidence(first: Attempt): Evidence {
    const slowdown = getSlowdown(first.host);
    const sentMs = host.now() - first.sentAt;
    if (first.isAccepted !== true) {
      return { cause: ExtraCause.SilentLink, ageMs: sentMs, slowdown: 1 };
    }
    return slowdown > 1
      ? {
        cause: ExtraCause.SlowHost,
        ageMs: loads.getAge(loads.get(first.host)),
        slowdown,
      }
      : { cause: ExtraCause.SlowResponse, ageMs: sentMs, slowdown };
  }

  /** Slowdown of a host by a recent report; 1 if it is not in a slow period. */
  function getSlowdown(id: HostId): number {
    const entry = loads.get(id);
    const slowdown = entry.report?.slowdown ?? 1;
    const isRecent = loads.getAge(entry) <= SLOW_REPORT_MAX_AGE_MS;
    return isRecent && slowdown >= SLOW_FACTOR ? slowdown : 1;
  }

  /** Accepts the hosts that don't share the suspected cause. */
  function createFilter(
    first: Attempt,
    cause: ExtraCause,
  ): (candidate: Candidate) => boolean {
    const domain = first.failureDomain;
    const isLinkSuspected = cause === ExtraCause.SilentLink &&
      domain !== context.failureDomain;
    return (candidate) =>
      candidate.host !== first.host &&
      getSlowdown(candidate.host) <= 1 &&
      !(isLinkSuspected && candidate.failureDomain === domain);
  }

  function isShortOfCapacity({ arrival }: PendingRequest): boolean {
    return (queuedShares.get(arrival.service) ?? 0) > MAX_QUEUED_SHARE;
  }

  function tryFindExhausted(request: PendingRequest): Attempt | undefined {
    const { extra } = request;
    if (extra === undefined || host.now() < extra.endAt) return undefined;
    // Without the first attempt it is the request's only one.
    if (!isOpen(extra.first)) return undefined;
    const moreMs = getMoment(request).getExpectedMs();
    if (!extra.reservation.tryExtend(moreMs)) return extra.attempt;
    extra.endAt = host.now() + moreMs;
    open.wakes.add(extra.endAt, request.arrival.id);
    return undefined;
  }

  function settle(request: PendingRequest): void {
    const { extra } = request;
    if (extra === undefined || isOpen(extra.attempt)) return;
    delete request.extra;
    const { attempt, first, reservation } = extra;
    const moment = getMoment(request);
    if (!hasReachedUpstream(attempt)) {
      counters.add("extra_refused");
      extra.charge?.refund();
      reservation.settle(0);
      moment.recordSpending(0);
      return;
    }
    const tookMs = host.now() - attempt.sentAt;
    const hasWon = attempt.phase === AttemptPhase.Delivering;
    const wastedMs = hasWon ? host.now() - first.sentAt : tookMs;
    const reservedMs = reservation.getReservedMs();
    reservation.settle(wastedMs);
    moment.recordSpending(wastedMs / reservedMs);
    moment.recordResult({
      tookMs,
      predictedMs: extra.predictedMs,
      isSlowHost: extra.cause === ExtraCause.SlowHost,
      responded: hasWon
        ? "extra"
        : first.phase === AttemptPhase.Delivering
        ? "first"
        : undefined,
    });
    counters.add(hasWon ? "extra_won" : "extra_lost");
    counters.add("extra_wasted_ms", Math.round(wastedMs));
    options.onEnded?.({
      id: request.arrival.id,
      cause: extra.cause,
      hasWon,
      wastedMs,
      ...(hasWon && { savedMs: Math.max(0, extra.predictedMs - tookMs) }),
    });
  }

  function schedule(request: PendingRequest, at: Millis): void {
    request.extraAt = at;
    open.wakes.add(at, request.arrival.id);
  }

  /** Time since an attempt was sent, without the time in which this daemon was late. */
  function getElapsedMs(attempt: Attempt): Millis {
    const ms = host.now() - attempt.sentAt;
    return Math.max(0, ms - (attempt.pausedMs ?? 0));
  }

  function getMoment({ arrival }: PendingRequest): ExtraMoment {
    const key = `${arrival.service} ${arrival.route ?? ""}`;
    let moment = moments.get(key);
    if (moment === undefined) {
      moments.set(key, moment = createExtraMoment(host, options));
    }
    return moment;
  }
}

/** True for requests that may run more than once and whose body can be sent again. */
function mayRepeat({ arrival, isDelivering }: PendingRequest): boolean {
  return !isAtMostOnce(arrival) && arrival.replayable &&
    arrival.key === undefined && !isDelivering;
}
