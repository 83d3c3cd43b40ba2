/** Runs one scenario with one policy and seed, in virtual time. */

import { build, type Histogram } from "hdr-histogram-js";
import { Execution } from "../core/types.ts";
import type { LabOutcome, LabPolicy } from "../lab/types.ts";
import { createWorld, type World } from "../lab/world.ts";
import type { BenchScenario, Stream } from "./scenarios.ts";

/** Time after the last arrival in which open requests finish. */
const DRAIN_MS = 3_000;
const MICROS_PER_MS = 1_000;
const MS_PER_SECOND = 1_000;
/** Size of a load report on the wire. */
const REPORT_BYTES = 55;
/** Size of a probe and its response on the wire. */
const PROBE_BYTES = 900;
const SERVER_ERROR_STATUS = 500;
/** Width of an interval of `PolicyResult.goodput`. */
const GOODPUT_BIN_MS = 250;

/** Latencies of one group of requests, in ms. */
export interface Latencies {
  readonly count: number;
  readonly p50: number;
  readonly p99: number;
  readonly p999: number;
}

/** Result of a run. */
export interface PolicyResult {
  readonly scenario: string;
  readonly policy: string;
  readonly seed: number;
  readonly all: Latencies;
  readonly byAccount: Readonly<Record<string, Latencies>>;
  /** Share of operations without a successful response, by account. */
  readonly failedShare: Readonly<Record<string, number>>;
  readonly refusals: Readonly<Record<string, number>>;
  readonly retries: Readonly<Record<string, number>>;
  /**
   * Executions per successful response, minus one. In a scenario with nested
   * calls, all executions per successful response, with nothing subtracted.
   */
  readonly wastedShare: number;
  /** Probes sent. */
  readonly measuringCalls: number;
  /** Bytes of probes and load reports. */
  readonly measuringBytes: number;
  /** Successful responses in each interval of 250 ms. */
  readonly goodput: readonly number[];
}

interface Tally {
  readonly histograms: Map<string, Histogram>;
  readonly refusals: Record<string, number>;
  readonly operations: Record<string, number>;
  readonly succeeded: Record<string, number>;
  readonly goodput: number[];
  successCount: number;
  probes: number;
}

/** Runs a scenario to its end. */
export function runPolicy(
  scenario: BenchScenario,
  options: { name: string; policy: LabPolicy; seed: number },
): PolicyResult {
  const { policy, seed } = options;
  const world = createWorld({
    seed,
    hosts: scenario.hosts,
    policy,
    limits: {
      hedgeBudget: Math.min(policy.hedgeBudget, scenario.hedgeBudget),
    },
    latency: { sameDomainMs: 0.1, crossDomainMs: 1.5, callerMs: 8 },
    spreads: true,
  });
  const tally: Tally = {
    histograms: new Map(),
    refusals: {},
    operations: {},
    succeeded: {},
    goodput: [],
    successCount: 0,
    probes: 0,
  };
  scenario.inject?.(world);
  for (const [index, stream] of scenario.streams.entries()) {
    scheduleNext({ world, scenario, tally, stream, index, count: 0 });
  }
  if (policy.probesPerSecond > 0) startProbes(world, policy, { tally });
  world.loop.runUntil(scenario.durationMs + DRAIN_MS);
  return summarise(world, scenario, { ...options, tally });
}

interface StreamRun {
  readonly world: World;
  readonly scenario: BenchScenario;
  readonly tally: Tally;
  readonly stream: Stream;
  readonly index: number;
  count: number;
}

function scheduleNext(run: StreamRun): void {
  const { world, scenario, stream } = run;
  const { loop } = world;
  const rate = stream.rateAt(loop.now());
  const gap = -Math.log(1 - loop.random()) * MS_PER_SECOND / rate;
  if (loop.now() + gap > scenario.durationMs) return;
  loop.schedule(loop.now() + gap, () => {
    run.count += 1;
    startOperation(run, `s${run.index}-${run.count}`);
    scheduleNext(run);
  });
}

