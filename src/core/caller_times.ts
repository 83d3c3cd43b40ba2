/**
 * Estimates for how long the caller of a request has been waiting when the
 * request arrives. A caller that comes back after a refusal states the time that
 * it still waits, and nothing else tells it from a new one.
 *
 * First tries of a route state similar times: in calm, when nothing came back,
 * they show the range. A request that states less than that has come back.
 */

import type { CoreHost, Millis } from "./types.ts";

/** Stated times that are kept of a route: some seconds of a busy one. */
const SAMPLES = 64;
/** Samples between two evaluations. */
const EVALUATION_INTERVAL = 8;
/** Samples at either end that are taken for exceptions. */
const EXCEPTIONS = 1;
/** Samples from calm that show the range; with fewer it is assumed. */
const MIN_CALM_SAMPLES = 32;
/**
 * Shortest time that first tries state, as a share of the longest, until calm
 * has shown it. On the users' days it is 0.85 on each of five routes.
 */
const ASSUMED_SHORTEST_SHARE = 0.85;
/** Shortest wait that shows a caller that has come back, in ms; the shortest retry-after. */
const MIN_WAIT_MS = 20;
/** Quantile of the stated times that is assumed to be the longest of first tries; fewer callers wait much longer. */
const ASSUMED_QUANTILE = 7 / 8;
/** Routes with a range of their own; all tries on others count as first ones. */
const MAX_ROUTES = 256;

/** Waiting times of callers by route. */
export interface CallerTimes {
  /** Records the time that a caller states; returns how long it has waited before, in ms, 0 for a first try. */
  recordArrival(route: string, statedMs: Millis): Millis;
  /** Records that a try got no answer that ends its request, so that its caller may come back. */
  recordUnserved(route: string): void;
}

/** Times that first tries state, in ms. */
interface StatedRange {
  readonly shortestMs: Millis;
  readonly longestMs: Millis;
}

interface RouteTimes {
  readonly all: Ring;
  readonly calm: Ring;
  range: StatedRange;
  untilEvaluation: number;
  unservedAt: Millis;
}

/** Creates estimates without arrivals. */
export function createCallerTimes(host: Pick<CoreHost, "now">): CallerTimes {
  const routes = new Map<string, RouteTimes>();
  // Callers may come back to a daemon that has just started.
  const startedAt = host.now();
  return { recordArrival, recordUnserved };

  function recordArrival(route: string, statedMs: Millis): Millis {
    const it = routes.get(route) ?? tryAdd(route);
    if (it === undefined) return 0;
    it.all.add(statedMs);
    const isCalm = host.now() - it.unservedAt > it.range.longestMs;
    if (isCalm) it.calm.add(statedMs);
    it.untilEvaluation -= 1;
    if (it.untilEvaluation <= 0 || it.all.size() < SAMPLES) evaluate(it);
    const { shortestMs, longestMs } = it.range;
    // In a wide range most callers are taken for those at its lower end.
    const usualMs = Math.min(longestMs, shortestMs / ASSUMED_SHORTEST_SHARE);
    if (statedMs >= shortestMs - MIN_WAIT_MS) return 0;
    return (shortestMs + usualMs) / 2 - statedMs;
  }

  function recordUnserved(route: string): void {
    const it = routes.get(route);
    if (it !== undefined) it.unservedAt = host.now();
  }

  function tryAdd(route: string): RouteTimes | undefined {
    if (routes.size >= MAX_ROUTES) return undefined;
    const it: RouteTimes = {
      all: createRing(),
      calm: createRing(),
      range: { shortestMs: 0, longestMs: 0 },
      untilEvaluation: 0,
      unservedAt: startedAt,
    };
    routes.set(route, it);
    return it;
  }

  function evaluate(it: RouteTimes): void {
    it.untilEvaluation = EVALUATION_INTERVAL;
    const isKnown = it.calm.size() >= MIN_CALM_SAMPLES;
    const sorted = (isKnown ? it.calm : it.all).getSorted();
    const last = sorted.length - 1;
    const longestMs = sorted[
      isKnown ? last - EXCEPTIONS : Math.floor(last * ASSUMED_QUANTILE)
    ]!;
    const shortestMs = isKnown
      ? sorted[EXCEPTIONS]!
      : longestMs * ASSUMED_SHORTEST_SHARE;
    it.range = { shortestMs, longestMs };
  }
}

/** The newest samples. */
interface Ring {
  add(sample: number): void;
  size(): number;
  getSorted(): number[];
}

function createRing(): Ring {
  const samples: number[] = [];
  let next = 0;
  return {
    add: (sample) => {
      samples[next] = sample;
      next = (next + 1) % SAMPLES;
    },
    size: () => samples.length,
    getSorted: () => [...samples].sort((a, b) => a - b),
  };
}
