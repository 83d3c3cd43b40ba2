/** Bodies in chunks, and what their connections carry next. */

import { Buffer } from "node:buffer";
import { Agent, createServer, type IncomingMessage, request } from "node:http";
import type { AddressInfo } from "node:net";
import { expect, test } from "vitest";
import { createClock } from "../src/daemon/clock.ts";
import { createChunkedBody } from "../src/upstream/chunked_body.ts";

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
  const body = createChunkedBody(first, createClock());
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
      for await (const piece of createChunkedBody(first, createClock())) {
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
