/** How long a caller has waited when its request arrives. */

import { expect, test } from "vitest";
import { createCallerTimes } from "../src/core/caller_times.ts";
import { createTestHost } from "./support/core_host.ts";

const TIMEOUT_MS = 1_200;
const ROUTE = "reads";

/** Callers whose first tries state from `shortest` of the longest time on. */
function createCallers(shortest: number) {
  const host = createTestHost();
  const times = createCallerTimes(host);
  const state = (share: number) => {
    host.advance(5);
    return times.recordArrival(ROUTE, Math.round(TIMEOUT_MS * share));
  };
  const stateFirst = () => state(shortest + (1 - shortest) * host.random());
  return { host, times, state, stateFirst };
}

test.each([0.5, 0.85, 0.99])(
  "first tries that state %f of the longest time or more show in calm that others have come back",
  (shortest) => {
    const { host, state, stateFirst } = createCallers(shortest);
    host.advance(TIMEOUT_MS);
    for (let i = 0; i < 400; i++) stateFirst();
    const taken = Array.from({ length: 100 }, stateFirst);
    expect(taken.filter((ms) => ms > 0).length).toBeLessThan(8);
    const waitedMs = state(shortest - 0.3);
    expect(waitedMs).toBeGreaterThan(0.28 * TIMEOUT_MS);
    expect(waitedMs).toBeLessThan(
      (0.3 + (1 - shortest) / 2 + 0.02) * TIMEOUT_MS,
    );
  },
);

test("a daemon that starts while callers come back takes a usual range", () => {
  const { times, state, stateFirst } = createCallers(0.85);
  let found = 0;
  let mistaken = 0;
  for (let i = 0; i < 300; i++) {
    times.recordUnserved(ROUTE);
    if (stateFirst() > 0) mistaken += 1;
    if (state(0.4 + 0.3 * (i % 10) / 10) > 0) found += 1;
  }
  expect(found).toBeGreaterThan(290);
  expect(mistaken).toBeLessThan(15);
});

test("callers that come back don't change what is known of first tries", () => {
  const { host, times, state, stateFirst } = createCallers(0.85);
  host.advance(TIMEOUT_MS);
  for (let i = 0; i < 200; i++) stateFirst();
  for (let i = 0; i < 200; i++) {
    times.recordUnserved(ROUTE);
    state(0.5);
  }
  expect(state(0.5)).toBeGreaterThan(0.3 * TIMEOUT_MS);
});

test("callers that differ by some ms are first tries", () => {
  const host = createTestHost();
  const times = createCallerTimes(host);
  host.advance(7_000);
  for (let i = 0; i < 100; i++) times.recordArrival(ROUTE, 6_000);
  expect(times.recordArrival(ROUTE, 5_985)).toBe(0);
  expect(times.recordArrival(ROUTE, 5_800)).toBe(200);
});

test("where a few callers wait much longer, the others that come back count by their own times", () => {
  const { state } = createCallers(1);
  for (let i = 0; i < 2_000; i++) state(i % 10 === 0 ? 4 : 1);
  expect(state(0.8)).toBeGreaterThanOrEqual(0.2 * TIMEOUT_MS);
  expect(state(0.8)).toBeLessThan(0.3 * TIMEOUT_MS);
});

test("a single caller that waits much longer is an exception", () => {
  const { host, state, stateFirst } = createCallers(0.85);
  host.advance(TIMEOUT_MS);
  for (let i = 0; i < 200; i++) stateFirst();
  expect(state(20)).toBe(0);
  const taken = Array.from({ length: 50 }, stateFirst);
  expect(taken.filter((ms) => ms > 0).length).toBeLessThan(5);
});

test("each route has a range of its own", () => {
  const host = createTestHost();
  const times = createCallerTimes(host);
  for (let i = 0; i < 100; i++) times.recordArrival("long", 6_000);
  expect(times.recordArrival("short", 250)).toBe(0);
});
