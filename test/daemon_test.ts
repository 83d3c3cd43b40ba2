/**
 * Gossip daemons over real sockets, checked against the upstreams' journals.
 */

import { connect } from "node:net";
import { request } from "undici";
import { afterAll, beforeAll, beforeEach, expect, test } from "vitest";
import { Header, Step } from "../src/link/wire.ts";
import { type SmallFleet, startSmallFleet } from "./support/small_fleet.ts";

const BASE_PORT = 21_000;
const BOARDS = 0;
const ORDERS = 2;

let fleet: SmallFleet;

beforeAll(async () => {
  fleet = await startSmallFleet(BASE_PORT, {
    services: { boards: 2, orders: 2, uploads: 1 },
  });
});

afterAll(() => fleet.stop());

beforeEach(() => {
  for (const { behaviour } of fleet.upstreams) {
    Object.assign(behaviour, {
      crossed: false,
      short: false,
      silent: false,
      failFast: false,
      draining: false,
      serviceMs: 2,
    });
  }
});

test("a read is answered whole, with its execution", async () => {
  const res = await fleet.call(ORDERS, { path: "/boards/7" });
  expect(res).toMatchObject({ status: 200, execution: "ran" });
  expect(JSON.parse(res.text).path).toBe("/boards/7");
});

test("a daemon explains a request at its operators' address, without sending it", async () => {
  const address = fleet.hosts[ORDERS]!.settings.listen.operators;
  const before = fleet.counter(ORDERS, "gateway.arrived");
  const explain = async (query: string) => {
    const res = await request(`http://${address}/explain?${query}`);
    return { status: res.statusCode, content: await res.body.json() };
  };
  expect(await explain("account=karaca&path=/boards/7")).toMatchObject({
    status: 200,
    content: {
      outcome: "sent",
      service: "boards",
      repeatability: "idempotent",
      versions: fleet.daemons[ORDERS]!.getStatus().revisions,
      attempts: [{ attempt: 1, reserves: false }],
    },
  });
  expect(await explain("account=nobody&path=/boards/7")).toMatchObject({
    content: { outcome: "refused", refusal: { reason: "unknown_account" } },
  });
  expect(await explain("path=/boards/7")).toMatchObject({ status: 400 });
  expect(fleet.counter(ORDERS, "gateway.arrived")).toBe(before);
});

test("an order sent again with its key to another daemon is replayed", async () => {
  const first = await sendOrder(BOARDS, { body: "velvet" });
  const again = await sendOrder(ORDERS + 1, { body: "velvet", key: first.key });
  expect(again).toMatchObject({ status: 200, replayed: true });
  expect(again.text).toBe(first.text);
  expect(countRuns(first.key)).toBe(1);
});

test("a key serves one request only", async () => {
  const first = await sendOrder(BOARDS, { body: "velvet" });
  const other = await fleet.call(ORDERS, {
    method: "POST",
    path: "/orders?other=1",
    headers: { [Header.Key]: first.key },
    body: "linen",
  });
  expect(other).toMatchObject({ status: 422, reason: "key_mismatch" });
});

test("keys can be taken ahead of use, and forged ones never run", async () => {
  const address = fleet.hosts[BOARDS]!.settings.listen.callers;
  const res = await request(
    `http://${address}/-/keys?service=orders&count=2`,
    { method: "POST", headers: { [Header.Account]: "karaca" } },
  );
  const { keys } = await res.body.json() as { keys: string[] };
  expect(keys).toHaveLength(2);
  const used = await sendOrder(ORDERS, { body: "silk", key: keys[0]! });
  expect(used).toMatchObject({ status: 200, key: keys[0] });
  const forged = keys[1]!.replace(/.$/, (c) => c === "0" ? "1" : "0");
  const refused = await sendOrder(ORDERS, { body: "silk", key: forged });
  expect(refused).toMatchObject({
    status: 400,
    execution: "not-run",
    reason: "malformed_key",
  });
});

