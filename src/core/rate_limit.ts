/** A rate above which the source of some work has to wait. */

import type { Millis } from "./types.ts";

/** Bounds of a rate. */
export interface RateLimitOptions {
  readonly perMs: number;
  /** What may come at once. */
  readonly atOnce: number;
}

/** Counts what one source sends. */
export interface RateLimit {
  /** Counts an amount, which is negative for what makes up for others. */
  add(amount: number): void;
  /** Time until the source is within its rate again, in ms; 0 if it is. */
  getWaitMs(): Millis;
}

/** Creates the limit of one source. */
export function createRateLimit(
  clock: { now(): Millis },
  { perMs, atOnce }: RateLimitOptions,
): RateLimit {
  /** What came beyond the rate. */
  let excess = 0;
  let countedAt = clock.now();
  return { add: (amount) => void (excess += amount), getWaitMs };

  function getWaitMs(): Millis {
    const now = clock.now();
    excess = Math.max(0, excess - (now - countedAt) * perMs);
    countedAt = now;
    return Math.max(0, excess - atOnce) / perMs;
  }
}
