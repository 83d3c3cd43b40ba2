/**
 * Handlers that throw, behind real sockets. Guards against an exception that ends
 * the daemon, or leaves its caller without an answer.
 */

import { Buffer } from "node:buffer";
import { createServer, type Server } from "node:http";
import {
  type AddressInfo,
  createServer as createTcpServer,
  type Socket,
} from "node:net";
import { afterEach, expect, test, vi } from "vitest";
import { request } from "undici";
import { platformCallers } from "../platform/callers.ts";
import { createCounters } from "../src/core/counters.ts";
import { createMemoryBudget } from "../src/core/memory_budget.ts";
import { createRouteTable } from "../src/core/route_table.ts";
import { Repeatability } from "../src/core/types.ts";
import { createFrameServer } from "../src/daemon/frame_server.ts";
import type { GatewayTask } from "../src/daemon/gateway_task.ts";
import type { GuardTask } from "../src/daemon/guard_task.ts";
import { createCallerConnections } from "../src/daemon/caller_connections.ts";
import { createIngressHandler } from "../src/daemon/ingress_server.ts";
import { createPeerHandler } from "../src/daemon/peer_server.ts";
import { createFrameLink } from "../src/link/frame_link.ts";
import { createHttpLink } from "../src/link/http_link.ts";
import { type GuardReply, ReplyKind } from "../src/link/types.ts";
import { createTestHost } from "./support/core_host.ts";

/** Without an answer, each test ends by its timeout. */
vi.setConfig({ testTimeout: 3_000 });

const LOGGER = { debug() {}, info() {}, warn() {}, error() {} };
const HEAD = {
  account: "all",
  service: "shop",
  repeatability: Repeatability.Idempotent,
  fingerprint: "",
  timeoutMs: 1_000,
};
const IN_DOUBT = {
  kind: ReplyKind.Refused,
  verdict: {
    execution: "may-have-run",
    diagnostic: expect.objectContaining({ reason: "handler_failed" }),
  },
};

const cleanups: (() => unknown)[] = [];
afterEach(async () => {
  for (const clean of cleanups.splice(0).reverse()) await clean();
});

/** Ways in which a handler fails, at once and later. */
const FAILURES: Record<string, () => Promise<never>> = {
  "throws": () => {
    throw new Error("a fault");
  },
  "rejects": () => Promise.reject(new Error("a fault")),
  "rejects with no error": () => Promise.reject("a fault"),
};

async function listen(server: Server | ReturnType<typeof createTcpServer>) {
  const open = new Set<Socket>();
  server.on("connection", (socket: Socket) => open.add(socket));
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  cleanups.push(() => {
    for (const socket of open) socket.destroy();
    return new Promise((resolve) => server.close(resolve));
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Fails for the first request only. */
function createGuardTask(fail: () => Promise<never>): GuardTask {
  let count = 0;
  const granted: GuardReply = { kind: ReplyKind.Granted, grant: "g", key: "k" };
  return {
    reserve: () => count++ === 0 ? fail() : Promise.resolve(granted),
    guard: { getReport: () => ({ host: "a", incarnation: "a#1" }) },
  } as unknown as GuardTask;
}

const linkOptions = (address: string) => ({
  address,
  self: "b",
  peer: "a",
  connections: 2,
  getRevisions: () => "1",
  onReplyMetadata: () => {},
  onLinkError: () => {},
});

test.each(Object.keys(FAILURES))(
  "a caller whose handler %s gets 502, and the next one is served",
  async (name) => {
    const counters = createCounters();
    let count = 0;
    const body = { contentType: "text/plain", body: "" };
    const task = {
      serve: () =>
        count++ === 0
          ? FAILURES[name]!()
          : Promise.resolve({ replay: { status: 200, ...body } }),
      complete: () => {},
      abandon: () => {},
    } as unknown as GatewayTask;
    const routes = createRouteTable({
      version: 1,
      routes: [{
        name: "orders",
        hostname: "shop",
        prefix: "/",
        repeatability: Repeatability.AtMostOnce,
        timeoutMs: 1_000,
        objectiveMs: 400,
        priority: 1,
        maxRuns: 2,
        parts: [{ service: "orders", weight: 1 }],
      }],
      unreadable: [],
      problems: [],
      services: new Set(),
      healthPaths: new Map(),
      limits: {
        maxHeaderBytes: 16_384,
        maxBodyBytes: 1_000,
        headerTimeoutMs: 1_000,
        idleTimeoutMs: 1_000,
      },
    });
    const server = createServer();
    const host = createTestHost();
    const handler = createIngressHandler({
      host,
      task,
      dialect: platformCallers,
      counters,
      logger: LOGGER,
      memory: createMemoryBudget({ limitBytes: 1_000_000 }),
      origin: "front",
      getRoutes: () => routes,
      isStopping: () => false,
      onResponse: () => {},
    });
    createCallerConnections(server, {
      handler,
      counters,
      logger: LOGGER,
      clock: host,
      isStopping: () => false,
    });
    const address = await listen(server);
    const send = async () => {
      const res = await request(`http://${address}/order/1`, {
        method: "POST",
        headers: { host: "shop", "x-vanillarock-attempt-id": "id" },
        body: Buffer.from("x"),
        reset: true,
      });
      await res.body.dump();
      return res.statusCode;
    };
    expect([await send(), await send()]).toEqual([502, 200]);
    expect(counters.get("handler_failed")).toBe(1);
  },
);

test.each(Object.keys(FAILURES))(
  "an attempt over HTTP whose handler %s is in doubt, and the next one is served",
  async (name) => {
    let failures = 0;
    const address = await listen(createServer(createPeerHandler({
      guard: createGuardTask(FAILURES[name]!),
      getRevisions: () => "1",
      onRevisions: () => {},
      onMalformed: () => {},
      onHandlerFailure: () => failures += 1,
    })));
    const link = createHttpLink(linkOptions(address));
    cleanups.push(link.close);
    expect(await link.reserve("t1", HEAD)).toMatchObject(IN_DOUBT);
    expect((await link.reserve("t2", HEAD)).kind).toBe(ReplyKind.Granted);
    expect(failures).toBe(1);
  },
);

test.each(Object.keys(FAILURES))(
  "an attempt in a frame whose handler %s is in doubt, and the next one is served",
  async (name) => {
    let failures = 0;
    const frames = createFrameServer({
      guard: createGuardTask(FAILURES[name]!),
      onMalformed: () => {},
      onHandlerFailure: () => failures += 1,
      trackExchange: () => () => {},
    });
    const address = await listen(createTcpServer((socket: Socket) => {
      socket.once("data", (first: Buffer) => frames.accept(socket, first));
    }));
    cleanups.push(frames.close);
    const link = createFrameLink(linkOptions(address));
    cleanups.push(link.close);
    expect(await link.reserve("t1", HEAD)).toMatchObject(IN_DOUBT);
    expect((await link.reserve("t2", HEAD)).kind).toBe(ReplyKind.Granted);
    expect(failures).toBe(1);
  },
);