test("a crossed answer of the upstream reaches no caller", async () => {
  for (const { behaviour } of fleet.upstreams) behaviour.crossed = true;
  const read = await fleet.call(BOARDS, { path: "/boards/1" });
  expect(read.status).toBe(502);
  expect(read.reason).toBe("answer_mismatch");
  const ordered = await sendOrder(BOARDS, { body: "velvet" });
  expect(ordered).toMatchObject({ status: 502, execution: "may-have-run" });
});

test("an answer cut short is never delivered as whole", async () => {
  for (const { behaviour } of fleet.upstreams) {
    Object.assign(behaviour, { short: true, answerBytes: 50_000 });
  }
  await expect(fleet.call(ORDERS, { path: "/boards/1" })).rejects.toThrow();
  for (const { behaviour } of fleet.upstreams) behaviour.answerBytes = 0;
});

test("a refusal before the start goes elsewhere as NotRun", async () => {
  fleet.upstreams[ORDERS]!.behaviour.draining = true;
  const before = countStarts(ORDERS);
  for (let index = 0; index < 6; index++) {
    const res = await sendOrder(BOARDS, { body: "velvet" });
    expect(res).toMatchObject({ status: 200, execution: "ran" });
  }
  expect(countStarts(ORDERS)).toBe(before);
});

test("an upstream that never answers leaves MayHaveRun at the deadline", async () => {
  for (const { behaviour } of fleet.upstreams) behaviour.silent = true;
  const res = await fleet.call(BOARDS, {
    method: "POST",
    path: "/orders",
    headers: { [Header.TimeoutMs]: "300" },
    body: "velvet",
  });
  expect(res, `reason ${res.reason}`).toMatchObject({
    status: 504,
    execution: "may-have-run",
    reason: "deadline_passed",
  });
  expect(res.retryAfterMs).toBeGreaterThan(0);
});

test("a streamed upload arrives whole", async () => {
  const size = 2_000_000;
  const res = await fleet.call(BOARDS, {
    method: "POST",
    path: "/photos",
    body: "x".repeat(size),
  });
  expect(res.status).toBe(200);
  expect(JSON.parse(res.text).bytes).toBe(size);
});

test.each([
  ["an unknown account", { [Header.Account]: "nobody" }, "unknown_account"],
  ["a malformed timeout", { [Header.TimeoutMs]: "soon" }, "malformed_timeout"],
])("%s is refused as NotRun", async (_, headers, reason) => {
  const res = await fleet.call(BOARDS, { path: "/boards/1", headers });
  expect(res).toMatchObject({ execution: "not-run", reason });
});

test("an unknown route and a malformed key are refused as NotRun", async () => {
  const route = await fleet.call(BOARDS, { path: "/nowhere" });
  expect(route).toMatchObject({ status: 404, reason: "unknown_route" });
  const key = await sendOrder(BOARDS, { body: "x", key: "my-own-key" });
  expect(key).toMatchObject({ status: 400, reason: "malformed_key" });
});

test("malformed HTTP and oversized headers are refused and counted", async () => {
  const bad = await sendRaw(BOARDS, "GET nonsense\r\n\r\n");
  expect(bad).toContain("malformed_request");
  const large = `GET / HTTP/1.1\r\nhost: x\r\na: ${"y".repeat(40_000)}\r\n\r\n`;
  expect(await sendRaw(BOARDS, large)).toContain("headers_too_large");
  expect(fleet.counter(BOARDS, "daemon.malformed_request")).toBe(1);
  expect(fleet.counter(BOARDS, "daemon.headers_too_large")).toBe(1);
  const res = await fleet.call(BOARDS, { path: "/boards/1" });
  expect(res.status).toBe(200);
});

test("bytes that are no request are refused behind the answer of a request that runs", async () => {
  for (const { behaviour } of fleet.upstreams) behaviour.serviceMs = 100;
  const read = "GET /boards/7 HTTP/1.1\r\nhost: x\r\n" +
    "vanillarock-account: karaca\r\n\r\n";
  const text = await sendRaw(BOARDS, `${read}${read}GET nonsense\r\n\r\n`);
  expect(text.match(/HTTP\/1\.1 \d+|vanillarock-execution: [\w-]+/g)).toEqual([
    "HTTP/1.1 200",
    "vanillarock-execution: ran",
    "HTTP/1.1 200",
    "vanillarock-execution: ran",
    "HTTP/1.1 400",
    "vanillarock-execution: not-run",
  ]);
});

