/** Runs seeds of the fault soak and prints the violations of each. */

import { mkdirSync, writeFileSync } from "node:fs";
import process from "node:process";
import { parseArgs } from "node:util";
import { runSoak, type SoakReport } from "./run.ts";

/** First loopback network; each parallel job uses one. */
const FIRST_BASE = 100;

const { values } = parseArgs({
  options: {
    seeds: { type: "string", default: "1" },
    first: { type: "string" },
    jobs: { type: "string", default: "1" },
    logs: { type: "string", default: "reports/soak" },
  },
});
const count = Number(values.seeds);
const jobs = Number(values.jobs);
const first = Number(values.first ?? Math.floor(Math.random() * 1_000_000));
if (![count, jobs, first].every((n) => Number.isInteger(n) && n >= 0)) {
  console.error("--seeds, --first and --jobs must be non-negative integers");
  process.exit(2);
}
void main();

async function main(): Promise<void> {
  let next = first;
  let failed = 0;
  const faults = new Map<string, number>();
  const runners = Array.from({ length: jobs }, async (_, job) => {
    while (next < first + count) {
      const report = await runSoak(next++, { base: FIRST_BASE + job });
      for (const { kind } of report.plan) {
        faults.set(kind, (faults.get(kind) ?? 0) + 1);
      }
      if (report.violations.length > 0) failed += 1;
      print(report);
    }
  });
  await Promise.all(runners);
  console.log(`${count} seeds from ${first}, ${failed} with violations`);
  for (const [kind, injected] of [...faults].sort()) {
    console.log(`  ${kind}: ${injected}`);
  }
  process.exitCode = failed > 0 ? 1 : 0;
}

function print(
  { seed, violations, statuses, otherStatuses, heldUpMs, peakBytes, logs }:
    SoakReport,
): void {
  console.log(
    `seed ${seed}: ${format(statuses)}; piped or while stopping ` +
      `${format(otherStatuses)}; held up ${heldUpMs} ms, ` +
      `daemons up to ${Math.round(peakBytes / 1e6)} MB`,
  );
  for (const { guarantee, detail } of violations) {
    console.log(`  BROKEN ${guarantee}: ${detail}`);
  }
  if (violations.length === 0) return;
  const folder = `${values.logs}/${seed}`;
  mkdirSync(folder, { recursive: true });
  for (const [ip, lines] of logs) {
    writeFileSync(`${folder}/${ip}.log`, lines.join("\n"));
  }
  console.log(`  logs in ${folder}`);
}

function format(statuses: Readonly<Record<string, number>>): string {
  return Object.entries(statuses).map(([s, n]) => `${s}: ${n}`).join(", ");
}
