/** The HTTP server of the gossip daemon, on real sockets. */

import { Buffer } from "node:buffer";
import { once } from "node:events";
import { type AddressInfo, connect } from "node:net";
import { Hono } from "hono";
import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import { expect, test } from "vitest";
import { type HttpEnv, startHttpServer } from "../src/daemon/http_server.ts";

const BODY = Buffer.alloc(6_000_000, "x");

// An answer that waited for its reader, and the request behind it, were cut.
test("a stop leaves answers that their callers read slowly, and those behind them, whole", async () => {
  const app = new Hono<HttpEnv>();
  app.get("/large", ({ env: { outgoing } }) => {
    outgoing.writeHead(200, { "content-length": BODY.length }).end(BODY);
    return RESPONSE_ALREADY_SENT;
  });
  app.get("/slow", async (c) => {
    await pause(500);
    return c.text("the last answer");
  });
  const { server, close } = await startHttpServer({
    address: "127.0.0.1:0",
    app,
    onMalformed: () => {},
  });
  const socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
  const pieces: Buffer[] = [];
  socket.pause();
  for (const path of ["/large", "/slow"]) {
    socket.write(`GET ${path} HTTP/1.1\r\nhost: a\r\n\r\n`);
  }
  await pause(200);
  const stopped = close(10_000);
  await pause(200);
  socket.on("data", (piece) => pieces.push(piece)).resume();
  await Promise.all([stopped, once(socket, "close")]);
  const text = Buffer.concat(pieces).toString("latin1");
  expect(text.length).toBeGreaterThan(BODY.length);
  expect(text.slice(-15)).toBe("the last answer");
});

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
