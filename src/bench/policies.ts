/**
 * The policy bench: all policies side by side in every scenario and seed.
 * node dist/bench/policies.js [--scenario NAME] [--policy NAME,NAME] [--seeds N] [--out FOLDER]
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

interface Job {
  readonly scenario: string;
  readonly policy: string;
  readonly seed: number;
}

if (isMainThread) await main();
else work(workerData as Job[]);

function work(jobs: readonly Job[]): void {
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
  for (const scenario of scenarios) print(scenario, policies, { results });
  report(results, values.out);
}

/** Spreads jobs over half of the machine's cores. */
async function runAll(jobs: readonly Job[]): Promise<PolicyResult[]> {
  const workers = Math.max(1, Math.floor(availableParallelism() / 2));
  const results: PolicyResult[] = [];
  await Promise.all(
    Array.from(
      { length: workers },
      (_, index) =>
        new Promise<void>((resolve, reject) => {
          const share = jobs.filter((_, at) => at % workers === index);
          const worker = new Worker(fileURLToPath(import.meta.url), {
            workerData: share,
          });
          worker.on("message", (result: PolicyResult) => results.push(result));
          worker.on("error", reject);
          worker.on("exit", () => resolve());
        }),
    ),
  );
  return results;
}

/** One line a policy: medians over the seeds. */
function print(
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
    const m = (get: (r: PolicyResult) => number) => median(runs.map(get));
    const cells = [
      policy.padEnd(20),
      cell(m((r) => r.all.p50), 6),
      cell(m((r) => r.all.p99), 6),
      cell(m((r) => r.all.p999), 6),
      cell(m((r) => 100 * totalFailed(r)), 8, 2),
      cell(m((r) => r.byAccount["small"]?.p99 ?? 0), 10),
      cell(m((r) => 100 * (r.failedShare["small"] ?? 0)), 14, 2),
      cell(m((r) => 100 * r.wastedShare), 8),
      cell(m((r) => sumOf(r.retries, "retry_")), 8, 0),
      cell(m((r) => r.retries["hedge_sent"] ?? 0), 7, 0),
      cell(m((r) => r.measuringCalls / 9), 9, 0),
      cell(m((r) => r.measuringBytes / 9 / 1_000), 6),
    ];
    process.stdout.write(`${cells.join(" ")}\n`);
  }
}

function report(results: readonly PolicyResult[], folder: string): void {
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

function sumOf(
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

function cell(value: number, width: number, digits = 1): string {
  return value.toFixed(digits).padStart(width);
}
