/**
 * How long it pays to wait for an upstream that is slow at this moment.
 *
 * Load pattern "noisy neighbours": work that starts in a slow spell keeps its
 * speed to the end, and spells are much shorter than what they cost. Spells
 * that last, as of an upstream that is slow for good or cold after its start,
 * are not waited for: what is slow is told beside the best speed of late.
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
/** Readings from which the best one tells the usual speed: all slow by chance is one in 65,000. */
const MIN_BASE_READINGS = 8;

/** The slow spells of one upstream. */
export interface SlowSpells {
  /** Takes a reading: how many times longer than usual work takes. */
  note(slowdown: number, now: Millis): void;
  /** Expected rest of a spell that is worth waiting for, in ms; else 0. */
  getHoldMs(now: Millis): Millis;
  /** How many times longer than usual work takes between the spells. */
  getBase(): number;
}

/** Creates the spells of an upstream that was never slow. */
export function createSlowSpells(): SlowSpells {
  let usualMs = FIRST_SPELL_MS;
  let startedAt: Millis | undefined;
  let readAt: Millis = -Infinity;
  /** Slow readings in a row with gaps between them. */
  let apart = 0;
  /** The best readings of this period and of the one before. */
  let best = Infinity;
  let bestBefore = 1;
  let readings = 0;
  let periodEndsAt: Millis | undefined;
  return { note, getHoldMs, getBase };

  function note(slowdown: number, now: Millis): void {
    const isGap = now - readAt > MAX_GAP_MS;
    readAt = now;
    noteBest(slowdown, now);
    if (slowdown < SLOW_FACTOR * getBase()) return end(now, isGap);
    if (startedAt === undefined || isGap) {
      startedAt = now;
      apart += 1;
    }
  }

  /** A period is as long as a spell that is taken as lasting. */
  function noteBest(slowdown: number, now: Millis): void {
    const before = getBase();
    periodEndsAt ??= now + usualMs * LASTING_FACTOR;
    if (now >= periodEndsAt && readings >= MIN_BASE_READINGS) {
      bestBefore = best;
      best = Infinity;
      readings = 0;
      periodEndsAt = now + usualMs * LASTING_FACTOR;
    }
    best = Math.min(best, slowdown);
    readings += 1;
    // A spell that turned out to be the usual speed teaches no length.
    if (getBase() > before) startedAt = undefined;
  }

  function getBase(): number {
    return Math.max(1, Math.min(best, bestBefore));
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
