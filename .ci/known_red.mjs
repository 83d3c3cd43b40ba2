/**
 * Judges a test run: passes where every test passed, or where each that failed
 * is listed in KNOWN-RED.txt. Arguments: the runner's exit code, its JSON
 * report, the list. Each entry of the list is one line of five fields
 * separated by " | ": full test name, command, seed, what was seen, issue.
 */

import { existsSync, readFileSync } from "node:fs";
import process from "node:process";

const FIELDS = 5;

/** Decides on a run; the messages are for people. */
export function judge({ exitCode, report, list }) {
  const messages = [];
  const entries = list.split("\n")
    .filter((line) => line.trim() !== "" && !line.startsWith("#"))
    .map((line) => line.split(" | "));
  const broken = entries.filter((fields) => fields.length !== FIELDS);
  if (broken.length > 0) {
    return { code: 2, messages: broken.map((f) => `not an entry: ${f[0]}`) };
  }
  if (report === undefined) {
    return { code: 1, messages: ["the test run left no report"] };
  }
  const listed = new Set(entries.map(([name]) => name.trim()));
  const tests = report.testResults.flatMap((file) => file.assertionResults);
  const failed = tests.filter((test) => test.status === "failed")
    .map((test) => test.fullName.trim());
  const unlisted = failed.filter((name) => !listed.has(name));
  const suites = report.testResults.filter((file) =>
    file.status === "failed" && file.assertionResults.length === 0
  );
  for (const name of failed) {
    messages.push(`${listed.has(name) ? "known red" : "FAILED"}: ${name}`);
  }
  for (const { name } of suites) messages.push(`FAILED to load: ${name}`);
  const isExplained = failed.length > 0 && unlisted.length === 0 &&
    suites.length === 0;
  const passed = tests.filter((test) => test.status === "passed").length;
  messages.push(`${passed} passed, ${unlisted.length + suites.length} failed`);
  return { code: exitCode === 0 || isExplained ? 0 : 1, messages };
}

if (process.argv[1]?.endsWith("known_red.mjs")) {
  const [exitCode, reportFile, listFile] = process.argv.slice(2);
  const list = readFileSync(listFile, "utf8");
  const report = existsSync(reportFile)
    ? JSON.parse(readFileSync(reportFile, "utf8"))
    : undefined;
  const { code, messages } = judge({
    exitCode: Number(exitCode),
    report,
    list,
  });
  console.log(list.trim());
  for (const message of messages) console.log(message);
  process.exit(code);
}
