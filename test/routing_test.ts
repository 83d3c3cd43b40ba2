/** Routes of a published configuration. */

import { expect, test } from "vitest";
import { createRouteTable, pickService } from "../src/core/route_table.ts";
import type { PrefixRoute } from "../src/core/routing_types.ts";
import { Repeatability } from "../src/core/types.ts";
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
  healthPaths: new Map(),
  limits: {
    maxHeaderBytes: 1,
    maxBodyBytes: 1,
    headerTimeoutMs: 1,
    idleTimeoutMs: 1,
  },
});

test("the longest prefix of the hostname decides", () => {
  const find = (hostname: string, path: string) =>
    TABLE.tryMatch(hostname, path)?.name;
  expect(find("shop", "/a/x")).toBe("short");
  expect(find("shop", "/a/b/x")).toBe("long");
  expect(find("shop", "/a/bx")).toBe("short");
  expect(find("shop", "/a")).toBeUndefined();
  expect(find("office", "/a/b/x")).toBe("other");
  expect(find("nowhere", "/a/x")).toBeUndefined();
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
