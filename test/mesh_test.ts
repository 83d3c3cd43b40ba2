/** Store daemons as processes, against a simulated store and upstreams. */

import { spawn } from "node:child_process";
import { readFileSync } from "node:fs";
import { connect } from "node:net";
import { afterAll, afterEach, beforeAll, expect, test } from "vitest";
import {
  CALLER_PORT,
  type Deployment,
  type DeploymentHost,
  startDeployment,
} from "./platform/mesh.ts";
import type { RequestExplanation } from "../src/daemon/request_explanation.ts";
import { StoreMode } from "./platform/store_stand_in.ts";
import { UpstreamMode } from "./platform/upstream_stand_in.ts";

/** Time until a change is in force, in ms: `configS` of the settings. */
const IN_FORCE_MS = 2_000;

let fleet: Deployment;

beforeAll(async () => {
  fleet = await startDeployment(71, ["shop", "shop", "shop"]);
});
afterAll(() => fleet.close());
// A failed test must not leave its faults to the tests after it.
afterEach(() => {
  setUpstreamModes(UpstreamMode.Serving);
  setServiceTimes(1);
});

test("a request reaches an upstream with the headers that the platform requires", async () => {
  const res = await fleet.call(fleet.hosts[0]!, {
    id: "plain",
    path: "/read/7?q=1",
    headers: { "x-vanillarock-caller-service": "forged", "x-other": "kept" },
  });
  expect(res.status).toBe(200);
  expect(res.text).toBe("the upstream's answer");
  expect(res.headers["x-vanillarock-attempt-id"]).toBe("plain");
  const heard = fleet.hosts.flatMap((h) => h.upstream.heard)
    .find((h) => h["x-vanillarock-attempt-id"] === "plain")!;
  expect(heard["x-vanillarock-caller-service"]).toBe("shop");
  expect(heard["x-other"]).toBe("kept");
  expect(heard.host).toBe("shop");
  expect(Number(heard["x-vanillarock-timeout-ms"])).toBeGreaterThan(1_000);
  const internal = Object.keys(heard).filter((n) =>
    n.startsWith("vanillarock")
  );
  expect(internal).toEqual([]);
});

test("an order runs once, whichever daemon takes it", async () => {
  for (const [index, host] of fleet.hosts.entries()) {
    const id = `order-${index}`;
    const body = Buffer.alloc(70_000, index);
    const res = await fleet.call(host, {
      id,
      path: "/order/1",
      method: "POST",
      body,
    });
    expect(res.status).toBe(200);
    const runs = fleet.hosts.flatMap((h) => h.upstream.ran)
      .filter((r) => r === id);
    expect(runs).toHaveLength(1);
    const arrived = fleet.hosts.flatMap((h) => h.upstream.bodies);
    expect(arrived.some((b) => b.equals(body))).toBe(true);
  }
});

test("an unknown path gets 404, and a request that all upstreams shed is refused as not run", async () => {
  const unknown = await fleet.call(fleet.hosts[0]!, {
    id: "u",
    path: "/none/1",
  });
  expect(unknown.status).toBe(404);
  setUpstreamModes(UpstreamMode.Shedding);
  const shed = await fleet.call(fleet.hosts[0]!, {
    id: "shed",
    path: "/order/1",
    method: "POST",
    body: "x",
  });
  setUpstreamModes(UpstreamMode.Serving);
  expect(shed.status).toBe(503);
  expect(Number(shed.headers["retry-after"])).toBeGreaterThan(0);
  expect(fleet.hosts.flatMap((h) => h.upstream.ran)).not.toContain("shed");
});

test("an order whose response is lost is never reported as not run", async () => {
  setUpstreamModes(UpstreamMode.LosesResponse);
  const lost = await fleet.call(fleet.hosts[1]!, {
    id: "lost",
    path: "/order/1",
    method: "POST",
    body: "x",
  });
  setUpstreamModes(UpstreamMode.Serving);
  expect([502, 504]).toContain(lost.status);
  const runs = fleet.hosts.flatMap((h) => h.upstream.ran)
    .filter((r) => r === "lost");
  expect(runs).toHaveLength(1);
});

