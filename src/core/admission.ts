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
  readonly queued: number;
  /** Mean time of one request at the usual speed, in ms. */
  readonly serviceMs: Millis;
  /** How many times longer than usual work takes now. */
  readonly slowdown: number;
}

/** What the decision needs of a request. */
export interface AdmissionRequest {
  /** Time left, in ms. */
  readonly timeoutMs: Millis;
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

/**
 * Work this many times slower than usual is better started elsewhere. Requests
 * are typically given about three times their usual time.
 */
export const SLOW_FACTOR = 1.5;

/**
 * Decides on a request. Pattern "noisy neighbours": an upstream that is slow at
 * this moment turns away who may still ask another. Pattern "overload": work
 * that can't end in time is turned away at once instead of in the queue.
 */
export function decideAdmission(
  state: AdmissionState,
  request: AdmissionRequest,
): AdmissionDecision {
  const waitMs = getExpectedWait(state);
  const isFree = state.busySlots < state.usableSlots && state.queued === 0;
  if (!request.mayQueue) {
    const startsWell = isFree && state.slowdown < SLOW_FACTOR;
    return startsWell
      ? { admission: Admission.Start, waitMs: 0 }
      : { admission: Admission.Refuse, reason: "no_room_now", waitMs };
  }
  if (waitMs + state.serviceMs > request.timeoutMs) {
    return {
      admission: Admission.Refuse,
      reason: "deadline_too_short",
      waitMs,
    };
  }
  return isFree
    ? { admission: Admission.Start, waitMs: 0 }
    : { admission: Admission.Queue, waitMs };
}

/** Rounds of the slots that are served before a new request, in ms. */
function getExpectedWait(state: AdmissionState): Millis {
  const free = state.usableSlots - state.busySlots;
  if (free > 0 && state.queued === 0) return 0;
  return state.serviceMs * (state.ahead + 1) / state.usableSlots;
}
