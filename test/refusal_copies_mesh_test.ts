/** Store daemons as processes beside upstreams that write an earlier refusal once more. */

import { afterAll, beforeAll, expect, test } from "vitest";
import { type Deployment, startDeployment } from "./platform/mesh.ts";
import { UpstreamMode } from "./platform/upstream_stand_in.ts";

const ORDERS = 24;
/** Statuses that promise that a request has not run and never will. */
const NOT_RUN = [408, 421, 429, 503];

let fleet: Deployment;
beforeAll(async () => {
  fleet = await startDeployment(98, ["shop", "shop", "shop"]);
});
afterAll(() => fleet.close());

test.each([
  UpstreamMode.RepeatsRefusal,
  UpstreamMode.RepeatsUnnamedRefusal,
])(
  "%s: no order that runs is told as not run, and none runs twice",
  async (mode) => {
    for (const { upstream } of fleet.hosts) upstream.mode = mode;
    let servedCount = 0;
    for (let i = 0; i < ORDERS; i++) {
      const id = `${mode}-${i}`;
      const host = fleet.hosts[i % fleet.hosts.length]!;
      const path = "/order/1";
      const req = { id, path, method: "POST" as const, body: "x" };
      const res = await fleet.call(host, req);
      const runs = fleet.hosts.flatMap((h) => h.upstream.ran)
        .filter((ran) => ran === id);
      expect(runs.length).toBeLessThanOrEqual(1);
      if (NOT_RUN.includes(res.status)) expect([id, runs]).toEqual([id, []]);
      if (res.status === 200) servedCount += 1;
    }
    expect(servedCount).toBeGreaterThan(0);
  },
);
