/** Bodies in chunks, and what their connections carry next. */

import { Buffer } from "node:buffer";
import { Agent, createServer, type IncomingMessage, request } from "node:http";
import type { AddressInfo } from "node:net";
import { expect, test } from "vitest";
import { createClock } from "../src/daemon/clock.ts";
import { createPieceLimits } from "../src/link/small_pieces.ts";
import { createChunkedBody } from "../src/upstream/chunked_body.ts";

const limits = createPieceLimits(createClock());

test("a chunked answer that a slow caller reads is whole though its connection serves others meanwhile", async () => {
  const server = createServer((req, res) => {
    if (req.url === "/chunked") {
      res.write("x".repeat(1_000));
      return void res.end("y".repeat(1_000));
    }
    const body = Buffer.alloc(1_000_000);
    res.writeHead(200, { "content-length": String(body.length) }).end(body);
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  const send = (path: string) =>
    new Promise<IncomingMessage>((resolve, reject) => {
      const req = request({ port, host: "127.0.0.1", path, agent }, resolve);
      req.once("error", reject);
      req.end();
    });
  const first = await send("/chunked");
  const { socket } = first;
  const body = createChunkedBody(first, limits.create());
  // As a caller that takes nothing for a moment.
  body.once("readable", () => {});
  await new Promise((resolve) => setTimeout(resolve, 50));
  const second = await send("/large");
  expect(second.socket === socket).toBe(true);
  for await (const _ of second);
  let size = 0;
  for await (const piece of body) size += (piece as Buffer).length;
  expect(size).toBe(2_000);
  agent.destroy();
  server.close();
});

test.each([4_500, 5_000, 8_000, 20_000])(
  "a connection that carried %i chunks of one byte serves the next exchange",
  async (chunks) => {
    const server = createServer((req, res) => {
      if (req.url !== "/chunked") return void res.end("ok");
      res.cork();
      for (let i = 0; i < chunks; i++) res.write("x");
      res.end();
    });
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
    const { port } = server.address() as AddressInfo;
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    const send = (path: string) =>
      new Promise<IncomingMessage>((resolve, reject) => {
        const req = request({ port, host: "127.0.0.1", path, agent }, resolve);
        req.once("error", reject);
        req.end();
      });
    for (let i = 0; i < 5; i++) {
      let size = 0;
      const first = await send("/chunked");
      for await (const piece of createChunkedBody(first, limits.create())) {
        size += (piece as Buffer).length;
      }
      expect(size).toBe(chunks);
      const second = await Promise.race([
        send("/next"),
        new Promise<undefined>((resolve) =>
          setTimeout(() => resolve(undefined), 1_000)
        ),
      ]);
      expect(second?.statusCode).toBe(200);
      second?.resume();
      await new Promise((resolve) => second?.once("end", resolve));
    }
    agent.destroy();
    server.closeAllConnections();
    server.close();
  },
  20_000,
);

/** Time of a route, in ms. */
const ROUTE_MS = 2_000;

// It took 4.3 s.
test("a whole answer of 1 MB in chunks of 20 bytes takes less than the time of its route", async () => {
  const server = createServer((_req, res) => {
    res.cork();
    for (let i = 0; i < 50_000; i++) res.write("x".repeat(20));
    res.end();
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const res = await new Promise<IncomingMessage>((resolve, reject) => {
    request({ port, host: "127.0.0.1" }, resolve).once("error", reject).end();
  });
  const startedAt = performance.now();
  let size = 0;
  for await (const piece of createChunkedBody(res, limits.create())) {
    size += (piece as Buffer).length;
  }
  expect(size).toBe(1_000_000);
  expect(performance.now() - startedAt).toBeLessThan(ROUTE_MS);
  server.close();
});

test("bodies without end share what is beyond their rates, and one within its rate doesn't wait for them", () => {
  const clock = { at: 0, now: () => clock.at };
  const shared = createPieceLimits(clock);
  const endless = Array.from({ length: 12 }, shared.create);
  const modest = shared.create();
  let read = 0;
  for (; clock.at < 1_000; clock.at++) {
    for (const limit of endless) {
      while (limit.getWaitMs() === 0) {
        limit.add(100);
        read += 100;
      }
    }
    modest.add(5);
    expect(modest.getWaitMs()).toBe(0);
  }
  // What comes at once, 10 a millisecond of each, 50 of all.
  expect(read).toBeLessThan(12 * (4_096 + 10_000) + 50_000 + 2_400);
});
