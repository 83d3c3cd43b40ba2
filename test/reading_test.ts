/** Which daemons read the store, and what they send to their followers. */

import { expect, test } from "vitest";
import { createChangeLog, dropSuperseded } from "../src/core/change_log.ts";
import {
  type DomainHost,
  planReading,
  ReadingRank,
} from "../src/core/reading_plan.ts";

test("all daemons agree on a root, a stand-by and two heads in each failure domain", () => {
  const hosts = createHosts(30);
  const plans = hosts.map((self) => planReading(self, hosts));
  const getHosts = (rank: ReadingRank) =>
    hosts.filter((_, i) => plans[i]!.rank === rank).map((h) => h.host);
  const roots = [
    ...getHosts(ReadingRank.Root),
    ...getHosts(ReadingRank.StandBy),
  ];
  expect(roots).toHaveLength(2);
  for (const [index, { rank, sources }] of plans.entries()) {
    if (rank === ReadingRank.Head) expect(sources).toEqual(roots);
    if (rank !== ReadingRank.Follower) continue;
    const { failureDomain } = hosts[index]!;
    for (const source of sources) {
      const at = hosts.findIndex((h) => h.host === source);
      expect(hosts[at]!.failureDomain).toBe(failureDomain);
    }
  }
  const preferred = new Set(
    plans.filter((p) => p.rank === ReadingRank.Follower)
      .map((p) => p.sources[0]),
  );
  expect(preferred.size).toBe(4);
  const remaining = hosts.filter((h) => h.host !== roots[0]);
  const next = planReading(hosts.find((h) => h.host === roots[1])!, remaining);
  expect(next.rank).toBe(ReadingRank.Root);
});

test("at the target size no daemon has more than some sixty followers", () => {
  const hosts = Array.from({ length: 2_400 }, (_, i) => ({
    host: `10.0.${Math.floor(i / 250)}.${i % 250}`,
    failureDomain: `domain-${i % 9}`,
  }));
  const followers = new Map<string, number>();
  // A sample of every eighth host, as each plan sorts the whole list.
  for (const self of hosts.filter((_, i) => i % 8 === 0)) {
    const [preferred] = planReading(self, hosts).sources;
    if (preferred === undefined) continue;
    followers.set(preferred, (followers.get(preferred) ?? 0) + 8);
  }
  expect(Math.max(...followers.values())).toBeLessThan(110);
});

test("daemons of a small deployment all read the store", () => {
  const hosts = createHosts(7);
  for (const self of hosts) {
    expect(planReading(self, hosts)).toEqual({
      rank: ReadingRank.Root,
      isShared: false,
      sources: [],
    });
  }
});

test("of the versions in a batch only the newest is decoded; removals all count", () => {
  const entries = [
    { key: "routing", text: "1" },
    { key: "servers/a", text: "ready" },
    { key: "servers/a" },
    { key: "routing", text: "2" },
    { key: "servers/a", text: "ready again" },
  ];
  expect(dropSuperseded(entries)).toEqual(entries.slice(2));
});

test("a log brings a follower up to date from any revision that it knows", () => {
  const log = createChangeLog();
  expect(log.tryGetSince({ era: 1, revision: 0 })).toBeUndefined();
  log.restart({ era: 1, revision: 10, entries: [{ key: "a", text: "1" }] });
  log.apply({ era: 1, revision: 12, entries: [{ key: "b", text: "1" }] });
  log.apply({
    era: 1,
    revision: 15,
    entries: [{ key: "a" }, { key: "b", text: "2" }],
  });
  expect(log.tryGetSince({ era: 1, revision: 9 })).toBeUndefined();
  expect(log.tryGetSince({ era: 1, revision: 10 })).toEqual({
    era: 1,
    revision: 15,
    entries: [{ key: "a" }, { key: "b", text: "2" }],
  });
  expect(log.tryGetSince({ era: 1, revision: 15 })!.entries).toEqual([]);
  expect(log.tryGetSince({ era: 2, revision: 15 })).toBeUndefined();
  for (let i = 0; i < 1_000; i++) {
    log.apply({ era: 1, revision: 16 + i, entries: [{ key: `gone-${i}` }] });
  }
  // The removal of "a" is evicted, so the changes since revision 14 are
  // incomplete.
  expect(log.tryGetSince({ era: 1, revision: 14 })).toBeUndefined();
  expect(log.tryGetSince({ era: 1, revision: 15 })!.entries).toHaveLength(
    1_000,
  );
});

function createHosts(count: number): DomainHost[] {
  return Array.from({ length: count }, (_, i) => ({
    host: `10.0.0.${i}`,
    failureDomain: i % 2 === 0 ? "east" : "west",
  }));
}
