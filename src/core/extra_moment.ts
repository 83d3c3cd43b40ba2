/**
 * The moment of an extra attempt, learned for each route of a service: when
 * the expected remaining time of an open attempt exceeds that of a new one, and
 * the attempt is among the slowest, as few as the budget can pay for.
 */

import { USABLE_SHARE } from "./extra_work.ts";
import { createResponseTimes } from "./response_times.ts";
import type { CoreHost, Millis } from "./types.ts";

/** Samples from which a distribution is used; fewer say nothing about a tail. */
const MIN_SAMPLES = 50;
/** Time for which a computed moment is used, in ms. */
const CACHE_MS = 100;
/** Weight of what is assumed before there are results, in results. */
const PRIOR_RESULTS = 3;
/** Age at which the weight of an extra attempt's result has fallen to a half, in ms. */
const RESULT_HALF_LIFE_MS = 60_000;
/** Work set aside for an extra attempt, in expected times; it is cancelled when that is used up. */
const RESERVED_TIMES = 2;
/** Gain of a moment that the budget can pay for, by the best gain, from which it is used. */
const MIN_GAIN_SHARE = 0.5;
/** Weight of the newest moment in the share of reserved work that is spent. */
const SPENDING_SMOOTHING = 0.05;
/** Lower limit of the share of reserved work that is spent; keeps the moment from falling below the slowest tenth for small shares. */
const MIN_SPENDING = 0.1;

/** What is known of an open attempt. */
export interface OpenAttempt {
  readonly elapsedMs: Millis;
  /** Work time by its usual one at the host, by a recent report; 1 without evidence. */
  readonly slowdown: number;
}

/** Result of an extra attempt. */
export interface ExtraResult {
  /** Time for which the extra attempt was open, in ms. */
  readonly tookMs: Millis;
  /** Remaining time of the first attempt as predicted at the start, in ms. */
  readonly predictedMs: Millis;
  readonly isSlowHost: boolean;
  /** The attempt that responded, if any. */
  readonly responded: "extra" | "first" | undefined;
}

/** Learned times and moments of one route. */
export interface ExtraMoment {
  /** Records the time of a first attempt up to its response, or up to its end if an extra one responded. */
  recordTime(ms: Millis): void;
  /** Records the result of an extra attempt. */
  recordResult(result: ExtraResult): void;
  /** Records the part of the needed work that a due moment cost; 1 if the budget could not pay. */
  recordSpending(part: number): void;
  /** Time since sending at which an attempt is due without evidence, in ms; undefined while unknown. */
  tryGetMs(): Millis | undefined;
  /** True if an extra attempt is due for an open attempt now. */
  isDue(open: OpenAttempt): boolean;
  /** Expected time of a new attempt, in ms. */
  getExpectedMs(): Millis;
  /** Expected remaining time of an open attempt, in ms. */
  getRemainingMs(open: OpenAttempt): Millis;
  /** Time for which an extra attempt may be open, in ms. */
  getReservedMs(): Millis;
}

/** A moment, and the time saved per work time if an extra attempt is sent then. */
interface Moment {
  readonly elapsedMs: Millis;
  readonly gain: number;
}

/**
 * The earliest moment that the budget can pay for, unless it is worth much less
 * than the best one. Load pattern "stalls": all slow attempts take about the
 * same time, so that no moment selects a few of them; the budget then pays for
 * as many as it can at the best moment.
 */
function choose(
  paid: Moment | undefined,
  best: Moment | undefined,
): Moment | undefined {
  const isWorthwhile = paid !== undefined && best !== undefined &&
    paid.gain >= best.gain * MIN_GAIN_SHARE;
  return isWorthwhile ? paid : best;
}

