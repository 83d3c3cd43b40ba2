/**
 * Responses and log lines of the callers' listener for each outcome of a
 * request.
 */

import { Buffer } from "node:buffer";
import { createServer } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { Readable } from "node:stream";
import { request } from "undici";
import { expect, test } from "vitest";
import { platformCallers } from "../platform/callers.ts";
import { createCounters } from "../src/core/counters.ts";
import { createMemoryBudget } from "../src/core/memory_budget.ts";
import { createRouteTable } from "../src/core/route_table.ts";
import { Diagnostics } from "../src/core/diagnostics.ts";
import { Execution, Repeatability } from "../src/core/types.ts";
import type {
  GatewayOutcome,
  GatewayRequest,
  GatewayTask,
} from "../src/daemon/gateway_task.ts";
import { createCallerConnections } from "../src/daemon/caller_connections.ts";
import { createIngressHandler } from "../src/daemon/ingress_server.ts";
import type { LogFields, Logger } from "../src/daemon/logger.ts";
import { createSmallResponse } from "../src/link/small_response.ts";
import { openPipe } from "./support/pipelining_caller.ts";
import { createTestHost } from "./support/core_host.ts";

const ROUTES = createRouteTable({
  version: 1,
  routes: [{
    name: "orders",
    hostname: "shop",
    prefix: "/order/",
    repeatability: Repeatability.AtMostOnce,
    timeoutMs: 1_000,
    objectiveMs: 400,
    priority: 1,
    maxRuns: 2,
    parts: [{ service: "orders", weight: 1 }],
  }],
  unreadable: [{ hostname: "shop", prefix: "/order/old/" }],
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

const DISCARDING_LOGGER = {
  debug: () => {},
  info: () => {},
  warn: () => {},
  error: () => {},
};

test("an answer kept by its guard after a lost link is delivered as it was", async () => {
  const completed: string[] = [];
  const replay = {
    status: 201,
    contentType: "text/plain",
    body: Buffer.from("the order").toString("base64"),
    headers: {
      "x-vanillarock-attempt-id": "id-1",
      "x-vanillarock-response-signature": "s",
      "content-length": "9",
    },
  };
  const task = {
    serve: () => Promise.resolve({ replay }),
    complete: (id: string) => void completed.push(id),
    abandon: () => {},
  } as unknown as GatewayTask;
  const { port, close } = await listen(task);
  const res = await request(`http://127.0.0.1:${port}/order/1`, {
    method: "POST",
    headers: { host: "shop", "x-vanillarock-attempt-id": "id-1" },
    body: "x",
  });
  expect(res.statusCode).toBe(201);
  expect(res.headers["x-vanillarock-response-signature"]).toBe("s");
  expect(await res.body.text()).toBe("the order");
  await close();
  expect(completed).toHaveLength(1);
});

test.each([[undefined, 1_000], ["300", 300], ["5000", 1_000]])(
  "a request with a timeout of %s ms waits for %i ms at most, as its route allows",
  async (timeout, expectedMs) => {
    const served: GatewayRequest[] = [];
    const task = {
      serve: (req: GatewayRequest) => {
        served.push(req);
        const diagnostic = Diagnostics.no_upstream;
        return Promise.resolve({
          verdict: { execution: Execution.NotRun, diagnostic },
        });
      },
    } as unknown as GatewayTask;
    const { port, close } = await listen(task);
    const res = await request(`http://127.0.0.1:${port}/order/1`, {
      headers: {
        host: "shop",
        "x-vanillarock-attempt-id": "id",
        ...(timeout && { "x-vanillarock-timeout-ms": timeout }),
      },
    });
    await res.body.dump();
    await close();
    expect(served[0]!.arrival.timeoutMs).toBe(expectedMs);
  },
);

test("whatever refuses a request is written with its id, reason and execution", async () => {
  const verdicts = Object.values(Diagnostics).flatMap((diagnostic) =>
    [Execution.NotRun, Execution.MayHaveRun].map((execution) => ({
      diagnostic,
      execution,
    }))
  );
  let next = 0;
  const task = {
    serve: () => Promise.resolve({ verdict: verdicts[next]! }),
    complete: () => {},
    abandon: () => {},
  } as unknown as GatewayTask;
  const written: LogFields[] = [];
  const { port, close } = await listen(task, {
    ...DISCARDING_LOGGER,
    info: (event, fields = {}) => {
      if (event === "refused") written.push(fields);
    },
  });
  for (; next < verdicts.length; next++) {
    const res = await request(`http://127.0.0.1:${port}/order/1`, {
      headers: { host: "shop", "x-vanillarock-attempt-id": `id-${next}` },
    });
    await res.body.dump();
  }
  await close();
  expect(written.map(({ req, reason, execution }) => [req, reason, execution]))
    .toEqual(verdicts.map(({ diagnostic, execution }, index) => [
      `id-${index}`,
      diagnostic.reason,
      execution,
    ]));
});

test("a request for an unreadable route is answered 503 as not run", async () => {
  const task = {
    serve: () => Promise.reject(new Error("served by another route")),
  } as unknown as GatewayTask;
  const written: LogFields[] = [];
  const { port, close } = await listen(task, {
    ...DISCARDING_LOGGER,
    info: (_, fields = {}) => void written.push(fields),
  });
  const res = await request(`http://127.0.0.1:${port}/order/old/1`, {
    method: "POST",
    headers: { host: "shop", "x-vanillarock-attempt-id": "id-1" },
    body: "x",
  });
  await res.body.dump();
  await close();
  expect(res.statusCode).toBe(503);
  expect(written).toMatchObject([
    { reason: "route_unreadable", execution: Execution.NotRun },
  ]);
});

/** A body that never ends by itself. */
function createOpenBody(): Readable {
  return new Readable({ read: () => {} });
}

test.each([
  ["HTTP/1.1", "an end", 0],
  ["HTTP/1.0", "ECONNRESET", 0],
  // Too large to be read whole first, so that part of it is written.
  ["HTTP/1.0", "ECONNRESET", 1_200_000],
])(
  "a response without a length that is cut doesn't end like a whole one: %s, %s, %i bytes",
  async (version, expectedEnd, size) => {
    const body = createOpenBody();
    const first = `${"a".repeat(size)}the first part`;
    body.push(Buffer.from(first));
    const { port, close } = await listen(
      createTask({ response: { status: 200, headers: {}, body } }),
    );
    const { received, end } = readToEnd(port, version);
    if (version === "HTTP/1.1" || size > 0) {
      await waitUntil(() => received().includes("the first part"));
    } else {
      await new Promise((resolve) => setTimeout(resolve, 50));
    }
    body.destroy(new Error("cut"));
    const isRefused = received().length === 0;
    const ended = await end;
    // The last chunk tells the end of a whole response.
    expect(received()).not.toMatch(/\r\n0\r\n\r\n$/);
    if (isRefused) expect(received()).toMatch(/^HTTP\/1\.1 502 /);
    else expect(ended).toBe(expectedEnd);
    await close();
  },
);

test("a small response without a length goes to a caller of HTTP/1.0 with one", async () => {
  const body = Readable.from(
    ["the first part, ", "the rest"].map((part) => Buffer.from(part)),
  );
  const { port, close } = await listen(
    createTask({ response: { status: 200, headers: {}, body } }),
  );
  const { received, end } = readToEnd(port, "HTTP/1.0");
  expect(await end).toBe("an end");
  expect(received().toLowerCase()).toContain("\r\ncontent-length: 24\r\n");
  expect(received()).toMatch(/\r\n\r\nthe first part, the rest$/);
  await close();
});

test.each([["HEAD", 200], ["GET", 204], ["GET", 304]])(
  "a response without a body keeps the length that it states: %s, %i",
  async (method, status) => {
    const { port, close } = await listen(createTask({
      response: createSmallResponse({
        status,
        headers: status === 204 ? {} : { "content-length": "500" },
      }, Buffer.alloc(0)),
    }));
    const { received, end } = readToEnd(port, "HTTP/1.1", method);
    await waitUntil(() => received().endsWith("\r\n\r\n"));
    await close();
    await end;
    const length = /\r\ncontent-length: (\d+)\r\n/i.exec(received())?.[1];
    expect(length).toBe(status === 204 ? undefined : "500");
    expect(received()).not.toMatch(/transfer-encoding/i);
  },
);

/** Sends a request; `end` tells how the connection ended. */
function readToEnd(port: number, version: string, method = "GET") {
  const socket = connect(port, "127.0.0.1");
  socket.write(`${method} /order/1 ${version}\r\nhost: shop\r\n\r\n`);
  let received = "";
  socket.on("data", (chunk) => received += chunk);
  const end = new Promise<string | undefined>((resolve) => {
    socket.on("end", () => resolve("an end"));
    socket.on("error", (error) => resolve((error as { code?: string }).code));
  });
  return { received: () => received, end };
}

test("a caller that leaves frees the responses that wait for an earlier one", async () => {
  const bodies: Readable[] = [];
  const task = {
    ...createTask(),
    serve: () => {
      const body = createOpenBody();
      bodies.push(body);
      return Promise.resolve({ response: { status: 200, headers: {}, body } });
    },
  } as unknown as GatewayTask;
  const { port, close } = await listen(task);
  const socket = connect(port, "127.0.0.1");
  socket.on("error", () => {});
  socket.write("GET /order/1 HTTP/1.1\r\nhost: shop\r\n\r\n".repeat(3));
  await waitUntil(() => bodies.length === 3);
  socket.destroy();
  await waitUntil(() => bodies.every((body) => body.destroyed));
  await close();
});

test.each([
  ["kept for a retry", 1_000, true],
  ["streamed without room in the budget", 10, false],
])("a request's body is %s", async (_name, limitBytes, replayable) => {
  const memory = createMemoryBudget({ limitBytes });
  const served: { replayable: boolean; used: number; text: string }[] = [];
  const verdict = {
    diagnostic: Diagnostics.no_upstream,
    execution: Execution.NotRun,
  };
  const task = {
    ...createTask(),
    serve: async ({ arrival, body }: GatewayRequest) => {
      const used = memory.getUsed();
      const chunks: Buffer[] = [];
      if (body instanceof Readable) {
        for await (const chunk of body) chunks.push(chunk as Buffer);
      } else if (body !== null) chunks.push(body);
      const text = Buffer.concat(chunks).toString();
      served.push({ replayable: arrival.replayable, used, text });
      return { verdict };
    },
  } as unknown as GatewayTask;
  const { port, close } = await listen(task, DISCARDING_LOGGER, memory);
  const text = "b".repeat(500);
  const res = await request(`http://127.0.0.1:${port}/order/1`, {
    method: "POST",
    headers: { host: "shop" },
    body: text,
  });
  await res.body.dump();
  await close();
  expect(served).toEqual([{ replayable, used: replayable ? 500 : 0, text }]);
  expect(memory.getUsed()).toBe(0);
});

/** A gateway task that gives each request the same outcome. */
function createTask(outcome?: GatewayOutcome): GatewayTask {
  return {
    serve: () => Promise.resolve(outcome),
    complete: () => {},
    abandon: () => {},
  } as unknown as GatewayTask;
}

async function waitUntil(isTrue: () => boolean): Promise<void> {
  for (let i = 0; i < 200 && !isTrue(); i++) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
  expect(isTrue()).toBe(true);
}

/** Starts a server for callers on a fake gateway task. */
async function listen(
  task: GatewayTask,
  logger: Logger = DISCARDING_LOGGER,
  memory = createMemoryBudget({ limitBytes: 1_000_000 }),
  host = createTestHost(),
): Promise<{ port: number; close(): Promise<void> }> {
  const server = createServer();
  const counters = createCounters();
  createCallerConnections(server, {
    counters,
    logger,
    clock: host,
    isStopping: () => false,
    handler: createIngressHandler({
      host,
      task,
      dialect: platformCallers,
      counters,
      memory,
      logger,
      origin: "orders",
      getRoutes: () => ROUTES,
      isStopping: () => false,
      getRefusalReason: () => undefined,
      onResponse: () => {},
    }),
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  return { port, close };

  async function close(): Promise<void> {
    server.closeAllConnections();
    await new Promise((resolve) => server.close(resolve));
  }
}

test("an answer that is cut while it waits becomes a refusal in doubt, and the others arrive", async () => {
  const bodies = new Map<string, Readable>();
  const task = {
    ...createTask(),
    serve: ({ path }: GatewayRequest) => {
      const body = new Readable({ read() {} });
      bodies.set(path, body);
      const headers = { "content-length": "4" };
      return Promise.resolve({ response: { status: 200, headers, body } });
    },
  } as unknown as GatewayTask;
  const { port, close } = await listen(task);
  const pipe = await openPipe("127.0.0.1", port);
  const paths = ["/order/1", "/order/2", "/order/3", "/order/4"];
  const answers = paths.map((path) => pipe.send({ id: path, path }));
  await waitUntil(() => bodies.size === 4);
  // One whose turn has come, with others behind it, and one that waits.
  bodies.get(paths[0]!)!.push("ab");
  bodies.get(paths[0]!)!.destroy(new Error("cut"));
  bodies.get(paths[2]!)!.destroy(new Error("cut"));
  for (const path of [paths[1]!, paths[3]!]) {
    bodies.get(path)!.push("body");
    bodies.get(path)!.push(null);
  }
  const all = await Promise.all(answers);
  expect(all.map((it) => [it.status, it.isWhole])).toEqual([
    [502, true],
    [200, true],
    [502, true],
    [200, true],
  ]);
  pipe.close();
  await close();
});

test("requests behind an answer that is cut in its body have not been passed on", async () => {
  const bodies: Readable[] = [];
  const task = {
    ...createTask(),
    serve: () => {
      const body = new Readable({ read() {} });
      bodies.push(body);
      const headers = { "content-length": "4" };
      return Promise.resolve({ response: { status: 200, headers, body } });
    },
  } as unknown as GatewayTask;
  const { port, close } = await listen(task);
  const pipe = await openPipe("127.0.0.1", port);
  const send = (id: string) => pipe.send({ id, path: "/order/1" });
  const first = send("r-1");
  await waitUntil(() => bodies.length === 1);
  bodies[0]!.push("ab");
  await new Promise((resolve) => setTimeout(resolve, 50));
  const others = [send("r-2"), send("r-3")];
  await new Promise((resolve) => setTimeout(resolve, 50));
  expect(bodies).toHaveLength(1);
  bodies[0]!.push("cd");
  bodies[0]!.push(null);
  expect(await first).toMatchObject({ status: 200, isWhole: true });
  await waitUntil(() => bodies.length === 3);
  for (const body of bodies.slice(1)) {
    body.push("body");
    body.push(null);
  }
  expect((await Promise.all(others)).map((it) => it.isWhole))
    .toEqual([true, true]);
  const cut = send("r-4");
  await waitUntil(() => bodies.length === 4);
  bodies[3]!.push("ab");
  await new Promise((resolve) => setTimeout(resolve, 50));
  const behind = send("r-5");
  await new Promise((resolve) => setTimeout(resolve, 50));
  bodies[3]!.destroy(new Error("cut"));
  expect((await Promise.all([cut, behind])).map((it) => it.isWhole))
    .toEqual([false, false]);
  expect(bodies).toHaveLength(4);
  pipe.close();
  await close();
});

// Each got 504 after an attempt with 1 ms left.
test("requests whose deadline passed while others of their connection ran are refused as not run", async () => {
  const diagnostic = Diagnostics.deadline_passed;
  const inDoubt = {
    verdict: { execution: Execution.MayHaveRun, diagnostic },
  };
  const passedOn = 32;
  const host = createTestHost();
  const waiting: (() => void)[] = [];
  const timesOfLate: number[] = [];
  const task = {
    ...createTask(),
    serve: ({ arrival }: GatewayRequest) =>
      new Promise((resolve) => {
        waiting.push(() => resolve(inDoubt));
        if (host.now() === 0) return;
        timesOfLate.push(arrival.timeoutMs);
        resolve(inDoubt);
      }),
  } as unknown as GatewayTask;
  const { port, close } = await listen(task, undefined, undefined, host);
  const pipe = await openPipe("127.0.0.1", port);
  const answers = Array.from(
    { length: 140 },
    (_, i) => pipe.send({ id: `r-${i}`, path: "/order/1" }),
  );
  await waitUntil(() => waiting.length === passedOn);
  host.advance(1_001);
  for (const resolve of waiting) resolve();
  const late = (await Promise.all(answers)).slice(passedOn);
  // Those that were read before the deadline; the rest was read after it, and has its whole time.
  expect(late.filter((it) => it.status === 503).length).toBeGreaterThan(0);
  expect(timesOfLate.filter((ms) => ms < 1_000)).toEqual([]);
  expect(timesOfLate.length + late.filter((it) => it.status === 503).length)
    .toBe(late.length);
  pipe.close();
  await close();
});
