/** Store daemons as processes, when the store comes back from an older copy. */

import { afterAll, beforeAll, expect, test } from "vitest";
import {
  type Deployment,
  type DeploymentHost,
  startDeployment,
} from "./platform/mesh.ts";
import { type Rollback, StoreMode } from "./platform/store_stand_in.ts";

/** Longer than a batch of changes takes to reach all daemons, in ms. */
const KNOWN_MS = 1_000;
/** Age of the copy, in ms: it lacks what was written since the last pause. */
const AGE_MS = KNOWN_MS + 300;
/** Time until writers have written again what the store lost, in ms. */
const REWRITE_MS = 1_500;

let fleet: Deployment;

beforeAll(async () => {
  fleet = await startDeployment(76, ["shop", "shop", "shop"]);
  await pause(KNOWN_MS);
});
afterAll(() => fleet.close());

/** Takes the store away and brings it back with the content of a time in ms ago. */
async function rollBack(
  ageMs: number,
  whileAway: () => void = () => {},
): Promise<Rollback> {
  fleet.store.setMode(StoreMode.Reset);
  const rollback = fleet.store.rollBack(ageMs);
  whileAway();
  await pause(300);
  fleet.store.setMode(StoreMode.Serving);
  return rollback;
}

async function sendReads(name: string, ms: number): Promise<number[]> {
  const calls: Promise<number>[] = [];
  for (let i = 0; i < ms / 10; i++) {
    const host = fleet.hosts[i % fleet.hosts.length]!;
    const call = fleet.call(host, { id: `${name}-${i}` });
    calls.push(call.then((res) => res.status, () => 0));
    await pause(10);
  }
  return await Promise.all(calls);
}

test(
  "a change whose revision was given out before is in force after the store came back older",
  async () => {
    fleet.publish(2);
    await pause(KNOWN_MS);
    await rollBack(AGE_MS, () => {
      // The daemons have seen these revisions, with other content.
      fleet.publish(3);
      for (let i = 0; i < 5; i++) fleet.store.put(`other/${i}`, i);
    });
    await pause(1_900);
    for (const { ip, lines } of fleet.hosts) {
      const inForce = lines.filter((l) => l.includes("config_in_force")).at(-1);
      expect(inForce, ip).toContain("version=3 ");
    }
  },
  20_000,
);

test(
  "an older version that the store comes back with doesn't replace the newer one",
  async () => {
    fleet.publish(4);
    await pause(KNOWN_MS);
    await rollBack(AGE_MS);
    await pause(KNOWN_MS);
    for (const { ip, lines } of fleet.hosts) {
      const inForce = lines.filter((l) => l.includes("config_in_force")).at(-1);
      expect(inForce, ip).toContain("version=4 ");
    }
    fleet.publish(5);
    await pause(KNOWN_MS);
  },
  20_000,
);

test(
  "an upstream that was draining gets no work although an older copy lists it as ready",
  async () => {
    const [, host] = fleet.hosts as [DeploymentHost, DeploymentHost];
    fleet.list(host, { state: "draining", seq: 2 });
    await pause(KNOWN_MS);
    const before = host.upstream.arrivals;
    const rollback = await rollBack(AGE_MS);
    const statuses = await sendReads("draining", REWRITE_MS);
    rollback.writeAgain();
    expect(host.upstream.arrivals - before).toBe(0);
    expect(statuses.filter((s) => s !== 200)).toEqual([]);
    await pause(KNOWN_MS);
  },
  20_000,
);

test(
  "an upstream that an older copy lacks stays in use, and one that had left does not return",
  async () => {
    const [, host] = fleet.hosts as [DeploymentHost, DeploymentHost];
    const { instance } = host.upstream;
    fleet.store.remove(`servers/${instance}`);
    host.upstream.instance = `${instance}+1`;
    fleet.list(host);
    await pause(KNOWN_MS);
    const before = host.upstream.arrivals;
    const rollback = await rollBack(AGE_MS);
    const statuses = await sendReads("replaced", REWRITE_MS);
    rollback.writeAgain();
    // Requests for the incarnation that left would be refused with 421.
    const arrived = host.upstream.arrivals - before;
    const ran = host.upstream.runs.filter((r) => r.id.startsWith("replaced"));
    expect(arrived).toBe(ran.length);
    expect(arrived).toBeGreaterThan(0);
    expect(statuses.filter((s) => s !== 200)).toEqual([]);
  },
  20_000,
);

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
