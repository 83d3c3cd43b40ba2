/** A guard's estimates of its upstream: service times, waits and usable slots. */

import {
  type AdmissionDecision,
  decideAdmission,
  getUsefulWait,
  isLate,
  type WaitingRequest,
} from "./admission.ts";
import { COLD_SLOWDOWN, ColdState } from "./cold_starts.ts";
import type { AdmissionQueue } from "./fair_queue.ts";
import type { Entry } from "./guard_entry.ts";
import type { GuardOptions } from "./guard_types.ts";
import type { RequestRate } from "./request_rate.ts";
import { createServiceTimes } from "./service_times.ts";
import { SLOW_FACTOR } from "./slow_periods.ts";
import type { CoreHost, Millis, RequestHead } from "./types.ts";

/** Mean service time before the first sample, in ms. */
const INITIAL_SERVICE_TIME_MS = 10;
/** Share of a request's objective taken as its work time before the first sample. */
const DEFAULT_WORK_SHARE = 1 / 3;
/** Work is short below this share of the mean time of the requests that occupy slots. */
const SHORT_WORK_SHARE = 0.5;
/**
 * Share of the slots that late work leaves free. Load pattern "callers that come
 * back": at the peak some late request is always there to take a slot that
 * becomes free, and what arrives a moment later and could be in time has to wait.
 */
const LATE_WORK_RESERVE = 1 / 4;
/** Shortest retry-after, in ms; the load does not change sooner. */
const MIN_RETRY_AFTER_MS = 20;

/** Estimates of one guard. */
export interface GuardEstimates {
  /** Requests that may run concurrently. */
  getUsableSlots(): number;
  /** Slots that requests like this one may fill. */
  getSlotsFor(head: RequestHead): number;
  /** Slots that any request may fill. */
  getMaxSlots(): number;
  /** Slots that an entry may fill which will miss its objective. */
  getSlotsForLate(): number;
  /** Requests that may wait before those that are late are refused. */
  getMaxLateWaiting(): number;
  /** Time for which a request that arrives now can wait and still serve its caller well, in ms; negative if it is late. */
  getUsefulWaitMs(head: RequestHead): Millis;
  /** Current service time as a multiple of the usual one. */
  getSlowdown(): number;
  /** Time for which the request should not be started, in ms; 0 to start at once. */
  getStartDelayMs(entry: Entry): Millis;
  /** Time for which a request with the mean work should not be started, in ms; 0 to start at once. */
  getMeanStartDelayMs(): Millis;
  /** Time within which most requests of this route end outside slow periods, in ms. */
  getWorkMs(head: RequestHead): Millis;
  /** Mean time of all requests, in ms. */
  getMeanMs(): Millis;
  /** Records the service time of a request that succeeded. */
  recordCompletion(entry: Entry): void;
  decide(entry: Entry, busySlots: number): AdmissionDecision;
  /** Time to drain the queue in ms, with jitter so that callers don't retry at the same moment. */
  getRetryAfter(): Millis;
}

