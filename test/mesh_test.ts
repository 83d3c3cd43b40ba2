/** Daemons of the platform's deployment as processes, against stand-ins. */

import { spawn } from "node:child_process";
import { readFileSync } from "node:fs";
import { connect } from "node:net";
import { afterAll, beforeAll, expect, test } from "vitest";
import {
  CALLER_PORT,
  type Deployment,
  type DeploymentHost,
  startDeployment,
} from "./platform/mesh.ts";
import { StoreMode } from "./platform/store_stand_in.ts";
import { UpstreamMode } from "./platform/upstream_stand_in.ts";

let mesh: Deployment;

beforeAll(async () => {
  mesh = await startDeployment(71, ["shop", "shop", "shop"]);
});
afterAll(() => mesh.close());

test("a request reaches an upstream with what the platform asks for", async () => {
  const seen = await mesh.call(mesh.hosts[0]!, {
    id: "plain",
    path: "/read/7?q=1",
    headers: { "x-vanillarock-caller-service": "forged", "x-other": "kept" },
  });
  expect(seen.status).toBe(200);
  expect(seen.text).toBe("the upstream's answer");
  expect(seen.headers["x-vanillarock-attempt-id"]).toBe("plain");
  const heard = mesh.hosts.flatMap((h) => h.upstream.heard)
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
  for (const [index, host] of mesh.hosts.entries()) {
    const id = `order-${index}`;
    const body = Buffer.alloc(70_000, index);
    const seen = await mesh.call(host, {
      id,
      path: "/order/1",
      method: "POST",
      body,
    });
    expect(seen.status).toBe(200);
    const runs = mesh.hosts.flatMap((h) => h.upstream.ran)
      .filter((r) => r === id);
    expect(runs).toHaveLength(1);
    const arrived = mesh.hosts.flatMap((h) => h.upstream.bodies);
    expect(arrived.some((b) => b.equals(body))).toBe(true);
  }
});

test("an unknown path is answered 404, and what all shed is refused as not run", async () => {
  const unknown = await mesh.call(mesh.hosts[0]!, { id: "u", path: "/none/1" });
  expect(unknown.status).toBe(404);
  setMood(UpstreamMode.Shedding);
  const shed = await mesh.call(mesh.hosts[0]!, {
    id: "shed",
    path: "/order/1",
    method: "POST",
    body: "x",
  });
  setMood(UpstreamMode.Serving);
  expect(shed.status).toBe(503);
  expect(Number(shed.headers["retry-after"])).toBeGreaterThan(0);
  expect(mesh.hosts.flatMap((h) => h.upstream.ran)).not.toContain("shed");
});

test("an order whose answer is lost is never said not to have run", async () => {
  setMood(UpstreamMode.LosesResponse);
  const lost = await mesh.call(mesh.hosts[1]!, {
    id: "lost",
    path: "/order/1",
    method: "POST",
    body: "x",
  });
  setMood(UpstreamMode.Serving);
  expect([502, 504]).toContain(lost.status);
  const runs = mesh.hosts.flatMap((h) => h.upstream.ran)
    .filter((r) => r === "lost");
  expect(runs).toHaveLength(1);
});

test("no success is passed on that is unsigned, cut short or another's", async () => {
  const moods = [
    UpstreamMode.Unsigned,
    UpstreamMode.TruncatesResponse,
    UpstreamMode.ResetsUnframed,
  ];
  for (const mood of moods) {
    setMood(mood);
    const id = `spoilt-${mood}`;
    const seen = await mesh.call(mesh.hosts[0]!, { id });
    expect(seen.status).toBe(502);
  }
  setMood(UpstreamMode.Unframed);
  const unframed = await mesh.call(mesh.hosts[0]!, { id: "unframed" });
  expect([unframed.status, unframed.text]).toEqual([
    200,
    "the upstream's answer",
  ]);
  expect(unframed.headers["content-length"]).toBeUndefined();
  expect(unframed.headers["transfer-encoding"]).toBeUndefined();
  expect(unframed.headers.connection).toBe("close");
  setMood(UpstreamMode.RespondsTwice);
  for (let i = 0; i < 20; i++) {
    const seen = await mesh.call(mesh.hosts[0]!, { id: `twice-${i}` });
    if (seen.status !== 200) continue;
    expect(seen.headers["x-vanillarock-attempt-id"]).toBe(`twice-${i}`);
    expect(seen.text).toBe("the upstream's answer");
  }
  setMood(UpstreamMode.Serving);
});

