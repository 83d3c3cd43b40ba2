/**
 * Evaluates a test run: it passes if every test ran, each failure is listed in
 * KNOWN-RED.txt, and nothing failed outside of tests. Arguments: the runner's
 * exit code, the folder with the reports, the tests and the list. Each entry of the list is one line of six fields separated by " | ":
 * full test name, command, seed, what was seen, issue, message. The message is a
 * text that each failure message of the test has to contain; a test that fails
 * in several ways has one entry for each.
 */

import { existsSync, readdirSync, readFileSync } from "node:fs";
import process from "node:process";

const FIELDS = 6;
const STACK_LINE = /^\s+at /;

/**
 * Returns the exit code for a run and the messages to print. `errors` is what
 * the errors reporter wrote; `expectedFiles` are the names of all test files.
 */
export function evaluateRun({ exitCode, report, errors, expectedFiles, list }) {
  const messages = [];
  const entries = list.split("\n")
    .filter((line) => line.trim() !== "" && !line.startsWith("#"))
    .map((line) => line.split(" | "));
  const malformed = entries.filter((fields) =>
    fields.length !== FIELDS || fields.some((field) => field.trim() === "")
  );
  if (malformed.length > 0) {
    return {
      code: 2,
      messages: malformed.map((f) => `malformed entry: ${f[0]}`),
    };
  }
  if (report === undefined || errors === undefined) {
    return { code: 1, messages: ["the test run produced no report"] };
  }
  const tests = report.testResults.flatMap((file) => file.assertionResults);
  const failed = tests.filter((test) => test.status === "failed")
    .map((test) => ({
      name: test.fullName.trim(),
      ...classifyFailure(test, entries),
    }));
  const unlisted = failed.filter(({ isListed }) => !isListed);
  for (const { name, verdict } of failed) messages.push(`${verdict}: ${name}`);
  const faults = findFaults({ report, tests, errors, expectedFiles });
  messages.push(...faults);
  const passed = tests.filter((test) => test.status === "passed").length;
  const failures = unlisted.length + faults.length;
  messages.push(`${passed} passed, ${failures} failed`);
  // An exit code that no test explains is a failure of the runner.
  const isExplained = exitCode === 0 || failed.length > 0;
  return { code: failures === 0 && isExplained ? 0 : 1, messages };
}

/** What failed or did not run, apart from tests that failed. */
function findFaults({ report, tests, errors, expectedFiles }) {
  const faults = [];
  for (const { name, status, assertionResults } of report.testResults) {
    if (assertionResults.length === 0) {
      faults.push(`FAILED, without a test: ${name}`);
    } else if (
      status === "failed" &&
      assertionResults.every((test) => test.status !== "failed")
    ) faults.push(`FAILED outside of its tests: ${name}`);
  }
  for (const { fullName, status } of tests) {
    if (status !== "passed" && status !== "failed") {
      faults.push(`NOT RUN (${status}): ${fullName.trim()}`);
    }
  }
  for (const message of errors.unhandled) {
    faults.push(`UNHANDLED: ${message}`);
  }
  const ran = new Set(errors.files.map(({ name }) => name));
  for (const { name, errors: own } of errors.files) {
    for (const message of own) {
      faults.push(`FAILED set-up: ${name}: ${message}`);
    }
  }
  for (const name of expectedFiles) {
    if (!ran.has(name)) faults.push(`NOT RUN: ${name}`);
  }
  if (tests.length === 0) faults.push("NOT RUN: no test at all");
  return faults;
}

/** Whether an entry names the test and all of its failure messages. */
function classifyFailure({ fullName, failureMessages = [] }, entries) {
  const texts = entries.filter(([name]) => name.trim() === fullName.trim())
    .map((fields) => fields.at(-1).trim());
  if (texts.length === 0) return { isListed: false, verdict: "FAILED" };
  const isListed = failureMessages.length > 0 &&
    failureMessages.map(dropStack).every((message) =>
      texts.some((text) => message.includes(text))
    );
  return {
    isListed,
    verdict: isListed ? "known red" : "FAILED, not as listed",
  };
}

/** Leaves out the stack, whose file names could contain an entry's text. */
function dropStack(message) {
  return message.split("\n").filter((line) => !STACK_LINE.test(line))
    .join("\n");
}

if (process.argv[1]?.endsWith("known_red.mjs")) {
  const [exitCode, root] = process.argv.slice(2);
  const list = readFileSync(`${root}/KNOWN-RED.txt`, "utf8");
  const { code, messages } = evaluateRun({
    exitCode: Number(exitCode),
    report: tryReadJson(`${root}/reports/run/vitest.json`),
    errors: tryReadJson(`${root}/reports/run/errors.json`),
    expectedFiles: readdirSync(`${root}/test`, { recursive: true })
      .filter((name) => name.endsWith("_test.ts"))
      .map((name) => `test/${name}`),
    list,
  });
  console.log(list.trim());
  for (const message of messages) console.log(message);
  process.exit(code);
}

function tryReadJson(file) {
  return existsSync(file) ? JSON.parse(readFileSync(file, "utf8")) : undefined;
}