/** Creates the moment of a route that has no samples. */
export function createExtraMoment(
  host: Pick<CoreHost, "now">,
  { share }: { readonly share: number },
): ExtraMoment {
  const times = createResponseTimes(host);
  /**
   * Time of a new attempt. If a request's work is long by itself, a repetition
   * takes as long, this time grows, and no more extra attempts are sent.
   */
  const newTimes = createLearnedMean(host, { getPrior: times.getMedianMs });
  /** Actual remaining time at slow hosts, in predicted ones; short slow periods end before. */
  const slowTimes = createLearnedMean(host, { getPrior: () => 1 });
  let spending = 1;
  let cached: Moment | undefined;
  let cachedAt = -Infinity;
  return {
    recordTime: times.record,
    recordResult,
    recordSpending,
    tryGetMs: () => tryGet()?.elapsedMs,
    isDue,
    getExpectedMs: newTimes.get,
    getRemainingMs,
    getReservedMs,
  };

  function recordResult(
    { tookMs, predictedMs, isSlowHost, responded }: ExtraResult,
  ): void {
    newTimes.record(tookMs, responded === "extra");
    if (!isSlowHost || predictedMs <= 0) return;
    slowTimes.record(tookMs / predictedMs, responded === "first");
  }

  function recordSpending(part: number): void {
    spending += SPENDING_SMOOTHING * (part - spending);
  }

  function tryGet(): Moment | undefined {
    if (host.now() - cachedAt >= CACHE_MS) {
      cached = compute();
      cachedAt = host.now();
    }
    return cached;
  }

  function compute(): Moment | undefined {
    if (times.getCount() < MIN_SAMPLES) return undefined;
    const expectedMs = newTimes.get();
    const reservedMs = getReservedMs();
    const paidMs = USABLE_SHARE * share * times.getMeanMs();
    const spent = Math.max(spending, MIN_SPENDING);
    let paid: Moment | undefined;
    let best: Moment | undefined;
    times.forEachEdge(times.getMedianMs(), (elapsedMs, tail) => {
      const neededMs = elapsedMs + reservedMs;
      const gain = (tail.remainingMs - expectedMs) / neededMs;
      if (gain <= 0) return;
      const moment = { elapsedMs, gain };
      if (best === undefined || gain > best.gain) best = moment;
      if (spent * neededMs * tail.share <= paidMs) paid ??= moment;
    });
    return choose(paid, best);
  }

  /**
   * Evidence of a slow host is used as soon as the predicted time of the attempt
   * is that of one which is due without evidence, and as much is gained.
   */
  function isDue(open: OpenAttempt): boolean {
    const due = tryGet();
    if (due === undefined) return false;
    if (open.elapsedMs >= due.elapsedMs) return true;
    const remainingMs = getRemainingMs(open);
    const gain = (remainingMs - newTimes.get()) /
      (open.elapsedMs + getReservedMs());
    return open.slowdown > 1 && gain >= due.gain &&
      open.elapsedMs + remainingMs >= due.elapsedMs;
  }

  function getRemainingMs({ elapsedMs, slowdown }: OpenAttempt): Millis {
    const { remainingMs, share: tailShare } = times.getTail(elapsedMs);
    // Nothing is known of attempts that last longer than all samples.
    const usualMs = tailShare === 0 ? elapsedMs : remainingMs;
    if (slowdown <= 1) return usualMs;
    const slowMs = slowdown * times.getMedianMs() - elapsedMs;
    return Math.max(usualMs, slowMs * slowTimes.get());
  }

  function getReservedMs(): Millis {
    return RESERVED_TIMES * newTimes.get();
  }
}

interface LearnedMean {
  /** Records an amount, and whether its end was observed or it was cut off before. */
  record(amount: number, isComplete: boolean): void;
  get(): number;
}

/** Mean of amounts of which some are cut off: their sum by the number of complete ones. */
function createLearnedMean(
  host: Pick<CoreHost, "now">,
  { getPrior }: { getPrior(): number },
): LearnedMean {
  let total = 0;
  let completeCount = 0;
  let decayedAt = host.now();
  return { record, get };

  function record(amount: number, isComplete: boolean): void {
    decay();
    total += amount;
    if (isComplete) completeCount += 1;
  }

  function get(): number {
    decay();
    const prior = PRIOR_RESULTS * getPrior();
    return (prior + total) / (PRIOR_RESULTS + completeCount);
  }

  function decay(): void {
    const factor = 0.5 ** ((host.now() - decayedAt) / RESULT_HALF_LIFE_MS);
    total *= factor;
    completeCount *= factor;
    decayedAt = host.now();
  }
}
