/**
 * Upstreams that state something, crash and start again under their ids; daemons
 * as processes. Guards against starts that get no requests because of what an
 * earlier one stated.
 */

import { afterAll, beforeAll, expect, test } from "vitest";
import { request } from "undici";
import {
  type Deployment,
  type DeploymentHost,
  startDeployment,
} from "./platform/mesh.ts";
import { StoreMode } from "./platform/store_stand_in.ts";

const FATAL = "/read/fatal";
/** Longer than a change takes to reach all daemons, in ms. */
const KNOWN_MS = 1_000;
const DOWN_MS = 400;
const REQUESTS = 30;

let fleet: Deployment;
let born = 1_000;
beforeAll(async () => {
  fleet = await startDeployment(234, ["shop", "shop", "front"]);
  for (const { upstream } of fleet.hosts) {
    upstream.downMs = DOWN_MS;
    upstream.isFatal = (path) => path === FATAL;
  }
});
afterAll(() => fleet.close());

function getShops(): DeploymentHost[] {
  return fleet.hosts.filter((it) => it.service === "shop");
}

/** Statuses of requests at all daemons in turn. */
async function send(label: string): Promise<number[]> {
  const statuses: Promise<number>[] = [];
  for (let i = 0; i < REQUESTS; i++) {
    const host = fleet.hosts[i % fleet.hosts.length]!;
    const res = fleet.call(host, { id: `${label}-${i}` });
    statuses.push(res.then(({ status }) => status));
    await pause(10);
  }
  return await Promise.all(statuses);
}

async function crash({ upstream }: DeploymentHost): Promise<string> {
  const restarted = new Promise<string>((resolve) => {
    upstream.onRestarted = (ended) => {
      upstream.instance = ended;
      resolve(ended);
    };
  });
  await request(`http://${upstream.address}${FATAL}`).catch(() => undefined);
  return await restarted;
}

/** What the upstreams state before they crash. */
const STATEMENTS: Record<string, (host: DeploymentHost, on: boolean) => void> =
  {
    "that it leaves": ({ upstream }, on) => void (upstream.isLeaving = on),
    "a limit": ({ upstream }, on) =>
      void (upstream.limitPerS = on ? 0.3 : undefined),
  };

/** How the entry ends and comes back. */
const WAYS: Record<string, (host: DeploymentHost) => Promise<void>> = {
  "listed throughout": async (host) => {
    await crash(host);
  },
  "removed before": async (host) => {
    fleet.store.remove(`servers/${host.upstream.instance}`);
    await pause(KNOWN_MS);
    await crash(host);
  },
  "draining before": async (host) => {
    fleet.list(host, { state: "draining" }, { born });
    await pause(KNOWN_MS);
    await crash(host);
  },
  "while the store is away": async (host) => {
    fleet.store.setMode(StoreMode.Reset);
    fleet.store.remove(`servers/${host.upstream.instance}`);
    await crash(host);
    fleet.store.setMode(StoreMode.Serving);
    await pause(KNOWN_MS / 2);
  },
  "back in an older copy of the store": async (host) => {
    fleet.store.remove(`servers/${host.upstream.instance}`);
    await pause(KNOWN_MS);
    fleet.store.setMode(StoreMode.Reset);
    fleet.store.rollBack(KNOWN_MS + 200);
    fleet.store.setMode(StoreMode.Serving);
    await crash(host);
  },
};

test.each(
  Object.keys(STATEMENTS).flatMap((stated) =>
    Object.keys(WAYS).map((way) => ({ stated, way }))
  ),
)(
  "an upstream that stated $stated is used once it has started again: $way",
  async ({ stated, way }) => {
    const state = STATEMENTS[stated]!;
    born += 1_000;
    for (const host of getShops()) fleet.list(host, {}, { born });
    await pause(KNOWN_MS / 2);
    expect(new Set(await send("before"))).toEqual(new Set([200]));
    for (const host of getShops()) {
      state(host, true);
      await send("stated");
      await WAYS[way]!(host);
      state(host, false);
      fleet.list(host, {}, { born: born + 500 });
      await pause(KNOWN_MS / 2);
    }
    const lines = fleet.hosts.flatMap((it) => it.lines.slice(-30)).join("\n");
    expect(await send("after"), lines).toEqual(Array(REQUESTS).fill(200));
    // Each of them, not one for both.
    const served = getShops().map(({ upstream }) =>
      upstream.ran.filter((id) => id.startsWith("after")).length
    );
    expect(Math.min(...served), lines).toBeGreaterThan(0);
    for (const { upstream } of getShops()) upstream.ran.length = 0;
    // The next case's requests are not held back by what this one left.
    fleet.publish(Math.floor(born));
  },
  60_000,
);

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
