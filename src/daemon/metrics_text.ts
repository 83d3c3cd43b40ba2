/** Counters and latencies in Prometheus' text format. */

import type { Counters } from "../core/counters.ts";
import type { LatencyMetrics } from "./latency_metrics.ts";

/** Counters of one role. */
export interface CounterSet {
  readonly role: string;
  readonly counters: Counters;
}

/** All metrics of a daemon. */
export function formatMetrics(
  sets: readonly CounterSet[],
  latencies: LatencyMetrics,
): string {
  return `${formatCounters(sets).join("\n")}\n${latencies.format()}`;
}

/** Counters, one line each. */
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