test("a failed read is tried at another upstream", async () => {
  mesh.hosts[0]!.upstream.mode = UpstreamMode.Fails;
  const seen = await Promise.all(
    Array.from(
      { length: 6 },
      (_, i) => mesh.call(mesh.hosts[0]!, { id: `failing-${i}` }),
    ),
  );
  mesh.hosts[0]!.upstream.mode = UpstreamMode.Serving;
  expect(seen.filter((s) => s.status === 200).length).toBeGreaterThan(4);
});

test(
  "a change made after the store's silence is in force within two seconds",
  async () => {
    mesh.store.setMode(StoreMode.Unresponsive);
    await pause(4_500);
    mesh.store.setMode(StoreMode.Serving);
    mesh.publish(2);
    await pause(1_900);
    for (const { lines } of mesh.hosts) {
      expect(lines.some((l) => /config_in_force.* version=2 /.test(l))).toBe(
        true,
      );
    }
  },
  20_000,
);

test(
  "a daemon that is stopped ends its requests and says that it leaves",
  async () => {
    const [host] = mesh.hosts as [DeploymentHost];
    setWork(1_500);
    const open = mesh.call(host, { id: "open" });
    await pause(100);
    const ended = new Promise((resolve) => host.process.once("exit", resolve));
    host.process.kill("SIGTERM");
    await pause(100);
    expect(await mesh.getReadyStatus(host)).toBe(503);
    setWork(1);
    const late = await mesh.call(host, { id: "late" });
    expect([late.status, late.headers.connection]).toEqual([200, "close"]);
    expect((await open).status).toBe(200);
    await pause(3_000 - 1_500);
    expect(await ended).toBe(0);
    mesh.startDaemon(host);
    await mesh.waitUntilReady(host);
  },
  20_000,
);

test("a second SIGTERM cuts no request off", async () => {
  const [, host] = mesh.hosts as [DeploymentHost, DeploymentHost];
  setWork(800);
  const open = mesh.call(host, { id: "told-twice" });
  await pause(100);
  const ended = new Promise((resolve) => host.process.once("exit", resolve));
  host.process.kill("SIGTERM");
  await pause(50);
  host.process.kill("SIGTERM");
  expect((await open).status).toBe(200);
  setWork(1);
  expect(await ended).toBe(0);
  mesh.startDaemon(host);
  await mesh.waitUntilReady(host);
}, 20_000);

test("a stop answers what came while the process was held up", async () => {
  const [host] = mesh.hosts as [DeploymentHost];
  const socket = connect(CALLER_PORT, host.ip);
  let seen = "";
  socket.on("data", (data) => seen += data);
  socket.on("error", (error) => seen += error.message);
  const send = (id: string) =>
    socket.write(
      "GET /read/1 HTTP/1.1\r\nhost: shop\r\n" +
        `x-vanillarock-attempt-id: ${id}\r\n` +
        "x-vanillarock-timeout-ms: 2000\r\n\r\n",
    );
  send("before-the-stop");
  await expect.poll(() => seen).toContain("HTTP/1.1 200");
  seen = "";
  const ended = new Promise((resolve) => host.process.once("exit", resolve));
  host.process.kill("SIGTERM");
  // Shortly before it would leave.
  await pause(2_350);
  host.process.kill("SIGSTOP");
  send("during-the-pause");
  await pause(500);
  host.process.kill("SIGCONT");
  expect(await ended).toBe(0);
  expect(seen).toContain("HTTP/1.1 200");
  socket.destroy();
  mesh.startDaemon(host);
  await mesh.waitUntilReady(host);
}, 20_000);

test("a reload while the process starts does not end it", async () => {
  const [, , host] = mesh.hosts as [
    DeploymentHost,
    DeploymentHost,
    DeploymentHost,
  ];
  const ended = new Promise((resolve) => host.process.once("exit", resolve));
  host.process.kill("SIGKILL");
  await ended;
  host.lines.length = 0;
  mesh.startDaemon(host);
  while (!catchesReload(host)) await pause(1);
  // The daemon's modules are still being loaded.
  expect(host.lines).toEqual([]);
  for (let i = 0; i < 20; i++) {
    host.process.kill("SIGHUP");
    await pause(5);
  }
  await mesh.waitUntilReady(host);
  expect(host.process.exitCode).toBe(null);
  expect(host.process.signalCode).toBe(null);
});

