/** HDR latencies by service, shown as a Prometheus summary. */

import { build, type Histogram } from "hdr-histogram-js";

const MICROS_PER_MS = 1_000;
const HIGHEST_MICROS = 600_000_000;
const QUANTILES = [0.5, 0.9, 0.99, 0.999] as const;

/** Latencies of answered requests. */
export interface LatencyMetrics {
  record(service: string, latencyMs: number): void;
  /** Prometheus text. */
  format(): string;
}

/** Creates empty metrics. */
export function createLatencyMetrics(): LatencyMetrics {
  const histograms = new Map<string, Histogram>();
  const sums = new Map<string, number>();
  return { record, format };

  function record(service: string, latencyMs: number): void {
    let histogram = histograms.get(service);
    if (histogram === undefined) {
      histogram = build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: HIGHEST_MICROS,
        numberOfSignificantValueDigits: 2,
      });
      histograms.set(service, histogram);
    }
    const micros = Math.max(1, Math.round(latencyMs * MICROS_PER_MS));
    histogram.recordValue(Math.min(micros, HIGHEST_MICROS));
    sums.set(service, (sums.get(service) ?? 0) + latencyMs);
  }

  function format(): string {
    const name = "vanillarock_answer_seconds";
    const lines = [
      `# HELP ${name} Time from a request's arrival to its answer's head.`,
      `# TYPE ${name} summary`,
    ];
    for (const [service, histogram] of histograms) {
      for (const quantile of QUANTILES) {
        const micros = histogram.getValueAtPercentile(quantile * 100);
        const labels = `service="${service}",quantile="${quantile}"`;
        lines.push(`${name}{${labels}} ${micros / 1_000_000}`);
      }
      const sum = (sums.get(service) ?? 0) / 1_000;
      lines.push(`${name}_sum{service="${service}"} ${sum}`);
      lines.push(`${name}_count{service="${service}"} ${histogram.totalCount}`);
    }
    return `${lines.join("\n")}\n`;
  }
}
