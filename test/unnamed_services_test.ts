/** Entries of services that the configuration doesn't name: in no view of the list until it does. */

import { expect, test } from "vitest";
import type { Exclusion } from "../src/core/exclusions.ts";
import { mergeWithActive } from "../src/core/degraded_config.ts";
import {
  type ListedUpstream,
  ListedUpstreamState,
  type PublishedConfig,
} from "../src/core/routing_types.ts";
import { createUpstreamList } from "../src/core/upstream_list.ts";
import { createTestHost } from "./support/core_host.ts";
import { decodeRouting } from "../platform/store_entries.ts";

const SOUND: ListedUpstream = {
  instance: "sound",
  bornAt: 1,
  service: "shop",
  address: "10.0.0.1:80",
  failureDomain: "east",
  slots: 4,
  state: ListedUpstreamState.Ready,
};
/** Names the same address. */
const ODD: ListedUpstream = {
  ...SOUND,
  instance: "odd",
  service: "unnamed",
  slots: 1,
};
const ELSEWHERE: ListedUpstream = {
  ...ODD,
  instance: "elsewhere",
  address: "10.0.0.9:80",
};

function createList(named = new Set(["shop"])) {
  const starts: [string, string | undefined][] = [];
  const list = createUpstreamList(createTestHost(), {
    lapseGraceMs: 2_000,
    getHost: (address) => address.split(":")[0]!,
    isNamed: (service) => named.has(service),
    onChange: () => {},
    onStart: (host, it) => starts.push([host, it?.instance]),
  });
  return { list, named, starts };
}

test.each([
  { order: "after", entries: [SOUND, ODD, ELSEWHERE] },
  { order: "before", entries: [ODD, ELSEWHERE, SOUND] },
])(
  "an entry of an unnamed service listed $order the sound one is in no view",
  ({ entries }) => {
    const { list, starts } = createList();
    for (const entry of entries) list.put(entry);
    expect(list.getCandidates("shop")).toMatchObject([{ instance: "sound" }]);
    expect(list.tryGetAt(SOUND.address)).toBe(SOUND);
    expect(list.tryGetAt(ELSEWHERE.address)).toBeUndefined();
    expect(list.getReadyHosts().map((it) => it.host)).toEqual(["10.0.0.1"]);
    expect(starts).toEqual([["10.0.0.1", "sound"]]);
    const excluded: Exclusion[] = [];
    list.previewCandidates("shop", {
      exclude: (_candidate, reason) => excluded.push(reason),
      rate: () => {},
      forget: () => {},
      forgotten: new Set(),
    });
    expect(excluded).toEqual([]);
    list.remove("odd");
    expect(starts).toHaveLength(1);
  },
);

test("a service that is named later is used from then on, and no more once it isn't named", () => {
  const { list, named, starts } = createList(new Set());
  list.put(SOUND);
  expect(list.getCandidates("shop")).toEqual([]);
  named.add("shop");
  list.recordServicesChanged();
  expect(list.getCandidates("shop")).toMatchObject([{ instance: "sound" }]);
  named.delete("shop");
  list.recordServicesChanged();
  expect(list.getCandidates("shop")).toEqual([]);
  expect(list.tryGetAt(SOUND.address)).toBeUndefined();
  named.add("shop");
  list.recordServicesChanged();
  expect(list.getCandidates("shop")).toMatchObject([{ instance: "sound" }]);
  expect(starts.map(([, instance]) => instance)).toEqual([
    "sound",
    undefined,
    "sound",
  ]);
});

test("of two sound entries of one host, the one that was listed last is used", () => {
  const { list } = createList(new Set(["shop", "orders"]));
  list.put(SOUND);
  list.put({ ...SOUND, instance: "next", service: "orders" });
  expect(list.getCandidates("shop")).toEqual([]);
  expect(list.getCandidates("orders")).toMatchObject([{ instance: "next" }]);
});

const COLUMNS = [
  "name",
  "host",
  "prefix",
  "kind",
  "timeoutS",
  "sloS",
  "priority",
  "attempts",
  "service",
  "split",
];

function decode(services: unknown, version: string): PublishedConfig {
  return decodeRouting(JSON.stringify({
    version,
    routes: {
      columns: COLUMNS,
      rows: [["r", "h", "/r/", "safe", 1, 1, 1, 1, "shop", null]],
    },
    services,
    limits: {},
  })).unwrap();
}

function table(...names: unknown[]): unknown {
  return {
    columns: ["name", "healthCheck"],
    rows: names.map((name) => [name, "/healthz"]),
  };
}

test("services are named by the table, and by routes; those of a table that can't be read stay named", () => {
  const first = mergeWithActive(
    decode(table("shop", "orders"), "00000001"),
    undefined,
  )!;
  expect([...first.services].sort()).toEqual(["orders", "shop"]);
  const unreadable = mergeWithActive(decode(7, "00000002"), first)!;
  expect([...unreadable.services].sort()).toEqual(["orders", "shop"]);
  const part = mergeWithActive(
    decode(table("shop", "added", 5), "00000003"),
    first,
  )!;
  expect([...part.services].sort()).toEqual(["added", "orders", "shop"]);
  const without = mergeWithActive(decode(table("shop"), "00000004"), first)!;
  expect([...without.services]).toEqual(["shop"]);
  const fresh = mergeWithActive(decode(undefined, "00000005"), undefined)!;
  expect([...fresh.services]).toEqual(["shop"]);
});
