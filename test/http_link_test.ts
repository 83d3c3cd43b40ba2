/** Links between daemons over real sockets. */

import { type ChildProcess, spawn } from "node:child_process";
import { EventEmitter, once } from "node:events";
import { connect, type Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { afterEach, expect, test } from "vitest";
import { Repeatability } from "../src/core/types.ts";
import { createHttpLink } from "../src/link/http_link.ts";
import { type ForwardRequest, ReplyKind } from "../src/link/types.ts";

const PORT = 22_950;
/** Connections that fill the queue of a listener with a backlog of 1, and some more. */
const FILLING_CONNECTIONS = 6;
/** Time within which another host is to be asked, in ms: less than an objective of 300 ms leaves beside 90 ms of work. */
const MAX_FAILURE_MS = 200;

const LISTENER = `require("node:net").createServer().listen(
  { port: ${PORT}, host: "127.0.0.1", backlog: 1 },
  () => process.stdout.write("listening"),
)`;

let listener: ChildProcess | undefined;
const sockets: Socket[] = [];

afterEach(() => {
  for (const socket of sockets) socket.destroy();
  listener?.kill("SIGKILL");
});

test("a host whose connections are not established holds no request for a second", async () => {
  listener = spawn(process.execPath, ["-e", LISTENER]);
  await once(listener.stdout!, "data");
  // The kernel drops the first packets of connections beyond the queue, as a host without power does.
  listener.kill("SIGSTOP");
  for (let i = 0; i < FILLING_CONNECTIONS; i++) {
    const socket = connect(PORT, "127.0.0.1");
    socket.on("error", () => {});
    sockets.push(socket);
  }
  await delay(50);
  const link = createHttpLink({
    address: `127.0.0.1:${PORT}`,
    self: "caller",
    peer: "listener",
    connections: 1,
    getRevisions: () => "1",
    onReplyMetadata: () => {},
    onLinkError: () => {},
  });
  const startedAt = performance.now();
  const reply = await link.submit("caller#1/1/1", {
    account: "all",
    service: "shop",
    repeatability: Repeatability.Idempotent,
    fingerprint: "",
    timeoutMs: 1_000,
  }, {
    forward: createForward(),
  });
  expect(reply).toMatchObject({
    kind: ReplyKind.Failed,
    mayHaveArrived: false,
  });
  expect(performance.now() - startedAt).toBeLessThan(MAX_FAILURE_MS);
  // What runs at most once is settled with its guard, not sent elsewhere.
  expect(await link.run("caller#1/2/1", "grant", { forward: createForward() }))
    .toMatchObject({ kind: ReplyKind.Failed, mayHaveArrived: true });
  await link.close();
});

function createForward(): ForwardRequest {
  return {
    method: "GET",
    path: "/",
    headers: {},
    body: null,
    signal: new EventEmitter(),
  };
}
