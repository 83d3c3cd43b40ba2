/** Requests that end each upstream that runs them, with daemons as processes. */

import type { Buffer } from "node:buffer";
import { afterEach, beforeEach, expect, test } from "vitest";
import {
  type Deployment,
  type DeploymentHost,
  startDeployment,
} from "./platform/mesh.ts";

/** Upstreams that such a request may end before it is known. */
const KNOWN_AFTER = 3;
/** Retries that may reach upstreams later than `stableS` after that. */
const ALLOWED_AFTER = 3;
const STABLE_MS = 3_000;
const FATAL = "/read/fatal";

let fleet: Deployment;
beforeEach(async () => {
  fleet = await startDeployment(89, ["shop", "shop", "shop", "front"]);
  for (const host of fleet.hosts) {
    const { upstream } = host;
    upstream.workMs = 30;
    upstream.downMs = 600;
    upstream.isFatal = isFatal;
    upstream.onRestarted = () => fleet.list(host);
  }
});
afterEach(() => fleet.close());

function isFatal(path: string, body: Buffer): boolean {
  return path === FATAL ||
    (path === "/order/fatal" && body.toString() === "fatal");
}

/** Sends the request to one daemon after the other, as a new request each time. */
async function sendRepeatedly(
  req: { path: string; method?: "GET" | "POST"; body?: string },
  seconds: number,
): Promise<number[]> {
  const statuses: Promise<number>[] = [];
  for (let i = 0; i < seconds * 10; i++) {
    const host = fleet.hosts[i % fleet.hosts.length]!;
    const call = fleet.call(host, { id: `fatal-${i}`, ...req });
    statuses.push(call.then((res) => res.status));
    await pause(100);
  }
  return await Promise.all(statuses);
}

/** Arrivals at upstreams later than `stableS` after the third end. */
function countLaterArrivals(): number {
  const arrived = fleet.hosts.flatMap((h) => h.upstream.arrived)
    .filter(({ id, isMisdirected }) =>
      id.startsWith("fatal-") && !isMisdirected
    )
    .map(({ at }) => at).sort((a, b) => a - b);
  const third = arrived[KNOWN_AFTER - 1] ?? Infinity;
  return arrived.filter((at) => at > third + STABLE_MS).length;
}

/** From a refused request its signature leads to the ends, and these to the runs at upstreams. */
function expectExplained(): void {
  const lines = fleet.hosts.flatMap((h) => h.lines);
  const refused = lines.find((l) => l.includes("reason=request_quarantined"));
  const signature = / signature=(\S+)/.exec(refused ?? "")?.[1];
  const suspected = lines.find((l) =>
    l.includes("event=request_suspected") && l.includes(`${signature} `)
  );
  const end = / lastEnd=([^@]+)@/.exec(suspected ?? "")?.[1];
  const failed = lines.find((l) =>
    l.includes("event=upstream_failed") && l.includes(`end=${end} `)
  );
  expect(failed).toContain("reason=upstream_ended");
}

function countEnds(): number {
  return fleet.hosts.reduce((sum, h) => sum + h.upstream.ends.length, 0);
}

test.each([
  { path: FATAL },
  { path: "/order/fatal", method: "POST" as const, body: "fatal" },
])("$path: upstreams end only until the request is known", async (req) => {
  const statuses = await sendRepeatedly(req, 9);
  expect(statuses.filter((status) => status < 500)).toEqual([]);
  expect(countLaterArrivals()).toBeLessThanOrEqual(ALLOWED_AFTER);
  expect(countEnds()).toBeLessThanOrEqual(KNOWN_AFTER + ALLOWED_AFTER);
  expectExplained();
  // Other requests are served by all upstreams again, also of the same path.
  const others = await Promise.all(fleet.hosts.map(async (host, i) => {
    const read = await fleet.call(host, { id: `other-${i}` });
    const order = await fleet.call(host, {
      id: `order-${i}`,
      path: "/order/fatal",
      method: "POST",
      body: "sound",
    });
    return [read.status, order.status];
  }));
  expect(others).toEqual(fleet.hosts.map(() => [200, 200]));
}, 30_000);

test("a daemon that starts later knows the request", async () => {
  await sendRepeatedly({ path: FATAL }, 4);
  const before = countEnds();
  const host = fleet.hosts.at(-1) as DeploymentHost;
  const exited = new Promise((resolve) => host.process.once("exit", resolve));
  host.process.kill("SIGKILL");
  await exited;
  fleet.startDaemon(host);
  await fleet.waitUntilReady(host);
  await pause(500);
  const res = await fleet.call(host, { id: "fatal-later", path: FATAL });
  expect(res.status).toBe(503);
  expect(countEnds()).toBe(before);
}, 30_000);

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
