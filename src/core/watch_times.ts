/**
 * Times of a watch of the store. A connection may go silent without a reset, and
 * a change that is made then is found only once the watch is given up: its times
 * follow from the time within which a change has to be in force.
 */

import type { Millis } from "./types.ts";

/** Wait of a watch, as a share of the time within which a change has to be in force. */
const WATCH_SHARE = 0.68;
/** Time for the response beyond the wait, as a share of the same; the rest is for asking again. */
const RESPONSE_SHARE = 0.15;
/** Longest watch of a reader with followers, in ms: each end of a watch shows them that it reaches the store. */
const SHARED_WATCH_MS = 500;
/** Longest watch of a store that may be unavailable, in ms: a call that gets no response must not block for long. */
const SHORT_WATCH_MS = 50;
/** Time for the response of a store that has failed before, in ms; it may be slow. */
const OUTAGE_RESPONSE_MS = 800;

/** Times of one watch. */
export interface WatchTimes {
  /** Longest wait for a change at the store, in ms. */
  readonly waitMs: Millis;
  /** Time without a byte, in addition to the wait, after which the connection counts as silent, in ms. */
  readonly responseMs: Millis;
}

/** What the times of a watch depend on. */
export interface WatchSituation {
  /** Time within which a change has to be in force, in ms. */
  readonly promiseMs: Millis;
  /** Time since the connection last carried a response, in ms: it may have been silent since. */
  readonly idleMs: Millis;
  /** True if other daemons follow this one. */
  readonly isShared: boolean;
  /** True if the connection of the last call was silent: whether the store is, has to be known soon. */
  readonly isAskedAgain: boolean;
  /** True if the last call to the store failed. */
  readonly isLost: boolean;
}

/** Plans a watch; its times, the idle time included, end before a change is due. */
export function planWatch(
  { promiseMs, idleMs, isShared, isAskedAgain, isLost }: WatchSituation,
): WatchTimes {
  if (isLost) {
    return { waitMs: SHORT_WATCH_MS, responseMs: OUTAGE_RESPONSE_MS };
  }
  const responseMs = promiseMs * RESPONSE_SHARE;
  if (isAskedAgain) return { waitMs: SHORT_WATCH_MS, responseMs };
  const longestMs = Math.max(
    SHORT_WATCH_MS,
    promiseMs * WATCH_SHARE - idleMs,
  );
  return {
    waitMs: isShared ? Math.min(SHARED_WATCH_MS, longestMs) : longestMs,
    responseMs,
  };
}
