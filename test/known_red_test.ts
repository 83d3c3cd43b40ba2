/** The evaluation of a CI run ignores the failures listed in KNOWN-RED.txt and no others. */

import { spawnSync } from "node:child_process";
import { mkdirSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { afterAll, expect, test } from "vitest";
// @ts-expect-error: a plain script of CI without types
import { evaluateRun } from "../.ci/known_red.mjs";

const ENTRY = "a known fault | npm test | 7 | wrong answer | 8";
const LIST = `# comment\n${ENTRY} | expected 200 to be 502\n`;
const MESSAGE = "AssertionError: expected 200 to be 502\n    at a_test.ts:1:1";

/** A report with one failure message for each test that failed. */
function createReport(...failed: string[]) {
  const failures = failed.map((name): [string, string[]] => [name, [MESSAGE]]);
  return createReportOf(...failures);
}

function createReportOf(...failures: [name: string, messages: string[]][]) {
  const assertionResults = [
    { fullName: "fine", status: "passed" },
    ...failures.map(([fullName, failureMessages]) => ({
      fullName,
      status: "failed",
      failureMessages,
    })),
  ];
  const status = failures.length > 0 ? "failed" : "passed";
  return { testResults: [{ name: "f", status, assertionResults }] };
}

/** Evaluates a run in which nothing failed outside of tests. */
function evaluate(run: { exitCode: number; report: unknown; list: string }) {
  const errors = { unhandled: [], files: [] };
  return evaluateRun({ ...run, errors, expectedFiles: [] });
}

test("a run passes with listed failures and with no others", () => {
  const getExitCode = (exitCode: number, ...failed: string[]) =>
    evaluate({ exitCode, report: createReport(...failed), list: LIST }).code;
  expect(getExitCode(0)).toBe(0);
  expect(getExitCode(1, "a known fault")).toBe(0);
  expect(getExitCode(1, "a known fault", "another")).toBe(1);
  expect(getExitCode(1)).toBe(1);
});

test("a run without a report or with a file that did not load fails", () => {
  expect(evaluate({ exitCode: 1, report: undefined, list: LIST }).code).toBe(
    1,
  );
  const unloaded = {
    testResults: [
      ...createReport("a known fault").testResults,
      { name: "g", status: "failed", assertionResults: [] },
    ],
  };
  expect(evaluate({ exitCode: 1, report: unloaded, list: LIST }).code).toBe(
    1,
  );
});

test.each([
  ["another assertion", ["AssertionError: expected 200 to be 200"]],
  ["a time-out", ["Error: Test timed out in 5000ms."]],
  ["an additional failure", [MESSAGE, "Error: the hook failed"]],
  ["the listed text in the stack only", [
    "Error: other\n    at expected 200 to be 502 (a_test.ts:1:1)",
  ]],
  ["no message", []],
])("a listed test that fails in another way fails the run: %s", (_, texts) => {
  const report = createReportOf(["a known fault", texts]);
  const { code, messages } = evaluate({ exitCode: 1, report, list: LIST });
  expect(code).toBe(1);
  expect(messages).toEqual([
    "FAILED, not as listed: a known fault",
    "1 passed, 1 failed",
  ]);
});

test("a test that is known to fail in two ways has two entries", () => {
  const list = `${LIST}${ENTRY} | the second way\n`;
  const getExitCode = (message: string) => {
    const report = createReportOf(["a known fault", [message]]);
    return evaluate({ exitCode: 1, report, list }).code;
  };
  expect(getExitCode(MESSAGE)).toBe(0);
  expect(getExitCode("Error: the second way")).toBe(0);
  expect(getExitCode("Error: a third way")).toBe(1);
});

test.each(["only a name", ENTRY, `${ENTRY} | `, `${ENTRY} | a | b`])(
  "a line that is no entry is an error: %s",
  (line) => {
    const report = createReport();
    const result = evaluate({ exitCode: 0, report, list: `${line}\n` });
    expect(result.code).toBe(2);
  },
);

test("every entry of KNOWN-RED.txt is valid", () => {
  const list = readFileSync("KNOWN-RED.txt", "utf8");
  expect(evaluate({ exitCode: 0, report: createReport(), list }).code).toBe(
    0,
  );
});

test("a run without the errors reporter's file fails", () => {
  const run = { exitCode: 0, report: createReport(), list: LIST };
  expect(evaluateRun({ ...run, errors: undefined, expectedFiles: [] }).code)
    .toBe(1);
});

test("a test file that is missing from the report fails the run", () => {
  const errors = {
    unhandled: [],
    files: [{ name: "test/a_test.ts", errors: [] }],
  };
  const run = { exitCode: 0, report: createReport(), list: LIST, errors };
  const evaluateWith = (...expectedFiles: string[]) =>
    evaluateRun({ ...run, expectedFiles }).code;
  expect(evaluateWith("test/a_test.ts")).toBe(0);
  expect(evaluateWith("test/a_test.ts", "test/b_test.ts")).toBe(1);
});

const PLAYED = "reports/played";
const RED = 'test("a known fault", () => { expect(200).toBe(502); });\n';
const RED_LIST =
  "a known fault | npm test | 7 | wrong answer | 8 | expected 200 to be 502\n";
const CONFIG = 'export default { test: { include: ["test/**/*_test.ts"] } };\n';
const IMPORTS = 'import * as vitest from "vitest";\n' +
  "const { afterAll, beforeAll, describe, expect, test } = vitest;\n";
const FINE = 'test("fine", () => {});\n';
const THROWS = '() => { throw new Error("set-up"); }';

afterAll(() => rmSync(PLAYED, { recursive: true, force: true }));

/** Runs of the real script and runner on files of their own, beside a listed failure. */
test.each([
  { name: "a listed failure", other: FINE, code: 0 },
  {
    name: "a failure that is not listed",
    other: `${FINE}test("red", ${THROWS});`,
    code: 1,
  },
  {
    name: "a set-up that fails",
    other: `beforeAll(${THROWS});\n${FINE}`,
    code: 1,
  },
  {
    name: "a clean-up that fails",
    other: `afterAll(${THROWS});\n${FINE}`,
    code: 1,
  },
  {
    name: "a set-up of a group that fails",
    other: `describe("group", () => { beforeAll(${THROWS}); ${FINE} });`,
    code: 1,
  },
  {
    name: "an unhandled rejection",
    other:
      `${FINE}test("starts it", () => { void Promise.reject(new Error("x")); });`,
    code: 1,
  },
  {
    name: "an exception after the tests",
    other: `test("starts it", async () => { setTimeout(${THROWS}, 1);
      await new Promise((resolve) => setTimeout(resolve, 20)); });`,
    code: 1,
  },
  {
    name: "a test that is not run",
    other: `${FINE}test.runIf(false)("idle", () => {});`,
    code: 1,
  },
  {
    name: "a test that is to be written",
    other: `${FINE}test["todo"]("idle");`,
    code: 1,
  },
  { name: "a file without tests", other: "", code: 1 },
  {
    name: "a file that does not load",
    other: "throw new Error('load');",
    code: 1,
  },
  {
    name: "a process that exits",
    other: 'test("ends it", () => process.exit(0));',
    code: 1,
  },
])(
  "beside a listed failure, $name gives exit code $code",
  ({ name, other, code }) => {
    const folder = `${PLAYED}/${name.replaceAll(" ", "-")}`;
    mkdirSync(`${folder}/test`, { recursive: true });
    writeFileSync(`${folder}/vitest.config.mjs`, CONFIG);
    writeFileSync(`${folder}/KNOWN-RED.txt`, RED_LIST);
    writeFileSync(`${folder}/test/a_test.ts`, IMPORTS + RED);
    writeFileSync(`${folder}/test/b_test.ts`, IMPORTS + other);
    const { status, stdout } = spawnSync(".ci/test", [folder], {
      encoding: "utf8",
    });
    expect(status, stdout).toBe(code);
    expect(stdout).toContain("known red: a known fault");
  },
);

test("the scripts for CI and for developers run the tests in the same way", () => {
  expect(readFileSync(".ci/run", "utf8").trimEnd().split("\n").at(-1))
    .toBe(".ci/test");
  const { scripts } = JSON.parse(readFileSync("package.json", "utf8"));
  expect(scripts.test.split(" && ").at(-1)).toBe(".ci/test");
});
