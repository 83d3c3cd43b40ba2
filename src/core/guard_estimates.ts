/** What a guard expects of its upstream: speed, waits, room. */

import { type AdmissionDecision, decideAdmission } from "./admission.ts";
import type { FairQueue } from "./fair_queue.ts";
import type { Entry } from "./guard_entry.ts";
import type { GuardOptions } from "./guard_types.ts";
import { createServiceTimes } from "./service_times.ts";
import type { CoreHost, Millis, RequestHead } from "./types.ts";

/** Mean time of a request before any was seen, in ms. */
const FIRST_SERVICE_TIME_MS = 10;
/** Part of its objective that work is taken to need before any was seen. */
const ASSUMED_WORK_SHARE = 1 / 3;
/** Work shorter than this part of what usually fills the slots is short. */
const SHORT_SHARE = 0.5;
/** A caller that comes back sooner finds nothing changed, in ms. */
const MIN_RETRY_AFTER_MS = 20;

/** Estimates of one guard. */
export interface GuardEstimates {
  /** Requests that may run at once. */
  getUsableSlots(): number;
  /** Slots that requests like this one may fill. */
  getSlotsFor(head: RequestHead): number;
  /** Slots that any request may fill. */
  getMostSlots(): number;
  /** How many times longer than usual work takes now. */
  getSlowdown(): number;
  /** Time that a start is put off, in ms. */
  getHoldMs(entry: Entry): Millis;
  /** Time within which most requests like this one end, in ms. */
  getWorkMs(head: RequestHead): Millis;
  /** Mean time of all requests, in ms. */
  getMeanMs(): Millis;
  /** Takes how long a request took that ended well. */
  noteEnd(entry: Entry): void;
  decide(entry: Entry, busySlots: number): AdmissionDecision;
  /** Time to drain the queue in ms, spread so that callers don't return at once. */
  getRetryAfter(): Millis;
}

/** Creates the estimates of a guard without samples. */
export function createGuardEstimates(
  host: CoreHost,
  options: GuardOptions,
  { queue }: { queue: FairQueue<Entry> },
): GuardEstimates {
  const times = createServiceTimes(
    options.upstream === undefined ? FIRST_SERVICE_TIME_MS : undefined,
  );
  return {
    getUsableSlots,
    getSlotsFor,
    getMostSlots,
    getSlowdown,
    getHoldMs,
    getWorkMs,
    getMeanMs,
    noteEnd,
    decide,
    getRetryAfter,
  };

  function getUsableSlots(): number {
    return options.upstream?.getUsableSlots() ?? options.slots;
  }

  function getMostSlots(): number {
    return options.upstream?.getShortWorkSlots() ?? options.slots;
  }

  /**
   * Load pattern "calls at a full upstream": requests that run elsewhere fail
   * with the short calls that they make. Such work takes little room, so the
   * slots kept free for the upstream's speed are open to it.
   */
  function getSlotsFor(head: RequestHead): number {
    return isShort(head) ? getMostSlots() : getUsableSlots();
  }

  function isShort({ route }: RequestHead): boolean {
    const own = times.tryGetUpper(route);
    const usual = times.tryGetMeanInSlots();
    return own !== undefined && usual !== undefined &&
      own < usual * SHORT_SHARE;
  }

  function getSlowdown(): number {
    return options.upstream?.getSlowdown() ?? 1;
  }

  function getBaseSlowdown(): number {
    return options.upstream?.getBaseSlowdown() ?? 1;
  }

  /** Short work is better started slowly than held. */
  function getHoldMs({ head }: Entry): Millis {
    const holdMs = options.upstream?.getHoldMs() ?? 0;
    const costMs = (getSlowdown() - getBaseSlowdown()) *
      (times.tryGet(head.route) ?? getAssumedMs(head));
    return costMs > holdMs ? holdMs : 0;
  }

  function getWorkMs(head: RequestHead): Millis {
    return times.tryGetUpper(head.route) ?? times.tryGetMean() ??
      getAssumedMs(head);
  }

  function getMeanMs(): Millis {
    return times.tryGetMean() ?? FIRST_SERVICE_TIME_MS;
  }

  function noteEnd(entry: Entry): void {
    const tookMs = host.now() - entry.startedAt!;
    times.note(entry.head.route, tookMs / entry.startSlowdown!);
  }

  function decide(entry: Entry, busySlots: number): AdmissionDecision {
    const refusesEarly = options.refusesEarly ?? true;
    const { timeoutMs, objectiveMs, mayQueue } = entry.head;
    const holdMs = getHoldMs(entry);
    // What is waited for is over when the work starts.
    const factor = holdMs > 0 ? getBaseSlowdown() : Math.max(1, getSlowdown());
    return decideAdmission({
      usableSlots: getSlotsFor(entry.head),
      busySlots,
      ahead: queue.getAheadOf?.(entry) ?? queue.getAhead(entry.account),
      serviceMs: (times.tryGetMean() ?? getAssumedMs(entry.head)) * factor,
      holdMs,
    }, {
      workMs: getWorkMs(entry.head) * factor,
      isShort: isShort(entry.head),
      timeoutMs: refusesEarly ? timeoutMs : Infinity,
      ...(objectiveMs !== undefined && { objectiveMs }),
      mayQueue: mayQueue ?? true,
    });
  }

  function getRetryAfter(): Millis {
    const drainMs = getMeanMs() * (1 + queue.size() / getUsableSlots());
    const base = Math.max(MIN_RETRY_AFTER_MS, drainMs);
    return Math.ceil(base * (1 + host.random()));
  }
}

/** What a request may take before any was seen, in ms. */
function getAssumedMs({ objectiveMs }: RequestHead): Millis {
  return objectiveMs === undefined
    ? FIRST_SERVICE_TIME_MS
    : objectiveMs * ASSUMED_WORK_SHARE;
}
