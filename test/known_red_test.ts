/** The evaluation of a CI run ignores the failures listed in KNOWN-RED.txt and no others. */

import { expect, test } from "vitest";
// @ts-expect-error: a plain script of CI without types
import { evaluateRun } from "../.ci/known_red.mjs";

const LIST = "# comment\na known fault | npm test | 7 | wrong answer | 8\n";

function createReport(...failed: string[]) {
  const assertionResults = [
    { fullName: "fine", status: "passed" },
    ...failed.map((fullName) => ({ fullName, status: "failed" })),
  ];
  return { testResults: [{ name: "f", status: "failed", assertionResults }] };
}

test("a run passes with listed failures and with no others", () => {
  const getExitCode = (exitCode: number, ...failed: string[]) =>
    evaluateRun({ exitCode, report: createReport(...failed), list: LIST }).code;
  expect(getExitCode(0)).toBe(0);
  expect(getExitCode(1, "a known fault")).toBe(0);
  expect(getExitCode(1, "a known fault", "another")).toBe(1);
  expect(getExitCode(1)).toBe(1);
});

test("a run without a report or with a file that did not load fails", () => {
  expect(evaluateRun({ exitCode: 1, report: undefined, list: LIST }).code).toBe(
    1,
  );
  const unloaded = {
    testResults: [
      ...createReport("a known fault").testResults,
      { name: "g", status: "failed", assertionResults: [] },
    ],
  };
  expect(evaluateRun({ exitCode: 1, report: unloaded, list: LIST }).code).toBe(
    1,
  );
});

test("a line that is no entry is an error", () => {
  const list = "only a name\n";
  expect(evaluateRun({ exitCode: 0, report: createReport(), list }).code).toBe(
    2,
  );
});
