/** HDR histograms of latency by phase of a request, exported as Prometheus summaries. */

import { build, type Histogram } from "hdr-histogram-js";
import type { Millis } from "../core/types.ts";

const MICROS_PER_MS = 1_000;
const MICROS_PER_S = 1_000_000;
const HIGHEST_MICROS = 600_000_000;
const QUANTILES = [0.5, 0.9, 0.99, 0.999] as const;
/** Series of one phase at most, each some 20 KB; further label values share the series `other`. */
const MAX_SERIES = 64;
const OTHER = "other";

/** The part of a request that a latency covers. */
export enum Phase {
  /** From arrival of a request to the head of its response. */
  Response = "answer",
  /** From arrival of a request to the start of the attempt that got the response. */
  Placing = "placing",
  /** From start of an attempt to the head of its response, measured at the gateway. */
  Attempt = "attempt",
  /** From receipt of a request at the guard to its start. */
  Queue = "queue",
  /** From start at the local upstream to its response. */
  Upstream = "upstream",
  /** Expected time saved by an extra attempt that responded first. */
  Saved = "extra_saved",
}

const HELP: Record<Phase, string> = {
  [Phase.Response]: "Time from a request's arrival to its answer's head.",
  [Phase.Placing]:
    "Time from a request's arrival to the start of the answered attempt.",
  [Phase.Attempt]: "Time from an attempt's start to its answer's head.",
  [Phase.Queue]: "Time that requests waited at the guard.",
  [Phase.Upstream]: "Time from a start at the local upstream to its answer.",
  [Phase.Saved]: "Expected time saved by an extra attempt that won.",
};

/** Labels of a series; values are names from settings and configuration. */
export type Labels = Readonly<Record<string, string>>;

/** Latency histograms of one daemon. */
export interface LatencyMetrics {
  record(phase: Phase, labels: Labels, latencyMs: Millis): void;
  /** All series in Prometheus' text format. */
  format(): string;
}

interface Series {
  readonly histogram: Histogram;
  sumMs: Millis;
}

/** Creates metrics without series. */
export function createLatencyMetrics(): LatencyMetrics {
  const phases = new Map<Phase, Map<string, Series>>();
  return { record, format };

  function record(phase: Phase, labels: Labels, latencyMs: Millis): void {
    const series = getSeries(phase, labels);
    const micros = Math.max(1, Math.round(latencyMs * MICROS_PER_MS));
    series.histogram.recordValue(Math.min(micros, HIGHEST_MICROS));
    series.sumMs += latencyMs;
  }

  function getSeries(phase: Phase, labels: Labels): Series {
    let all = phases.get(phase);
    if (all === undefined) phases.set(phase, all = new Map());
    const key = formatLabels(labels);
    const existing = all.get(key);
    if (existing !== undefined) return existing;
    if (all.size >= MAX_SERIES && !Object.values(labels).includes(OTHER)) {
      const names = Object.keys(labels).map((name) => [name, OTHER]);
      return getSeries(phase, Object.fromEntries(names));
    }
    const created = { histogram: createHistogram(), sumMs: 0 };
    all.set(key, created);
    return created;
  }

  function format(): string {
    const lines: string[] = [];
    for (const [phase, all] of phases) {
      const name = `vanillarock_${phase}_seconds`;
      lines.push(`# HELP ${name} ${HELP[phase]}`, `# TYPE ${name} summary`);
      for (const [labels, series] of all) {
        lines.push(...formatSeries(name, labels, series));
      }
    }
    return `${lines.join("\n")}\n`;
  }
}

function createHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST_MICROS,
    numberOfSignificantValueDigits: 2,
  });
}

function formatLabels(labels: Labels): string {
  return Object.entries(labels)
    .map(([name, value]) => `${name}=${JSON.stringify(value)}`)
    .join(",");
}

function formatSeries(
  name: string,
  labels: string,
  { histogram, sumMs }: Series,
): string[] {
  const lines = QUANTILES.map((quantile) => {
    const micros = histogram.getValueAtPercentile(quantile * 100);
    const seconds = micros / MICROS_PER_S;
    return `${name}{${labels},quantile="${quantile}"} ${seconds}`;
  });
  lines.push(`${name}_sum{${labels}} ${sumMs / 1_000}`);
  lines.push(`${name}_count{${labels}} ${histogram.totalCount}`);
  return lines;
}