test("no success is passed on that is unsigned, cut short or another's", async () => {
  const modes = [
    UpstreamMode.Unsigned,
    UpstreamMode.TruncatesResponse,
    UpstreamMode.ResetsUnframed,
  ];
  for (const mode of modes) {
    setUpstreamModes(mode);
    const id = `spoilt-${mode}`;
    const res = await fleet.call(fleet.hosts[0]!, { id });
    expect(res.status).toBe(502);
  }
  setUpstreamModes(UpstreamMode.Unframed);
  const unframed = await fleet.call(fleet.hosts[0]!, {
    id: "unframed",
  });
  expect([unframed.status, unframed.text]).toEqual([
    200,
    "the upstream's answer",
  ]);
  // Without it, the end of a killed daemon's connections would look like that of the body.
  expect(unframed.headers["content-length"]).toBe(
    String(unframed.text.length),
  );
  setUpstreamModes(UpstreamMode.RespondsTwice);
  for (let i = 0; i < 20; i++) {
    const res = await fleet.call(fleet.hosts[0]!, {
      id: `twice-${i}`,
    });
    if (res.status !== 200) continue;
    expect(res.headers["x-vanillarock-attempt-id"]).toBe(`twice-${i}`);
    expect(res.text).toBe("the upstream's answer");
  }
  setUpstreamModes(UpstreamMode.Serving);
});

// In a deployment of its own: a retry needs room in the shared retry budget, of
// which the tests before it use most. Six more retries from the same window then
// left one or two of the reads with the failed response.
test("a failed read is tried at another upstream", async () => {
  const unused = await startDeployment(90, ["shop", "shop", "shop"]);
  const [host] = unused.hosts as [DeploymentHost];
  host.upstream.mode = UpstreamMode.Fails;
  const responses = await Promise.all(
    Array.from(
      { length: 6 },
      (_, i) => unused.call(host, { id: `failing-${i}` }),
    ),
  ).finally(() => unused.close());
  const log = host.lines.filter((l) => l.includes("req=failing-")).join("\n");
  expect(host.upstream.ran.length, log).toBeGreaterThan(0);
  expect(responses.map((r) => r.status), log).toEqual(Array(6).fill(200));
});

test(
  "a change made after the store was unresponsive is in force within two seconds",
  async () => {
    fleet.store.setMode(StoreMode.Unresponsive);
    await pause(4_500);
    fleet.store.setMode(StoreMode.Serving);
    fleet.publish(2);
    await pause(1_900);
    for (const { lines } of fleet.hosts) {
      expect(lines.some((l) => /config_in_force.* version=2 /.test(l))).toBe(
        true,
      );
    }
  },
  20_000,
);

test(
  "a daemon that is stopped ends its requests and reports that it is not ready",
  async () => {
    const [host] = fleet.hosts as [DeploymentHost];
    setServiceTimes(1_500);
    const open = fleet.call(host, { id: "open" });
    await pause(100);
    const exited = new Promise((resolve) => host.process.once("exit", resolve));
    host.process.kill("SIGTERM");
    await pause(100);
    expect(await fleet.getReadyStatus(host)).toBe(503);
    setServiceTimes(1);
    const late = await fleet.call(host, { id: "late" });
    expect([late.status, late.headers.connection]).toEqual([200, "close"]);
    expect((await open).status).toBe(200);
    await pause(3_000 - 1_500);
    expect(await exited).toBe(0);
    fleet.startDaemon(host);
    await fleet.waitUntilReady(host);
  },
  20_000,
);

test("a second SIGTERM cuts no request off", async () => {
  const [, host] = fleet.hosts as [DeploymentHost, DeploymentHost];
  setServiceTimes(800);
  const open = fleet.call(host, { id: "told-twice" });
  await pause(100);
  const exited = new Promise((resolve) => host.process.once("exit", resolve));
  host.process.kill("SIGTERM");
  await pause(50);
  host.process.kill("SIGTERM");
  expect((await open).status).toBe(200);
  setServiceTimes(1);
  expect(await exited).toBe(0);
  fleet.startDaemon(host);
  await fleet.waitUntilReady(host);
}, 20_000);

