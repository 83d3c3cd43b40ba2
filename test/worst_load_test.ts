/** Load at its worst: a whole fleet that returns cold, and one with fewer fast slots than its peak needs. */

import { describe, expect, test } from "vitest";
import { Admission, decideAdmission } from "../src/core/admission.ts";
import { Diagnostics } from "../src/core/diagnostics.ts";
import { createGuard } from "../src/core/guard.ts";
import { createSlowPeriods } from "../src/core/slow_periods.ts";
import {
  Execution,
  type GatewayAction,
  GatewayActionKind,
  GatewayMessageKind,
  type HostId,
  type LoadReport,
} from "../src/core/types.ts";
import { createTestGateway, sendArrival } from "../src/lab/test_gateway.ts";
import { createTestHost, type TestHost } from "./support/core_host.ts";
import {
  type FleetLoad,
  replayFleetLoad,
  type ServiceOutcome,
} from "./support/fleet_load.ts";

const SEEDS = [1, 2, 3];

const HOSTS = ["h0", "h1", "h2"];

/** Two services in four failure domains, the first with calls to a third; a quarter of the hosts is slow at any moment. */
function createLoad(factor: number): FleetLoad {
  return {
    services: {
      forecast: {
        hosts: 7,
        slots: 9,
        perSecond: 117 * factor,
        workMs: 99,
        objectiveMs: 300,
        timeoutMs: 1_200,
        calls: { service: "check", times: 1 },
      },
      station: {
        hosts: 5,
        slots: 9,
        perSecond: 35 * factor,
        workMs: 186,
        objectiveMs: 600,
        timeoutMs: 2_500,
      },
      check: {
        hosts: 5,
        slots: 7,
        perSecond: 0,
        workMs: 22,
        objectiveMs: 100,
        timeoutMs: 250,
      },
    },
    noise: { share: 0.25, factor: 7, periodMs: 500 },
    retryRatio: 0.12,
    seconds: 10,
  };
}

/** All hosts lose power and return at once, cold for 3 s, while the list is a second late. */
const RETURN: FleetLoad = {
  ...createLoad(1.4),
  seconds: 4,
  restart: { listLagMs: 1_000, coldMs: 3_000, coldFactor: 2 },
};

test("a whole fleet returns cold: its slots are used as if it were warm", () => {
  const outcomes = SEEDS.map((seed) =>
    replayFleetLoad({ ...RETURN, seed }).forecast!
  );
  // The share that is to be served after a loss of power.
  expect(getShareInTime(outcomes, 0, 2_000)).toBeGreaterThan(0.5);
  expect(getShareInTime(outcomes, 2_000, 4_000)).toBeGreaterThan(0.8);
});

test("a whole fleet returns cold: a slot more than is known to be fast stays on trial", () => {
  const slowPeriods = createSlowPeriods();
  for (let at = 0; at < 3_000; at += 25) slowPeriods.observe(2, at);
  expect(slowPeriods.isSlow(2)).toBe(false);
  expect(slowPeriods.isSlow(2 * 7)).toBe(true);
});

test("a guard states when the slow period of its upstream probably ends", () => {
  const host = createTestHost();
  let slowdown = 1;
  const guard = createGuard(host, {
    self: "h0",
    service: "shop",
    incarnation: "h0#1",
    slots: 8,
    queueCapacity: 8,
    grantTtlMs: 1_000,
    keyCapacity: 1,
    getWeight: () => 1,
    upstream: {
      getUsableSlots: () => 8,
      getShortWorkSlots: () => 8,
      getKnownGoodSlots: () => 8,
      recordStart: () => {},
      recordServiceTime: () => {},
      getBaseSlowdown: () => 1,
      getInstance: () => undefined,
      getSlowdown: () => slowdown,
      getStartDelayMs: () => slowdown === 1 ? 0 : 30,
    },
  });
  expect(guard.getReport().startsInMs).toBeUndefined();
  slowdown = 7;
  expect(guard.getReport().startsInMs).toBe(30);
});

