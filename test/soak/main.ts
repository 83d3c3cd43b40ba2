/** Plays seeds of the fault soak and prints the violations of each. */

import process from "node:process";
import { parseArgs } from "node:util";
import { type Play, playSeed } from "./play.ts";

/** First loopback network; each parallel job uses one. */
const FIRST_BASE = 100;

const { values } = parseArgs({
  options: {
    seeds: { type: "string", default: "1" },
    first: { type: "string" },
    jobs: { type: "string", default: "1" },
    base: { type: "string", default: String(FIRST_BASE) },
    logs: { type: "string", default: "reports/soak" },
  },
});
const count = Number(values.seeds);
const jobs = Number(values.jobs);
const base = Number(values.base);
const first = Number(values.first ?? Math.floor(Math.random() * 1_000_000));
if (![count, jobs, base, first].every((n) => Number.isInteger(n) && n >= 0)) {
  console.error(
    "--seeds, --first, --jobs and --base must be non-negative integers",
  );
  process.exit(2);
}
void main();

async function main(): Promise<void> {
  let next = first;
  let failed = 0;
  let unjudged = 0;
  const faults = new Map<string, number>();
  const runners = Array.from({ length: jobs }, async (_, job) => {
    while (next < first + count) {
      const seed = next++;
      const play = await playSeed(seed, { base: base + job, logs: values.logs })
        .catch((error) => void console.log(`  BROKEN ${error}`));
      if (play === undefined) {
        failed += 1;
        continue;
      }
      for (const { kind } of play.plan) {
        faults.set(kind, (faults.get(kind) ?? 0) + 1);
      }
      if (play.violations.length > 0) failed += 1;
      if (play.unjudged.length > 0) unjudged += 1;
      print(play);
    }
  });
  await Promise.all(runners);
  console.log(
    `${count} seeds from ${first}, ${failed} with violations, ` +
      `${unjudged} with some that could not be judged`,
  );
  for (const [kind, injected] of [...faults].sort()) {
    console.log(`  ${kind}: ${injected}`);
  }
  process.exitCode = failed > 0 ? 1 : 0;
}

function print(play: Play): void {
  const { seed, violations, unjudged, heldUpMs, starvedMs, peakBytes } = play;
  console.log(
    `seed ${seed}: ${format(play.statuses)}; piped or while stopping ` +
      `${format(play.otherStatuses)}; held up ${heldUpMs} ms, ` +
      `daemons without a processor up to ${starvedMs} ms, with up to ${
        Math.round(peakBytes / 1e6)
      } MB`,
  );
  for (const { guarantee, detail } of violations) {
    console.log(`  BROKEN ${guarantee}: ${detail}`);
  }
  for (const { guarantee, detail } of unjudged) {
    console.log(`  NOT JUDGED ${guarantee}: ${detail}`);
  }
  if (violations.length + unjudged.length === 0) return play.discard();
  console.log(`  logs in ${play.folder}`);
}

function format(statuses: Readonly<Record<string, number>>): string {
  return Object.entries(statuses).map(([s, n]) => `${s}: ${n}`).join(", ");
}
