/** What a full service does with its slots, replayed on the real gateways and guards of a fleet. */

import { expect, test } from "vitest";
import { Diagnostics } from "../src/core/diagnostics.ts";
import { createGuard } from "../src/core/guard.ts";
import {
  Execution,
  type GuardAction,
  GuardActionKind,
  GuardMessageKind,
  Repeatability,
} from "../src/core/types.ts";
import { createTestHost } from "./support/core_host.ts";
import {
  type FleetLoad,
  replayFleetLoad,
  type ServiceOutcome,
} from "./support/fleet_load.ts";

const SEEDS = [0, 1];
/** Callers state up to 0.15 less than the longest of them. */
const PATIENCE = { patienceSpread: 0.15 };

/**
 * Reads and more urgent orders at seven hosts, reads with calls to five others,
 * which have requests of their own; a quarter of the hosts is slow at any moment.
 * At a factor of 1 half of the capacity is used, at 2 about all of it.
 */
function createLoad(factor: number): FleetLoad {
  return {
    services: {
      read: {
        hosts: 7,
        slots: 9,
        perSecond: 162 * factor,
        workMs: 90,
        objectiveMs: 300,
        timeoutMs: 1_200,
        priority: 2,
        calls: { service: "check", times: 1 },
        ...PATIENCE,
      },
      order: {
        runsAt: "read",
        hosts: 0,
        slots: 0,
        perSecond: 65 * factor,
        workMs: 120,
        objectiveMs: 300,
        timeoutMs: 1_500,
        priority: 1,
        ...PATIENCE,
      },
      station: {
        hosts: 5,
        slots: 9,
        perSecond: 52 * factor,
        workMs: 220,
        objectiveMs: 600,
        timeoutMs: 2_500,
        priority: 2,
        ...PATIENCE,
      },
      check: {
        runsAt: "station",
        hosts: 0,
        slots: 0,
        perSecond: 0,
        workMs: 22,
        objectiveMs: 100,
        timeoutMs: 250,
        priority: 2,
        ...PATIENCE,
      },
    },
    noise: { share: 0.25, factor: 7, periodMs: 500 },
    retryRatio: 0.12,
    seconds: 5,
  };
}

/** Outcomes of one kind of request by seed. */
function replay(load: FleetLoad, kind: string): ServiceOutcome[] {
  return SEEDS.map((seed) => replayFleetLoad({ ...load, seed })[kind]!);
}

const sum = (
  outcomes: readonly ServiceOutcome[],
  get: (it: ServiceOutcome) => number,
) => outcomes.reduce((total, it) => total + get(it), 0);

/** A guard of an upstream at its usual speed, and what its requests are told. */
function createFullGuard(slots: number) {
  const host = createTestHost();
  const guard = createGuard(host, {
    self: "h0",
    service: "shop",
    incarnation: "h0#1",
    slots,
    queueCapacity: 64,
    grantTtlMs: 1_000,
    keyCapacity: 1,
    getWeight: () => 1,
    upstream: {
      getUsableSlots: () => slots,
      getShortWorkSlots: () => slots,
      getKnownGoodSlots: () => slots,
      recordStart: () => {},
      recordServiceTime: () => {},
      getBaseSlowdown: () => 1,
      getInstance: () => undefined,
      getSlowdown: () => 1,
      getStartDelayMs: () => 0,
    },
  });
  let count = 0;
  const tell = (action: GuardAction | undefined): string => {
    if (action?.kind === GuardActionKind.Start) return "started";
    if (action?.kind !== GuardActionKind.Refuse) return "queued";
    expect(action.verdict.execution).toBe(Execution.NotRun);
    expect(action.verdict.retryAfterMs).toBeGreaterThan(0);
    return action.verdict.diagnostic.reason;
  };
  const submit = (objectiveMs: number, isReturned = false) => {
    count += 1;
    const ticket = `t/${count}/1`;
    const actions = guard.handle({
      kind: GuardMessageKind.Submit,
      ticket,
      head: {
        account: "all",
        service: "shop",
        repeatability: Repeatability.Idempotent,
        fingerprint: "",
        timeoutMs: 1_000,
        objectiveMs,
        isReturned,
        route: "reads",
      },
    });
    return tell(actions.find((it) => it.ticket === ticket));
  };
  const answer = (ticket: string) =>
    guard.handle({
      kind: GuardMessageKind.UpstreamResponded,
      ticket,
      status: 200,
    }).map(tell);
  return { host, submit, answer };
}

test("late work leaves a quarter of the slots to work that can be in time", () => {
  const { submit } = createFullGuard(8);
  const late = Array.from({ length: 7 }, () => submit(-100, true));
  const refused = Diagnostics.objective_missed.reason;
  expect(late).toEqual([...Array(6).fill("started"), refused]);
  expect([300, 300].map((ms) => submit(ms))).toEqual(["started", "started"]);
  expect(submit(300)).toBe("queued");
});

test("a single slot is not kept free of late work", () => {
  const { submit } = createFullGuard(1);
  expect(submit(-100, true)).toBe("started");
});

test("a request that becomes late while it waits starts only where a quarter of the slots stays free", () => {
  const { host, submit, answer } = createFullGuard(8);
  for (let i = 0; i < 8; i++) submit(300);
  expect(submit(300)).toBe("queued");
  host.advance(290);
  expect(answer("t/1/1")).toEqual([]);
  // The slot that became free is there for a request that can be in time.
  expect(submit(300)).toBe("started");
  expect(answer("t/2/1")).toEqual([]);
  expect(answer("t/3/1")).toEqual([]);
  expect(answer("t/4/1")).toEqual(["started"]);
});

test("a caller that has come back too late for its work doesn't wait", () => {
  const { host, submit, answer } = createFullGuard(8);
  submit(300);
  host.advance(120);
  answer("t/1/1");
  for (let i = 0; i < 8; i++) submit(300);
  expect(submit(100)).toBe("queued");
  expect(submit(100, true)).toBe(Diagnostics.objective_missed.reason);
});

test("a caller that comes back within its objective is treated like a first try", () => {
  const { submit } = createFullGuard(8);
  for (let i = 0; i < 8; i++) submit(300);
  expect(submit(250, true)).toBe("queued");
});

test("more callers than a service can serve: no fewer are served in time than below its capacity", () => {
  const inTime = (factor: number) =>
    sum(replay(createLoad(factor), "read"), (it) => it.inTime);
  expect(inTime(2.2)).toBeGreaterThanOrEqual(inTime(1.2));
});
