/** What the log of a store daemon tells of requests that the end of its stop breaks off. */

import { afterAll, beforeAll, expect, test } from "vitest";
import {
  CALLER_PORT,
  type Deployment,
  type DeploymentHost,
  startDeployment,
} from "./platform/mesh.ts";
import { UpstreamMode } from "./platform/upstream_stand_in.ts";
import { openPipe } from "./support/pipelining_caller.ts";
import { GRACE_MS, pause } from "./support/stop_callers.ts";

/** Far longer than a daemon has to stop. */
const LONG_MS = 20_000;

let fleet: Deployment;
beforeAll(async () => {
  fleet = await startDeployment(184, ["front", "shop"]);
  fleet.publish(2, { service: "shop", timeoutS: LONG_MS / 1_000 });
  await fleet.waitInForce();
}, 30_000);
afterAll(() => fleet.close());

test("an answer that is cut in its body", async () => {
  const [front, back] = fleet.hosts as [DeploymentHost, DeploymentHost];
  back.upstream.mode = UpstreamMode.SlowBody;
  back.upstream.bodyMs = LONG_MS;
  back.upstream.createBody = () => "b".repeat(2_000_000);
  const { answer, lines } = await stopDuring(front, "body");
  expect(answer).toMatchObject({ status: 200, isWhole: false });
  expect(lines).toEqual([
    expect.stringMatching(
      /role=gateway req=body route=reads phase=response at=\S+ ageMs=\d+/,
    ),
  ]);
}, 30_000);

test("another daemon's request that its upstream is at work on", async () => {
  const [front, back] = fleet.hosts as [DeploymentHost, DeploymentHost];
  back.upstream.mode = UpstreamMode.Serving;
  back.upstream.workMs = LONG_MS;
  fleet.startDaemon(front);
  await fleet.waitUntilReady(front);
  await fleet.waitInForce();
  const { answer, lines } = await stopDuring(back, "order");
  expect(answer).toMatchObject({ status: 502, isWhole: true });
  expect(lines).toEqual([
    expect.stringMatching(
      /role=guard req=order route=orders phase=running ageMs=\d+/,
    ),
  ]);
}, 30_000);

/** Sends a request to the first host, and stops a daemon while it is at work. */
async function stopDuring(host: DeploymentHost, id: string) {
  const pipe = await openPipe(fleet.hosts[0]!.ip, CALLER_PORT);
  const isOrder = id === "order";
  const answer = pipe.send({
    id,
    timeoutMs: LONG_MS,
    path: isOrder ? "/order/1" : "/read/1",
    method: isOrder ? "POST" : "GET",
  });
  while (!fleet.hosts[1]!.upstream.ran.includes(id)) await pause(5);
  const exited = new Promise((resolve) => host.process.once("exit", resolve));
  const stoppedAt = performance.now();
  host.process.kill("SIGTERM");
  await exited;
  expect(performance.now() - stoppedAt).toBeLessThan(GRACE_MS);
  const lines = host.lines.filter((it) => it.includes("event=stop_broke_off"));
  const result = await answer;
  pipe.close();
  return { answer: result, lines };
}
