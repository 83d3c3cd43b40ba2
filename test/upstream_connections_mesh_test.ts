/**
 * A store daemon as a process before an upstream that resets connections beyond
 * its limit. Guards against requests that are in doubt because idle connections
 * for requests of the other kind use up that limit.
 */

import { afterEach, expect, test } from "vitest";
import {
  type Deployment,
  type DeploymentHost,
  startDeployment,
} from "./platform/mesh.ts";

const METRICS_PORT = 9464;
const SLOTS = 8;
/** Connections beside those of the slots: the health check's, and one more. */
const MORE_CONNECTIONS = 2;
const ROUNDS = 6;
const WORK_MS = 60;
const TIMEOUT_MS = 1_900;
const MIN_SERVED_SHARE = 0.75;
/** Longer than a connection is kept for orders, shorter than for reads. */
const BETWEEN_MS = 200;

/** Requests that one burst can put in doubt before the limit is known. */
const BURST = SLOTS;

let fleet: Deployment;
afterEach(() => fleet.close());

// They were reset, and so were in doubt.
test(
  "requests that follow a burst of the other kind stay within the upstream's limit of connections",
  async () => {
    const limit = SLOTS + MORE_CONNECTIONS;
    fleet = await startDeployment(202, ["shop"], {
      serviceColumns: { maxConns: limit },
    });
    const { inDoubt, served, resets, gaveWay } = await sendBursts(limit);
    expect({ inDoubt, resets }).toEqual({ inDoubt: [], resets: 0 });
    expect(served).toBeGreaterThan(MIN_SERVED_SHARE);
    expect(gaveWay).toBeGreaterThan(0);
  },
  30_000,
);

// Each burst had requests in doubt.
test(
  "an upstream that resets connections beyond an unstated limit puts one burst in doubt",
  async () => {
    fleet = await startDeployment(225, ["shop"]);
    const limit = SLOTS + MORE_CONNECTIONS;
    const { inDoubt, served, resets } = await sendBursts(limit);
    expect(inDoubt.length).toBeLessThanOrEqual(BURST);
    expect(resets).toBeLessThanOrEqual(BURST);
    expect(served).toBeGreaterThan(MIN_SERVED_SHARE);
  },
  30_000,
);

test(
  "far below the stated limit, idle connections don't give way",
  async () => {
    const limit = 30 * SLOTS;
    fleet = await startDeployment(226, ["shop"], {
      serviceColumns: { maxConns: limit },
    });
    const { inDoubt, resets, gaveWay } = await sendBursts(limit);
    expect({ inDoubt, resets, gaveWay })
      .toEqual({ inDoubt: [], resets: 0, gaveWay: 0 });
  },
  30_000,
);

/** Sends bursts of reads and orders by turns to an upstream that accepts so many connections. */
async function sendBursts(maxConnections: number) {
  const host = fleet.hosts[0] as DeploymentHost;
  const { upstream } = host;
  upstream.slots = SLOTS;
  fleet.list(host);
  upstream.workMs = WORK_MS;
  await pause(500);
  upstream.maxConnections = maxConnections;
  const statuses: string[] = [];
  for (let round = 0; round < ROUNDS; round++) {
    for (const kind of ["read", "order"]) {
      const sent = Array.from({ length: SLOTS }, async (_, i) => {
        const { status } = await fleet.call(host, {
          id: `${kind}-${round}-${i}`,
          path: `/${kind}/1`,
          method: kind === "read" ? "GET" : "POST",
          timeoutMs: TIMEOUT_MS,
          ...(kind === "order" && { body: "x" }),
        });
        statuses.push(`${kind} ${status}`);
      });
      await Promise.all(sent);
      await pause(BETWEEN_MS);
    }
  }
  const served = statuses.filter((it) => it.endsWith(" 200"));
  return {
    // A daemon that is held up may refuse some, as not run.
    inDoubt: statuses.filter((it) => !/ (?:200|503)$/.test(it)),
    served: served.length / statuses.length,
    resets: upstream.resets,
    gaveWay: await readGaveWay(host),
  };
}

async function readGaveWay({ ip }: DeploymentHost): Promise<number> {
  const res = await fetch(`http://${ip}:${METRICS_PORT}/metrics`);
  const text = await res.text();
  const match = /reason="upstream_connection_gave_way"\} (\d+)/.exec(text);
  return Number(match?.[1] ?? 0);
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
