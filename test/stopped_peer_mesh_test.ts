/**
 * A store daemon as a process that is stopped while another one sends requests
 * to its guard, the only one of their service. Guards against requests that are
 * in doubt although they never ran.
 */

import { connect, type Socket } from "node:net";
import { afterAll, beforeAll, expect, test } from "vitest";
import {
  CALLER_PORT,
  type Deployment,
  type DeploymentHost,
  startDeployment,
} from "./platform/mesh.ts";

const CALLERS = 24;
const STOPS = 2;
const BEFORE_MS = 300;
const TIMEOUT_MS = 1_900;
/** Requests whose lines of the daemons' logs the failure contains. */
const MAX_EXPLAINED = 4;
/** Longer than a daemon may take to stop. */
const LONG_MS = 12_000;
/** Request bodies, in bytes; the second is more than a frame between daemons takes. */
const SMALL = 1;
const LARGE = 30_000;

let fleet: Deployment;
let count = 0;
beforeAll(async () => {
  fleet = await startDeployment(200, ["front", "shop"]);
  fleet.publish(2, { service: "shop" });
  await fleet.waitInForce();
  for (const { upstream } of fleet.hosts) upstream.slots = 200;
}, 30_000);
afterAll(() => fleet.close());

// Idle connections were closed while requests were on their way on them.
test.each(
  [
    { kind: "read", method: "GET", bytes: 0 },
    { kind: "order", method: "POST", bytes: SMALL },
    { kind: "order", method: "POST", bytes: LARGE },
  ] as const,
)(
  "each $kind of $bytes bytes that the guard of a stopping daemon doesn't run is answered as not run",
  async ({ kind, method, bytes }) => {
    const [front, back] = fleet.hosts as [DeploymentHost, DeploymentHost];
    const answers: { id: string; status: number; atMs: number }[] = [];
    for (let i = 0; i < STOPS; i++) {
      if (back.process.exitCode !== null) {
        fleet.startDaemon(back);
        await fleet.waitUntilReady(back);
        await fleet.waitInForce();
      }
      // The other daemon learns of the start.
      await pause(200);
      const slow = await openSlowCaller(back);
      let stoppedAt = Infinity;
      const send = async () => {
        const id = `s-${count += 1}`;
        const { status } = await fleet.call(front, {
          id,
          path: `/${kind}/1`,
          method,
          timeoutMs: TIMEOUT_MS,
          ...(bytes > 0 && { body: "x".repeat(bytes) }),
        });
        const atMs = Math.round(performance.now() - stoppedAt);
        answers.push({ id, status, atMs });
      };
      const callers = Array.from({ length: CALLERS }, async () => {
        while (back.process.exitCode === null) await send();
      });
      await pause(BEFORE_MS);
      stoppedAt = performance.now();
      back.process.kill("SIGTERM");
      await Promise.all(callers);
      slow.destroy();
    }
    const ran = new Set(back.upstream.ran);
    const served = answers.filter(({ status }) => status === 200);
    const refused = answers.filter(({ status }) => status === 503);
    expect(served.length).toBeGreaterThan(CALLERS);
    expect(refused.length).toBeGreaterThan(CALLERS);
    expect(refused.filter(({ id }) => ran.has(id))).toEqual([]);
    const of = answers.length;
    const inDoubt = answers.filter(({ status }) =>
      ![200, 503, 504].includes(status)
    );
    expect({ inDoubt, of }, explain(inDoubt)).toEqual({ inDoubt: [], of });
    const late = answers.filter(({ status }) => status === 504)
      .map((it) => ({ ...it, hasRun: ran.has(it.id) }));
    expect({ late, of }, explain(late)).toEqual({ late: [], of });
  },
  60_000,
);

// Nothing told who had closed the connection of an attempt, and when.
test(
  "an attempt that outlasts the stop of the guard's daemon is logged as cut, on both sides",
  async () => {
    const [front, back] = fleet.hosts as [DeploymentHost, DeploymentHost];
    if (back.process.exitCode !== null) {
      fleet.startDaemon(back);
      await fleet.waitUntilReady(back);
    }
    fleet.publish(3, { service: "shop", timeoutS: 30 });
    await fleet.waitInForce();
    back.upstream.workMs = LONG_MS;
    const long = fleet.call(front, {
      id: "long",
      path: "/order/1",
      method: "POST",
      timeoutMs: LONG_MS,
      body: "x",
    });
    await expect.poll(() => back.upstream.ran).toContain("long");
    back.process.kill("SIGTERM");
    expect((await long).status).toBe(502);
    const getLines = (host: DeploymentHost, event: string) =>
      host.lines.filter((line) =>
        line.includes(`event=${event} `) && line.includes("long")
      );
    await expect.poll(() => getLines(back, "attempt_cut")).toEqual([
      expect.stringMatching(/ by=daemon reason=stopped isStopping=true/),
    ]);
    await expect.poll(() => getLines(front, "link_failed")).toEqual([
      expect.stringMatching(/ req=long .* execution=may-have-run/),
    ]);
  },
  30_000,
);

/** Lines of the daemons' logs about some requests. */
function explain(requests: readonly { id: string }[]): string {
  return requests.slice(0, MAX_EXPLAINED).flatMap(({ id }) =>
    fleet.hosts.flatMap(({ lines }) => lines.filter((l) => l.includes(id)))
  ).join("\n");
}

/** A caller that got an answer and never closes its connection. */
function openSlowCaller({ ip }: DeploymentHost): Promise<Socket> {
  return new Promise((resolve, reject) => {
    const socket = connect(
      { host: ip, port: CALLER_PORT, allowHalfOpen: true },
      () => socket.write("GET /none HTTP/1.1\r\nhost: shop\r\n\r\n"),
    );
    socket.once("error", reject);
    socket.once("data", () => {
      socket.off("error", reject).on("error", () => {});
      resolve(socket);
    });
  });
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
