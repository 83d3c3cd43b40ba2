/**
 * Requests that end their upstream once nobody waits for them any longer, with
 * daemons as processes. Guards against ends that are counted for nobody.
 */

import { Buffer } from "node:buffer";
import { afterEach, beforeEach, expect, test } from "vitest";
import { type Deployment, startDeployment } from "./platform/mesh.ts";

/** Upstreams that such a request may end, and its retries that may reach upstreams later than `stableS` after that. */
const KNOWN_AFTER = 3;
const ALLOWED_AFTER = 3;
const STABLE_MS = 3_000;
const ORDER_GAP_MS = 120;
const FATAL_EVERY = 10;
/** Work until the upstream ends, in ms. */
const FATAL_WORK_MS = 400;
const RUN_MS = 20_000;

let fleet: Deployment;
beforeEach(async () => {
  fleet = await startDeployment(250, [
    "shop",
    "shop",
    "shop",
    "front",
    "front",
  ]);
  for (const host of fleet.hosts) {
    const { upstream } = host;
    upstream.getWorkMs = (id) => id.startsWith("fatal") ? FATAL_WORK_MS : 30;
    upstream.isFatal = (_path, body: Buffer) => body.toString() === "fatal";
    upstream.onRestarted = () => fleet.list(host);
  }
}, 30_000);
afterEach(() => fleet.close());

test.each([
  {
    path: "/order/1",
    how: "its caller leaves",
    leavesAfterMs: 150,
    timeoutMs: 2_000,
  },
  {
    path: "/read/1",
    how: "its caller leaves",
    leavesAfterMs: 150,
    timeoutMs: 2_000,
  },
  { path: "/order/1", how: "its time passes", timeoutMs: 300 },
  {
    path: "/order/1",
    how: "nobody else asks for anything",
    leavesAfterMs: 150,
    timeoutMs: 1_000,
    isAlone: true,
    downMs: 2_500,
  },
])(
  "a request that ends its upstream after $how is refused in the end: $path, alone: $isAlone",
  async ({ path, leavesAfterMs, timeoutMs, isAlone, downMs = 600 }) => {
    for (const { upstream } of fleet.hosts) upstream.downMs = downMs;
    const endsAt = performance.now() + RUN_MS;
    const others: Promise<number>[] = [];
    const sentAt = new Map<string, number>();
    for (let i = 0; performance.now() < endsAt; i++) {
      const host = fleet.hosts[i % fleet.hosts.length]!;
      const isFatal = i % FATAL_EVERY === 0;
      const id = `${isFatal ? "fatal" : "other"}-${i}`;
      sentAt.set(id, performance.now());
      const signal = isFatal && leavesAfterMs !== undefined
        ? AbortSignal.timeout(leavesAfterMs)
        : undefined;
      const call = isFatal || !isAlone
        ? fleet.call(host, {
          id,
          path,
          method: "POST",
          body: isFatal ? "fatal" : `sound ${i}`,
          timeoutMs: isFatal ? timeoutMs : 2_000,
          ...(signal && { signal }),
        }).then(({ status }) => status, () => 0)
        : Promise.resolve(200);
      if (!isFatal) others.push(call);
      await pause(ORDER_GAP_MS);
    }
    const statuses = await Promise.all(others);
    const ends = fleet.hosts.flatMap((h) => h.upstream.ends)
      .sort((a, b) => a - b);
    const countsFrom = (ends[KNOWN_AFTER - 1] ?? Infinity) + STABLE_MS;
    const late = fleet.hosts.flatMap((h) => h.upstream.arrived)
      .filter(({ id, isMisdirected }) =>
        id.startsWith("fatal") && !isMisdirected &&
        sentAt.get(id)! > countsFrom
      );
    expect(ends.length).toBeGreaterThanOrEqual(KNOWN_AFTER);
    expect(late.length).toBeLessThanOrEqual(ALLOWED_AFTER);
    // Those that ran beside it are not refused for it.
    const quarantined = fleet.hosts.flatMap((h) => h.lines).filter((line) =>
      line.includes("reason=request_quarantined") && line.includes("req=other")
    );
    expect(quarantined).toEqual([]);
    const served = statuses.filter((status) => status === 200).length;
    expect(served).toBeGreaterThan(statuses.length * 0.8);
  },
  40_000,
);

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
