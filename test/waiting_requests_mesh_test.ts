/**
 * Store daemons as processes beside upstreams that hang, so that requests wait,
 * while one of them leaves. Guards against a request that waited and reaches an
 * upstream later than is allowed after its departure is known.
 */

import { afterAll, beforeAll, expect, test } from "vitest";
import {
  type Deployment,
  type DeploymentHost,
  startDeployment,
} from "./platform/mesh.ts";

/** `drainS` of the settings, in ms. */
const DRAIN_MS = 2_000;
/** Time of a request on its way, in ms. */
const MARGIN_MS = 100;
const TIMEOUT_MS = 7_000;
/** Requests at two upstreams of ten slots: those that fill them, and as many that wait. */
const REQUESTS = 40;
/** Time until the requests have arrived and the daemons have read the list, in ms. */
const SETTLE_MS = 500;
/** Time for which each request keeps its slot, in ms: what waits would start later than is allowed. */
const WORK_MS = SETTLE_MS + DRAIN_MS + 600;

let fleet: Deployment;
let count = 0;

const NEXT_KEY = "servers/i-next";

enum Departure {
  Draining = "is listed as draining",
  Removed = "is removed from the list",
  Unreadable = "gets an unreadable entry",
  Replaced = "is replaced under its address",
}

beforeAll(async () => {
  fleet = await startDeployment(80, ["shop", "shop", "front"]);
  fleet.publish(2, { timeoutS: 9, sloS: 8 });
  await fleet.waitInForce();
  await pause(SETTLE_MS);
});
afterAll(() => fleet.close());

test.each(
  Object.values(Departure).flatMap((departure) =>
    ["GET", "POST"].flatMap((method) =>
      [0, 2].map((at) => ({
        departure,
        method,
        at,
        from: at === 0 ? "its own host" : "another host",
      }))
    )
  ),
)(
  "no $method that waited reaches an upstream after it $departure, at $from",
  async ({ departure, method, at }) => {
    const { hosts } = fleet;
    const [leaving, other] = hosts as [DeploymentHost, DeploymentHost];
    startNext(leaving);
    await pause(SETTLE_MS);
    // The other one is full too, so that requests wait at both.
    for (const { upstream } of [leaving, other]) upstream.workMs = WORK_MS;
    const sent: Promise<unknown>[] = [];
    for (let i = 0; i < REQUESTS; i++) {
      sent.push(
        fleet.call(hosts[at]!, {
          id: `r-${count += 1}`,
          path: method === "GET" ? "/read/1" : "/order/1",
          method: method as "GET" | "POST",
          ...(method === "POST" && { body: "x" }),
          timeoutMs: TIMEOUT_MS,
        }).catch(() => undefined),
      );
    }
    await pause(SETTLE_MS);
    leave(leaving, departure);
    const leftAt = performance.now();
    await pause(WORK_MS + SETTLE_MS);
    const late = leaving.upstream.arrived.filter((it) =>
      it.at > leftAt + DRAIN_MS + MARGIN_MS && !it.isMisdirected
    );
    expect(late.map((it) => it.id)).toEqual([]);
    for (const { upstream } of [leaving, other]) upstream.workMs = 5;
    fleet.closeCallerConnections();
    await Promise.all(sent);
  },
  30_000,
);

/** Lists the host's upstream under a new id, as one that has started again. */
function startNext(host: DeploymentHost): void {
  fleet.store.remove(`servers/${host.upstream.instance}`);
  fleet.store.remove(NEXT_KEY);
  count += 1;
  host.upstream.instance = `i-80-${count}`;
  fleet.list(host);
}

function leave(host: DeploymentHost, departure: Departure): void {
  const { store } = fleet;
  const key = `servers/${host.upstream.instance}`;
  switch (departure) {
    case Departure.Draining:
      return fleet.list(host, { state: "draining", seq: 2 });
    case Departure.Removed:
      return store.remove(key);
    case Departure.Unreadable:
      return store.putText(key, "[");
    case Departure.Replaced:
      store.remove(key);
      return store.put(NEXT_KEY, {
        address: host.upstream.address,
        info: { service: "other", version: "v2", zone: host.zone, slots: 8 },
        status: { state: "ready", seq: 1, coldLeftS: 0 },
      });
  }
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