test("a stop answers what came while the process was held up", async () => {
  const [host] = fleet.hosts as [DeploymentHost];
  const socket = connect(CALLER_PORT, host.ip);
  let received = "";
  socket.on("data", (data) => received += data);
  socket.on("error", (error) => received += error.message);
  const send = (id: string) =>
    socket.write(
      "GET /read/1 HTTP/1.1\r\nhost: shop\r\n" +
        `x-vanillarock-attempt-id: ${id}\r\n` +
        "x-vanillarock-timeout-ms: 2000\r\n\r\n",
    );
  send("before-the-stop");
  await expect.poll(() => received).toContain("HTTP/1.1 200");
  received = "";
  const exited = new Promise((resolve) => host.process.once("exit", resolve));
  host.process.kill("SIGTERM");
  // Shortly before the process would exit.
  await pause(2_350);
  host.process.kill("SIGSTOP");
  send("during-the-pause");
  await pause(500);
  host.process.kill("SIGCONT");
  expect(await exited).toBe(0);
  expect(received).toContain("HTTP/1.1 200");
  socket.destroy();
  fleet.startDaemon(host);
  await fleet.waitUntilReady(host);
}, 20_000);

test("a reload while the process starts does not end it", async () => {
  const [, , host] = fleet.hosts as [
    DeploymentHost,
    DeploymentHost,
    DeploymentHost,
  ];
  const exited = new Promise((resolve) => host.process.once("exit", resolve));
  host.process.kill("SIGKILL");
  await exited;
  host.lines.length = 0;
  fleet.startDaemon(host);
  while (!handlesSighup(host)) await pause(1);
  // No log line yet: the daemon's modules are still loading.
  expect(host.lines).toEqual([]);
  for (let i = 0; i < 20; i++) {
    host.process.kill("SIGHUP");
    await pause(5);
  }
  await fleet.waitUntilReady(host);
  expect(host.process.exitCode).toBe(null);
  expect(host.process.signalCode).toBe(null);
});

test("after a power loss, store entries from before it are not used", async () => {
  const [first, second] = fleet.hosts as [DeploymentHost, DeploymentHost];
  const before = second.upstream.instance;
  // In order of keys the old entry comes last.
  second.upstream.instance = "i-0";
  fleet.list(second);
  const exited = new Promise((resolve) => first.process.once("exit", resolve));
  first.process.kill("SIGKILL");
  await exited;
  fleet.startDaemon(first);
  await fleet.waitUntilReady(first);
  const arrivals = countArrivals();
  const calls = Array.from(
    { length: 30 },
    (_, i) => fleet.call(first, { id: `after-power-${i}`, path: "/order/1" }),
  );
  const statuses = (await Promise.all(calls)).map((s) => s.status);
  expect(statuses).toEqual(Array(30).fill(200));
  expect(countArrivals() - arrivals).toBe(30);
  fleet.store.remove(`servers/${before}`);
});

test("entries that can't be read name no upstream, and the others hold", async () => {
  fleet.store.putText("servers/i-broken", "{not json");
  fleet.store.put("servers/i-typed", { address: 7, info: {}, status: {} });
  fleet.store.putText("op/config", "{}");
  const getIgnored = () =>
    fleet.hosts[1]!.lines.filter((l) => l.includes("store_entry_ignored"));
  await expect.poll(getIgnored, { timeout: IN_FORCE_MS }).toHaveLength(3);
  const res = await fleet.call(fleet.hosts[1]!, { id: "after-bad" });
  expect(res.status).toBe(200);
  await pause(500);
  expect(getIgnored()).toHaveLength(3);
  fleet.publish(3);
});

test("an upstream that the store lists as draining gets no more work", async () => {
  const [, host] = fleet.hosts as [DeploymentHost, DeploymentHost];
  fleet.list(host, { state: "draining" });
  await pause(800);
  const before = host.upstream.ran.length;
  for (let i = 0; i < 10; i++) await fleet.call(host, { id: `drain-${i}` });
  expect(host.upstream.ran.length).toBe(before);
  fleet.list(host);
  await pause(500);
});

test("an order after an idle time does not use a connection that the upstream has dropped", async () => {
  for (const { upstream } of fleet.hosts) upstream.maxIdleMs = 300;
  const statuses: number[] = [];
  for (let i = 0; i < 6; i++) {
    const id = `rested-${i}`;
    const call = { id, path: "/order/1", method: "POST", body: "x" } as const;
    statuses.push((await fleet.call(fleet.hosts[0]!, call)).status);
    await pause(350);
  }
  for (const { upstream } of fleet.hosts) upstream.maxIdleMs = Infinity;
  expect(statuses).toEqual(Array(6).fill(200));
});

test("a read whose caller leaves is cancelled at its upstream", async () => {
  setServiceTimes(2_000);
  const call = fleet.call(fleet.hosts[0]!, {
    id: "leaves",
    timeoutMs: 1_900,
  });
  await pause(100);
  const abandoned = call.catch((error: Error) => error.name);
  fleet.closeCallerConnections();
  await abandoned;
  await pause(400);
  setServiceTimes(1);
  expect(fleet.hosts.flatMap((h) => h.upstream.cancelled)).toContain(
    "leaves",
  );
});

