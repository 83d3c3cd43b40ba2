/** Percentiles of recent latencies, from two HDR histograms that take turns. */

import { build, type Histogram } from "hdr-histogram-js";
import type { CoreHost, Millis } from "./types.ts";

const WINDOW_MS = 5_000;
/** How long a computed percentile is used again, in ms. */
const CACHE_MS = 100;
const MICROS_PER_MS = 1000;
const HIGHEST_MS = 60_000;
const MIN_SAMPLES = 20;

/** A window of latencies. */
export interface LatencyWindow {
  record(latencyMs: Millis): void;
  /** The percentile in ms, or undefined with too few samples. */
  tryGetPercentile(percentile: number): Millis | undefined;
}

/** Creates an empty window. */
export function createLatencyWindow(host: CoreHost): LatencyWindow {
  let current = createHistogram();
  let previous = createHistogram();
  let turnedAt = host.now();
  const cache = new Map<number, { value: Millis | undefined; at: Millis }>();
  return { record, tryGetPercentile };

  function record(latencyMs: Millis): void {
    turn();
    const micros = Math.round(latencyMs * MICROS_PER_MS);
    current.recordValue(
      Math.min(Math.max(1, micros), HIGHEST_MS * MICROS_PER_MS),
    );
  }

  function tryGetPercentile(percentile: number): Millis | undefined {
    turn();
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

  function turn(): void {
    if (host.now() - turnedAt < WINDOW_MS) return;
    turnedAt = host.now();
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
