/** Seeded fault schedules on the real core, checked against the journal. */

import fc from "fast-check";
import { expect, test } from "vitest";
import { runSchedule } from "../src/lab/fault_schedule.ts";

const SEEDS = 400;
const SEEDS_PER_TEST = 100;

const FIRST_SEEDS = Array.from(
  { length: SEEDS / SEEDS_PER_TEST },
  (_, index) => index * SEEDS_PER_TEST + 1,
);

test.each(FIRST_SEEDS)(
  "schedules from seed %i violate no guarantee",
  (first) => {
    const violations: string[] = [];
    for (let seed = first; seed < first + SEEDS_PER_TEST; seed++) {
      for (const { guarantee, detail } of runSchedule({ seed }).violations) {
        violations.push(`seed ${seed}: ${guarantee}: ${detail}`);
      }
    }
    expect(violations).toEqual([]);
  },
);

test("schedules drawn by fast-check violate no guarantee", () => {
  fc.assert(
    fc.property(fc.integer({ min: 10_000, max: 2 ** 31 - 1 }), (seed) => {
      expect(runSchedule({ seed }).violations).toEqual([]);
    }),
    { seed: 7, numRuns: 100 },
  );
});
