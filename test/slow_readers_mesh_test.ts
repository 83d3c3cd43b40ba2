/**
 * A store daemon as a process whose callers read their answers slowly, from a
 * service that runs at one other daemon. Guards against callers who wait for
 * those, and against answers that are cut though their callers read them.
 */

import { afterAll, beforeAll, expect, test } from "vitest";
import {
  CALLER_PORT,
  type Deployment,
  type DeploymentHost,
  startDeployment,
} from "./platform/mesh.ts";
import { openPipe } from "./support/pipelining_caller.ts";

/** More than the connections between two daemons. */
const SLOW_CALLERS = 80;
const OTHERS = 20;
const MAX_OTHER_MS = 1_000;

let fleet: Deployment;
beforeAll(async () => {
  fleet = await startDeployment(227, ["front", "shop"]);
  fleet.publish(2, { service: "shop", timeoutS: 20 });
  for (const host of fleet.hosts) {
    host.upstream.slots = 200;
    fleet.list(host);
  }
}, 30_000);
afterAll(() => fleet.close());

test.each([{ bytes: 40_000 }, { bytes: 500_000 }, { bytes: 4_000_000 }])(
  "callers that don't read their answers of $bytes bytes hold up no others",
  async ({ bytes }) => {
    const [front, back] = fleet.hosts as [DeploymentHost, DeploymentHost];
    const body = "y".repeat(bytes);
    back.upstream.createBody = (id) => id.startsWith("slow") ? body : "small";
    await new Promise((resolve) => setTimeout(resolve, 500));
    const slow = await Promise.all(
      Array.from({ length: SLOW_CALLERS }, async (_, i) => {
        const pipe = await openPipe(front.ip, CALLER_PORT);
        pipe.pause();
        const id = `slow-${bytes}-${i}`;
        return { pipe, answer: pipe.send({ id, timeoutMs: 20_000 }) };
      }),
    );
    await new Promise((resolve) => setTimeout(resolve, 1_500));
    const others = await Promise.all(
      Array.from({ length: OTHERS }, async (_, i) => {
        const sentAt = performance.now();
        const { status } = await fleet.call(front, {
          id: `other-${bytes}-${i}`,
          timeoutMs: 5_000,
        });
        return { status, tookMs: Math.round(performance.now() - sentAt) };
      }),
    );
    for (const { pipe } of slow) pipe.resume();
    const answers = await Promise.all(slow.map(({ answer }) => answer));
    for (const { pipe } of slow) pipe.close();
    const late = others.filter(({ status, tookMs }) =>
      status !== 200 || tookMs > MAX_OTHER_MS
    );
    expect(late).toEqual([]);
    const lost = answers.filter((it) => !it.isWhole);
    expect({ lost: lost.length }).toEqual({ lost: 0 });
    const statuses = new Set(answers.map(({ status }) => status));
    expect([...statuses]).toEqual([200]);
  },
  60_000,
);
