/** Routes of a published configuration, and the list of upstreams after a rollback. */

import { expect, test } from "vitest";
import {
  createRouteTable,
  pickService,
  RouteMatch,
} from "../src/core/route_table.ts";
import {
  type ListedUpstream,
  ListedUpstreamState,
  type PrefixRoute,
} from "../src/core/routing_types.ts";
import { Repeatability } from "../src/core/types.ts";
import {
  createUpstreamList,
  UpstreamRemoval,
} from "../src/core/upstream_list.ts";
import { createTestHost } from "./support/core_host.ts";

function createRoute(name: string, hostname: string, prefix: string) {
  return {
    name,
    hostname,
    prefix,
    repeatability: Repeatability.Idempotent,
    timeoutMs: 800,
    objectiveMs: 300,
    priority: 1,
    maxRuns: 2,
    parts: [{ service: name, weight: 1 }],
  } satisfies PrefixRoute;
}

const TABLE = createRouteTable({
  version: 1,
  routes: [
    createRoute("short", "shop", "/a/"),
    createRoute("long", "shop", "/a/b/"),
    createRoute("other", "office", "/"),
  ],
  unreadable: [],
  problems: [],
  services: new Set(),
  healthPaths: new Map(),
  limits: {
    maxHeaderBytes: 1,
    maxBodyBytes: 1,
    headerTimeoutMs: 1,
    idleTimeoutMs: 1,
  },
});

test("the longest prefix of the hostname decides", () => {
  const find = (hostname: string, path: string) => {
    const match = TABLE.tryMatch(hostname, path);
    return typeof match === "object" ? match.name : match;
  };
  expect(find("shop", "/a/x")).toBe("short");
  expect(find("shop", "/a/b/x")).toBe("long");
  expect(find("shop", "/a/bx")).toBe("short");
  expect(find("shop", "/a")).toBeUndefined();
  expect(find("office", "/a/b/x")).toBe("other");
  expect(find("nowhere", "/a/x")).toBeUndefined();
});

test("an unreadable route hides shorter prefixes and equal ones, and no others", () => {
  const table = createRouteTable({
    ...TABLE.config,
    unreadable: [
      { hostname: "shop", prefix: "/a/b/" },
      { name: "new", hostname: "shop", prefix: "/a/c/" },
    ],
  });
  const find = (hostname: string, path: string) => {
    const match = table.tryMatch(hostname, path);
    return typeof match === "object" ? match.name : match;
  };
  expect(find("shop", "/a/b/x")).toBe(RouteMatch.Unreadable);
  expect(find("shop", "/a/c/x")).toBe(RouteMatch.Unreadable);
  expect(find("shop", "/a/x")).toBe("short");
  expect(find("office", "/a/b/x")).toBe("other");
  expect(find("nowhere", "/a/b/x")).toBeUndefined();
});

test("a split route's requests follow its weights", () => {
  const host = createTestHost();
  const parts = [
    { service: "one", weight: 90 },
    { service: "two", weight: 10 },
    { service: "none", weight: 0 },
  ];
  const counts = new Map<string, number>();
  for (let i = 0; i < 10_000; i++) {
    const service = pickService(parts, host);
    counts.set(service, (counts.get(service) ?? 0) + 1);
  }
  expect(Math.abs(counts.get("one")! / 10_000 - 0.9)).toBeLessThan(0.02);
  expect(counts.get("none")).toBeUndefined();
});

const READY: ListedUpstream = {
  instance: "i",
  service: "shop",
  address: "10.0.0.1:80",
  failureDomain: "east",
  slots: 4,
  state: ListedUpstreamState.Ready,
  bornAt: 1,
};
const DRAINING = { ...READY, state: ListedUpstreamState.Draining };
const LAPSE_GRACE_MS = 2_000;

function createTestList() {
  const host = createTestHost();
  const list = createUpstreamList(host, {
    lapseGraceMs: LAPSE_GRACE_MS,
    getHost: (address) => address.split(":")[0]!,
    onChange: () => {},
  });
  const getInstances = () => list.getCandidates("shop").map((c) => c.instance);
  return { host, list, getInstances };
}

test("an older copy makes no upstream ready that drains, until its entry is dropped and listed anew", () => {
  const { list, getInstances } = createTestList();
  list.put(READY);
  list.put(DRAINING);
  list.markRolledBack();
  list.replaceAll([READY]);
  expect(getInstances()).toEqual([]);
  // Its writer says again what the store lost.
  list.put(DRAINING);
  expect(getInstances()).toEqual([]);
  list.remove("i");
  list.put(READY);
  expect(getInstances()).toEqual(["i"]);
});