test("after a loss of power entries of before are not used", async () => {
  const [first, second] = mesh.hosts as [DeploymentHost, DeploymentHost];
  const before = second.upstream.instance;
  // By key the entry of before comes last.
  second.upstream.instance = "i-0";
  mesh.list(second);
  const ended = new Promise((resolve) => first.process.once("exit", resolve));
  first.process.kill("SIGKILL");
  await ended;
  mesh.startDaemon(first);
  await mesh.waitUntilReady(first);
  const arrivals = countArrivals();
  const calls = Array.from(
    { length: 30 },
    (_, i) => mesh.call(first, { id: `after-power-${i}`, path: "/order/1" }),
  );
  const statuses = (await Promise.all(calls)).map((s) => s.status);
  expect(statuses).toEqual(Array(30).fill(200));
  expect(countArrivals() - arrivals).toBe(30);
  mesh.store.remove(`servers/${before}`);
});

test("entries that can't be read name no upstream, and the others hold", async () => {
  mesh.store.putText("servers/i-broken", "{not json");
  mesh.store.put("servers/i-typed", { address: 7, info: {}, status: {} });
  mesh.store.putText("op/config", "{}");
  await pause(500);
  const seen = await mesh.call(mesh.hosts[1]!, { id: "after-bad" });
  expect(seen.status).toBe(200);
  const ignored = mesh.hosts[1]!.lines.filter((l) =>
    l.includes("store_entry_ignored")
  );
  expect(ignored).toHaveLength(3);
  mesh.publish(3);
});

test("an upstream that the store says is leaving gets no more work", async () => {
  const [, host] = mesh.hosts as [DeploymentHost, DeploymentHost];
  mesh.list(host, { state: "draining" });
  await pause(800);
  const before = host.upstream.ran.length;
  for (let i = 0; i < 10; i++) await mesh.call(host, { id: `drain-${i}` });
  expect(host.upstream.ran.length).toBe(before);
  mesh.list(host);
  await pause(500);
});

test("an order after a rest does not go over a connection that was forgotten", async () => {
  for (const { upstream } of mesh.hosts) upstream.maxIdleMs = 300;
  const statuses: number[] = [];
  for (let i = 0; i < 6; i++) {
    const id = `rested-${i}`;
    const call = { id, path: "/order/1", method: "POST", body: "x" } as const;
    statuses.push((await mesh.call(mesh.hosts[0]!, call)).status);
    await pause(350);
  }
  for (const { upstream } of mesh.hosts) upstream.maxIdleMs = Infinity;
  expect(statuses).toEqual(Array(6).fill(200));
});

test("a read whose caller leaves is cancelled at its upstream", async () => {
  setWork(2_000);
  const call = mesh.call(mesh.hosts[0]!, { id: "leaves", timeoutMs: 1_900 });
  await pause(100);
  const abandoned = call.catch((error: Error) => error.name);
  mesh.closeCallerConnections();
  await abandoned;
  await pause(400);
  setWork(1);
  expect(mesh.hosts.flatMap((h) => h.upstream.cancelled)).toContain("leaves");
});

test("a reader of the log that stops reading loses no request", async () => {
  const [host] = mesh.hosts as [DeploymentHost];
  host.process.stdout!.pause();
  const statuses: number[] = [];
  for (let round = 0; round < 30; round++) {
    const calls = Array.from(
      { length: 20 },
      (_, i) => mesh.call(host, { id: `unread-${round}-${i}` }),
    );
    statuses.push(...(await Promise.all(calls)).map((s) => s.status));
  }
  host.process.stdout!.resume();
  const served = statuses.filter((s) => s === 200).length;
  // Refusals are of load alone; none may hang or break off.
  expect(statuses.filter((s) => s !== 200 && s !== 503)).toEqual([]);
  expect(served).toBeGreaterThan(500);
}, 30_000);

test("a request with large headers is served within the operator's limit", async () => {
  const seen = await mesh.call(mesh.hosts[0]!, {
    id: "large-headers",
    headers: { "x-large": "h".repeat(20_000) },
  });
  expect(seen.status).toBe(200);
});

test("metrics tell latencies by route, upstream and phase", async () => {
  const [host] = mesh.hosts as [DeploymentHost];
  await mesh.call(host, { id: "measured" });
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

function setWork(ms: number): void {
  for (const { upstream } of mesh.hosts) upstream.workMs = ms;
}

/** True once the process has a handler for SIGHUP, by the kernel's word. */
function catchesReload({ process }: DeploymentHost): boolean {
  const status = readFileSync(`/proc/${process.pid}/status`, "utf8");
  const caught = /^SigCgt:\s*([0-9a-f]+)$/m.exec(status)![1]!;
  return (BigInt(`0x${caught}`) & 1n) === 1n;
}

function countArrivals(): number {
  return mesh.hosts.reduce((sum, h) => sum + h.upstream.arrivals, 0);
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

function setMood(mood: UpstreamMode): void {
  for (const { upstream } of mesh.hosts) upstream.mode = mood;
}
