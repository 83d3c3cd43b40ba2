/** Requests that end each upstream that runs them, with daemons as processes. */

import { Buffer } from "node:buffer";
import { request } from "node:http";
import { afterEach, beforeEach, expect, test } from "vitest";
import {
  CALLER_PORT,
  type Deployment,
  type DeploymentHost,
  startDeployment,
} from "./platform/mesh.ts";

/** Upstreams that such a request may end before it is known. */
const KNOWN_AFTER = 3;
/** Retries that may reach upstreams later than `stableS` after that. */
const ALLOWED_AFTER = 3;
const STABLE_MS = 3_000;
const FATAL = "/read/fatal";

let fleet: Deployment;
beforeEach(async () => {
  fleet = await startDeployment(89, ["shop", "shop", "shop", "front"]);
  for (const host of fleet.hosts) {
    const { upstream } = host;
    upstream.workMs = 30;
    upstream.downMs = 600;
    upstream.isFatal = isFatal;
    upstream.onRestarted = () => fleet.list(host);
  }
});
afterEach(() => fleet.close());

function isFatal(path: string, body: Buffer): boolean {
  return path === FATAL ||
    (path === "/order/fatal" && body.subarray(-5).toString() === "fatal");
}

/** Sends the request to one daemon after the other, as a new request each time. */
async function sendRepeatedly(
  req: { path: string; method?: "GET" | "POST"; body?: string },
  seconds: number,
): Promise<number[]> {
  const statuses: Promise<number>[] = [];
  for (let i = 0; i < seconds * 10; i++) {
    const host = fleet.hosts[i % fleet.hosts.length]!;
    const call = fleet.call(host, { id: `fatal-${i}`, ...req });
    statuses.push(call.then((res) => res.status));
    await pause(100);
  }
  return await Promise.all(statuses);
}

/** Arrivals at upstreams later than `stableS` after the third end. */
function countLaterArrivals(): number {
  const arrived = fleet.hosts.flatMap((h) => h.upstream.arrived)
    .filter(({ id, isMisdirected }) =>
      id.startsWith("fatal-") && !isMisdirected
    )
    .map(({ at }) => at).sort((a, b) => a - b);
  const third = arrived[KNOWN_AFTER - 1] ?? Infinity;
  return arrived.filter((at) => at > third + STABLE_MS).length;
}

/** From a refused request its signature leads to the ends, and these to the runs at upstreams. */
function expectExplained(): void {
  const lines = fleet.hosts.flatMap((h) => h.lines);
  const refused = lines.find((l) => l.includes("reason=request_quarantined"));
  const signature = / signature=(\S+)/.exec(refused ?? "")?.[1];
  const suspected = lines.find((l) =>
    l.includes("event=request_suspected") && l.includes(`${signature} `)
  );
  const end = / lastEnd=([^@]+)@/.exec(suspected ?? "")?.[1];
  const failed = lines.find((l) =>
    l.includes("event=upstream_failed") && l.includes(`end=${end} `)
  );
  expect(failed).toContain("reason=upstream_ended");
}

function countEnds(): number {
  return fleet.hosts.reduce((sum, h) => sum + h.upstream.ends.length, 0);
}

test.each([
  { path: FATAL },
  { path: "/order/fatal", method: "POST" as const, body: "fatal" },
])("$path: upstreams end only until the request is known", async (req) => {
  const statuses = await sendRepeatedly(req, 9);
  expect(statuses.filter((status) => status < 500)).toEqual([]);
  expect(countLaterArrivals()).toBeLessThanOrEqual(ALLOWED_AFTER);
  expect(countEnds()).toBeLessThanOrEqual(KNOWN_AFTER + ALLOWED_AFTER);
  expectExplained();
  // Other requests are served by all upstreams again, also of the same path.
  const others = await Promise.all(fleet.hosts.map(async (host, i) => {
    const read = await fleet.call(host, { id: `other-${i}` });
    const order = await fleet.call(host, {
      id: `order-${i}`,
      path: "/order/fatal",
      method: "POST",
      body: "sound",
    });
    return [read.status, order.status];
  }));
  expect(others).toEqual(fleet.hosts.map(() => [200, 200]));
}, 30_000);

test("a daemon that starts later knows the request", async () => {
  await sendRepeatedly({ path: FATAL }, 4);
  const before = countEnds();
  const host = fleet.hosts.at(-1) as DeploymentHost;
  const exited = new Promise((resolve) => host.process.once("exit", resolve));
  host.process.kill("SIGKILL");
  await exited;
  fleet.startDaemon(host);
  await fleet.waitUntilReady(host);
  await pause(500);
  const res = await fleet.call(host, { id: "fatal-later", path: FATAL });
  expect(res.status).toBe(503);
  expect(countEnds()).toBe(before);
}, 30_000);

test.each([
  { bytes: 5, isChunked: false },
  { bytes: 5, isChunked: true },
  { bytes: 100_000, isChunked: true },
  { bytes: 524_288, isChunked: true },
  // Too large to be kept.
  { bytes: 524_289, isChunked: true },
  { bytes: 600_000, isChunked: false },
])(
  "a fatal order is told from others to its path: $bytes bytes, in chunks: $isChunked",
  async ({ bytes, isChunked }) => {
    const answers: Promise<number>[] = [];
    for (let i = 0; i < 80; i++) {
      const host = fleet.hosts[i % fleet.hosts.length]!;
      const end = i % 4 === 0 ? "fatal" : "sound";
      const body = Buffer.concat([
        Buffer.alloc(bytes - 5, "b"),
        Buffer.from(end),
      ]);
      if (end === "sound") body.write(String(i).slice(0, bytes));
      const id = `${end}-${i}`;
      answers.push(sendOrder(host, { id, body, isChunked }));
      await pause(120);
    }
    await Promise.all(answers);
    expect(countLaterArrivals()).toBeLessThanOrEqual(ALLOWED_AFTER);
    const others = await Promise.all(
      fleet.hosts.map((host, i) =>
        sendOrder(host, {
          id: `later-${i}`,
          body: Buffer.alloc(bytes, String(i)),
          isChunked,
        })
      ),
    );
    expect(others).toEqual(fleet.hosts.map(() => 200));
  },
  30_000,
);

function sendOrder(
  { ip }: DeploymentHost,
  { id, body, isChunked }: { id: string; body: Buffer; isChunked: boolean },
): Promise<number> {
  return new Promise((resolve) => {
    const req = request({
      host: ip,
      port: CALLER_PORT,
      path: "/order/fatal",
      method: "POST",
      headers: {
        host: "shop",
        "x-vanillarock-attempt-id": id,
        "x-vanillarock-timeout-ms": "2000",
        ...(!isChunked && { "content-length": String(body.length) }),
      },
    }, (res) => {
      res.resume();
      resolve(res.statusCode!);
    });
    req.on("error", () => resolve(0));
    if (isChunked) req.write(body);
    req.end(isChunked ? undefined : body);
  });
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