test("an older copy brings no upstream back that had left, but one that started again", () => {
  const { host, list, getInstances } = createTestList();
  list.put(READY);
  list.remove("i");
  host.advance(5_000);
  list.markRolledBack();
  list.replaceAll([READY]);
  expect(getInstances()).toEqual([]);
  list.put({ ...READY, bornAt: 2 });
  expect(getInstances()).toEqual(["i"]);
});

test("an upstream that an older copy lists for long is alive", () => {
  const { host, list, getInstances } = createTestList();
  list.put(READY);
  list.remove("i");
  list.markRolledBack();
  list.replaceAll([READY]);
  host.advance(29_999);
  expect(getInstances()).toEqual([]);
  host.advance(1);
  expect(getInstances()).toEqual(["i"]);
});

test("an upstream that an older copy lacks is used until it should have been written again", () => {
  const { host, list, getInstances } = createTestList();
  const second = { ...READY, instance: "j", address: "10.0.0.2:80" };
  list.put(READY);
  list.put(second);
  list.markRolledBack();
  list.replaceAll([]);
  expect(getInstances()).toEqual(["i", "j"]);
  host.advance(LAPSE_GRACE_MS - 1);
  list.put(second);
  host.advance(1);
  expect(getInstances()).toEqual(["j"]);
});

test("an entry that can't be read names no upstream, also just after an outage", () => {
  const { list, getInstances } = createTestList();
  list.put(READY);
  list.put({ ...READY, instance: "j", address: "10.0.0.2:80" });
  list.markLost();
  list.markRegained();
  list.remove("i", UpstreamRemoval.Unreadable);
  list.remove("j");
  expect(getInstances()).toEqual(["j"]);
  list.put(READY);
  expect(getInstances()).toEqual(["j", "i"]);
});

test("a list that lost nothing makes an upstream ready again that drained", () => {
  const { list, getInstances } = createTestList();
  list.put(DRAINING);
  list.put(READY);
  expect(getInstances()).toEqual(["i"]);
});

test("an entry dropped from one older copy is outdated in the next, older one", () => {
  const { list, getInstances } = createTestList();
  list.put(READY);
  list.remove("i");
  list.markRolledBack();
  list.replaceAll([READY]);
  list.remove("i");
  list.markRolledBack();
  list.replaceAll([READY]);
  expect(getInstances()).toEqual([]);
});

const CHANGES_OF_STARTS = [
  { name: "an older copy", isRolledBack: true, expected: [] },
  { name: "a current list", isRolledBack: false, expected: ["restarted"] },
];

test.each(CHANGES_OF_STARTS)(
  "an earlier start of a known upstream in $name is another one only if the list is current",
  ({ isRolledBack, expected }) => {
    const host = createTestHost();
    const changes: string[] = [];
    const list = createUpstreamList(host, {
      lapseGraceMs: LAPSE_GRACE_MS,
      getHost: (address) => address.split(":")[0]!,
      onChange: (change) => changes.push(change),
    });
    list.put({ ...READY, bornAt: 1 });
    list.put({ ...READY, bornAt: 2 });
    changes.length = 0;
    if (isRolledBack) list.markRolledBack();
    list.put({ ...READY, bornAt: 1 });
    // Its writer writes again what the list lost.
    if (isRolledBack) list.put({ ...READY, bornAt: 2 });
    expect(changes.filter((it) => it !== "outdated")).toEqual(expected);
    expect(list.getCandidates("shop").map((it) => it.instance)).toEqual(["i"]);
  },
);

test("an older copy brings no earlier start of an upstream back that has left", () => {
  const { list, getInstances } = createTestList();
  list.put({ ...READY, bornAt: 2 });
  list.remove("i");
  list.markRolledBack();
  list.replaceAll([{ ...READY, bornAt: 1 }]);
  expect(getInstances()).toEqual([]);
});

test("an upstream whose earlier start was withheld lapses like any other", () => {
  const { list } = createTestList();
  list.put({ ...READY, bornAt: 2 });
  list.markRolledBack();
  list.put({ ...READY, bornAt: 1 });
  list.remove("i");
  expect(list.tryGetLeavingSince("i")).toBe(undefined);
});
