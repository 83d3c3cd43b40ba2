/**
 * The rate of the small pieces of one body. A piece of one byte costs as much
 * processor time as one of 16 KB.
 */

import type { Buffer } from "node:buffer";
import { createRateLimit, type RateLimit } from "../core/rate_limit.ts";
import type { Millis } from "../core/types.ts";

/** Size up to which a piece counts as small, in bytes. */
const SMALL_PIECE_BYTES = 256;
/**
 * Small pieces that are read each millisecond. Each takes some 1.5 µs, so that
 * the ten responses that a usual upstream sends at a time take a sixth of the
 * processor time.
 */
const SMALL_PIECES_PER_MS = 10;
/** Small pieces that are read at once; they take some 6 ms. */
const MAX_SMALL_PIECES_AT_ONCE = 4_096;

/**
 * Small pieces that all bodies together may have each millisecond beyond their own
 * rates, so that a whole answer in small chunks isn't slow while there is time.
 */
const SPARE_PIECES_PER_MS = 50;

/** The limits of the bodies that one process reads. */
export interface PieceLimits {
  /** Creates the limit of one body. */
  create(): RateLimit;
}

/** Creates limits that have a common allowance. */
export function createPieceLimits(clock: { now(): Millis }): PieceLimits {
  const spare = createRateLimit(clock, {
    perMs: SPARE_PIECES_PER_MS,
    atOnce: 0,
  });
  return { create };

  function create(): RateLimit {
    const own = createRateLimit(clock, {
      perMs: SMALL_PIECES_PER_MS,
      atOnce: MAX_SMALL_PIECES_AT_ONCE,
    });
    return {
      add: (amount) => {
        own.add(amount);
        if (own.getWaitMs() > 0) spare.add(Math.max(0, amount));
      },
      getWaitMs: () => Math.min(own.getWaitMs(), spare.getWaitMs()),
    };
  }
}

/** What a piece counts in its limit; less than 0 for a large one, which makes up for small ones. */
export function weighPiece({ length }: Buffer): number {
  return 1 - length / SMALL_PIECE_BYTES;
}
