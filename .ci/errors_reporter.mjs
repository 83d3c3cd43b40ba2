/**
 * Reporter of vitest for what its JSON report leaves out: errors outside of
 * tests, and those of files and their hooks. Writes reports/run/errors.json.
 */

import { writeFileSync } from "node:fs";

const FILE = "reports/run/errors.json";

/** Writes the errors once the run has ended. */
export default class ErrorsReporter {
  onTestRunEnd(modules, unhandledErrors, reason) {
    const files = modules.map((module) => ({
      name: module.relativeModuleId,
      state: module.state(),
      errors: [
        ...module.errors(),
        ...[...module.children.allSuites()].flatMap((suite) => suite.errors()),
      ].map(getMessage),
    }));
    const unhandled = unhandledErrors.map(getMessage);
    writeFileSync(FILE, JSON.stringify({ reason, unhandled, files }));
  }
}

function getMessage(error) {
  return String(error?.message ?? error);
}
