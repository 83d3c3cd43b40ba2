/** The order of a daemon's stop. Guards against requests that are ended late or without an answer. */

import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { createCounters } from "../src/core/counters.ts";
import {
  createGracefulStop,
  OpenPhase,
  type OpenRequest,
} from "../src/daemon/graceful_stop.ts";
import { createLifecycle } from "../src/daemon/lifecycle.ts";
import type { Logger } from "../src/daemon/logger.ts";

const ANSWERS_MS = 5_000;
const MIN_STOP_MS = 2_500;

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

function setUp(
  open: {
    callers: number;
    requests?: readonly OpenRequest[];
    /** Time that the process needs to tell all connections, in ms. */
    tellingMs?: number;
  },
) {
  const startedAt = performance.now();
  const counters = createCounters();
  const events: string[] = [];
  /** Time left for closing, in ms, asked for at its begin and at its end. */
  const closings: number[] = [];
  const log = (event: string) => void events.push(event);
  const lifecycle = createLifecycle();
  const stop = createGracefulStop({
    clock: { now: () => performance.now() },
    plan: { begin: () => startedAt + ANSWERS_MS },
    lifecycle,
    counters,
    logger: { info: log, warn: log, error: log, debug: log } as Logger,
    countOpen: () => ({ callers: open.callers, peers: 0, guard: 0 }),
    getOpen: () => ({ gateway: open.requests ?? [], guard: [] }),
    onBegin: () => log("onBegin"),
    endOpen: () => {
      log("endOpen");
      open.callers = 0;
    },
    closeListeners: (getLeftMs) => {
      log("closeListeners");
      closings.push(getLeftMs());
      vi.advanceTimersByTime(open.tellingMs ?? 0);
      closings.push(getLeftMs());
    },
  });
  return { stop, events, counters, closings, lifecycle };
}

test("without open requests a stop ends once callers know of it", async () => {
  const { stop, events } = setUp({ callers: 0 });
  const ended = stop.run();
  expect(stop.isStopping()).toBe(true);
  await vi.advanceTimersByTimeAsync(MIN_STOP_MS - 100);
  expect(events).toEqual(["stopping", "onBegin"]);
  await vi.advanceTimersByTimeAsync(200);
  await ended;
  expect(events).toEqual(["stopping", "onBegin", "closeListeners", "stopped"]);
});

test("what is open at the end is named and answered before anything closes", async () => {
  const req = { route: "r", phase: OpenPhase.AtHost, ageMs: 1 };
  const requests = Array.from(
    { length: 100 },
    (_, i) => ({ ...req, req: `${i}` }),
  );
  const { stop, events, counters } = setUp({ callers: 100, requests });
  const ended = stop.run();
  await vi.advanceTimersByTimeAsync(ANSWERS_MS - 1);
  expect(events).toEqual(["stopping", "onBegin"]);
  await vi.advanceTimersByTimeAsync(1_000);
  await ended;
  expect(events).toEqual([
    "stopping",
    "onBegin",
    ...Array(64).fill("stop_broke_off"),
    "endOpen",
    "closeListeners",
    "stopped",
  ]);
  expect(counters.get("stop_broke_off")).toBe(100);
});

test("a request that ends late lets the stop end at once", async () => {
  const open = { callers: 1 };
  const { stop, events } = setUp(open);
  const ended = stop.run();
  await vi.advanceTimersByTimeAsync(4_000);
  open.callers = 0;
  await vi.advanceTimersByTimeAsync(100);
  await ended;
  expect(events).not.toContain("endOpen");
  expect(events.at(-1)).toBe("stopped");
});

test("a second call joins the stop", async () => {
  const { stop, events } = setUp({ callers: 0 });
  expect(stop.run()).toBe(stop.run());
  await vi.advanceTimersByTimeAsync(MIN_STOP_MS + 100);
  expect(events.filter((it) => it === "stopping")).toHaveLength(1);
});

test("a resource that doesn't close holds the process no longer than 300 ms", async () => {
  const { stop, events, lifecycle } = setUp({ callers: 0 });
  lifecycle.add("hanging", () => new Promise(() => {}));
  const ended = stop.run();
  await vi.advanceTimersByTimeAsync(MIN_STOP_MS + 100 + 300);
  await ended;
  expect(events.at(-1)).toBe("close_timeout");
});

// Each step had the whole time for itself, counted from its own begin.
test.each([
  { tellingMs: 150, leftMs: 150, closedMs: 300 },
  { tellingMs: 280, leftMs: 100, closedMs: 380 },
])(
  "a stop that needs $tellingMs ms to tell its connections has $leftMs ms left to close them",
  async ({ tellingMs, leftMs, closedMs }) => {
    const beganAt = performance.now();
    const open = { callers: 1, tellingMs };
    const { stop, closings, lifecycle } = setUp(open);
    lifecycle.add("hanging", () => new Promise(() => {}));
    const ended = stop.run().then(() => performance.now());
    await vi.advanceTimersByTimeAsync(ANSWERS_MS + 1_000);
    // Within 5 ms.
    expect(closings[0]).toBeCloseTo(300 * 0.8, -1);
    expect(closings[1]).toBeCloseTo(leftMs * 0.8, -1);
    expect(await ended - beganAt - ANSWERS_MS).toBeCloseTo(closedMs, -1);
  },
);
