/** Seeded schedules of limits and departures that upstreams state, beside other faults. */

import { expect, test } from "vitest";
import { runNoticeSchedule } from "../src/lab/notice_schedule.ts";

const SEEDS_PER_TEST = 25;
/** Calls of a schedule that must be executed, so that its checks mean something. */
const MIN_EXECUTED = 500;

test.each([1, 26, 51, 76])(
  "upstreams get only what they state that they take, seeds from %i",
  (first) => {
    const violations: string[] = [];
    for (let seed = first; seed < first + SEEDS_PER_TEST; seed++) {
      const run = runNoticeSchedule({ seed });
      expect(run.executed).toBeGreaterThan(MIN_EXECUTED);
      for (const { guarantee, detail } of run.violations) {
        violations.push(`seed ${seed}: ${guarantee}: ${detail}`);
      }
    }
    expect(violations).toEqual([]);
  },
);
