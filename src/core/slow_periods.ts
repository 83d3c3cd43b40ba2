/**
 * Estimates how long it is worth delaying work while an upstream is slow.
 *
 * Load pattern "noisy neighbours": work that starts in a slow period stays slow
 * until the work ends, even if the period ends sooner. Slow periods are much
 * shorter than the time that this costs.
 * Persistent slowness, as of an upstream that is permanently slow or cold after
 * its start, is not waited for: a reading counts as slow only relative to the
 * best recent one. The first readings count as the base, as a whole fleet may
 * start cold.
 *
 * Load pattern "long slow periods": periods last from 50 ms to some seconds, and
 * hosts that are avoided while slow are read rarely. The length is learned from
 * the readings on both sides of each period, and slowness counts as persistent
 * only after several times that length.
 */

import type { Millis } from "./types.ts";

/** Multiple of the base slowdown from which an upstream counts as slow. */
export const SLOW_FACTOR = 1.5;
/** Length of a slow period before the first sample, in ms. */
const INITIAL_PERIOD_MS = 150;
/** Weight of the newest slow period, once there are enough; the mean covers about the last five. */
const PERIOD_SMOOTHING = 0.2;
/** Multiple of the typical length from which a slow period counts as persistent. */
const PERSISTENT_FACTOR = 4;
/** Length of a single period as a share of the mean, which includes periods that follow each other directly. */
const USUAL_LENGTH_SHARE = 0.75;
/** Shortest expected remainder of a period as a share of the mean length. */
const MIN_REMAINING_SHARE = 1 / 4;
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
  /** True for a slowdown that only a slow period has; a cold upstream is not in one. */
  isSlow(slowdown: number): boolean;
}

/** Consecutive slow readings. */
interface SlowRun {
  /** Time of the reading before the first slow one, in ms. */
  readonly readBeforeAt: Millis;
  readonly startedAt: Millis;
  /** Number of readings that are at least the typical length apart. */
  separateReadings: number;
  lastSeparateAt: Millis;
  /** True if there was a gap long enough for a whole period at normal speed. */
  hasGap: boolean;
}

/** Creates the estimates for an upstream without readings. */
export function createSlowPeriods(): SlowPeriods {
  let typicalMs = INITIAL_PERIOD_MS;
  let learnedPeriods = 0;
  let run: SlowRun | undefined;
  let readAt: Millis = -Infinity;
  /** Lowest slowdown in the current base window and in the previous one. */
  let currentBest = Infinity;
  let previousBest = Infinity;
  let windowReadings = 0;
  let windowEndsAt: Millis | undefined;
  return { observe, getStartDelayMs, getBase, isSlow };

  function observe(slowdown: number, now: Millis): void {
    updateBase(slowdown, now);
    if (isSlow(slowdown)) extendRun(now);
    else endRun(now);
    readAt = now;
  }

  /** A base window is as long as a slow period that counts as persistent. */
  function updateBase(slowdown: number, now: Millis): void {
    const before = windowReadings === 0 && previousBest === Infinity
      ? Infinity
      : getBase();
    windowEndsAt ??= now + typicalMs * PERSISTENT_FACTOR;
    if (now >= windowEndsAt && windowReadings >= MIN_BASE_READINGS) {
      previousBest = currentBest;
      currentBest = Infinity;
      windowReadings = 0;
      windowEndsAt = now + typicalMs * PERSISTENT_FACTOR;
    }
    currentBest = Math.min(currentBest, slowdown);
    windowReadings += 1;
    // A rise of the base means that the readings were at normal speed: discard the run.
    if (getBase() > before) run = undefined;
  }

  function getBase(): number {
    const best = Math.min(currentBest, previousBest);
    return best === Infinity ? 1 : Math.max(1, best);
  }

  function isSlow(slowdown: number): boolean {
    return slowdown >= SLOW_FACTOR * getBase();
  }

  function extendRun(now: Millis): void {
    run ??= {
      readBeforeAt: readAt,
      startedAt: now,
      separateReadings: 1,
      lastSeparateAt: now,
      hasGap: false,
    };
    if (now - readAt > typicalMs && now > run.startedAt) run.hasGap = true;
    if (now - run.lastSeparateAt < typicalMs) return;
    run.separateReadings += 1;
    run.lastSeparateAt = now;
  }

  /** Learns the length of the period that has ended if the readings around it show it. */
  function endRun(now: Millis): void {
    if (run === undefined) return;
    const { startedAt, readBeforeAt, hasGap } = run;
    run = undefined;
    const unseenMs = startedAt - readBeforeAt + now - readAt;
    if (hasGap || unseenMs > typicalMs) return;
    const lengthMs = readAt - startedAt + unseenMs / 2;
    learnedPeriods += 1;
    const weight = Math.max(PERIOD_SMOOTHING, 1 / (learnedPeriods + 1));
    typicalMs += weight *
      (Math.min(lengthMs, typicalMs * PERSISTENT_FACTOR) - typicalMs);
  }

  function getStartDelayMs(now: Millis): Millis {
    if (run === undefined || run.separateReadings > PERSISTENT_FACTOR) return 0;
    const elapsedMs = now - run.startedAt;
    return Math.max(
      USUAL_LENGTH_SHARE * typicalMs - elapsedMs,
      MIN_REMAINING_SHARE * typicalMs,
    );
  }
}
