/**
 * Runs fault schedules with consecutive seeds; exits with 1 if any run violates
 * a guarantee.
 * node dist/lab/check_faults.js [first seed] [count]
 */

import process from "node:process";
import { runSchedule } from "./fault_schedule.ts";

const DEFAULT_COUNT = 1_000;

const first = Number(process.argv[2] ?? 1);
const count = Number(process.argv[3] ?? DEFAULT_COUNT);
process.exitCode = checkFaults() ? 0 : 1;

function checkFaults(): boolean {
  const totals: Record<string, number> = {};
  let calls = 0;
  let violatingSchedules = 0;
  for (let seed = first; seed < first + count; seed++) {
    const runCheck = runSchedule({ seed });
    calls += runCheck.calls;
    for (const [name, n] of Object.entries(runCheck.atMostOnceOutcomes)) {
      totals[name] = (totals[name] ?? 0) + n;
    }
    if (runCheck.violations.length === 0) continue;
    violatingSchedules += 1;
    for (const { guarantee, detail } of runCheck.violations) {
      process.stdout.write(`seed ${seed}: ${guarantee}: ${detail}\n`);
    }
  }
  report({ calls, violatingSchedules, totals });
  return violatingSchedules === 0;
}

function report(
  result: {
    calls: number;
    violatingSchedules: number;
    totals: Record<string, number>;
  },
): void {
  const { calls, violatingSchedules, totals } = result;
  const sum = Object.values(totals).reduce((a, b) => a + b, 0);
  const shares = Object.entries(totals).sort().map(([name, n]) =>
    `${name} ${(100 * n / sum).toFixed(2)}%`
  );
  process.stdout.write(
    `${count} schedules from seed ${first}, ${calls} calls, ` +
      `${violatingSchedules} schedules that violate a guarantee\n` +
      `at-most-once calls: ${shares.join(", ")}\n`,
  );
}
