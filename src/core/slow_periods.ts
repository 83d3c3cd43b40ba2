/**
 * Estimates how long it is worth delaying work while an upstream is slow.
 *
 * Load pattern "noisy neighbours": work that starts in a slow period stays slow
 * until the work ends, even if the period ends sooner. Slow periods are much
 * shorter than the time that this costs.
 * Persistent slowness, as of an upstream that is permanently slow or cold after
 * its start, is not waited for: a reading counts as slow only relative to the
 * best recent one.
 */

import type { Millis } from "./types.ts";

/** Multiple of the base slowdown from which an upstream counts as slow. */
export const SLOW_FACTOR = 1.5;
/** Length of a slow period before the first sample, in ms. */
const INITIAL_PERIOD_MS = 150;
/** Weight of the newest slow period; the mean covers about the last five. */
const PERIOD_SMOOTHING = 0.2;
/** Multiple of the typical length from which a slow period counts as persistent. */
const PERSISTENT_FACTOR = 4;
/** Slow readings in a row, separated by gaps, from which slowness counts as persistent. */
const PERSISTENT_READINGS = 4;
/** Readings further apart may belong to different slow periods, in ms. */
const MAX_READING_GAP_MS = 100;
/** Readings in a base window, at least: the chance that all of them are slow is one in 65,000. */
const MIN_BASE_READINGS = 8;

/** Slow periods of one upstream. */
export interface SlowPeriods {
  /** Records a reading of the service time as a multiple of the usual one. */
  observe(slowdown: number, now: Millis): void;
  /** Expected remaining length of a slow period that is worth waiting for, in ms; else 0. */
  getStartDelayMs(now: Millis): Millis;
  /** Slowdown outside slow periods. */
  getBase(): number;
}

/** Creates the estimates for an upstream without readings. */
export function createSlowPeriods(): SlowPeriods {
  let typicalMs = INITIAL_PERIOD_MS;
  let startedAt: Millis | undefined;
  let readAt: Millis = -Infinity;
  /** Slow readings in a row that began a period or followed a gap. */
  let separateReadings = 0;
  /** Lowest slowdown in the current base window and in the previous one. */
  let currentBest = Infinity;
  let previousBest = 1;
  let windowReadings = 0;
  let windowEndsAt: Millis | undefined;
  return { observe, getStartDelayMs, getBase };

  function observe(slowdown: number, now: Millis): void {
    const isGap = now - readAt > MAX_READING_GAP_MS;
    readAt = now;
    updateBase(slowdown, now);
    if (slowdown < SLOW_FACTOR * getBase()) return endPeriod(now, isGap);
    if (startedAt === undefined || isGap) {
      startedAt = now;
      separateReadings += 1;
    }
  }

  /** A base window is as long as a slow period that counts as persistent. */
  function updateBase(slowdown: number, now: Millis): void {
    const before = getBase();
    windowEndsAt ??= now + typicalMs * PERSISTENT_FACTOR;
    if (now >= windowEndsAt && windowReadings >= MIN_BASE_READINGS) {
      previousBest = currentBest;
      currentBest = Infinity;
      windowReadings = 0;
      windowEndsAt = now + typicalMs * PERSISTENT_FACTOR;
    }
    currentBest = Math.min(currentBest, slowdown);
    windowReadings += 1;
    // A rise of the base means that the readings were at normal speed: discard the period.
    if (getBase() > before) startedAt = undefined;
  }

  function getBase(): number {
    return Math.max(1, Math.min(currentBest, previousBest));
  }

  function endPeriod(now: Millis, isGap: boolean): void {
    separateReadings = 0;
    if (startedAt === undefined) return;
    const lengthMs = Math.min(now - startedAt, typicalMs * PERSISTENT_FACTOR);
    startedAt = undefined;
    // After a gap the time at which the period ended is unknown.
    if (!isGap) typicalMs += PERIOD_SMOOTHING * (lengthMs - typicalMs);
  }

  function getStartDelayMs(now: Millis): Millis {
    if (startedAt === undefined) return 0;
    const isPersistent = separateReadings >= PERSISTENT_READINGS ||
      now - startedAt > typicalMs * PERSISTENT_FACTOR;
    return isPersistent ? 0 : typicalMs / 2;
  }
}
