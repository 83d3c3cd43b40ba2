/**
 * What real daemons add to a call: straight to the upstream stand-in, through
 * its own daemon, and through another daemon, at rising rates in one run.
 * node dist/bench/added_latency.js
 */

import { readFileSync } from "node:fs";
import { performance } from "node:perf_hooks";
import process from "node:process";
import { build, type Histogram } from "hdr-histogram-js";
import { Pool } from "undici";
import { startFleet } from "../demo/fleet.ts";
import { Header } from "../link/wire.ts";

const RATES = [200, 500, 1_000, 2_000];
const SECONDS = 5;
const BASE_PORT = 25_000;
const MICROS_PER_MS = 1_000;
/** Clock ticks a second in /proc, and ms of CPU in each. */
const CPU_TICK_MS = 10;

interface Way {
  readonly name: string;
  readonly pool: Pool;
  readonly path: string;
  /** Processes whose CPU the calls of this way cost. */
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
  const ways: Way[] = [
    way("straight", boards.settings.upstream.address, []),
    way("own daemon", boards.settings.listen.callers, [pidOf("boards-1")]),
    way("other daemon", orders.settings.listen.callers, [
      pidOf("orders-1"),
      pidOf("boards-1"),
    ]),
  ];
  for (const each of ways) await measure(each, 500);
  for (const rate of RATES) await measureRate(ways, rate);
  for (const { pool } of ways) await pool.close();
  await fleet.stop();
  process.exit(0);
}

function way(name: string, address: string, pids: readonly number[]): Way {
  const pool = new Pool(`http://${address}`, { connections: 128 });
  return { name, pool, path: "/boards/1", pids };
}

async function measureRate(ways: readonly Way[], rate: number): Promise<void> {
  let base: Histogram | undefined;
  for (const each of ways) {
    const before = readCpuMs(each.pids);
    const histogram = await measure(each, rate);
    const cpuMs = readCpuMs(each.pids) - before;
    base ??= histogram;
    const cells = [50, 99, 99.9].map((p) => {
      const ms = at(histogram, p);
      const added = ms - at(base!, p);
      return `p${p} ${ms.toFixed(2)} ms (+${added.toFixed(2)})`;
    });
    const perCall = cpuMs * MICROS_PER_MS / (rate * SECONDS);
    print(
      `${rate}/s ${each.name}: ${cells.join(", ")}; ${
        perCall.toFixed(0)
      } µs of daemons' CPU a call`,
    );
  }
}

/** Open loop: latency counts from the time a call was due. */
async function measure(each: Way, rate: number): Promise<Histogram> {
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  const open: Promise<void>[] = [];
  const startedAt = performance.now();
  for (let index = 0; index < rate * SECONDS; index++) {
    const due = startedAt + 1_000 * index / rate;
    while (performance.now() < due) {
      await new Promise((resolve) => setImmediate(resolve));
    }
    open.push(send(each, { due, histogram }));
  }
  await Promise.all(open);
  return histogram;
}

async function send(
  { pool, path }: Way,
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

/** CPU that processes have used so far, from Linux's /proc, in ms. */
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
