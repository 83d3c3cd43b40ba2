/** Seeded schedules of faults against the real core, judged by the journal. */

import fc from "fast-check";
import { expect, test } from "vitest";
import { runSchedule } from "../src/lab/fault_schedule.ts";

const SEEDS = 400;
const PER_TEST = 100;

const firsts = Array.from(
  { length: SEEDS / PER_TEST },
  (_, index) => index * PER_TEST + 1,
);

test.each(firsts)("schedules from seed %i break no promise", (first) => {
  const broken: string[] = [];
  for (let seed = first; seed < first + PER_TEST; seed++) {
    for (const { promise, detail } of runSchedule({ seed }).violations) {
      broken.push(`seed ${seed}: ${promise}: ${detail}`);
    }
  }
  expect(broken).toEqual([]);
});

test("schedules drawn by fast-check break no promise", () => {
  fc.assert(
    fc.property(fc.integer({ min: 10_000, max: 2 ** 31 - 1 }), (seed) => {
      expect(runSchedule({ seed }).violations).toEqual([]);
    }),
    { seed: 7, numRuns: 100 },
  );
});
