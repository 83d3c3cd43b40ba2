/**
 * Which requests a stopping daemon takes: those that it can probably answer
 * before it closes. The others are refused at once, as not run.
 */

import { createResponseTimes, type ResponseTimes } from "./response_times.ts";
import type { CoreHost, Millis } from "./types.ts";

/** Time for closing at the end of the grace time, in ms. */
const CLOSING_MS = 750;
/** Time in which a daemon starts, in ms. */
const START_MS = 500;
/** Share of the grace time that is left for answers at least, however short it is. */
const MIN_ANSWER_SHARE = 5 / 6;
/**
 * Early part of the stop. What it takes has the rest of the stop for its answer;
 * what arrives later is taken only if no known answer of its route took as long.
 */
const EARLY_SHARE = 0.45;
/** Longest early part, in ms: 3 s from the signal, less the time until it and a request are handled. */
const MAX_EARLY_MS = 2_700;
/** Share of answers that may take too long for a repeatable request to be taken early. */
const MAX_LATE_SHARE = 0.05;
/** The same for requests that run at most once. */
const MAX_LATE_SHARE_AT_MOST_ONCE = 0.005;
/** Time left as a multiple of the expected one, for repeatable requests; above the width of a bucket of times. */
const MARGIN = 1.1;
/** The same for requests that run at most once. */
const AT_MOST_ONCE_MARGIN = 1.25;
/** The same after the early part: of n known times, about one in n² is exceeded by the longest times this. */
const LATE_MARGIN = 2;
/** Known answers that a route needs for a request to be taken after the early part. */
const MIN_KNOWN = 20;
/** Weight from which on answers count that took too long; one keeps it for two minutes. */
const MIN_LATE_WEIGHT = 0.25;

/** A request that arrives while the daemon stops. */
export interface LateRequest {
  readonly route: string;
  /** Time in which it is to be answered, in ms. */
  readonly timeoutMs: Millis;
  readonly isAtMostOnce: boolean;
}

/** The plan of one daemon. */
export interface StopPlan {
  /** Records the time from a request to the end of its answer, in ms. */
  recordAnswer(route: string, tookMs: Millis): void;
  /** Begins the stop; returns the time by which all answers are due, in ms. */
  begin(): Millis;
  /** False for a request that would probably not be answered before the end. */
  mayTake(req: LateRequest): boolean;
  /** Time until a daemon that is started again may serve, in ms; undefined before the stop. */
  tryGetReturnMs(): Millis | undefined;
}

/** What the plan depends on. */
export interface StopPlanOptions {
  /** Time from the signal until the process is killed, in ms. */
  readonly graceMs: Millis;
  /** Age of the oldest request of a route that has no whole answer, in ms; 0 if there is none. */
  getOldestMs(route: string): Millis;
}

/** Creates the plan of one daemon's stop. */
export function createStopPlan(
  host: Pick<CoreHost, "now">,
  { graceMs, getOldestMs }: StopPlanOptions,
): StopPlan {
  const times = new Map<string, ResponseTimes>();
  const earlyMs = Math.min(graceMs * EARLY_SHARE, MAX_EARLY_MS);
  let startedAt: Millis | undefined;
  let answersBy: Millis = Infinity;
  return { recordAnswer, begin, mayTake, tryGetReturnMs };

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
    const isEarly = host.now() < startedAt + earlyMs;
    if (known === undefined) return isEarly && !isAtMostOnce;
    if (!isEarly && !endsSurely(route, leftMs)) return false;
    return isAtMostOnce
      ? known.getTail(leftMs / AT_MOST_ONCE_MARGIN).share <=
        MAX_LATE_SHARE_AT_MOST_ONCE
      : known.getTail(leftMs / MARGIN).share <= MAX_LATE_SHARE;
  }

  function tryGetReturnMs(): Millis | undefined {
    if (startedAt === undefined) return undefined;
    return Math.max(0, startedAt + graceMs + START_MS - host.now());
  }

  /** True if many answers are known, and practically none of them and nothing that is open took as long. */
  function endsSurely(route: string, leftMs: Millis): boolean {
    const known = times.get(route)!;
    const count = known.getCount();
    const withinMs = leftMs / LATE_MARGIN;
    return count >= MIN_KNOWN && getOldestMs(route) <= withinMs &&
      count * known.getTail(withinMs).share < MIN_LATE_WEIGHT;
  }
}
