/** Requests that end upstreams, where few hosts, or others than before, learn of it; daemons as processes. */

import { Buffer } from "node:buffer";
import { afterEach, expect, test } from "vitest";
import { orderByHash } from "../src/core/host_order.ts";
import { createSignature } from "../src/daemon/request_signature.ts";
import {
  type Deployment,
  type DeploymentHost,
  startDeployment,
} from "./platform/mesh.ts";

/** Upstreams that such a request may end before it is known. */
const KNOWN_AFTER = 3;
/** Retries that may reach upstreams later than `stableS` after that. */
const ALLOWED_AFTER = 3;
const STABLE_MS = 3_000;
const COLLECTORS = 3;
const FATAL_EVERY_MS = 700;
const FATAL_COUNT = 18;
const BODY = "fatal";
const FRONTS = Array.from({ length: 7 }, () => "front");

let fleet: Deployment;
afterEach(() => fleet.close());

async function startFleet(
  base: number,
  shops = 3,
): Promise<DeploymentHost[]> {
  const services = Array.from({ length: shops }, () => "shop");
  fleet = await startDeployment(base, [...services, ...FRONTS]);
  for (const host of fleet.hosts) {
    host.upstream.workMs = 30;
    host.upstream.downMs = 600;
    host.upstream.onRestarted = () => fleet.list(host);
  }
  return fleet.hosts.filter((it) => it.service === "front");
}

/** The first path whose collectors among these hosts are the given ones. */
function findPath(hosts: readonly string[], collectors: readonly string[]) {
  for (let i = 1;; i++) {
    const path = `/order/${i}`;
    const req = { method: "POST", headers: { host: "shop" }, url: path };
    const signature = createSignature(req, Buffer.from(BODY))();
    const found = orderByHash(hosts, signature).slice(0, COLLECTORS);
    if (found.every((it) => collectors.includes(it))) return path;
  }
}

/** Sends the request at these hosts in turn, and counts what upstreams see of it. */
async function playFatal(path: string, at: readonly DeploymentHost[]) {
  for (const { upstream } of fleet.hosts) {
    upstream.isFatal = (url) => url === path;
  }
  const statuses: Promise<number>[] = [];
  for (let i = 0; i < FATAL_COUNT; i++) {
    const req = { id: `fatal-${i}`, path, method: "POST", body: BODY } as const;
    const res = fleet.call(at[i % at.length]!, req);
    statuses.push(res.then(({ status }) => status));
    await pause(FATAL_EVERY_MS);
  }
  const answers = await Promise.all(statuses);
  const upstreams = fleet.hosts.map((it) => it.upstream);
  const arrived = upstreams.flatMap((it) => it.arrived)
    .filter((it) => it.id.startsWith("fatal-") && !it.isMisdirected)
    .map((it) => it.at).sort((a, b) => a - b);
  const third = arrived[KNOWN_AFTER - 1] ?? Infinity;
  return {
    ends: upstreams.reduce((sum, it) => sum + it.ends.length, 0),
    later: arrived.filter((it) => it > third + STABLE_MS).length,
    answers,
    lines: fleet.hosts.flatMap((host) =>
      host.lines.filter((it) => it.includes("suspect"))
        .map((line) => `${host.ip} ${line}`)
    ).join("\n"),
  };
}

function expectKnown(
  { ends, later, answers, lines }: Awaited<ReturnType<typeof playFatal>>,
): void {
  expect(ends, lines).toBeGreaterThanOrEqual(KNOWN_AFTER);
  expect(later, lines).toBeLessThanOrEqual(ALLOWED_AFTER);
  expect(ends, lines).toBeLessThanOrEqual(KNOWN_AFTER + ALLOWED_AFTER);
  expect(answers.at(-1), lines).toBe(503);
}

test.each([{ shops: 1 }, { shops: 2 }])(
  "a fatal request is known though it is the first that each start of $shops upstreams gets",
  async ({ shops }) => {
    const fronts = await startFleet(240 + shops, shops);
    expectKnown(await playFatal("/order/1", fronts));
  },
  60_000,
);

async function remove(host: DeploymentHost): Promise<void> {
  const { upstream, process } = host;
  fleet.list(host, { state: "draining" });
  await pause(500);
  fleet.store.remove(`servers/${upstream.instance}`);
  const exited = new Promise((resolve) => process.once("exit", resolve));
  process.kill("SIGTERM");
  await exited;
}

function getIp({ ip }: DeploymentHost): string {
  return ip;
}

test(
  "a fatal request is known to all after the hosts that would have collected it were removed",
  async () => {
    const fronts = await startFleet(231);
    const hosts = fleet.hosts.map(getIp);
    const removed = fronts.splice(0, COLLECTORS);
    await Promise.all(removed.map(remove));
    const path = findPath(hosts, removed.map(getIp));
    expectKnown(await playFatal(path, fronts));
  },
  60_000,
);

test(
  "a fatal request is known to all though its collectors don't reply",
  async () => {
    const fronts = await startFleet(232);
    const hosts = fleet.hosts.map(getIp);
    const frozen = fronts.splice(0, COLLECTORS);
    for (const { process } of frozen) process.kill("SIGSTOP");
    const path = findPath(hosts, frozen.map(getIp));
    expectKnown(await playFatal(path, fronts));
  },
  60_000,
);

test(
  "a fatal request is known to all though another writer listed addresses of no machine",
  async () => {
    const fronts = await startFleet(233);
    const unused = Array.from(
      { length: 5 },
      (_, i) => `127.0.233.${200 + i}`,
    );
    for (const ip of unused) {
      fleet.store.put(`servers/other-${ip}`, {
        address: `${ip}:18301`,
        info: { service: "inventory", version: "v1", zone: "east", slots: 4 },
        status: { state: "ready", seq: 1, coldLeftS: 0 },
      });
    }
    await pause(1_000);
    const path = findPath([...fleet.hosts.map(getIp), ...unused], unused);
    expectKnown(await playFatal(path, fronts));
  },
  60_000,
);

test(
  "a fatal request is known to all though its collectors are removed between its ends",
  async () => {
    const fronts = await startFleet(243);
    const hosts = fleet.hosts.map(getIp);
    const removed = fronts.splice(0, COLLECTORS);
    const path = findPath(hosts, removed.map(getIp));
    const playing = playFatal(path, fronts);
    // Two ends by then; the third one is reported to others.
    await pause(1.5 * FATAL_EVERY_MS);
    await Promise.all(removed.map(remove));
    expectKnown(await playing);
  },
  60_000,
);

test(
  "a fatal request is known to all though some daemons have started after hosts left",
  async () => {
    const fronts = await startFleet(244);
    const hosts = fleet.hosts.map(getIp);
    const removed = fronts.splice(0, COLLECTORS);
    await Promise.all(removed.map(remove));
    for (const host of fronts.slice(0, 2)) {
      const exited = new Promise((resolve) =>
        host.process.once("exit", resolve)
      );
      host.process.kill("SIGKILL");
      await exited;
      fleet.startDaemon(host);
      await fleet.waitUntilReady(host);
    }
    await pause(STABLE_MS);
    const path = findPath(hosts, removed.map(getIp));
    expectKnown(await playFatal(path, fronts));
  },
  60_000,
);

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
