/** What callers of a daemon get that stops while requests wait elsewhere, with daemons as processes. */

import { afterAll, beforeAll, expect, test } from "vitest";
import {
  type Deployment,
  type DeploymentHost,
  startDeployment,
} from "./platform/mesh.ts";

/** Far longer than the daemon has to stop. */
const TIMEOUT_MS = 12_000;

let fleet: Deployment;
beforeAll(async () => {
  fleet = await startDeployment(91, ["front", "shop"]);
});
afterAll(() => fleet.close());

// Their connections were closed without an answer.
test(
  "a daemon that stops answers requests that no upstream has by then",
  async () => {
    const [front, back] = fleet.hosts as [DeploymentHost, DeploymentHost];
    fleet.publish(2, { service: "shop", timeoutS: TIMEOUT_MS / 1_000 });
    await fleet.waitInForce();
    while (back.upstream.ran.length === 0) {
      await fleet.call(front, { id: "first" });
      await pause(20);
    }
    // Its guard neither takes nor refuses what it is asked.
    back.process.kill("SIGSTOP");
    const call = (id: string, path: string, method: "GET" | "POST") =>
      fleet.call(front, { id, path, method, timeoutMs: TIMEOUT_MS })
        .then((res) => res.status, (error: Error) => error.message);
    const calls = [
      call("read", "/read/1", "GET"),
      call("order", "/order/1", "POST"),
    ];
    await pause(50);
    front.process.kill("SIGTERM");
    const statuses = await Promise.all(calls);
    back.process.kill("SIGCONT");
    for (const status of statuses) expect([502, 503, 504]).toContain(status);
    expect(back.upstream.ran).not.toContain("order");
  },
  30_000,
);

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