/** Creates estimates without samples. */
export function createGuardEstimates(
  host: CoreHost,
  options: GuardOptions,
  { queue, rate }: {
    queue: AdmissionQueue<Entry>;
    rate: Pick<RequestRate, "getWaitMs">;
  },
): GuardEstimates {
  const times = createServiceTimes(
    host,
    options.upstream === undefined ? INITIAL_SERVICE_TIME_MS : undefined,
  );
  return {
    getUsableSlots,
    getSlotsFor,
    getMaxSlots,
    getSlotsForLate: () => getUsableSlots() - getLateReserve(),
    getUsefulWaitMs: (head) => getUsefulWait(getWaiting(head)),
    getMaxLateWaiting: getLateReserve,
    getSlowdown,
    getStartDelayMs,
    getMeanStartDelayMs: () => getDelayOf(getMeanMs()),
    getWorkMs: getBaseWorkMs,
    getMeanMs,
    recordCompletion,
    decide,
    getRetryAfter,
  };

  function getUsableSlots(): number {
    return options.upstream?.getUsableSlots() ?? options.slots;
  }

  function getMaxSlots(): number {
    return options.upstream?.getShortWorkSlots() ?? options.slots;
  }

  /**
   * Load pattern "calls at a full upstream": if short calls are refused, the
   * requests elsewhere that made them fail too. Short work takes little
   * capacity, so it may also use the slots kept free for the upstream's speed.
   */
  function getSlotsFor(head: RequestHead): number {
    if (isShort(head)) return getMaxSlots();
    const reserve = isLate(getWaiting(head)) ? getLateReserve() : 0;
    return getUsableSlots() - reserve;
  }

  function getLateReserve(): number {
    const usable = getUsableSlots();
    return Math.min(usable - 1, Math.ceil(usable * LATE_WORK_RESERVE));
  }

  function getWaiting(head: RequestHead): WaitingRequest {
    const { objectiveMs, isReturned } = head;
    return {
      workMs: getBaseWorkMs(head),
      meanWorkMs: getMeanWorkMs(head) * getBaseSlowdown(),
      isShort: isShort(head),
      ...(objectiveMs !== undefined && { objectiveMs }),
      ...(isReturned && { isReturned }),
    };
  }

  function isShort({ route }: RequestHead): boolean {
    const upperMs = times.tryGetRouteUpper(route);
    const meanInSlotsMs = times.tryGetMeanInSlots();
    return upperMs !== undefined && meanInSlotsMs !== undefined &&
      upperMs < meanInSlotsMs * SHORT_WORK_SHARE;
  }

  function getSlowdown(): number {
    return Math.max(options.upstream?.getSlowdown() ?? 1, getColdSlowdown());
  }

  function getBaseSlowdown(): number {
    return Math.max(
      options.upstream?.getBaseSlowdown() ?? 1,
      getColdSlowdown(),
    );
  }

  /** A cold upstream works at half speed whether or not its load readings show it. */
  function getColdSlowdown(): number {
    return options.coldStarts?.getState() === ColdState.Cold
      ? COLD_SLOWDOWN
      : 1;
  }

  /** Delays work only if running it slowly would cost more time than waiting. */
  function getStartDelayMs({ head }: Entry): Millis {
    return getDelayOf(getMeanWorkMs(head));
  }

  function getMeanWorkMs(head: RequestHead): Millis {
    return times.tryGetRouteMean(head.route) ?? getDefaultWorkMs(head);
  }

  function getDelayOf(workMs: Millis): Millis {
    const startDelayMs = options.upstream?.getStartDelayMs() ?? 0;
    const costMs = (getSlowdown() - getBaseSlowdown()) * workMs;
    return costMs > startDelayMs ? startDelayMs : 0;
  }

  function getWorkMs(head: RequestHead): Millis {
    return times.tryGetRouteUpper(head.route) ?? times.tryGetMean() ??
      getDefaultWorkMs(head);
  }

  function getBaseWorkMs(head: RequestHead): Millis {
    return getWorkMs(head) * getBaseSlowdown();
  }

  function getMeanMs(): Millis {
    return times.tryGetRecentMean() ?? INITIAL_SERVICE_TIME_MS;
  }

  function recordCompletion(entry: Entry): void {
    const { head: { route }, startSlowdown, startRunning } = entry;
    const tookMs = (host.now() - entry.startedAt!) / startSlowdown!;
    const usualMs = times.tryGetRouteMean(route);
    const slowdown = Math.max(startSlowdown!, getSlowdown());
    if (usualMs !== undefined && slowdown < SLOW_FACTOR * getBaseSlowdown()) {
      options.upstream?.recordServiceTime(startRunning!, tookMs / usualMs);
    }
    // The usual time is that beside as many requests as are known not to slow it.
    const maxRunning = options.upstream?.getKnownGoodSlots() ?? Infinity;
    if (startRunning! <= maxRunning) times.record(route, tookMs);
  }

  function decide(entry: Entry, busySlots: number): AdmissionDecision {
    const refusesEarly = options.refusesEarly ?? true;
    const { timeoutMs, mayQueue, maxWaitMs } = entry.head;
    const startDelayMs = getStartDelayMs(entry);
    // Delayed work starts after the slow period, at the base speed.
    const factor = startDelayMs > 0
      ? getBaseSlowdown()
      : Math.max(1, getSlowdown());
    // What is held for its calls waits for no slot.
    const ahead = queue.getAheadOf?.(
      entry,
      ({ head }) => options.calledServices?.mayStart(head.route) ?? true,
    ) ??
      queue.getAhead(entry.account);
    return decideAdmission({
      usableSlots: getSlotsFor(entry.head),
      busySlots,
      ahead,
      rateWaitMs: rate.getWaitMs(ahead),
      serviceMs: (times.tryGetMean() ?? getDefaultWorkMs(entry.head)) * factor,
      startDelayMs,
      slowdown: getSlowdown(),
    }, {
      ...getWaiting(entry.head),
      workMs: getWorkMs(entry.head) * factor,
      meanWorkMs: getMeanWorkMs(entry.head) * factor,
      timeoutMs: refusesEarly ? timeoutMs : Infinity,
      mayQueue: mayQueue ?? true,
      ...(maxWaitMs !== undefined && { maxWaitMs }),
    });
  }

  function getRetryAfter(): Millis {
    const drainMs = getMeanMs() * (1 + queue.size() / getUsableSlots());
    const rateWaitMs = rate.getWaitMs(queue.size());
    const base = Math.max(MIN_RETRY_AFTER_MS, drainMs, rateWaitMs);
    return Math.ceil(base * (1 + host.random()));
  }
}

/** Expected work time before the first sample, in ms; the objective of a request may have passed. */
function getDefaultWorkMs({ objectiveMs = 0 }: RequestHead): Millis {
  return Math.max(INITIAL_SERVICE_TIME_MS, objectiveMs * DEFAULT_WORK_SHARE);
}
