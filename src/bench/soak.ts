/**
 * Sends Karaca's traffic through real daemons, for a minute by default. Prints
 * their memory over time, and the CPU time and control traffic of idle daemons.
 * node dist/bench/soak.js [seconds]
 */

import { readFileSync } from "node:fs";
import process from "node:process";
import { type DemoFleet, startFleet } from "../demo/fleet.ts";
import { MIXES } from "../load/mixes.ts";
import { runLoad } from "../load/run_load.ts";

const BASE_PORT = 27_000;
const REQUESTS_PER_S = 200;
const IDLE_S = 10;
const SAMPLES = 6;
/** CPU time per clock tick in /proc, in ms (100 ticks per second on Linux). */
const CPU_TICK_MS = 10;
const BYTES_PER_MB = 1_000_000;

await main(Number(process.argv[2] ?? 60));

async function main(seconds: number): Promise<void> {
  const fleet = await startFleet({
    fleetFile: "examples/fleets/karaca.yaml",
    documents: [
      "examples/templates/studio.yaml",
      "examples/accounts/karaca.yaml",
    ],
    basePort: BASE_PORT,
  });
  await measureIdle(fleet);
  const operators = fleet.hosts.map(({ settings }) =>
    settings.listen.operators
  );
  const load = runLoad("soak", {
    targets: fleet.hosts.map(({ settings }) => settings.listen.callers),
    operators,
    mix: MIXES["karaca"]!,
    perSecond: REQUESTS_PER_S,
    seconds,
    seed: 1,
    timeoutMs: 5_000,
  });
  for (let sample = 1; sample <= SAMPLES; sample++) {
    await pause(1_000 * seconds / SAMPLES);
    print(`after ${seconds * sample / SAMPLES} s: ${formatMemory(fleet)}`);
  }
  const report = await load;
  print(
    `${report.sent} sent, ${report.answered} answered, refusals ${
      JSON.stringify(report.refusals)
    }, load measurement ${report.measuring.calls} probes and ${report.measuring.bytes} bytes over all daemons`,
  );
  print(JSON.stringify(report.latencies["all"]?.percentiles));
  const codes = await fleet.stop();
  print(`exit codes ${[...new Set(codes)].join(" ")}`);
  process.exit(0);
}

async function measureIdle(fleet: DemoFleet): Promise<void> {
  await pause(5_000);
  const pids = fleet.hosts.map(({ settings }) => fleet.getPid(settings.host));
  const before = pids.map(readCpuMs);
  const bytesBefore = await readControlBytes(fleet);
  await pause(1_000 * IDLE_S);
  const cpuPercents = pids.map((pid, index) =>
    (readCpuMs(pid) - before[index]!) / (10 * IDLE_S)
  );
  const bytes = await readControlBytes(fleet) - bytesBefore;
  const mean = cpuPercents.reduce((a, b) => a + b, 0) / cpuPercents.length;
  print(
    `idle: ${mean.toFixed(2)}% of a core per daemon (max ${
      Math.max(...cpuPercents).toFixed(2)
    }%), ${
      (bytes / pids.length / IDLE_S).toFixed(0)
    } B/s of control traffic sent and received; ${formatMemory(fleet)}`,
  );
}

async function readControlBytes(fleet: DemoFleet): Promise<number> {
  let sum = 0;
  for (const { settings } of fleet.hosts) {
    const res = await fetch(`http://${settings.listen.operators}/status`);
    sum += (await res.json() as { controlBytes: number }).controlBytes;
  }
  return sum;
}

function formatMemory(fleet: DemoFleet): string {
  const sizes = fleet.hosts.map(({ settings }) =>
    readResidentBytes(fleet.getPid(settings.host)) / BYTES_PER_MB
  );
  const mean = sizes.reduce((a, b) => a + b, 0) / sizes.length;
  return `resident ${mean.toFixed(0)} MB per daemon, max ${
    Math.max(...sizes).toFixed(0)
  }`;
}

function readCpuMs(pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  return (Number(fields[11]) + Number(fields[12])) * CPU_TICK_MS;
}

function readResidentBytes(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, "utf8");
  return Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) * 1_024;
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}