describe("too few fast slots at the peak", () => {
  const BUSY = { slots: 8, inFlight: 8, queued: 1 };
  const IN_SLOW_PERIOD = { inFlight: 0, slowdown: 7, startsInMs: 300 };

  test("a host that had a queue is not asked for a free slot soon after", () => {
    const { host, report, send } = createCaller();
    for (const id of HOSTS) report(id, BUSY);
    host.advance(150);
    const sent = send("r");
    expect(sent).toMatchObject({ kind: GatewayActionKind.Submit });
    // It queues at once.
    expect(sent).not.toHaveProperty("mayQueue");
    host.advance(150);
    expect(send("later")).toMatchObject({ mayQueue: false });
  });

  test("a short queue goes before an idle host whose slow period lasts", () => {
    const { host, report, send } = createCaller();
    report("h0", { ...BUSY, queued: 3 });
    for (const id of ["h1", "h2"]) report(id, IN_SLOW_PERIOD);
    host.advance(10);
    expect(send("r")).toMatchObject({ to: "h0" });
  });

  test("a refusal to queue is not the last word while another host is expected to be in time", () => {
    const { report, send, refuse } = createCaller();
    for (const id of HOSTS) report(id, BUSY);
    const first = send("r");
    const second = refuse("r", 1);
    expect(second).toMatchObject({ kind: GatewayActionKind.Submit });
    expect(second).not.toMatchObject({ to: first!.to });
    expect(refuse("r", 2)).toMatchObject({ kind: GatewayActionKind.Finish });
  });

  test("a refusal to queue is the last word if no host is expected to be in time", () => {
    const { report, send, refuse } = createCaller();
    for (const id of HOSTS) report(id, { ...BUSY, queued: 40 });
    send("r");
    expect(refuse("r", 1)).toMatchObject({ kind: GatewayActionKind.Finish });
  });
});

test("an upstream at half speed starts what is probably in time, one in a slow period refuses it", () => {
  const state = {
    usableSlots: 4,
    busySlots: 0,
    ahead: 0,
    rateWaitMs: 0,
    serviceMs: 200,
    startDelayMs: 0,
    slowdown: 2,
  };
  const request = {
    workMs: 380,
    meanWorkMs: 250,
    timeoutMs: 1_200,
    objectiveMs: 300,
    mayQueue: false,
  };
  expect(decideAdmission(state, request).admission).toBe(Admission.Start);
  const slow = { ...state, slowdown: 7 };
  const late = { ...request, workMs: 1_330, meanWorkMs: 880 };
  expect(decideAdmission(slow, late).admission).toBe(Admission.Refuse);
});

function getShareInTime(
  outcomes: readonly ServiceOutcome[],
  fromMs = 0,
  untilMs = Infinity,
): number {
  const ended = outcomes.flatMap((it) => it.ended)
    .filter(({ arrivedAt }) => arrivedAt >= fromMs && arrivedAt < untilMs);
  return ended.filter((it) => it.isInTime).length / ended.length;
}

interface Caller {
  readonly host: TestHost;
  report(id: HostId, load: Partial<LoadReport>): void;
  /** The action that follows the arrival of a request. */
  send(id: string): Placed | undefined;
  /** The action that follows the refusal of an attempt. */
  refuse(id: string, attempt: number): GatewayAction | undefined;
}

type Placed = GatewayAction & { readonly to?: HostId };

/** A gateway beside three hosts whose work takes 100 ms of an objective of 300 ms. */
function createCaller(): Caller {
  const host = createTestHost();
  const gateway = createTestGateway(host, {
    getCandidates: () =>
      HOSTS.map((id) => ({ host: id, failureDomain: "east" })),
  });
  let sequence = 0;
  return { host, report, send, refuse };

  function report(id: HostId, load: Partial<LoadReport>): void {
    sequence += 1;
    gateway.receiveReport({
      host: id,
      incarnation: id,
      sequence,
      slots: 8,
      inFlight: 0,
      queued: 0,
      serviceMs: 100,
      draining: false,
      ageMs: 10_000,
      slowdown: 1,
      ...load,
    });
  }

  function send(id: string): Placed | undefined {
    return sendArrival(gateway, id, { objectiveMs: 300 })[0] as Placed;
  }

  function refuse(id: string, attempt: number): GatewayAction | undefined {
    return gateway.handle({
      kind: GatewayMessageKind.Refused,
      id,
      attempt,
      verdict: {
        execution: Execution.NotRun,
        diagnostic: Diagnostics.deadline_too_short,
      },
    })[0];
  }
}
