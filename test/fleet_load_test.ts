/** Load patterns of a whole fleet, replayed on its real gateways and guards. */

import { expect, test } from "vitest";
import { createSlotLimit } from "../src/core/slot_limit.ts";
import { createTestHost } from "./support/core_host.ts";
import {
  type FleetLoad,
  replayFleetLoad,
  type ServiceOutcome,
} from "./support/fleet_load.ts";

/** Two services of four failure domains at half of their capacity, the first with calls to a third. */
const FLEET: FleetLoad = {
  services: {
    forecast: {
      hosts: 7,
      slots: 9,
      perSecond: 117,
      workMs: 99,
      objectiveMs: 300,
      timeoutMs: 1_200,
      calls: { service: "check", times: 1 },
    },
    station: {
      hosts: 5,
      slots: 9,
      perSecond: 35,
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
  seconds: 30,
};

const getShareInTime = ({ inTime, arrived }: ServiceOutcome) =>
  inTime / arrived;

test.each([
  { periodMs: 50, factor: 5 },
  { periodMs: 150, factor: 5 },
  { periodMs: 500, factor: 7 },
  { periodMs: 2_000, factor: 3 },
  { periodMs: 5_000, factor: 10 },
])("long slow periods: work goes to hosts at normal speed, %o", (change) => {
  const noise = { share: 0.25, ...change };
  const { forecast, station } = replayFleetLoad({ ...FLEET, noise });
  // One request in a thousand arrives while all five hosts of its service are
  // slow; as much again is allowed for each of the periods' edges.
  expect(getShareInTime(forecast!)).toBeGreaterThan(0.98);
  expect(getShareInTime(station!)).toBeGreaterThan(0.98);
});

/** The same fleet at twice the load, near its capacity. */
function createBusyFleet(change: { readonly fastSlots?: number }): FleetLoad {
  const busy = Object.entries(FLEET.services).map(([name, it]) => [
    name,
    { ...it, perSecond: it.perSecond * 2.8, ...change },
  ]);
  return { ...FLEET, services: Object.fromEntries(busy) };
}

test("slots that slow: a full service uses all slots that are as fast as the others", () => {
  const load = createBusyFleet({});
  const actual = getShareInTime(replayFleetLoad(load).forecast!);
  const baseline = getShareInTime(
    replayFleetLoad({ ...load, hasFixedSlots: true }).forecast!,
  );
  // It can run 9 requests instead of 7, and misses less than half as many.
  expect(1 - actual).toBeLessThan((1 - baseline) / 2);
});

test("slots that slow: they are given up after a few requests", () => {
  const load = createBusyFleet({ fastSlots: 7 });
  const actual = getShareInTime(replayFleetLoad(load).forecast!);
  const baseline = getShareInTime(
    replayFleetLoad({ ...load, hasFixedSlots: true }).forecast!,
  );
  expect(actual).toBeGreaterThan(baseline - 0.01);
});

test("slots that slow: the limit rises by trials and falls again", () => {
  const host = createTestHost();
  const limit = createSlotLimit(host);
  const run = (running: number, ratio: number) => {
    limit.recordStart(running);
    limit.recordTime(running, ratio);
  };
  expect([limit.getKnownGood(9), limit.getUsable(9)]).toEqual([7, 8]);
  // Slots on trial get few requests until the first ones have ended.
  for (let i = 0; i < 4; i++) limit.recordStart(8);
  expect(limit.getUsable(9)).toBe(7);
  for (let i = 0; i < 16; i++) run(8, 1);
  expect([limit.getKnownGood(9), limit.getUsable(9)]).toEqual([8, 9]);
  for (let i = 0; i < 4; i++) run(9, 1.7);
  expect([limit.getKnownGood(9), limit.getUsable(9)]).toEqual([8, 8]);
  for (let i = 0; i < 16; i++) run(8, 1.7);
  expect([limit.getKnownGood(9), limit.getUsable(9)]).toEqual([7, 7]);
  host.advance(60_000);
  expect([limit.getKnownGood(9), limit.getUsable(9)]).toEqual([7, 8]);
});

test("slots that slow: a few requests that a slow period hits don't rule a slot out", () => {
  const limit = createSlotLimit(createTestHost());
  for (let i = 0; i < 40; i++) {
    limit.recordStart(8);
    // One in ten is slowed seven times for a part of its work.
    limit.recordTime(8, i % 10 === 3 ? 4.3 : 1);
  }
  expect([limit.getKnownGood(9), limit.getUsable(9)]).toEqual([8, 9]);
});

test("fast failures: callers beside a failing upstream are sent to other failure domains", () => {
  const uploads = {
    hosts: 3,
    slots: 12,
    perSecond: 18,
    workMs: 110,
    failureShare: 0.5,
    objectiveMs: 400,
    timeoutMs: 1_000,
  };
  const boards = { ...uploads, hosts: 11, perSecond: 0, failureShare: 0 };
  const { uploads: outcome } = replayFleetLoad({
    services: { uploads, boards },
    noise: { share: 0, factor: 1, periodMs: 1_000 },
    seconds: 30,
  });
  // Sent evenly, a sixth would fail: half of those at one host of three.
  expect(outcome!.failed / outcome!.arrived).toBeLessThan(1 / 6 / 2);
});

test.each([0, 0.5, 5, 12.6])(
  "an upstream in need: at most %f requests a second start there, and the others serve the rest",
  (limitPerS) => {
    const { boards, orders } = replayFleetLoad({
      services: {
        boards: {
          hosts: 5,
          slots: 12,
          perSecond: 157,
          workMs: 90,
          limitPerS,
          objectiveMs: 300,
          timeoutMs: 800,
        },
        orders: {
          hosts: 9,
          slots: 12,
          perSecond: 43,
          workMs: 120,
          objectiveMs: 400,
          timeoutMs: 1_000,
          calls: { service: "boards", times: 1 },
        },
      },
      noise: { share: 0, factor: 1, periodMs: 1_000 },
      seconds: 20,
    });
    const spanMs = 4_000;
    const statedAt = boards!.firstHostStarts[0]! + 3_000;
    const starts = boards!.firstHostStarts.filter((at) => at >= statedAt);
    const most = Math.max(
      0,
      ...starts.map((from) =>
        starts.filter((at) => at >= from && at < from + spanMs).length
      ),
    );
    // The limit itself with the burst that it allows, below the platform's bound.
    expect(most).toBeLessThanOrEqual(limitPerS * spanMs / 1_000 * 1.25 + 2);
    expect(getShareInTime(boards!)).toBeGreaterThan(0.98);
    expect(getShareInTime(orders!)).toBeGreaterThan(0.98);
  },
);

/** A service near its peak whose daemons take some 15 ms for each message. */
const SLOW_DAEMONS: FleetLoad = {
  services: {
    dashboard: {
      hosts: 23,
      slots: 4,
      fastSlots: 3,
      perSecond: 428,
      workMs: 62,
      objectiveMs: 243,
      timeoutMs: 1_500,
      calls: { service: "status", times: 1 },
    },
    status: {
      hosts: 15,
      slots: 2,
      perSecond: 0,
      workMs: 18,
      objectiveMs: 100,
      timeoutMs: 250,
    },
  },
  noise: { share: 0.25, factor: 5, periodMs: 150 },
  seconds: 5,
  latencyMs: 15,
};

test("full hosts and slow daemons: a request waits for a slot rather than for refusals", () => {
  const { dashboard } = replayFleetLoad(SLOW_DAEMONS);
  const { dashboard: withoutWaits } = replayFleetLoad({
    ...SLOW_DAEMONS,
    hasWaitsForSlots: false,
  });
  // A tenth of what is missed otherwise is what callers notice.
  const missed = 1 - getShareInTime(dashboard!);
  expect(missed).toBeLessThan(0.9 * (1 - getShareInTime(withoutWaits!)));
});

test("short calls and slow hosts: a refused call asks another host while it has time", () => {
  const calls = { service: "status", times: 1 };
  const { page, board, status } = replayFleetLoad({
    services: {
      page: {
        hosts: 23,
        slots: 4,
        perSecond: 336,
        workMs: 62,
        objectiveMs: 250,
        timeoutMs: 1_500,
        calls,
      },
      board: {
        hosts: 15,
        slots: 4,
        perSecond: 136,
        workMs: 120,
        objectiveMs: 500,
        timeoutMs: 1_500,
        calls: { ...calls, times: 2 },
      },
      status: {
        hosts: 25,
        slots: 4,
        perSecond: 240,
        workMs: 20,
        objectiveMs: 100,
        timeoutMs: 250,
      },
    },
    noise: { share: 0.25, factor: 5, periodMs: 150 },
    seconds: 6,
    latencyMs: 10,
  });
  // Fast slots are always free here: an oracle that knows them serves all in
  // time. Queueing after the first refusal misses 0.029, 0.029 and 0.043.
  expect(getShareInTime(page!)).toBeGreaterThan(0.985);
  expect(getShareInTime(board!)).toBeGreaterThan(0.985);
  expect(getShareInTime(status!)).toBeGreaterThan(0.97);
});
