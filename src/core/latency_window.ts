/** Percentiles of recent latencies, from two rotating HDR histograms. */

import { build, type Histogram } from "hdr-histogram-js";
import type { CoreHost, Millis } from "./types.ts";

/** Time after which the histograms are rotated, in ms. */
const WINDOW_MS = 5_000;
/** Time for which a computed percentile is cached, in ms. */
const CACHE_MS = 100;
const MICROS_PER_MS = 1000;
/** Upper limit of a recorded latency, in ms. */
const HIGHEST_MS = 60_000;
/** Minimum number of samples for a percentile. */
const MIN_SAMPLES = 20;

/** A sliding window of latencies. */
export interface LatencyWindow {
  record(latencyMs: Millis): void;
  /** The percentile in ms, or undefined if there are too few samples. */
  tryGetPercentile(percentile: number): Millis | undefined;
}

/** Creates an empty window. */
export function createLatencyWindow(host: CoreHost): LatencyWindow {
  let current = createHistogram();
  let previous = createHistogram();
  let rotatedAt = host.now();
  const cache = new Map<number, { value: Millis | undefined; at: Millis }>();
  return { record, tryGetPercentile };

  function record(latencyMs: Millis): void {
    rotate();
    const micros = Math.round(latencyMs * MICROS_PER_MS);
    current.recordValue(
      Math.min(Math.max(1, micros), HIGHEST_MS * MICROS_PER_MS),
    );
  }

  function tryGetPercentile(percentile: number): Millis | undefined {
    rotate();
    const cached = cache.get(percentile);
    if (cached !== undefined && host.now() - cached.at < CACHE_MS) {
      return cached.value;
    }
    const value = computePercentile(percentile);
    cache.set(percentile, { value, at: host.now() });
    return value;
  }

  function computePercentile(percentile: number): Millis | undefined {
    const source = current.totalCount >= MIN_SAMPLES ? current : previous;
    if (source.totalCount < MIN_SAMPLES) return undefined;
    return source.getValueAtPercentile(percentile) / MICROS_PER_MS;
  }

  function rotate(): void {
    if (host.now() - rotatedAt < WINDOW_MS) return;
    rotatedAt = host.now();
    [current, previous] = [previous, current];
    current.reset();
  }
}

function createHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST_MS * MICROS_PER_MS,
    numberOfSignificantValueDigits: 2,
    useWebAssembly: false,
  });
}
