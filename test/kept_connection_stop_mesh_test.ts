/**
 * A daemon that stops while a caller keeps its idle connection open, as pools do
 * that read nothing meanwhile. Guards against requests of other daemons that are
 * read while callers' connections close, and cut by the end of the process.
 */

import { connect } from "node:net";
import { afterAll, beforeAll, expect, test } from "vitest";
import {
  CALLER_PORT,
  type Deployment,
  type DeploymentHost,
  startDeployment,
} from "./platform/mesh.ts";
import { openPipe, type PipedAnswer } from "./support/pipelining_caller.ts";
import { pause } from "./support/stop_callers.ts";

let pair: Deployment;
let count = 0;
/** Work of a request in ms: longer than closing takes. */
const WORK_MS = 350;
/** Time between two requests in ms, in which the stop finds nothing open. */
const PAUSE_MS = 120;
const STOPS = 2;
beforeAll(async () => {
  pair = await startDeployment(230, ["front", "shop"]);
  pair.publish(2, { service: "shop", timeoutS: 2 });
  await pair.waitInForce();
}, 30_000);
afterAll(() => pair.close());

test.each([true, false])(
  "a caller that keeps its idle connection open (%s) while a daemon stops costs requests of other daemons no answer",
  async (isKept) => {
    const [at, stopping] = pair.hosts as [DeploymentHost, DeploymentHost];
    const { upstream } = stopping;
    upstream.slots = 200;
    upstream.workMs = WORK_MS;
    const lost: PipedAnswer[] = [];
    for (let i = 0; i < STOPS; i++) {
      if (stopping.process.exitCode !== null) {
        pair.startDaemon(stopping);
        await pair.waitUntilReady(stopping);
        await pair.waitInForce();
      }
      const idle = connect({
        host: stopping.ip,
        port: CALLER_PORT,
        allowHalfOpen: isKept,
      });
      idle.on("error", () => {}).resume();
      let isOver = false;
      const answers: PipedAnswer[] = [];
      const caller = (async () => {
        const pipe = await openPipe(at.ip, CALLER_PORT);
        while (!isOver && pipe.isOpen()) {
          answers.push(await pipe.send({ id: `k-${count += 1}` }));
          await pause(PAUSE_MS);
        }
        pipe.close();
      })();
      await pause(1_000);
      const exited = new Promise((resolve) =>
        stopping.process.once("exit", resolve)
      );
      stopping.process.kill("SIGTERM");
      await exited;
      isOver = true;
      await caller;
      idle.destroy();
      const ran = new Set(upstream.ran);
      lost.push(
        ...answers.filter((it) => ran.has(it.id) && it.status !== 200),
      );
    }
    expect(upstream.ran.length).toBeGreaterThan(STOPS);
    expect(lost.map(({ id, status }) => ({ id, status }))).toEqual([]);
  },
  60_000,
);
