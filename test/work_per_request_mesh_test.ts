/**
 * Store daemons as processes: what a request costs them. Guards against a fleet
 * that is busy with itself: where each request takes many turns of the daemons'
 * event loops, those with a fraction of a core are late at their peak.
 */

import { request } from "undici";
import { afterAll, beforeAll, expect, test } from "vitest";
import { type Deployment, startDeployment } from "./platform/mesh.ts";

const METRICS_PORT = 9_464;
const HOSTS = 8;
const REQUESTS = 400;
const GAP_MS = 20;
const WORK_MS = 30;
const IDLE_MS = 4_000;
/** Time after the last request in which a daemon may still be busy with it, in ms: tickets are kept for 10 s. */
const AFTER_MS = 11_000;
/**
 * Turns that a request needs. At the gateway: the request, a reading of the
 * sockets before it is sent, that it was accepted, and the response. At the
 * guard: the request, the health check, a reading before it starts, and the
 * response. As much again for new connections and a refused attempt.
 */
const MAX_TURNS = 16;

let fleet: Deployment;
beforeAll(async () => {
  fleet = await startDeployment(
    100,
    Array.from({ length: HOSTS }, () => "shop"),
  );
}, 30_000);
afterAll(() => fleet.close());

async function countTurns(): Promise<number> {
  const counts = await Promise.all(fleet.hosts.map(async ({ ip }) => {
    const res = await request(`http://${ip}:${METRICS_PORT}/metrics`);
    const text = await res.body.text();
    return Number(/event_loop_turns(?:{[^}]*})? (\d+)/.exec(text)?.[1]);
  }));
  return counts.reduce((sum, it) => sum + it, 0);
}

test("a request takes few turns of the daemons' event loops", async () => {
  for (const { upstream } of fleet.hosts) upstream.workMs = WORK_MS;
  const idleFrom = await countTurns();
  await pause(IDLE_MS);
  const idlePerMs = (await countTurns() - idleFrom) / IDLE_MS;

  const from = await countTurns();
  const startedAt = performance.now();
  const responses = [];
  for (let i = 0; i < REQUESTS; i++) {
    const isOrder = i % 4 === 0;
    responses.push(
      fleet.call(fleet.hosts[i % HOSTS]!, {
        id: `r${i}`,
        ...(isOrder && { path: "/order/1", method: "POST", body: "x" }),
      }),
    );
    await pause(GAP_MS);
  }
  const statuses = (await Promise.all(responses)).map((r) => r.status);
  expect(statuses).toEqual(Array(REQUESTS).fill(200));
  await pause(AFTER_MS);
  const tookMs = performance.now() - startedAt;
  const turns = await countTurns() - from - idlePerMs * tookMs;
  expect(turns / REQUESTS).toBeLessThan(MAX_TURNS);
}, 60_000);

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
