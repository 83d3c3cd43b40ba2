/**
 * Learned distribution of response times: a histogram with logarithmic buckets,
 * in which old samples lose their weight.
 */

import type { CoreHost, Millis } from "./types.ts";

/** Buckets for each doubling of the time; a bucket is 9% wide. */
const BUCKETS_PER_DOUBLING = 8;
/** Lower edge of the first bucket, in ms. */
const LOWEST_MS = 0.5;
/** Number of buckets; the last one starts at 131 s, above all request timeouts. */
const BUCKET_COUNT = 18 * BUCKETS_PER_DOUBLING + 1;
/** Age at which the weight of a sample has fallen to a half, in ms. */
const HALF_LIFE_MS = 60_000;
/** Weight of a new sample from which all weights are scaled down; keeps them exact. */
const MAX_WEIGHT = 1e6;

/** The attempts that last longer than a given time. */
export interface Tail {
  /** Share of attempts that last longer. */
  readonly share: number;
  /** Mean remaining time of these attempts, in ms; Infinity if no sample was that long. */
  readonly remainingMs: Millis;
}

/** A distribution of response times. */
export interface ResponseTimes {
  record(ms: Millis): void;
  /** Sum of the samples' weights; a new sample has weight 1. */
  getCount(): number;
  getMeanMs(): Millis;
  getMedianMs(): Millis;
  getTail(elapsedMs: Millis): Tail;
  /** Visits the bucket edges from `fromMs` up to the longest sample. */
  forEachEdge(
    fromMs: Millis,
    visit: (elapsedMs: Millis, tail: Tail) => void,
  ): void;
}

/** Creates an empty distribution. */
export function createResponseTimes(
  host: Pick<CoreHost, "now">,
): ResponseTimes {
  const weights = new Array<number>(BUCKET_COUNT).fill(0);
  const sums = new Array<Millis>(BUCKET_COUNT).fill(0);
  /** Time at which a new sample has weight 1 in the arrays, in ms. */
  let scaledAt = host.now();
  return { record, getCount, getMeanMs, getMedianMs, getTail, forEachEdge };

  /** A growing weight of new samples has the effect of a decay of all old ones. */
  function record(ms: Millis): void {
    if (getWeight() > MAX_WEIGHT) rescale();
    const index = getIndex(ms);
    weights[index]! += getWeight();
    sums[index]! += getWeight() * ms;
  }

  function getWeight(): number {
    return 2 ** ((host.now() - scaledAt) / HALF_LIFE_MS);
  }

  function rescale(): void {
    const factor = getWeight();
    for (let i = 0; i < BUCKET_COUNT; i++) {
      weights[i]! /= factor;
      sums[i]! /= factor;
    }
    scaledAt = host.now();
  }

  function getCount(): number {
    return sum(weights) / getWeight();
  }

  function getMeanMs(): Millis {
    return sum(sums) / sum(weights);
  }

  function getMedianMs(): Millis {
    const half = sum(weights) / 2;
    let below = 0;
    const index = weights.findIndex((weight) => (below += weight) >= half);
    return sums[index]! / weights[index]!;
  }

  function getTail(elapsedMs: Millis): Tail {
    return getTailFrom(getIndex(elapsedMs) + 1, elapsedMs);
  }

  function getTailFrom(first: number, elapsedMs: Millis): Tail {
    let weight = 0;
    let total = 0;
    for (let i = first; i < BUCKET_COUNT; i++) {
      weight += weights[i]!;
      total += sums[i]!;
    }
    return weight === 0 ? { share: 0, remainingMs: Infinity } : {
      share: weight / sum(weights),
      remainingMs: Math.max(0, total / weight - elapsedMs),
    };
  }

  function forEachEdge(
    fromMs: Millis,
    visit: (elapsedMs: Millis, tail: Tail) => void,
  ): void {
    for (let i = getIndex(fromMs) + 1; i < BUCKET_COUNT; i++) {
      const edgeMs = LOWEST_MS * 2 ** (i / BUCKETS_PER_DOUBLING);
      const tail = getTailFrom(i, edgeMs);
      if (tail.share === 0) return;
      visit(edgeMs, tail);
    }
  }
}

function getIndex(ms: Millis): number {
  const index = Math.floor(
    Math.log2(Math.max(ms, LOWEST_MS) / LOWEST_MS) * BUCKETS_PER_DOUBLING,
  );
  return Math.min(index, BUCKET_COUNT - 1);
}

function sum(values: readonly number[]): number {
  let total = 0;
  for (const value of values) total += value;
  return total;
}
