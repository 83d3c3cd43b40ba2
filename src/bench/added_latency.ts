/**
 * Measures the latency and CPU time that daemons add to a call. Calls go
 * directly to the upstream stand-in, through its own daemon, and through the
 * daemon of another host, at increasing rates in one run.
 * node dist/bench/added_latency.js
 */

import { readFileSync } from "node:fs";
import { performance } from "node:perf_hooks";
import process from "node:process";
import { build, type Histogram } from "hdr-histogram-js";
import { Pool } from "undici";
import { startFleet } from "../demo/fleet.ts";
import { Header } from "../link/wire.ts";

const RATES_PER_S = [200, 500, 1_000, 2_000];
const DURATION_S = 5;
const BASE_PORT = 25_000;
const MICROS_PER_MS = 1_000;
/** CPU time per clock tick in /proc, in ms (100 ticks per second on Linux). */
const CPU_TICK_MS = 10;

/** Where calls enter: at the upstream itself or at a daemon. */
interface Target {
  readonly name: string;
  readonly pool: Pool;
  readonly path: string;
  /** Daemon processes that handle the calls. */
  readonly pids: readonly number[];
}

await main();

async function main(): Promise<void> {
  const fleet = await startFleet({
    fleetFile: "examples/fleets/bench.yaml",
    documents: [
      "examples/templates/studio.yaml",
      "examples/accounts/karaca.yaml",
    ],
    basePort: BASE_PORT,
  });
  const [boards, orders] = fleet.hosts as [
    typeof fleet.hosts[number],
    typeof fleet.hosts[number],
  ];
  const pidOf = (host: string) => fleet.getPid(host);
  const targets: Target[] = [
    createTarget("straight", boards.settings.upstream.address, []),
    createTarget("own daemon", boards.settings.listen.callers, [
      pidOf("boards-1"),
    ]),
    createTarget("other daemon", orders.settings.listen.callers, [
      pidOf("orders-1"),
      pidOf("boards-1"),
    ]),
  ];
  for (const target of targets) await measure(target, 500);
  for (const rate of RATES_PER_S) await measureRate(targets, rate);
  for (const { pool } of targets) await pool.close();
  await fleet.stop();
  process.exit(0);
}

function createTarget(
  name: string,
  address: string,
  pids: readonly number[],
): Target {
  const pool = new Pool(`http://${address}`, { connections: 128 });
  return { name, pool, path: "/boards/1", pids };
}

async function measureRate(
  targets: readonly Target[],
  rate: number,
): Promise<void> {
  let baseline: Histogram | undefined;
  for (const target of targets) {
    const before = readCpuMs(target.pids);
    const histogram = await measure(target, rate);
    const cpuMs = readCpuMs(target.pids) - before;
    baseline ??= histogram;
    const cells = [50, 99, 99.9].map((p) => {
      const ms = at(histogram, p);
      const added = ms - at(baseline!, p);
      return `p${p} ${ms.toFixed(2)} ms (+${added.toFixed(2)})`;
    });
    const perCall = cpuMs * MICROS_PER_MS / (rate * DURATION_S);
    print(
      `${rate}/s ${target.name}: ${cells.join(", ")}; ${
        perCall.toFixed(0)
      } µs of daemon CPU per call`,
    );
  }
}

/** Sends calls in an open loop; latency counts from the scheduled send time. */
async function measure(target: Target, rate: number): Promise<Histogram> {
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  const open: Promise<void>[] = [];
  const startedAt = performance.now();
  for (let index = 0; index < rate * DURATION_S; index++) {
    const due = startedAt + 1_000 * index / rate;
    while (performance.now() < due) {
      await new Promise((resolve) => setImmediate(resolve));
    }
    open.push(send(target, { due, histogram }));
  }
  await Promise.all(open);
  return histogram;
}

async function send(
  { pool, path }: Target,
  { due, histogram }: { due: number; histogram: Histogram },
): Promise<void> {
  const res = await pool.request({
    method: "GET",
    path,
    headers: { [Header.Account]: "karaca" },
  });
  await res.body.dump();
  if (res.statusCode !== 200) throw new Error(`status ${res.statusCode}`);
  histogram.recordValue((performance.now() - due) * MICROS_PER_MS);
}

function at(histogram: Histogram, percentile: number): number {
  return histogram.getValueAtPercentile(percentile) / MICROS_PER_MS;
}

/** Returns the CPU time that the processes have used, in ms (Linux only). */
function readCpuMs(pids: readonly number[]): number {
  let ticks = 0;
  for (const pid of pids) {
    const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    ticks += Number(fields[11]) + Number(fields[12]);
  }
  return ticks * CPU_TICK_MS;
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}
