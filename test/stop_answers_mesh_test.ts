/**
 * A store daemon as a process that is stopped while callers go on sending on
 * open connections. Guards against requests that are taken late in the grace
 * time and cut at its end.
 */

import { afterAll, beforeAll, expect, test } from "vitest";
import {
  type Deployment,
  type DeploymentHost,
  startDeployment,
} from "./platform/mesh.ts";

/** `graceS` of the settings, in ms: the process is killed then. */
const GRACE_MS = 6_000;
const SEND_EVERY_MS = 100;
/** Requests before the stop, from which the daemon knows how long they take. */
const KNOWN = 6;
const FAST_MS = 5;

let fleet: Deployment;
let count = 0;
beforeAll(async () => {
  fleet = await startDeployment(60, ["front", "shop"]);
  fleet.publish(2, { service: "shop", timeoutS: 30, sloS: 20 });
  await fleet.waitInForce();
}, 30_000);
afterAll(() => fleet.close());

test.each(
  [FAST_MS, 1_500, 3_400].flatMap((workMs) =>
    [{ method: "POST" as const, kind: "order" }, {
      method: "GET" as const,
      kind: "read",
    }].map((it) => ({ workMs, ...it }))
  ),
)(
  "each $kind of $workMs ms that arrives while the daemon stops gets its answer, or that it has not run",
  async ({ workMs, method, kind }) => {
    const [front, back] = fleet.hosts as [DeploymentHost, DeploymentHost];
    back.upstream.workMs = workMs;
    if (front.process.exitCode !== null) {
      fleet.startDaemon(front);
      await fleet.waitUntilReady(front);
      await fleet.waitInForce();
    }
    back.upstream.slots = 200;
    await pause(100);
    const known = Array.from(
      { length: KNOWN },
      () => send(front, method, kind),
    );
    for (const { status } of await Promise.all(known)) {
      expect(status).toBe(200);
    }
    const exited = new Promise<number>((resolve) =>
      front.process.once("exit", () => resolve(performance.now()))
    );
    front.process.kill("SIGTERM");
    const stoppedAt = performance.now();
    const sent: Promise<Result>[] = [];
    while (front.process.exitCode === null) {
      if (performance.now() > stoppedAt + GRACE_MS) break;
      sent.push(send(front, method, kind));
      await pause(SEND_EVERY_MS);
    }
    const tookMs = await exited - stoppedAt;
    const results = await Promise.all(sent);
    // A connection that closes without an answer is right only if nothing ran.
    const ran = new Set(back.upstream.ran);
    const bad = results.filter(({ id, status }) =>
      status !== 200 && (status === 502 || status === 504 || ran.has(id))
    );
    expect(bad).toEqual([]);
    const served = results.filter(({ status }) => status === 200);
    expect(served.length).toBeGreaterThan(3);
    expect(tookMs).toBeLessThan(GRACE_MS);
  },
  40_000,
);

interface Result {
  readonly id: string;
  /** Status of the answer, or the error without one. */
  readonly status: number | string;
}

async function send(
  host: DeploymentHost,
  method: "GET" | "POST",
  kind: string,
): Promise<Result> {
  const id = `s-${count += 1}`;
  try {
    const { status } = await fleet.call(host, {
      id,
      path: `/${kind}/1`,
      method,
      timeoutMs: 30_000,
      ...(method === "POST" && { body: "x" }),
    });
    return { id, status };
  } catch (error) {
    return { id, status: String(error) };
  }
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
