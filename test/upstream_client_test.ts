/**
 * The client of an upstream against raw sockets. Guards against a status that no
 * response has, and against a request without an answer.
 */

import { Buffer } from "node:buffer";
import { EventEmitter } from "node:events";
import { createServer, type Server, type Socket } from "node:net";
import { Readable } from "node:stream";
import { afterEach, expect, test } from "vitest";
import { createMemoryBudget } from "../src/core/memory_budget.ts";
import { Diagnostics } from "../src/core/diagnostics.ts";
import { createClock } from "../src/daemon/clock.ts";
import {
  createUpstreamClient,
  type UpstreamClient,
  type UpstreamResult,
} from "../src/upstream/upstream_client.ts";
import { createDefaultProtocol } from "../src/upstream/upstream_protocol.ts";

const TIMEOUT_MS = 1_000;

let server: Server | undefined;
let client: UpstreamClient | undefined;
const sockets = new Set<Socket>();
/** Bytes that the upstream received. */
let received = "";

afterEach(async () => {
  await client?.close();
  for (const socket of sockets) socket.destroy();
  sockets.clear();
  await new Promise((resolve) => server?.close(resolve) ?? resolve(undefined));
});

/** Sends one request to an upstream that answers with these bytes. */
async function send(
  method: string,
  bytes: string,
  body: Readable | Buffer | null = null,
): Promise<UpstreamResult> {
  received = "";
  const it = createServer((socket) => {
    sockets.add(socket);
    socket.on("error", () => {});
    socket.on("data", (data) => received += data.toString());
    socket.once("data", () => socket.write(bytes));
  });
  server = it;
  await new Promise<void>((resolve) => it.listen(0, "127.0.0.1", resolve));
  const { port } = it.address() as { port: number };
  client = createUpstreamClient({
    address: `127.0.0.1:${port}`,
    connections: 4,
    clock: createClock(),
    protocol: createDefaultProtocol({ refusesBeforeStart: false }),
    memory: createMemoryBudget({ limitBytes: 1_000_000 }),
  });
  const request = {
    method,
    path: "/",
    headers: {},
    body,
    signal: new EventEmitter(),
  };
  const call = { timeoutMs: TIMEOUT_MS, isAtMostOnce: true };
  return await Promise.race([
    client.send(request, call),
    new Promise<never>((_, reject) =>
      setTimeout(() => reject(new Error("no result")), TIMEOUT_MS)
    ),
  ]);
}

test.each([0, 42, 99, 101, 600, 999])(
  "a response of status %i is malformed",
  async (status) => {
    const line = `HTTP/1.1 ${String(status).padStart(3, "0")} Odd\r\n`;
    const result = await send("GET", `${line}content-length: 0\r\n\r\n`);
    expect(result).toMatchObject({
      failure: { diagnostic: Diagnostics.answer_garbled },
    });
  },
);

test.each([200, 204, 301, 404, 500, 599])(
  "a response of status %i is passed on",
  async (status) => {
    const line = `HTTP/1.1 ${status} Sound\r\n`;
    const result = await send("GET", `${line}content-length: 0\r\n\r\n`);
    expect(result).toMatchObject({ response: { status } });
  },
);

const OK = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";

const METHODS = ["GET", "HEAD", "OPTIONS", "TRACE", "DELETE", "POST", "PUT"];

test.each(METHODS)("the kept body of a %s has a length", async (method) => {
  await send(method, OK, Buffer.from("body"));
  expect(received.toLowerCase()).toContain("\r\ncontent-length: 4\r\n");
});

test.each(METHODS)("the streamed body of a %s is in chunks", async (method) => {
  await send(method, OK, Readable.from([Buffer.from("body")]));
  expect(received.toLowerCase())
    .toContain("\r\ntransfer-encoding: chunked\r\n");
});

test("an upgrade that was not asked for ends its request", async () => {
  const result = await send(
    "GET",
    "HTTP/1.1 101 Switching\r\nconnection: upgrade\r\nupgrade: odd\r\n\r\n",
  );
  expect(result).toMatchObject({
    failure: { diagnostic: Diagnostics.answer_garbled },
  });
});

test("a HEAD whose response has bytes behind its head is answered", async () => {
  const result = await send(
    "HEAD",
    "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nmore",
  );
  if (!("response" in result)) throw new Error("no response");
  expect(result.response.bytes?.length).toBe(0);
});
