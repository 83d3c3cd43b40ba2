/**
 * Whether a request starts at an upstream now, waits there or is turned away.
 * Decided by the guard, which alone knows every request at its upstream.
 */

import type { DiagnosticName } from "./diagnostics.ts";
import type { Millis } from "./types.ts";

/** What a guard decides on a request that arrives. */
export enum Admission {
  Start = "start",
  Queue = "queue",
  Refuse = "refuse",
}

/** The upstream as its guard sees it when a request arrives. */
export interface AdmissionState {
  /** Requests that may run at once. */
  readonly usableSlots: number;
  readonly busySlots: number;
  /** Requests that would be served before this one. */
  readonly ahead: number;
  /** Mean time of one request, in ms. */
  readonly serviceMs: Millis;
  /** Expected time until work may start at a fair speed, in ms; 0 for now. */
  readonly holdMs: Millis;
}

/** What the decision needs of a request. */
export interface AdmissionRequest {
  /** Expected time of the work itself, in ms. */
  readonly workMs: Millis;
  /**
   * Short work is served late rather than turned away: it takes little room,
   * and calls of a running request are of this kind.
   */
  readonly isShort?: boolean;
  /** Time left, in ms. */
  readonly timeoutMs: Millis;
  /** Time left within which an answer has its full value, in ms. */
  readonly objectiveMs?: Millis;
  /** False asks for a start at once or a refusal. */
  readonly mayQueue: boolean;
}

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

/** Part of its objective that a request may wait even where its work alone is longer. */
const MIN_PATIENCE_SHARE = 0.25;

/**
 * Decides on a request. Pattern "noisy neighbours": an upstream that is slow at
 * this moment turns away who may still ask another. Pattern "overload": a queue
 * longer than the objective makes every answer late, so work that would start
 * too late is turned away on arrival instead of at its deadline.
 */
export function decideAdmission(
  state: AdmissionState,
  request: AdmissionRequest,
): AdmissionDecision {
  const waitMs = getExpectedWait(state);
  const startsNow = waitMs === 0;
  if (!request.mayQueue && !startsNow) {
    return { admission: Admission.Refuse, reason: "no_room_now", waitMs };
  }
  if (startsNow) return { admission: Admission.Start, waitMs };
  const endsLate = waitMs + request.workMs > request.timeoutMs;
  if (endsLate || waitMs > getPatience(request)) {
    return {
      admission: Admission.Refuse,
      reason: "deadline_too_short",
      waitMs,
    };
  }
  return { admission: Admission.Queue, waitMs };
}

/** Longest wait after which an answer still has its value, in ms. */
function getPatience(
  { objectiveMs, workMs, isShort }: AdmissionRequest,
): Millis {
  if (objectiveMs === undefined || isShort === true) return Infinity;
  return Math.max(objectiveMs - workMs, objectiveMs * MIN_PATIENCE_SHARE);
}

/**
 * Time until the slots have served who stands ahead, in ms: the mean of as many
 * departures and one standard deviation of their sum. Slots that are free while
 * work is held serve the first of the queue at once when the hold ends.
 */
function getExpectedWait(state: AdmissionState): Millis {
  const { usableSlots, busySlots, serviceMs, holdMs } = state;
  const freeSlots = Math.max(0, usableSlots - busySlots);
  const departures = state.ahead + 1 - freeSlots;
  if (departures <= 0) return holdMs;
  const gapMs = serviceMs / usableSlots;
  return holdMs + gapMs * (departures + Math.sqrt(departures) - 1);
}
