/** The operators' endpoint: health, readiness, status, explanations and metrics. */

import { Hono } from "hono";
import type { HttpEnv } from "./http_server.ts";
import { type CounterSet, formatCounters } from "./metrics_text.ts";
import {
  type ExplainQuery,
  readExplainQuery,
  type RequestExplanation,
} from "./request_explanation.ts";
import type { LatencyMetrics } from "./latency_metrics.ts";

/** The status that a daemon shows to operators. */
export interface DaemonStatus {
  readonly host: string;
  readonly incarnation: string;
  readonly service: string;
  readonly failureDomain: string;
  readonly ready: boolean;
  readonly draining: boolean;
  readonly watchingPlatform: boolean;
  readonly revisions: Readonly<Record<string, number>>;
  readonly accounts: readonly string[];
  readonly members: readonly {
    host: string;
    service: string;
    failureDomain: string;
    leaving: boolean;
    /** Age of the member's newest announcement, in ms; null if none has arrived. */
    wordAgeMs: number | null;
  }[];
  readonly open: { gateway: number; guard: number };
  /** Highest sequence number of an idempotency key whose record was evicted. */
  readonly keyHorizon: number;
  /** Bytes of the control messages sent and received. */
  readonly controlBytes: number;
  readonly counters: Readonly<Record<string, number>>;
}

/** Settings of the endpoint. */
export interface OperatorServerOptions {
  readonly counters: readonly CounterSet[];
  readonly latencies: LatencyMetrics;
  getStatus(): DaemonStatus;
  explain(query: ExplainQuery): RequestExplanation;
}

/** Creates the operators' application. */
export function createOperatorApp(
  options: OperatorServerOptions,
): Hono<HttpEnv> {
  const app = new Hono<HttpEnv>();
  app.get("/health", (c) => c.json({ alive: true }));
  app.get("/ready", (c) => {
    const { ready, draining } = options.getStatus();
    const isReady = ready && !draining;
    return c.json({ ready: isReady }, isReady ? 200 : 503);
  });
  app.get("/status", (c) => c.json(options.getStatus()));
  app.get("/explain", (c) => {
    const query = readExplainQuery(c.req.query());
    if (typeof query === "string") return c.json({ message: query }, 400);
    if (query.account === undefined && query.hostname === undefined) {
      return c.json({ message: "account or hostname is required" }, 400);
    }
    return c.json(options.explain(query));
  });
  app.get("/metrics", (c) => {
    const text = formatDaemonMetrics(options) + options.latencies.format();
    return c.text(text, 200, { "content-type": "text/plain; version=0.0.4" });
  });
  return app;
}

function formatDaemonMetrics(options: OperatorServerOptions): string {
  const lines = formatCounters(options.counters);
  const { open, ready } = options.getStatus();
  lines.push(
    "# HELP vanillarock_open Requests in hand by role.",
    "# TYPE vanillarock_open gauge",
    `vanillarock_open{role="gateway"} ${open.gateway}`,
    `vanillarock_open{role="guard"} ${open.guard}`,
    "# HELP vanillarock_ready Whether the daemon takes requests.",
    "# TYPE vanillarock_ready gauge",
    `vanillarock_ready ${ready ? 1 : 0}`,
  );
  return `${lines.join("\n")}\n`;
}
