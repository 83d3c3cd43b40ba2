/**
 * Which requests a stopping daemon takes: those that it can probably answer
 * before it closes. The others are refused at once, as not run.
 */

import { createResponseTimes, type ResponseTimes } from "./response_times.ts";
import type { CoreHost, Millis } from "./types.ts";

/** Time for closing at the end of the grace time, in ms. */
const CLOSING_MS = 750;
/** Share of the grace time that is left for answers at least, however short it is. */
const MIN_ANSWER_SHARE = 1 / 2;
/** Share of the grace time in which a repeatable request of unknown length is taken. */
const UNKNOWN_SHARE = 1 / 2;
/** Share of answers that may take too long for a repeatable request to be taken. */
const MAX_LATE_SHARE = 0.05;
/** The same for requests that run at most once. */
const MAX_LATE_SHARE_AT_MOST_ONCE = 0.005;
/** Time left as a multiple of the expected one, for repeatable requests; above the width of a bucket of times. */
const MARGIN = 1.1;
/** The same for requests that run at most once. */
const AT_MOST_ONCE_MARGIN = 1.25;

/** A request that arrives while the daemon stops. */
export interface LateRequest {
  readonly route: string;
  /** Time in which it is to be answered, in ms. */
  readonly timeoutMs: Millis;
  readonly isAtMostOnce: boolean;
}

/** The plan of one daemon. */
export interface StopPlan {
  /** Records the time from a request to its answer, in ms. */
  recordAnswer(route: string, tookMs: Millis): void;
  /** Begins the stop; returns the time by which all answers are due, in ms. */
  begin(): Millis;
  /** False for a request that would probably not be answered before the end. */
  mayTake(req: LateRequest): boolean;
}

/** Creates the plan of a daemon that has a grace time, in ms, from the signal on. */
export function createStopPlan(
  host: Pick<CoreHost, "now">,
  graceMs: Millis,
): StopPlan {
  const times = new Map<string, ResponseTimes>();
  let startedAt: Millis | undefined;
  let answersBy: Millis = Infinity;
  return { recordAnswer, begin, mayTake };

  function recordAnswer(route: string, tookMs: Millis): void {
    let known = times.get(route);
    if (known === undefined) {
      known = createResponseTimes(host);
      times.set(route, known);
    }
    known.record(tookMs);
  }

  function begin(): Millis {
    startedAt = host.now();
    answersBy = startedAt +
      Math.max(graceMs - CLOSING_MS, graceMs * MIN_ANSWER_SHARE);
    return answersBy;
  }

  function mayTake({ route, timeoutMs, isAtMostOnce }: LateRequest): boolean {
    if (startedAt === undefined) return true;
    const leftMs = answersBy - host.now();
    if (leftMs <= 0) return false;
    if (timeoutMs <= leftMs) return true;
    const known = times.get(route);
    if (known === undefined) {
      return !isAtMostOnce &&
        host.now() < startedAt + graceMs * UNKNOWN_SHARE;
    }
    return isAtMostOnce
      ? known.getTail(leftMs / AT_MOST_ONCE_MARGIN).share <=
        MAX_LATE_SHARE_AT_MOST_ONCE
      : known.getTail(leftMs / MARGIN).share <= MAX_LATE_SHARE;
  }
}
