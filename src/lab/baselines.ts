/**
 * Golden traces of the scenarios. `node dist/lab/baselines.js accept` replaces
 * the accepted traces by the current ones, to be reviewed in the commit's diff.
 */

import { readdirSync, readFileSync, writeFileSync } from "node:fs";
import process from "node:process";
import { runScenario } from "./scenario.ts";

const SCENARIOS = "test/scenarios";
const BASELINES = "test/baselines";

/** A scenario's current trace and its accepted one. */
export interface Baseline {
  readonly name: string;
  readonly actual: string;
  /** Empty if no trace is accepted yet. */
  readonly accepted: string;
}

/** Runs every scenario and reads its accepted trace. */
export function readBaselines(): Baseline[] {
  return readdirSync(SCENARIOS).sort().map((file) => {
    const name = file.replace(/\.yaml$/, "");
    const text = readFileSync(`${SCENARIOS}/${file}`, "utf8");
    const actual = runScenario(file, text);
    return { name, actual, accepted: readAccepted(name) };
  });
}

function readAccepted(name: string): string {
  try {
    return readFileSync(`${BASELINES}/${name}.txt`, "utf8");
  } catch {
    return "";
  }
}

function acceptAll(): void {
  for (const { name, actual, accepted } of readBaselines()) {
    if (actual === accepted) continue;
    writeFileSync(`${BASELINES}/${name}.txt`, actual);
    process.stdout.write(`accepted ${name}\n`);
  }
}

if (process.argv[2] === "accept") acceptAll();
