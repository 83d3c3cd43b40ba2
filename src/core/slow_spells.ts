/**
 * How long it pays to wait for an upstream that is slow at this moment.
 *
 * Load pattern "noisy neighbours": work that starts in a slow spell keeps its
 * speed to the end, and spells are much shorter than what they cost. Spells
 * that last, as of an upstream that is slow for good, are not waited for.
 */

import type { Millis } from "./types.ts";

/** Work this many times slower than usual is worth a wait. */
export const SLOW_FACTOR = 1.5;
/** Length of a spell before any was seen, in ms. */
const FIRST_SPELL_MS = 150;
/** Weight of the newest spell; some five spells decide. */
const SPELL_SMOOTHING = 0.2;
/** A spell this many times longer than usual is taken as lasting. */
const LASTING_FACTOR = 4;
/** Slow readings in a row, apart from each other, that are taken as lasting. */
const LASTING_READINGS = 4;
/** Readings further apart may belong to different spells, in ms. */
const MAX_GAP_MS = 100;

/** The slow spells of one upstream. */
export interface SlowSpells {
  /** Takes a reading: how many times longer than usual work takes. */
  note(slowdown: number, now: Millis): void;
  /** Expected rest of a spell that is worth waiting for, in ms; else 0. */
  getHoldMs(now: Millis): Millis;
}

/** Creates the spells of an upstream that was never slow. */
export function createSlowSpells(): SlowSpells {
  let usualMs = FIRST_SPELL_MS;
  let startedAt: Millis | undefined;
  let readAt: Millis = -Infinity;
  /** Slow readings in a row with gaps between them. */
  let apart = 0;
  return { note, getHoldMs };

  function note(slowdown: number, now: Millis): void {
    const isGap = now - readAt > MAX_GAP_MS;
    readAt = now;
    if (slowdown < SLOW_FACTOR) return end(now, isGap);
    if (startedAt === undefined || isGap) {
      startedAt = now;
      apart += 1;
    }
  }

  function end(now: Millis, isGap: boolean): void {
    apart = 0;
    if (startedAt === undefined) return;
    const lengthMs = Math.min(now - startedAt, usualMs * LASTING_FACTOR);
    startedAt = undefined;
    // After a gap nothing is known of when the spell ended.
    if (!isGap) usualMs += SPELL_SMOOTHING * (lengthMs - usualMs);
  }

  function getHoldMs(now: Millis): Millis {
    if (startedAt === undefined) return 0;
    const isLasting = apart >= LASTING_READINGS ||
      now - startedAt > usualMs * LASTING_FACTOR;
    return isLasting ? 0 : usualMs / 2;
  }
}
