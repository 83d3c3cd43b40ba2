/**
 * Compares the policies in every scenario, with several seeds, in virtual time.
 * node dist/bench/policies.js [--scenario NAME,...] [--policy NAME,...] [--seeds N] [--out FOLDER]
 */

import { mkdirSync, writeFileSync } from "node:fs";
import { availableParallelism } from "node:os";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { parseArgs } from "node:util";
import {
  isMainThread,
  parentPort,
  Worker,
  workerData,
} from "node:worker_threads";
import { POLICIES } from "../lab/policies.ts";
import { plotCurves } from "../load/plot.ts";
import { type PolicyResult, runPolicy } from "./run_policy.ts";
import { SCENARIOS } from "./scenarios.ts";

/** Virtual time of a run, including the time to finish open requests, in s. */
const RUN_S = 9;

interface Job {
  readonly scenario: string;
  readonly policy: string;
  readonly seed: number;
}

if (isMainThread) await main();
else runJobs(workerData as Job[]);

function runJobs(jobs: readonly Job[]): void {
  for (const job of jobs) {
    const scenario = SCENARIOS.find((s) => s.name === job.scenario)!;
    const policy = POLICIES[job.policy]!;
    const result = runPolicy(scenario, {
      name: job.policy,
      policy,
      seed: job.seed,
    });
    parentPort!.postMessage(result);
  }
}

async function main(): Promise<void> {
  const { values } = parseArgs({
    options: {
      scenario: { type: "string" },
      policy: { type: "string" },
      seeds: { type: "string", default: "3" },
      out: { type: "string", default: "reports" },
    },
  });
  const scenarios = values.scenario?.split(",") ?? SCENARIOS.map((s) => s.name);
  const policies = values.policy?.split(",") ?? Object.keys(POLICIES);
  const jobs: Job[] = [];
  for (const scenario of scenarios) {
    for (const policy of policies) {
      for (let seed = 1; seed <= Number(values.seeds); seed++) {
        jobs.push({ scenario, policy, seed });
      }
    }
  }
  const results = await runAll(jobs);
  for (const scenario of scenarios) printTable(scenario, policies, { results });
  writeReport(results, values.out);
}

/** Runs the jobs in worker threads, on half of the CPU cores. */
async function runAll(jobs: readonly Job[]): Promise<PolicyResult[]> {
  const workers = Math.max(1, Math.floor(availableParallelism() / 2));
  const results: PolicyResult[] = [];
  await Promise.all(
    Array.from(
      { length: workers },
      (_, index) =>
        new Promise<void>((resolve, reject) => {
          const workerJobs = jobs.filter((_, at) => at % workers === index);
          const worker = new Worker(fileURLToPath(import.meta.url), {
            workerData: workerJobs,
          });
          worker.on("message", (result: PolicyResult) => results.push(result));
          worker.on("error", reject);
          worker.on("exit", () => resolve());
        }),
    ),
  );
  return results;
}

/** Prints one line per policy, with medians over the seeds. */
function printTable(
  scenario: string,
  policies: readonly string[],
  { results }: { results: readonly PolicyResult[] },
): void {
  const about = SCENARIOS.find((s) => s.name === scenario)!.about;
  process.stdout.write(`\n${scenario}: ${about}\n`);
  process.stdout.write(
    `${
      "policy".padEnd(20)
    }    p50    p99  p99.9  failed%  small p99  small failed%  wasted%  retries  hedges  probes/s  KB/s\n`,
  );
  for (const policy of policies) {
    const runs = results.filter((r) =>
      r.scenario === scenario && r.policy === policy
    );
    const getMedian = (get: (r: PolicyResult) => number) =>
      median(runs.map(get));
    const cells = [
      policy.padEnd(20),
      formatCell(getMedian((r) => r.all.p50), 6),
      formatCell(getMedian((r) => r.all.p99), 6),
      formatCell(getMedian((r) => r.all.p999), 6),
      formatCell(getMedian((r) => 100 * totalFailed(r)), 8, 2),
      formatCell(getMedian((r) => r.byAccount["small"]?.p99 ?? 0), 10),
      formatCell(getMedian((r) => 100 * (r.failedShare["small"] ?? 0)), 14, 2),
      formatCell(getMedian((r) => 100 * r.wastedShare), 8),
      formatCell(getMedian((r) => sumByPrefix(r.retries, "retry_")), 8, 0),
      formatCell(getMedian((r) => r.retries["hedge_sent"] ?? 0), 7, 0),
      formatCell(getMedian((r) => r.measuringCalls / RUN_S), 9, 0),
      formatCell(getMedian((r) => r.measuringBytes / RUN_S / 1_000), 6),
    ];
    process.stdout.write(`${cells.join(" ")}\n`);
  }
}

/** Writes all results as JSON, and plots seed 1 of up to eight policies per scenario. */
function writeReport(results: readonly PolicyResult[], folder: string): void {
  mkdirSync(folder, { recursive: true });
  writeFileSync(
    `${folder}/policies.json`,
    JSON.stringify(results, undefined, 1),
  );
  for (const scenario of new Set(results.map((r) => r.scenario))) {
    const first = results.filter((r) =>
      r.scenario === scenario && r.seed === 1
    );
    const curves = first.slice(0, 8).map((r) => ({
      label: r.policy,
      points: [
        { percentile: 50, ms: r.all.p50 },
        { percentile: 99, ms: r.all.p99 },
        { percentile: 99.9, ms: r.all.p999 },
      ],
    }));
    writeFileSync(
      `${folder}/policies-${scenario}.svg`,
      plotCurves(`Latency: ${scenario}`, curves),
    );
  }
}

function totalFailed(result: PolicyResult): number {
  const shares = Object.values(result.failedShare);
  return shares.reduce((a, b) => a + b, 0) / shares.length;
}

function sumByPrefix(
  counts: Readonly<Record<string, number>>,
  prefix: string,
): number {
  return Object.entries(counts)
    .filter(([name]) => name.startsWith(prefix))
    .reduce((sum, [, n]) => sum + n, 0);
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[sorted.length >> 1] ?? NaN;
}

function formatCell(value: number, width: number, digits = 1): string {
  return value.toFixed(digits).padStart(width);
}
