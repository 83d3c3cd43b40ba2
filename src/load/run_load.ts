/**
 * Generates open-loop load: send times are a seeded Poisson process and do not
 * depend on responses, and latency counts from the scheduled send time, so that
 * the results include the time that requests wait behind a slow system.
 */

import { Buffer } from "node:buffer";
import { performance } from "node:perf_hooks";
import { build, type Histogram } from "hdr-histogram-js";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { Pool } from "undici";
import { Header } from "../link/wire.ts";
import { getHeader } from "../link/http_headers.ts";
import type { RequestKind, TrafficMix } from "./mixes.ts";

const MICROS_PER_MS = 1_000;
const MS_PER_SECOND = 1_000;
const PERCENTILES = [50, 75, 90, 95, 99, 99.5, 99.9, 99.99, 100] as const;
const CONNECTIONS_PER_TARGET = 256;
/** Timers may fire late by this time; the end of a wait is polled instead. */
const TIMER_SLACK_MS = 1.5;

/** Options of a load run. */
export interface LoadOptions {
  /** Addresses of the daemons' caller listeners, used in turn. */
  readonly targets: readonly string[];
  readonly mix: TrafficMix;
  readonly perSecond: number;
  readonly seconds: number;
  readonly seed: number;
  readonly timeoutMs: number;
  /** Addresses of the daemons' operator listeners, to read `measuring`; may be empty. */
  readonly operators: readonly string[];
}

/** Latency of one kind of request, in ms. */
export interface LatencyCurve {
  readonly count: number;
  readonly percentiles: readonly { percentile: number; ms: number }[];
}

/** Result of a load run. */
export interface LoadResult {
  readonly label: string;
  readonly perSecond: number;
  readonly seconds: number;
  readonly seed: number;
  readonly sent: number;
  /** Requests whose response carries no refusal reason. */
  readonly answered: number;
  /** Other requests, by execution and reason, or `unknown` and error code. */
  readonly refusals: Readonly<Record<string, number>>;
  readonly latencies: Readonly<Record<string, LatencyCurve>>;
  /** Probes, and bytes of probes and control messages, of all `operators` in the run. */
  readonly measuring: { readonly calls: number; readonly bytes: number };
}

/** Sends the load and waits for every request to end. */
export async function runLoad(
  label: string,
  options: LoadOptions,
): Promise<LoadResult> {
  const { mix, perSecond, seconds, seed } = options;
  const random = createRandom(seed);
  const pools = options.targets.map((target) =>
    new Pool(`http://${target}`, { connections: CONNECTIONS_PER_TARGET })
  );
  const histograms = new Map<string, Histogram>();
  const refusals: Record<string, number> = {};
  const open = new Set<Promise<void>>();
  let sent = 0;
  let answered = 0;
  const before = await readMeasuring(options.operators);
  const startedAt = performance.now();
  let offsetMs = 0;
  while (true) {
    offsetMs += -Math.log(1 - random()) * MS_PER_SECOND / perSecond;
    if (offsetMs >= seconds * MS_PER_SECOND) break;
    await sleepUntil(startedAt + offsetMs);
    launch(startedAt + offsetMs);
  }
  await Promise.all(open);
  const after = await readMeasuring(options.operators);
  await Promise.all(pools.map((pool) => pool.close()));
  return {
    label,
    perSecond,
    seconds,
    seed,
    sent,
    answered,
    refusals,
    latencies: Object.fromEntries(
      [...histograms].map(([name, histogram]) => [name, toCurve(histogram)]),
    ),
    measuring: {
      calls: after.calls - before.calls,
      bytes: after.bytes - before.bytes,
    },
  };

  function launch(dueAt: number): void {
    const kind = pickKind(mix, random());
    const pool = pools[sent % pools.length]!;
    sent += 1;
    const work = send(kind, { pool, dueAt, number: sent }).finally(() =>
      open.delete(work)
    );
    open.add(work);
  }

  async function send(
    kind: RequestKind,
    { pool, dueAt, number }: { pool: Pool; dueAt: number; number: number },
  ): Promise<void> {
    const cause = await request(kind, pool, { number });
    if (cause !== undefined) {
      refusals[cause] = (refusals[cause] ?? 0) + 1;
      return;
    }
    answered += 1;
    const micros = (performance.now() - dueAt) * MICROS_PER_MS;
    for (const name of [kind.name, "all"]) {
      getHistogram(name).recordValue(micros);
    }
  }

  /** Sends one request; resolves to the cause of its failure, or undefined if answered. */
  async function request(
    kind: RequestKind,
    pool: Pool,
    { number }: { number: number },
  ): Promise<string | undefined> {
    try {
      const res = await pool.request({
        method: kind.method,
        path: kind.path.endsWith("/") ? `${kind.path}${number}` : kind.path,
        headers: {
          [Header.Account]: mix.account,
          [Header.TimeoutMs]: String(options.timeoutMs),
        },
        body: kind.bodyBytes > 0 ? Buffer.alloc(kind.bodyBytes, 120) : null,
      });
      await res.body.dump({ limit: 100_000_000 });
      const reason = getHeader(res.headers, Header.Reason);
      if (reason === undefined) return undefined;
      return `${getHeader(res.headers, Header.Execution)} ${reason}`;
    } catch (error) {
      return `unknown ${(error as { code?: string }).code ?? "error"}`;
    }
  }

  function getHistogram(name: string): Histogram {
    let histogram = histograms.get(name);
    if (histogram === undefined) {
      histogram = build({ numberOfSignificantValueDigits: 3 });
      histograms.set(name, histogram);
    }
    return histogram;
  }
}

function pickKind(mix: TrafficMix, at: number): RequestKind {
  let sum = 0;
  for (const kind of mix.kinds) {
    sum += kind.share;
    if (at < sum) return kind;
  }
  return mix.kinds.at(-1)!;
}

function toCurve(histogram: Histogram): LatencyCurve {
  return {
    count: histogram.totalCount,
    percentiles: PERCENTILES.map((percentile) => ({
      percentile,
      ms: histogram.getValueAtPercentile(percentile) / MICROS_PER_MS,
    })),
  };
}

async function readMeasuring(
  operators: readonly string[],
): Promise<{ calls: number; bytes: number }> {
  let calls = 0;
  let bytes = 0;
  for (const address of operators) {
    const res = await fetch(`http://${address}/status`);
    const status = await res.json() as {
      controlBytes: number;
      counters: Record<string, number>;
    };
    calls += status.counters["daemon.probe_sent"] ?? 0;
    bytes += (status.counters["daemon.probe_bytes"] ?? 0) +
      status.controlBytes;
  }
  return { calls, bytes };
}

function createRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

/** Resolves at or after a time of `performance.now()`, never before it. */
async function sleepUntil(at: number): Promise<void> {
  for (let ms = at - performance.now(); ms > 0; ms = at - performance.now()) {
    if (ms > TIMER_SLACK_MS) await pause(ms - TIMER_SLACK_MS);
    else await new Promise((resolve) => setImmediate(resolve));
  }
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
