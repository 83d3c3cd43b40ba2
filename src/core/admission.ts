/**
 * Decides whether a request starts at an upstream now, is queued or is refused.
 * The guard decides, since only it knows all requests at its upstream.
 */

import { COLD_SLOWDOWN } from "./cold_starts.ts";
import type { DiagnosticName } from "./diagnostics.ts";
import { SLOW_FACTOR } from "./slow_periods.ts";
import type { Millis } from "./types.ts";

/** Outcome of an admission decision. */
export enum Admission {
  Start = "start",
  Queue = "queue",
  Refuse = "refuse",
}

/** State of the upstream when a request arrives at its guard. */
export interface AdmissionState {
  /** Requests that may run concurrently. */
  readonly usableSlots: number;
  readonly busySlots: number;
  /** Requests that would be served before this one. */
  readonly ahead: number;
  /** Time until the upstream's limit on requests allows this one, in ms; 0 if it allows it now. */
  readonly rateWaitMs: Millis;
  /** Mean time of one request, in ms. */
  readonly serviceMs: Millis;
  /** Time for which a queued request is not started, in ms; 0 to start at once. */
  readonly startDelayMs: Millis;
  /** Current service time as a multiple of the usual one. */
  readonly slowdown: number;
}

/** The properties of a request that the decision depends on. */
export interface AdmissionRequest {
  /** Time within which the work itself probably ends at the current speed, in ms. */
  readonly workMs: Millis;
  /** Mean time of the work itself at the current speed, in ms. */
  readonly meanWorkMs: Millis;
  /**
   * Short work is served late rather than refused: it takes little capacity,
   * and the calls that running requests make are of this kind.
   */
  readonly isShort?: boolean;
  /** Time left, in ms. */
  readonly timeoutMs: Millis;
  /** Time left to meet the route's objective, in ms; negative once it is missed. */
  readonly objectiveMs?: Millis;
  /** True if its caller has come back after an earlier try. */
  readonly isReturned?: boolean;
  /** False for a non-queueing request, which starts within `maxWaitMs` or is refused. */
  readonly mayQueue: boolean;
  /** Longest wait of a non-queueing request, in ms, by default 0: it finds another host in that time. */
  readonly maxWaitMs?: Millis;
}

/** The properties that bound how long a request may wait. */
export type WaitingRequest = Pick<
  AdmissionRequest,
  "objectiveMs" | "workMs" | "meanWorkMs" | "isShort" | "isReturned"
>;

/** A decision with the expected time until the request's start, in ms. */
export type AdmissionDecision =
  | {
    readonly admission: Admission.Start | Admission.Queue;
    readonly waitMs: Millis;
  }
  | {
    readonly admission: Admission.Refuse;
    readonly reason: DiagnosticName;
    readonly waitMs: Millis;
  };

/** Share of its objective that a first try may always wait, even if its work alone exceeds the objective. */
const MIN_QUEUE_WAIT_SHARE = 0.25;

/**
 * Decides on a request. Load pattern "noisy neighbours": while an upstream is
 * slow, its guard refuses non-queueing requests, which can still try another
 * host. Load pattern "overload": a queue longer than the objective makes every
 * response late, so work that would start too late is refused on arrival
 * instead of at its deadline. Load pattern "callers that come back": work that
 * will miss its objective starts at once or is refused. Load pattern "an upstream in
 * need": the wait for a start that its limit allows counts like that for a slot.
 */
export function decideAdmission(
  state: AdmissionState,
  request: AdmissionRequest,
): AdmissionDecision {
  const slotWaitMs = getExpectedWait(state);
  const waitMs = Math.max(slotWaitMs, state.rateWaitMs);
  const isRateBound = state.rateWaitMs > slotWaitMs;
  const startsNow = waitMs === 0;
  const isTooLong = waitMs > (request.maxWaitMs ?? 0) ||
    (isLate(request) && !startsNow);
  if (!request.mayQueue && (isTooLong || isTooSlow(state, request))) {
    const reason = isRateBound ? "over_upstream_limit" : "no_room_now";
    return { admission: Admission.Refuse, reason, waitMs };
  }
  if (startsNow) return { admission: Admission.Start, waitMs };
  if (isLate(request)) {
    return { admission: Admission.Refuse, reason: "objective_missed", waitMs };
  }
  const endsLate = waitMs + request.workMs > request.timeoutMs;
  if (endsLate || waitMs > getQueueWaitLimit(request)) {
    return {
      admission: Admission.Refuse,
      reason: isRateBound ? "over_upstream_limit" : "deadline_too_short",
      waitMs,
    };
  }
  return { admission: Admission.Queue, waitMs };
}

/**
 * True if the request misses its objective only because the upstream is slow.
 * Load pattern "long slow periods": a slow upstream has free slots, as it is
 * avoided, and is too slow to wait for. Load pattern "a whole fleet restarts
 * cold": no upstream is faster, and at the speed of cold ones most requests are
 * in time.
 */
function isTooSlow(
  { slowdown }: AdmissionState,
  { workMs, meanWorkMs, objectiveMs = Infinity }: AdmissionRequest,
): boolean {
  const expectedMs = slowdown <= COLD_SLOWDOWN ? meanWorkMs : workMs;
  return slowdown >= SLOW_FACTOR && expectedMs > objectiveMs;
}

/**
 * True for a request that would more likely than not miss its objective if it
 * started now, as its caller has come back too late.
 */
export function isLate(request: WaitingRequest): boolean {
  return getUsefulWait(request) < 0;
}

/** Time after which a request that waits is late, in ms; negative if it is. */
export function getUsefulWait(request: WaitingRequest): Millis {
  return getWaitBefore(request.meanWorkMs, request);
}

/** Longest time that a request may be expected to wait in the queue, in ms. */
function getQueueWaitLimit(request: WaitingRequest): Millis {
  return getWaitBefore(request.workMs, request);
}

/** Time that a request may wait before work of that length, in ms; a first try may always wait a little. */
function getWaitBefore(
  workMs: Millis,
  { objectiveMs, isShort, isReturned }: WaitingRequest,
): Millis {
  if (objectiveMs === undefined || isShort === true) return Infinity;
  const slackMs = objectiveMs - workMs;
  if (isReturned === true) return slackMs;
  return Math.max(slackMs, objectiveMs * MIN_QUEUE_WAIT_SHARE);
}

/**
 * Expected time until a slot is free for the request, in ms: the mean time of
 * the departures that have to come first, plus one standard deviation of their
 * sum, less that of a single departure. Slots that are free during the start
 * delay serve the head of the queue as soon as it ends.
 */
function getExpectedWait(state: AdmissionState): Millis {
  const { usableSlots, busySlots, serviceMs, startDelayMs } = state;
  const freeSlots = Math.max(0, usableSlots - busySlots);
  const departures = state.ahead + 1 - freeSlots;
  if (departures <= 0) return startDelayMs;
  const gapMs = serviceMs / usableSlots;
  return startDelayMs + gapMs * (departures + Math.sqrt(departures) - 1);
}