function startOperation(run: StreamRun, operation: string): void {
  const { world, scenario, tally, stream } = run;
  const startedAt = world.loop.now();
  const isCounted = startedAt >= scenario.warmUpMs;
  const { account } = stream;
  if (isCounted) increment(tally.operations, account);
  send(1);

  function send(attempt: number): void {
    world.call(pickGateway(world), {
      id: `${operation}~${attempt}`,
      operation,
      account,
      service: stream.service,
      repeatability: stream.repeatability,
      timeoutMs: stream.timeoutMs,
      ...(stream.chain && { chain: stream.chain }),
    }, (outcome) => {
      if (isSuccess(outcome)) return recordSuccess();
      if (isCounted) increment(tally.refusals, outcome.reason);
      const mayRetry = outcome.execution === Execution.NotRun &&
        attempt <= scenario.callerRetries;
      if (!mayRetry) return;
      const wait = outcome.retryAfterMs ?? 0;
      world.loop.schedule(world.loop.now() + wait, () => send(attempt + 1));
    });
  }

  function recordSuccess(): void {
    const now = world.loop.now();
    const bin = Math.floor(now / GOODPUT_BIN_MS);
    tally.goodput[bin] = (tally.goodput[bin] ?? 0) + 1;
    tally.successCount += 1;
    if (!isCounted) return;
    increment(tally.succeeded, account);
    for (const name of ["all", account]) {
      getHistogram(tally, name).recordValue((now - startedAt) * MICROS_PER_MS);
    }
  }
}

/** Picks a random daemon that is alive, as the callers' entry. */
function pickGateway(world: World): string {
  const hosts = world.getHosts();
  while (true) {
    const pick = hosts[Math.floor(world.loop.random() * hosts.length)]!.host;
    if (world.getNode(pick).isAlive) return pick;
  }
}

function startProbes(
  world: World,
  policy: LabPolicy,
  { tally }: { tally: Tally },
): void {
  const period = MS_PER_SECOND / policy.probesPerSecond;
  for (const { host } of world.getHosts()) {
    world.loop.schedule(world.loop.random() * period, function probe() {
      for (const other of world.getHosts()) {
        tally.probes += 1;
        world.probe(host, other.host);
      }
      world.loop.schedule(world.loop.now() + period, probe);
    });
  }
}

function isSuccess({ execution, status }: LabOutcome): boolean {
  return execution === Execution.Ran &&
    (status ?? SERVER_ERROR_STATUS) < SERVER_ERROR_STATUS;
}

function summarise(
  world: World,
  scenario: BenchScenario,
  run: { name: string; policy: LabPolicy; seed: number; tally: Tally },
): PolicyResult {
  const { tally, policy } = run;
  const retries: Record<string, number> = {};
  let reports = 0;
  for (const { host } of world.getHosts()) {
    const { gateway, guard } = world.getNode(host);
    gateway.gateway.counters.forEachCounter((name, value) => {
      if (/^(retry|hedge)_/.test(name)) {
        retries[name] = (retries[name] ?? 0) + value;
      }
    });
    reports += guard.guard.getReport().sequence;
  }
  const callsPerRequest = 1 + Math.max(
    0,
    ...scenario.streams.map((s) => s.chain?.length ?? 0),
  );
  const topLevelExecutions =
    world.executions.filter((e) => !e.call.includes(">")).length;
  return {
    scenario: scenario.name,
    policy: run.name,
    seed: run.seed,
    all: toLatencies(getHistogram(tally, "all")),
    byAccount: Object.fromEntries(
      Object.keys(tally.operations).map((
        name,
      ) => [name, toLatencies(getHistogram(tally, name))]),
    ),
    failedShare: Object.fromEntries(
      Object.entries(tally.operations).map((
        [name, count],
      ) => [name, 1 - (tally.succeeded[name] ?? 0) / count]),
    ),
    refusals: tally.refusals,
    retries,
    wastedShare: callsPerRequest > 1
      ? world.executions.length / Math.max(1, tally.successCount)
      : topLevelExecutions / Math.max(1, tally.successCount) - 1,
    measuringCalls: tally.probes,
    measuringBytes: tally.probes * PROBE_BYTES +
      (policy.piggybacks ? reports * REPORT_BYTES : 0),
    goodput: Array.from(tally.goodput, (n) => n ?? 0),
  };
}

function getHistogram(tally: Tally, name: string): Histogram {
  let histogram = tally.histograms.get(name);
  if (histogram === undefined) {
    histogram = build({ numberOfSignificantValueDigits: 3 });
    tally.histograms.set(name, histogram);
  }
  return histogram;
}

function toLatencies(histogram: Histogram): Latencies {
  const at = (percentile: number) =>
    histogram.getValueAtPercentile(percentile) / MICROS_PER_MS;
  return {
    count: histogram.totalCount,
    p50: at(50),
    p99: at(99),
    p999: at(99.9),
  };
}

function increment(counts: Record<string, number>, name: string): void {
  counts[name] = (counts[name] ?? 0) + 1;
}
