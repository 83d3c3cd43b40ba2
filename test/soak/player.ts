/** The process of one play: `player.cjs SEED BASE FOLDER` keeps its history and the daemons' lines in a folder. */

import { mkdirSync, rmSync, writeFileSync } from "node:fs";
import process from "node:process";
import { runSoak } from "./run.ts";

const [seed, base, folder] = process.argv.slice(2);
void main();

async function main(): Promise<void> {
  const { report, history, logs } = await runSoak(Number(seed), {
    base: Number(base),
  });
  rmSync(folder!, { recursive: true, force: true });
  mkdirSync(folder!, { recursive: true });
  for (const [ip, lines] of logs) {
    writeFileSync(`${folder}/${ip}.log`, lines.join("\n"));
  }
  // Monotonic times of the records count from this.
  const startedAt = new Date(performance.timeOrigin);
  const text = JSON.stringify({ startedAt, report, ...history }, shorten, 1);
  writeFileSync(`${folder}/history.json`, text);
  process.send!(report, () => process.disconnect());
}

/** States the length of a request's body only. */
function shorten(name: string, value: unknown): unknown {
  return name === "body" ? (value as string).length : value;
}
