/**
 * Store daemons as processes, whose configuration and list of upstreams change
 * while requests run at each other's upstreams. Guards against attempts that end
 * with the connection of a host that was dropped.
 */

import { afterAll, beforeAll, expect, test } from "vitest";
import {
  type Deployment,
  type DeploymentHost,
  startDeployment,
} from "./platform/mesh.ts";

const CALLERS = 16;
const WORK_MS = 300;
const TIMEOUT_MS = 1_900;
const ROUND_MS = 1_200;
/** More than a frame between daemons takes, in bytes. */
const LARGE = 30_000;

let fleet: Deployment;
let count = 0;
beforeAll(async () => {
  fleet = await startDeployment(203, ["front", "shop", "shop"]);
  fleet.publish(2, { service: "shop" });
  await fleet.waitInForce();
  for (const host of fleet.hosts) {
    host.upstream.slots = 100;
    host.upstream.workMs = WORK_MS;
  }
}, 30_000);
afterAll(() => fleet.close());

let version = 2;
const CHANGES: Record<string, (back: DeploymentHost) => void> = {
  "a configuration": () => fleet.publish(version += 1, { service: "shop" }),
  "a configuration without the route's hosts": () => {
    fleet.publish(version += 1, { service: "front" });
    fleet.publish(version += 1, { service: "shop" });
  },
  "a host that is listed as draining": (back) =>
    fleet.list(back, { state: "draining", seq: 2 }),
  "a host that leaves the list": (back) =>
    fleet.store.remove(`servers/${back.upstream.instance}`),
  "SIGHUP": (back) => {
    for (const { process } of [fleet.hosts[0]!, back]) process.kill("SIGHUP");
  },
};

test.each(Object.keys(CHANGES))(
  "attempts in progress at another host get their replies through %s",
  async (name) => {
    const front = fleet.hosts[0] as DeploymentHost;
    // In the failure domain of the first one, which prefers it.
    const back = fleet.hosts[2] as DeploymentHost;
    fleet.list(back, { seq: 3 });
    await pause(500);
    const answers: { id: string; status: number }[] = [];
    const endsAt = performance.now() + ROUND_MS;
    const callers = Array.from({ length: CALLERS }, async (_, i) => {
      const isOrder = i % 2 === 0;
      while (performance.now() < endsAt) {
        const id = `c-${count += 1}`;
        const { status } = await fleet.call(front, {
          id,
          path: isOrder ? "/order/1" : "/read/1",
          method: isOrder ? "POST" : "GET",
          timeoutMs: TIMEOUT_MS,
          ...(isOrder && { body: "x".repeat(i % 4 === 0 ? 1 : LARGE) }),
        });
        answers.push({ id, status });
      }
    });
    await pause(ROUND_MS / 2);
    expect(back.upstream.ran.length).toBeGreaterThan(0);
    CHANGES[name]!(back);
    await Promise.all(callers);
    const ran = new Set(fleet.hosts.flatMap(({ upstream }) => upstream.ran));
    const bad = answers.filter(({ id, status }) =>
      status !== 200 && (status !== 503 || ran.has(id))
    );
    expect({ bad, of: answers.length })
      .toEqual({ bad: [], of: answers.length });
    expect(answers.filter(({ status }) => status === 200).length)
      .toBeGreaterThan(CALLERS);
  },
  30_000,
);

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