test("a body cut off runs nowhere", async () => {
  const before = countStarts(ORDERS) + countStarts(ORDERS + 1);
  const head = "POST /orders HTTP/1.1\r\nhost: x\r\n" +
    "vanillarock-account: karaca\r\ncontent-length: 100\r\n\r\nonly a part";
  await sendRaw(BOARDS, head, { thenClose: true });
  await new Promise((resolve) => setTimeout(resolve, 100));
  expect(countStarts(ORDERS) + countStarts(ORDERS + 1)).toBe(before);
  expect(fleet.counter(BOARDS, "daemon.refused_body_cut_off")).toBe(1);
});

test("a peer's nonsense is refused as NotRun and counted", async () => {
  const address = fleet.hosts[ORDERS]!.settings.listen.peers;
  const messages: Record<string, string>[] = [
    {},
    { [Header.Step]: "dance" },
    { [Header.Step]: Step.Reserve, [Header.Ticket]: "t" },
    { [Header.Step]: Step.Submit, [Header.Ticket]: "t", [Header.Head]: "{" },
    { [Header.Step]: Step.Run, [Header.Ticket]: "t" },
    { [Header.Step]: Step.Settle },
    { [Header.Step]: Step.Keys, [Header.Account]: "karaca" },
  ];
  for (const headers of messages) {
    const res = await request(`http://${address}/`, {
      method: "POST",
      headers,
    });
    await res.body.dump();
    expect(res.statusCode).toBe(400);
  }
  const count = fleet.counter(ORDERS, "daemon.malformed_peer_message");
  expect(count).toBe(messages.length);
});

test("a change of configuration is in force at every daemon", async () => {
  const text = `kind: template
name: studio
parameters: { timeoutMs: 1234, weight: 1, retryBudget: 0.1, hedgeBudget: 0,
  hedgePercentile: 95, tailWeight: 0.5, maxBodyBytes: 9000000 }
`;
  const revision = fleet.platform.publish("template/studio", text);
  await expect.poll(
    () => fleet.daemons.map((d) => d.getStatus().revisions["template/studio"]),
    { timeout: 10_000 },
  ).toEqual(fleet.daemons.map(() => revision));
  fleet.platform.publish("template/studio", text.replace("1234", "-1"));
  await expect.poll(
    () =>
      fleet.daemons.some((_, i) =>
        fleet.counter(i, "control.config_invalid") > 0
      ),
    { timeout: 10_000 },
  ).toBe(true);
  const inForce = fleet.daemons.map((d) =>
    d.getStatus().revisions["template/studio"]
  );
  expect(inForce).toEqual(fleet.daemons.map(() => revision));
});

function sendOrder(index: number, options: { body: string; key?: string }) {
  return fleet.call(index, {
    method: "POST",
    path: "/orders",
    headers: options.key === undefined ? {} : { [Header.Key]: options.key },
    body: options.body,
  });
}

function countRuns(key: string): number {
  return fleet.upstreams.flatMap((u) => u.getJournal())
    .filter((e) => e.key === key && e.event === "started").length;
}

function countStarts(index: number): number {
  return fleet.upstreams[index]!.getJournal()
    .filter((e) => e.event === "started").length;
}

function sendRaw(
  index: number,
  text: string,
  options: { thenClose?: boolean } = {},
): Promise<string> {
  const address = fleet.hosts[index]!.settings.listen.callers;
  const port = Number(address.split(":")[1]);
  return new Promise((resolve) => {
    const socket = connect(port, "127.0.0.1");
    let answer = "";
    socket.on("data", (chunk) => answer += chunk);
    socket.on("close", () => resolve(answer));
    socket.on("error", () => {});
    socket.write(text, () => {
      if (options.thenClose) socket.destroy();
    });
  });
}
