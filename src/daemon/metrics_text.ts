/** Counters, gauges and latencies in Prometheus' text format. */

import type { Counters } from "../core/counters.ts";
import type { LatencyMetrics } from "./latency_metrics.ts";

/** Counters of one role. */
export interface CounterSet {
  readonly role: string;
  readonly counters: Counters;
}

/** A gauge, a value that can go up and down. */
export interface Gauge {
  /** Name without the prefix, with its unit. */
  readonly name: string;
  readonly help: string;
  readonly value: number;
}

/** Formats all metrics of a daemon. */
export function formatMetrics(
  sets: readonly CounterSet[],
  gauges: readonly Gauge[],
  latencies: LatencyMetrics,
): string {
  const lines = [...formatCounters(sets), ...gauges.flatMap(formatGauge)];
  return `${lines.join("\n")}\n${latencies.format()}`;
}

/** Formats counters; returns the lines. */
export function formatCounters(sets: readonly CounterSet[]): string[] {
  const lines = [
    "# HELP vanillarock_events_total Events by role and reason.",
    "# TYPE vanillarock_events_total counter",
  ];
  for (const { role, counters } of sets) {
    counters.forEachCounter((name, value) => {
      const labels = `role="${role}",reason="${name}"`;
      lines.push(`vanillarock_events_total{${labels}} ${value}`);
    });
  }
  return lines;
}

function formatGauge({ name, help, value }: Gauge): string[] {
  const full = `vanillarock_${name}`;
  return [`# HELP ${full} ${help}`, `# TYPE ${full} gauge`, `${full} ${value}`];
}
