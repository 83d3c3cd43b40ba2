/**
 * Evaluates a test run: it passes if every test passed, or if each failed test
 * is listed in KNOWN-RED.txt. Arguments: the runner's exit code, its JSON
 * report, the list. Each entry of the list is one line of five fields
 * separated by " | ": full test name, command, seed, what was seen, issue.
 */

import { existsSync, readFileSync } from "node:fs";
import process from "node:process";

const FIELDS = 5;

/** Returns the exit code for a run and the messages to print. */
export function evaluateRun({ exitCode, report, list }) {
  const messages = [];
  const entries = list.split("\n")
    .filter((line) => line.trim() !== "" && !line.startsWith("#"))
    .map((line) => line.split(" | "));
  const malformed = entries.filter((fields) => fields.length !== FIELDS);
  if (malformed.length > 0) {
    return {
      code: 2,
      messages: malformed.map((f) => `malformed entry: ${f[0]}`),
    };
  }
  if (report === undefined) {
    return { code: 1, messages: ["the test run produced no report"] };
  }
  const listed = new Set(entries.map(([name]) => name.trim()));
  const tests = report.testResults.flatMap((file) => file.assertionResults);
  const failed = tests.filter((test) => test.status === "failed")
    .map((test) => test.fullName.trim());
  const unlisted = failed.filter((name) => !listed.has(name));
  const unloaded = report.testResults.filter((file) =>
    file.status === "failed" && file.assertionResults.length === 0
  );
  for (const name of failed) {
    messages.push(`${listed.has(name) ? "known red" : "FAILED"}: ${name}`);
  }
  for (const { name } of unloaded) messages.push(`FAILED to load: ${name}`);
  const hasOnlyListedFailures = failed.length > 0 && unlisted.length === 0 &&
    unloaded.length === 0;
  const passed = tests.filter((test) => test.status === "passed").length;
  messages.push(
    `${passed} passed, ${unlisted.length + unloaded.length} failed`,
  );
  return { code: exitCode === 0 || hasOnlyListedFailures ? 0 : 1, messages };
}

if (process.argv[1]?.endsWith("known_red.mjs")) {
  const [exitCode, reportFile, listFile] = process.argv.slice(2);
  const list = readFileSync(listFile, "utf8");
  const report = existsSync(reportFile)
    ? JSON.parse(readFileSync(reportFile, "utf8"))
    : undefined;
  const { code, messages } = evaluateRun({
    exitCode: Number(exitCode),
    report,
    list,
  });
  console.log(list.trim());
  for (const message of messages) console.log(message);
  process.exit(code);
}
