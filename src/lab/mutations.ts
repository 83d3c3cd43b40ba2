/**
 * Proofs of the proofs: takes each mechanism out of a copy of the sources, runs
 * the test that proves it, and expects that test to fail.
 * node dist/lab/mutations.js [NAME ...]
 */

import { spawn } from "node:child_process";
import {
  cpSync,
  mkdirSync,
  readFileSync,
  rmSync,
  symlinkSync,
  writeFileSync,
} from "node:fs";
import process from "node:process";
import { type Edit, type Mutation, MUTATIONS } from "./mutation_table.ts";

const FOLDER = "reports/mutants";
const COPIED = ["src", "test", "examples", "vitest.config.ts", "package.json"];
const LINKED = ["node_modules", "dist"];
const PARALLEL = 3;

process.exitCode = await main(process.argv.slice(2)) ? 0 : 1;

async function main(names: readonly string[]): Promise<boolean> {
  const chosen = MUTATIONS.filter((m) =>
    names.length === 0 || names.includes(m.name)
  );
  const failures: string[] = [];
  const proofs = [...new Set(chosen.map((m) => m.proof))];
  for (const proof of proofs) {
    const passes = await runProof(".", { proof });
    print(`whole: ${proof} ${passes ? "passes" : "FAILS"}`);
    if (!passes) failures.push(proof);
  }
  const [sockets, others] = splitBySockets(chosen);
  const lanes = [sockets, ...Array(PARALLEL - 1).fill(others)];
  await Promise.all(lanes.map(async (queue: Mutation[]) => {
    for (let next = queue.shift(); next !== undefined; next = queue.shift()) {
      if (!await isNoticed(next)) failures.push(next.name);
    }
  }));
  print(
    `${chosen.length} mechanisms taken out, ${failures.length} not noticed`,
  );
  return failures.length === 0;
}

/** Proofs that listen on fixed ports run one at a time. */
function splitBySockets(
  mutations: readonly Mutation[],
): [Mutation[], Mutation[]] {
  const usesSockets = (m: Mutation) =>
    /daemon_test|recovery_test/.test(m.proof);
  return [
    mutations.filter(usesSockets),
    mutations.filter((m) => !usesSockets(m)),
  ];
}

async function isNoticed(mutation: Mutation): Promise<boolean> {
  const folder = `${FOLDER}/${mutation.name}`;
  prepare(folder, mutation);
  const passes = await runProof(folder, mutation);
  print(
    `without ${mutation.name}: ${mutation.proof} ${
      passes ? "still PASSES" : "fails, as it should"
    }`,
  );
  rmSync(folder, { recursive: true });
  return !passes;
}

function prepare(folder: string, mutation: Mutation): void {
  rmSync(folder, { recursive: true, force: true });
  mkdirSync(folder, { recursive: true });
  for (const name of COPIED) {
    cpSync(name, `${folder}/${name}`, { recursive: true });
  }
  for (const name of LINKED) {
    symlinkSync(`../../../${name}`, `${folder}/${name}`);
  }
  const path = `${folder}/${mutation.file}`;
  const edited = mutation.edits.reduce(
    (text, edit) => applyEdit(text, edit, { name: mutation.name }),
    readFileSync(path, "utf8"),
  );
  writeFileSync(path, edited);
}

function applyEdit(
  text: string,
  edit: Edit,
  { name }: { name: string },
): string {
  if (text.split(edit.find).length !== 2) {
    throw new Error(`${name}: this does not stand just once: ${edit.find}`);
  }
  return text.replace(edit.find, () => edit.replace);
}

/** Resolves to whether the proof passes in a folder. */
function runProof(
  folder: string,
  { proof }: { proof: string },
): Promise<boolean> {
  return new Promise((resolve) => {
    const child = spawn("npx", ["vitest", "run", "--root", folder, proof], {
      stdio: "ignore",
    });
    child.once("exit", (code) => resolve(code === 0));
  });
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}
