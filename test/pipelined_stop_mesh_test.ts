/**
 * A store daemon as a process that is stopped while callers send requests behind
 * each other on open connections. Guards against requests that were passed on
 * and whose connection closes before their answer.
 */

import { afterAll, beforeAll, expect, test } from "vitest";
import {
  CALLER_PORT,
  type Deployment,
  type DeploymentHost,
  startDeployment,
} from "./platform/mesh.ts";
import {
  openPipe,
  type Pipe,
  type PipedAnswer,
} from "./support/pipelining_caller.ts";

const CALLERS = 12;
/** `graceS` of the settings, in ms: the process is killed then. */
const GRACE_MS = 6_000;
const BEFORE_MS = 500;

let fleet: Deployment;
let count = 0;
beforeAll(async () => {
  fleet = await startDeployment(180, ["shop", "shop", "shop"]);
  for (const { upstream } of fleet.hosts) upstream.slots = 100;
}, 30_000);
afterAll(() => fleet.close());

test.each([
  { depth: 2, workMs: 5 },
  { depth: 2, workMs: 50 },
  { depth: 2, workMs: 400 },
  { depth: 8, workMs: 50 },
])(
  "each of $depth requests of $workMs ms behind each other gets its answer while the daemon stops",
  async ({ depth, workMs }) => {
    const front = fleet.hosts[0] as DeploymentHost;
    for (const { upstream } of fleet.hosts) upstream.workMs = workMs;
    if (front.process.exitCode !== null) {
      fleet.startDaemon(front);
      await fleet.waitUntilReady(front);
    }
    await fleet.waitInForce();
    const answers: PipedAnswer[] = [];
    const callers = Array.from(
      { length: CALLERS },
      () => runCaller(front, { depth, answers }),
    );
    await new Promise((resolve) => setTimeout(resolve, BEFORE_MS));
    const stoppedAt = performance.now();
    front.process.kill("SIGTERM");
    await Promise.all(callers);
    const goneMs = performance.now() - stoppedAt;
    const ran = new Set(fleet.hosts.flatMap(({ upstream }) => upstream.ran));
    const lost = answers.filter(({ id, isWhole }) => !isWhole && ran.has(id));
    const late = answers.filter(({ sentAt }) => sentAt > stoppedAt);
    expect(late.filter(({ status }) => status === 200).length)
      .toBeGreaterThan(CALLERS);
    expect({ lost: lost.length, of: answers.length })
      .toEqual({ lost: 0, of: answers.length });
    // Last, as a known failure must not hide the others.
    expect(goneMs).toBeLessThan(GRACE_MS);
  },
  40_000,
);

/** Sends requests until the process is gone, on a new connection whenever one ends. */
async function runCaller(
  host: DeploymentHost,
  { depth, answers }: { depth: number; answers: PipedAnswer[] },
): Promise<void> {
  while (host.process.exitCode === null) {
    const pipe = await openPipe(host.ip, CALLER_PORT).catch(() => undefined);
    if (pipe !== undefined) await fill(pipe);
    else await new Promise((resolve) => setTimeout(resolve, 10));
  }

  async function fill(pipe: Pipe): Promise<void> {
    while (pipe.isOpen()) {
      const sent = Array.from(
        { length: depth },
        () => pipe.send({ id: `p-${count += 1}` }),
      );
      answers.push(...await Promise.all(sent));
    }
    pipe.close();
  }
}
