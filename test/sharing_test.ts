/** Daemons of a large fleet share reading the store. */

import { afterAll, beforeAll, expect, test } from "vitest";
import { planReading, ReadingRank } from "../src/core/reading_plan.ts";
import {
  type Deployment,
  type DeploymentHost,
  startDeployment,
} from "./platform/mesh.ts";
import { StoreMode } from "./platform/store_stand_in.ts";

/** Enough for daemons to share reading, in two failure domains. */
const HOSTS = 20;
/**
 * Time within which a configuration has to be in force, in ms: the strictest
 * bound of all deployments.
 */
const IN_FORCE_MS = 2_000;
/** Minimum time between two reads of large changes by one daemon, in ms. */
const LARGE_READ_INTERVAL_MS = IN_FORCE_MS / 3;

let fleet: Deployment;
let version = 1;

beforeAll(async () => {
  fleet = await startDeployment(
    72,
    Array.from({ length: HOSTS }, () => "shop"),
  );
}, 30_000);
afterAll(() => fleet.close());

test(
  "all but the root follow another daemon soon after the start",
  async () => {
    await expect.poll(() => fleet.hosts.filter(isFollower).length, {
      timeout: 6_000,
    }).toBe(HOSTS - 1);
  },
  10_000,
);

test("a change costs the store one call, not one for each daemon", async () => {
  await pause(1_000);
  const before = fleet.store.calls.get("/-/kv-watch")!;
  const changes = 6;
  for (let i = 0; i < changes; i++) {
    publish();
    await pause(400);
  }
  const storeCalls = fleet.store.calls.get("/-/kv-watch")! - before;
  // One for each change and one for each watch that times out after 500 ms,
  // with a margin.
  expect(storeCalls).toBeLessThanOrEqual(2 * (changes + 5));
  await waitUntilInForce(fleet.hosts);
});

test("a large change is read from the store, not sent over the links of heads", async () => {
  const before = fleet.store.calls.get("/-/kv-watch")!;
  version += 1;
  fleet.publish(version, { added: `/${"large".repeat(10_000)}/` });
  await waitUntilInForce(fleet.hosts);
  const storeCalls = fleet.store.calls.get("/-/kv-watch")! - before;
  // The root's own watch was pending before.
  expect(storeCalls).toBeGreaterThanOrEqual(HOSTS - 1);
  // All daemons follow their sources again, so the next change costs fewer
  // calls.
  await pause(1_000);
  const after = fleet.store.calls.get("/-/kv-watch")!;
  publish();
  await waitUntilInForce(fleet.hosts);
  expect(fleet.store.calls.get("/-/kv-watch")! - after).toBeLessThan(
    HOSTS,
  );
});

test("a storm of large versions is read at a bounded rate by each daemon", async () => {
  await pause(1_000);
  const before = fleet.store.calls.get("/-/kv-watch")!;
  const startedAt = performance.now();
  const changes = 8;
  for (let i = 0; i < changes; i++) {
    version += 1;
    fleet.publish(version, { added: `/${"large".repeat(10_000)}${i}/` });
    await pause(250);
  }
  await waitUntilInForce(fleet.hosts);
  const storeCalls = fleet.store.calls.get("/-/kv-watch")! - before;
  const tookMs = performance.now() - startedAt;
  const reads = Math.ceil(tookMs / LARGE_READ_INTERVAL_MS) + 1;
  // The margin covers the root's own calls.
  expect(storeCalls).toBeLessThanOrEqual(reads * HOSTS + 2 * changes);
});

test("a change is in force in time while the root and its stand-by are frozen", async () => {
  await freezeDuringChange([ReadingRank.Root, ReadingRank.StandBy]);
});

test("a change is in force in time while all heads are frozen", async () => {
  await freezeDuringChange([ReadingRank.Head]);
});

test("a change is in force in time after the root stood still", async () => {
  const [root] = getRanked([ReadingRank.Root]);
  root!.process.kill("SIGSTOP");
  await pause(2_500);
  root!.process.kill("SIGCONT");
  publish();
  await waitUntilInForce(fleet.hosts);
});

test(
  "a change is in force in time at all daemons after the store came back older",
  async () => {
    publish();
    await pause(1_000);
    fleet.store.setMode(StoreMode.Reset);
    fleet.store.rollBack(1_200);
    // The daemons have seen these revisions, with other content.
    publish();
    for (let i = 0; i < 5; i++) fleet.store.put(`other/${i}`, i);
    await pause(300);
    fleet.store.setMode(StoreMode.Serving);
    await waitUntilInForce(fleet.hosts);
    const followers = fleet.hosts.filter(isFollower);
    for (const { lines } of followers) {
      expect(lines.some((l) => l.includes("store_rolled_back"))).toBe(true);
    }
  },
  10_000,
);

test("a change is in force in time when the root is killed", async () => {
  const [root] = getRanked([ReadingRank.Root]);
  root!.process.kill("SIGKILL");
  publish();
  await waitUntilInForce(fleet.hosts.filter((h) => h !== root));
  fleet.startDaemon(root!);
  await fleet.waitUntilReady(root!);
});

async function freezeDuringChange(ranks: ReadingRank[]): Promise<void> {
  // Lets daemons follow again the sources that they lost in an earlier test.
  await pause(2_500);
  const frozen = getRanked(ranks);
  expect(frozen.length).toBeGreaterThan(1);
  for (const host of frozen) host.process.kill("SIGSTOP");
  publish();
  await waitUntilInForce(fleet.hosts.filter((h) => !frozen.includes(h)));
  for (const host of frozen) host.process.kill("SIGCONT");
  await waitUntilInForce(frozen);
}

function publish(): void {
  version += 1;
  fleet.publish(version);
}

async function waitUntilInForce(
  hosts: readonly DeploymentHost[],
): Promise<void> {
  const pattern = new RegExp(`config_in_force.* version=${version} `);
  const getHostsWithout = () =>
    hosts.filter(({ lines }) => !lines.some((l) => pattern.test(l)))
      .map((h) => h.ip);
  await expect.poll(getHostsWithout, { timeout: IN_FORCE_MS }).toEqual([]);
}

function getRanked(ranks: readonly ReadingRank[]): DeploymentHost[] {
  const placed = fleet.hosts.map(({ ip, zone }) => ({
    host: ip,
    failureDomain: zone,
  }));
  return fleet.hosts.filter((_, i) =>
    ranks.includes(planReading(placed[i]!, placed).rank)
  );
}

function isFollower({ lines }: DeploymentHost): boolean {
  return lines.some((l) => l.includes("source_followed"));
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
