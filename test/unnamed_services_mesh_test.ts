/**
 * Daemons as processes, beside entries of another writer whose service no
 * configuration names. Guards against entries that hide the upstreams at their
 * addresses.
 */

import { afterEach, expect, test } from "vitest";
import {
  type Deployment,
  type DeploymentHost,
  startDeployment,
} from "./platform/mesh.ts";

const KNOWN_MS = 1_000;
const REQUESTS = 30;

let fleet: Deployment;
afterEach(() => fleet.close());

function putOdd(host: DeploymentHost, change: Record<string, unknown> = {}) {
  fleet.store.put(`servers/odd-${host.ip}`, {
    address: host.upstream.address,
    born: Date.now(),
    info: { service: "unnamed", version: "v1", zone: "east", slots: 1 },
    status: { state: "ready", seq: 1, coldLeftS: 0, ...change },
  });
}

async function send(
  label: string,
  path = "/read/1",
): Promise<Record<number, number>> {
  const statuses: Promise<number>[] = [];
  for (let i = 0; i < REQUESTS; i++) {
    const host = fleet.hosts[i % fleet.hosts.length]!;
    const res = fleet.call(host, { id: `${label}-${i}`, path });
    statuses.push(res.then(({ status }) => status));
    await pause(10);
  }
  const counts: Record<number, number> = {};
  for (const status of await Promise.all(statuses)) {
    counts[status] = (counts[status] ?? 0) + 1;
  }
  return counts;
}

const ALL_SERVED = { 200: REQUESTS };

test.each([
  { state: "ready" },
  { state: "draining" },
])(
  "upstreams are used though entries of an unnamed service, $state, have their addresses",
  async (status) => {
    fleet = await startDeployment(235, ["shop", "shop", "front"]);
    for (const host of fleet.hosts) putOdd(host, status);
    await pause(KNOWN_MS);
    expect(await send("odd")).toEqual(ALL_SERVED);
    for (const host of fleet.hosts) {
      fleet.store.remove(`servers/odd-${host.ip}`);
    }
    await pause(KNOWN_MS);
    expect(await send("removed")).toEqual(ALL_SERVED);
  },
  30_000,
);

test(
  "entries of an unnamed service neither make upstreams cold nor hold up cold ones, each time they are written",
  async () => {
    fleet = await startDeployment(236, ["shop", "shop", "front"], {
      bounds: { coldOver: 1.5, coldSlack: 2 },
      serviceColumns: { coldPerS: 1 },
    });
    for (let i = 0; i < 5; i++) {
      for (const host of fleet.hosts) putOdd(host, { seq: i, coldLeftS: 30 });
      await pause(200);
    }
    expect(await send("odd")).toEqual(ALL_SERVED);
  },
  30_000,
);

test(
  "upstreams listed before the configuration that names their service are used from then on",
  async () => {
    fleet = await startDeployment(237, ["shop", "late", "late", "front"]);
    // Names only "shop" in both tables.
    const text = JSON.stringify({
      version: "00000003",
      routes: {
        columns: [
          "name",
          "host",
          "prefix",
          "kind",
          "timeoutS",
          "sloS",
          "priority",
          "attempts",
          "service",
          "split",
        ],
        rows: [
          ["reads", "shop", "/read/", "safe", 2, 1, 2, 3, "shop", null],
        ],
      },
      services: {
        columns: ["name", "healthCheck"],
        rows: [["shop", "/healthz"]],
      },
      limits: {
        maxHeaderBytes: 32_768,
        maxBodyBytes: 1_000_000,
        headerTimeoutS: 3,
        idleTimeoutS: 15,
      },
    });
    fleet.store.putText("op/config", text);
    await pause(KNOWN_MS);
    expect(await send("named")).toEqual(ALL_SERVED);
    fleet.publish(4, { service: "late" });
    await fleet.waitInForce();
    expect(await send("late")).toEqual(ALL_SERVED);
    fleet.store.putText("op/config", text.replace("00000003", "00000005"));
    await pause(KNOWN_MS);
    fleet.publish(6, { service: "late" });
    await fleet.waitInForce();
    expect(await send("again")).toEqual(ALL_SERVED);
  },
  30_000,
);

test(
  "no daemon reads the store through what an entry of an unnamed service names",
  async () => {
    const services = Array.from({ length: 8 }, () => "shop");
    fleet = await startDeployment(238, services);
    for (let i = 0; i < 12; i++) {
      fleet.store.put(`servers/nobody-${i}`, {
        address: `127.0.238.${200 + i}:18301`,
        born: Date.now(),
        info: { service: "unnamed", version: "v1", zone: "east", slots: 1 },
        status: { state: "ready", seq: 1, coldLeftS: 0 },
      });
    }
    await pause(KNOWN_MS);
    const lost = fleet.hosts.flatMap((it) => it.lines)
      .filter((line) => line.includes("event=source_lost"));
    expect(lost).toEqual([]);
    fleet.publish(2, { added: "/moved/" });
    await fleet.waitInForce();
    expect(await send("moved", "/moved/1")).toEqual(ALL_SERVED);
  },
  30_000,
);

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
