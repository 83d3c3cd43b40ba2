/**
 * Learns how many of its slots an upstream can use before it slows down.
 *
 * Load pattern "slots that slow": some upstreams run each request that starts
 * beside many others more slowly, others are as fast with all slots in use. A
 * fixed share of the slots either slows the first or wastes capacity of the
 * second. The limit starts at a share that suits most upstreams. While requests
 * need it, one more slot is on trial; it is kept if requests that start in it
 * take their usual time.
 */

import type { CoreHost, Millis } from "./types.ts";

/** Share of the slots that is used before anything is learned. */
const INITIAL_SHARE = 0.8;
/** Multiple of the usual service time from which a slot slows its requests. */
const SLOW_RATIO = 1.15;
/** Standard deviation of service times as a share of their mean. */
const SPREAD = 0.35;
/** Requests in a slot until it can be judged as slow. */
const MIN_SLOW_SAMPLES = 4;
/** Requests in a slot until it can be judged as good. */
const MIN_GOOD_SAMPLES = 8;
/** Requests that start in a slot on trial for each one that ended there, beside the first ones. */
const STARTS_PER_SAMPLE = 2;
/**
 * Largest ratio that a single request counts with. Load pattern "slow periods
 * that begin during a run": one in twenty requests takes several times its usual
 * time whatever slot it is in, and would rule its slot out for a minute.
 */
const MAX_RATIO = 2;
/** Weight of the newest sample once there are enough. */
const SMOOTHING = 0.1;
/** Time until a slot that slowed its requests is tried again, in ms. */
const RETRY_MS = 60_000;
/** Share of the slots beyond the limit that short requests may use: they occupy them only briefly. */
const SHORT_WORK_SHARE = 0.5;

/** Slots of one upstream that its guard fills. */
export interface SlotLimit {
  /** Slots for any request, including one on trial, of those that the upstream has. */
  getUsable(slots: number): number;
  /** As above for short requests. */
  getUsableForShortWork(slots: number): number;
  /** Slots that are known not to slow requests. */
  getKnownGood(slots: number): number;
  /**
   * Records that a request started; `running` is the number of requests then,
   * including itself.
   */
  recordStart(running: number): void;
  /**
   * Records the time of a request as a multiple of the usual one.
   * `running` is the number of requests when it started, including itself.
   */
  recordTime(running: number, ratio: number): void;
}

/** Requests that started beside a given number of others. */
interface Level {
  starts: number;
  samples: number;
  meanRatio: number;
  /** True if its requests take longer than usual. */
  isSlow: boolean;
  /** Time at which the level is tried again unless it is good by then, in ms. */
  readonly retryAt: Millis;
}

/** Creates a limit that knows nothing of its upstream yet. */
export function createSlotLimit(host: Pick<CoreHost, "now">): SlotLimit {
  /** By number of running requests. */
  const levels = new Map<number, Level>();
  return {
    getUsable,
    getUsableForShortWork,
    getKnownGood,
    recordStart,
    recordTime,
  };

  function getKnownGood(slots: number): number {
    let limit = Math.max(1, Math.floor(slots * INITIAL_SHARE));
    while (limit < slots && isGood(limit + 1)) limit += 1;
    return limit;
  }

  function getUsable(slots: number): number {
    const limit = getKnownGood(slots);
    return limit < slots && mayTry(limit + 1) ? limit + 1 : limit;
  }

  function getUsableForShortWork(slots: number): number {
    const limit = getKnownGood(slots);
    const spare = Math.ceil((slots - limit) * SHORT_WORK_SHARE);
    return Math.max(getUsable(slots), limit + spare);
  }

  function isGood(running: number): boolean {
    const level = levels.get(running);
    return level !== undefined && !level.isSlow &&
      level.samples >= MIN_GOOD_SAMPLES;
  }

  function mayTry(running: number): boolean {
    const level = levels.get(running);
    if (level === undefined || host.now() >= level.retryAt) return true;
    const maxStarts = MIN_SLOW_SAMPLES + STARTS_PER_SAMPLE * level.samples;
    return !level.isSlow && level.starts < maxStarts;
  }

  function recordStart(running: number): void {
    const level = levels.get(running);
    const isOver = level !== undefined && !isGood(running) &&
      host.now() >= level.retryAt;
    if (level !== undefined && !isOver) level.starts += 1;
    else {
      levels.set(running, {
        starts: 1,
        samples: 0,
        meanRatio: 0,
        isSlow: false,
        retryAt: host.now() + RETRY_MS,
      });
    }
  }

  function recordTime(running: number, ratio: number): void {
    const level = levels.get(running);
    if (level === undefined) return;
    level.samples += 1;
    const weight = Math.max(SMOOTHING, 1 / level.samples);
    const counted = Math.min(ratio, MAX_RATIO);
    level.meanRatio += weight * (counted - level.meanRatio);
    if (level.samples < MIN_SLOW_SAMPLES) return;
    const error = SPREAD / Math.sqrt(Math.min(level.samples, MIN_GOOD_SAMPLES));
    if (level.meanRatio - error >= SLOW_RATIO) level.isSlow = true;
  }
}