test("a reader of the log that stops reading costs no request", async () => {
  const [host] = fleet.hosts as [DeploymentHost];
  host.process.stdout!.pause();
  const statuses: number[] = [];
  for (let round = 0; round < 30; round++) {
    const calls = Array.from(
      { length: 20 },
      (_, i) => fleet.call(host, { id: `unread-${round}-${i}` }),
    );
    statuses.push(...(await Promise.all(calls)).map((s) => s.status));
  }
  host.process.stdout!.resume();
  const served = statuses.filter((s) => s === 200).length;
  // Requests may be refused under load, but none may hang or be cut off.
  expect(statuses.filter((s) => s !== 200 && s !== 503)).toEqual([]);
  expect(served).toBeGreaterThan(500);
}, 30_000);

test("a request with large headers is served within the operator's limit", async () => {
  const res = await fleet.call(fleet.hosts[0]!, {
    id: "large-headers",
    headers: { "x-large": "h".repeat(20_000) },
  });
  expect(res.status).toBe(200);
});

test("metrics report latencies by route, upstream and phase", async () => {
  const [host] = fleet.hosts as [DeploymentHost];
  await fleet.call(host, { id: "measured" });
  const res = await fetch(`http://${host.ip}:9464/metrics`);
  const text = await res.text();
  const names = ["answer", "placing", "attempt", "queue", "upstream"];
  for (const name of names) {
    const label = name === "attempt" ? 'host="127' : 'route="reads"';
    const count = new RegExp(
      `^vanillarock_${name}_seconds_count{.*${label}.*} [1-9]`,
      "m",
    );
    expect(text).toMatch(count);
  }
  expect(text).toMatch(/^vanillarock_upstreams_listed 3$/m);
  expect(text).toMatch(/^vanillarock_store_in_touch 1$/m);
});

test("a daemon explains a request beside its metrics, without sending it", async () => {
  const [host] = fleet.hosts as [DeploymentHost];
  const ran = fleet.hosts.flatMap(({ upstream }) => upstream.ran).length;
  const explain = async (query: string) => {
    const res = await fetch(`http://${host.ip}:9464/explain?${query}`);
    const content = await res.json() as RequestExplanation;
    return { status: res.status, content };
  };
  const served = await explain("hostname=shop&path=/read/1&timeoutMs=300");
  expect(served).toMatchObject({
    status: 200,
    content: { host: host.ip, outcome: "sent", route: "reads", timeoutMs: 300 },
  });
  expect(served.content.candidates.length).toBeGreaterThan(0);
  const refused = await explain("hostname=shop&path=/none/");
  expect(refused.content.refusal?.reason).toBe("unknown_route");
  expect((await explain("path=/read/1")).status).toBe(400);
  expect(fleet.hosts.flatMap(({ upstream }) => upstream.ran)).toHaveLength(ran);
});

test("settings that can't be used end the process with a code of their own", async () => {
  const child = spawn(process.execPath, ["target/vanillarock.cjs"], {
    env: { ...process.env, VANILLAROCK_SETTINGS: "/nowhere/local.yaml" },
    stdio: ["ignore", "ignore", "pipe"],
  });
  let text = "";
  child.stderr!.on("data", (data) => text += data);
  const code = await new Promise((resolve) => child.once("exit", resolve));
  expect(code).toBe(78);
  expect(text).toContain("VANILLAROCK_SETTINGS");
});

function setServiceTimes(ms: number): void {
  for (const { upstream } of fleet.hosts) upstream.workMs = ms;
}

/** True once the process has a handler for SIGHUP according to the kernel. */
function handlesSighup({ process }: DeploymentHost): boolean {
  const status = readFileSync(`/proc/${process.pid}/status`, "utf8");
  const caught = /^SigCgt:\s*([0-9a-f]+)$/m.exec(status)![1]!;
  return (BigInt(`0x${caught}`) & 1n) === 1n;
}

function countArrivals(): number {
  return fleet.hosts.reduce((sum, h) => sum + h.upstream.arrivals, 0);
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

function setUpstreamModes(mode: UpstreamMode): void {
  for (const { upstream } of fleet.hosts) upstream.mode = mode;
}
