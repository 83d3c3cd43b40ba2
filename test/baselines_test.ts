/**
 * Golden traces of the scenarios, compared in full. `npm run baselines:accept`
 * accepts changes.
 */

import { expect, test } from "vitest";
import { readBaselines } from "../src/lab/baselines.ts";

test.each(readBaselines())("$name is as accepted", ({ actual, accepted }) => {
  expect(actual).toBe(accepted);
});

test("no trace reports a violated guarantee", () => {
  const broken = readBaselines().filter((b) => b.actual.includes("BROKEN"));
  expect(broken.map((b) => b.name)).toEqual([]);
});
