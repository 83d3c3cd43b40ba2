/**
 * The limit of an upstream's connections. Guards against idle connections that
 * give way though the upstream accepts more, and against resets beyond it.
 */

import { expect, test } from "vitest";
import { decodeRouting } from "../platform/store_entries.ts";
import { mergeWithActive } from "../src/core/degraded_config.ts";
import {
  type ConnectionLimit,
  createConnectionLimit,
} from "../src/upstream/connection_limit.ts";

const SLOTS = 6;

function create(stated?: number): {
  limit: ConnectionLimit;
  clock: { now: number };
} {
  const clock = { now: 1_000 };
  const limit = createConnectionLimit({ now: () => clock.now }, {
    tryGetStated: () => stated,
    getSlots: () => SLOTS,
  });
  return { limit, clock };
}

test("nothing gives way to an upstream that has shown no limit", () => {
  const { limit } = create();
  expect(limit.isReached(10_000)).toBe(false);
});

test("the stated limit leaves room for connections without requests", () => {
  const { limit } = create(240);
  expect(limit.isReached(237)).toBe(false);
  expect(limit.isReached(238)).toBe(true);
});

test("a stated limit below the number of slots leaves each slot a connection", () => {
  const { limit } = create(3);
  expect(limit.isReached(SLOTS - 1)).toBe(false);
  expect(limit.isReached(SLOTS)).toBe(true);
});

test("a reset of a new connection while all others stay open shows the limit, which is forgotten", () => {
  const { limit, clock } = create(240);
  expect(limit.recordRefused(9, 9)).toBe(true);
  expect(limit.isReached(8)).toBe(false);
  expect(limit.isReached(9)).toBe(true);
  clock.now += 59_999;
  expect(limit.isReached(9)).toBe(true);
  clock.now += 1;
  expect(limit.isReached(9)).toBe(false);
  expect(limit.isReached(238)).toBe(true);
});

test("resets of all connections are an end of the upstream and show no limit", () => {
  const { limit } = create();
  expect(limit.recordRefused(9, 0)).toBe(false);
  expect(limit.recordRefused(9, 7)).toBe(false);
  expect(limit.recordRefused(0, 0)).toBe(false);
  expect(limit.isReached(9)).toBe(false);
});

test("more connections that are kept show a higher limit", () => {
  const { limit } = create();
  limit.recordRefused(9, 9);
  limit.recordKept(14);
  expect(limit.isReached(13)).toBe(false);
  expect(limit.isReached(14)).toBe(true);
  limit.recordRefused(10, 10);
  expect(limit.isReached(10)).toBe(true);
});

test("the services' limits are read, and a row that can't be read keeps the active one", () => {
  const published = decodeRouting(JSON.stringify({
    version: "0000000c",
    routes: { columns: [], rows: [] },
    services: {
      columns: ["name", "healthCheck", "maxConns"],
      rows: [["one", "/healthz", 240], ["two", "/ok", null]],
    },
  })).unwrap();
  const config = mergeWithActive(published, undefined)!;
  expect([...config.maxConnections!]).toEqual([["one", 240]]);
  const read = (maxConns: unknown) => {
    const { services } = decodeRouting(JSON.stringify({
      version: "0000000d",
      services: { columns: ["name", "maxConns"], rows: [["one", maxConns]] },
    })).unwrap();
    const next = mergeWithActive({ ...published, services }, config);
    return [...next!.maxConnections!];
  };
  expect(read(260)).toEqual([["one", 260]]);
  expect(read("many")).toEqual([["one", 240]]);
  expect(read(0)).toEqual([["one", 240]]);
  expect(read(null)).toEqual([]);
});
