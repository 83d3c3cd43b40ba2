/**
 * Mutation tests: disables each mechanism in a copy of the sources and checks
 * that the test which covers the mechanism fails there.
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

const COPIES_FOLDER = "reports/mutants";
const COPIED_PATHS = [
  "src",
  "platform",
  "test",
  "examples",
  "vitest.config.ts",
  "package.json",
];
const LINKED_PATHS = ["node_modules", "dist"];
const MAX_PARALLEL = 3;

process.exitCode = await main(process.argv.slice(2)) ? 0 : 1;

async function main(names: readonly string[]): Promise<boolean> {
  const selected = MUTATIONS.filter((m) =>
    names.length === 0 || names.includes(m.name)
  );
  const failures: string[] = [];
  const testFiles = [...new Set(selected.map((m) => m.testFile))];
  for (const testFile of testFiles) {
    const passes = await runTest(".", { testFile });
    print(`unmodified: ${testFile} ${passes ? "passes" : "FAILS"}`);
    if (!passes) failures.push(testFile);
  }
  const [sockets, others] = splitBySockets(selected);
  const queues = [sockets, ...Array(MAX_PARALLEL - 1).fill(others)];
  await Promise.all(queues.map(async (queue: Mutation[]) => {
    for (let next = queue.shift(); next !== undefined; next = queue.shift()) {
      if (!await isDetected(next)) failures.push(next.name);
    }
  }));
  print(
    `${selected.length} mutations run, ${failures.length} problems`,
  );
  return failures.length === 0;
}

/** Separates the tests that listen on fixed ports, which must run one at a time. */
function splitBySockets(
  mutations: readonly Mutation[],
): [Mutation[], Mutation[]] {
  const usesSockets = (m: Mutation) =>
    /daemon_test|recovery_test/.test(m.testFile);
  return [
    mutations.filter(usesSockets),
    mutations.filter((m) => !usesSockets(m)),
  ];
}

async function isDetected(mutation: Mutation): Promise<boolean> {
  const folder = `${COPIES_FOLDER}/${mutation.name}`;
  prepareCopy(folder, mutation);
  const passes = await runTest(folder, mutation);
  print(
    `without ${mutation.name}: ${mutation.testFile} ${
      passes ? "still PASSES" : "fails as expected"
    }`,
  );
  rmSync(folder, { recursive: true });
  return !passes;
}

function prepareCopy(folder: string, mutation: Mutation): void {
  rmSync(folder, { recursive: true, force: true });
  mkdirSync(folder, { recursive: true });
  for (const name of COPIED_PATHS) {
    cpSync(name, `${folder}/${name}`, { recursive: true });
  }
  for (const name of LINKED_PATHS) {
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
    throw new Error(
      `${name}: text must occur exactly once in the file: ${edit.find}`,
    );
  }
  return text.replace(edit.find, () => edit.replace);
}

/** Runs a test file in a folder and resolves to whether it passes. */
function runTest(
  folder: string,
  { testFile }: { testFile: string },
): Promise<boolean> {
  return new Promise((resolve) => {
    const child = spawn("npx", ["vitest", "run", "--root", folder, testFile], {
      stdio: "ignore",
    });
    child.once("exit", (code) => resolve(code === 0));
  });
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}
