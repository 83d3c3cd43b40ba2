/** A faulty upstream that writes an earlier refusal once more on a kept connection. */

import { EventEmitter } from "node:events";
import {
  type AddressInfo,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { afterEach, expect, test } from "vitest";
import { createPlatformUpstreams } from "../platform/upstreams.ts";
import { createMemoryBudget } from "../src/core/memory_budget.ts";
import { Execution } from "../src/core/types.ts";
import { createClock } from "../src/daemon/clock.ts";
import {
  createUpstreamClient,
  type UpstreamClient,
  type UpstreamResult,
} from "../src/upstream/upstream_client.ts";

const platformUpstreams = createPlatformUpstreams();

const ROUNDS = 5;
const WORK_MS = 20;
const IDLE_AFTER_MS = 3;

let server: Server | undefined;
let client: UpstreamClient | undefined;
const sockets = new Set<Socket>();

afterEach(async () => {
  await client?.close();
  for (const socket of sockets) socket.destroy();
  await new Promise((resolve) => server!.close(resolve));
});

/** How the copy names the request that was refused. */
enum CopyId {
  Own = "its own",
  None = "none",
}

interface FaultyUpstream {
  readonly address: string;
  /** Ids of the requests that it runs or has run. */
  readonly ran: string[];
}

/** Refuses the first request of each id, and writes each refusal once more before the next response on its connection. */
async function startFaultyUpstream(
  { copyId, status, copyDelayMs }: {
    copyId: CopyId;
    status: number;
    copyDelayMs: number;
  },
): Promise<FaultyUpstream> {
  const ran: string[] = [];
  const refused = new Set<string>();
  server = createServer((socket) => {
    sockets.add(socket);
    socket.on("error", () => {});
    let copy: string | undefined;
    let received = "";
    socket.on("data", (data) => {
      received += data.toString();
      if (!received.includes("\r\n\r\n")) return;
      const id = /x-vanillarock-attempt-id: (\S+)/i.exec(received)![1]!;
      received = "";
      const earlier = copy;
      copy = undefined;
      if (earlier !== undefined) {
        setTimeout(() => socket.write(earlier), copyDelayMs);
      }
      if (!refused.has(id)) {
        refused.add(id);
        socket.write(createRefusal(status, id));
        copy = createRefusal(status, copyId === CopyId.Own ? id : undefined);
        return;
      }
      ran.push(id);
      setTimeout(() =>
        socket.write(
          `HTTP/1.1 200 OK\r\nx-vanillarock-attempt-id: ${id}\r\n` +
            "x-vanillarock-response-signature: s\r\ncontent-length: 2\r\n\r\nok",
        ), WORK_MS);
    });
  });
  await new Promise<void>((resolve) => server!.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  return { address: `127.0.0.1:${port}`, ran };
}

function createRefusal(status: number, id: string | undefined): string {
  return `HTTP/1.1 ${status} Refused\r\n` +
    (id === undefined ? "" : `x-vanillarock-attempt-id: ${id}\r\n`) +
    "x-vanillarock-not-executed: 1\r\ncontent-length: 0\r\n\r\n";
}

async function send(
  id: string,
  isAtMostOnce: boolean,
): Promise<UpstreamResult> {
  // The connection of the request before is idle by then.
  await new Promise((resolve) => setTimeout(resolve, IDLE_AFTER_MS));
  return await client!.send({
    method: "GET",
    path: "/order/1",
    headers: { "x-vanillarock-attempt-id": id },
    body: null,
    signal: new EventEmitter(),
  }, { timeoutMs: 1_000, isAtMostOnce });
}

const saysNotRun = (result: UpstreamResult) =>
  "failure" in result && result.failure.execution === Execution.NotRun;

test.each(
  [CopyId.Own, CopyId.None].flatMap((copyId) =>
    [503, 421, 429].flatMap((status) =>
      [0, 1, 10].flatMap((copyDelayMs) =>
        [true, false].map((isAtMostOnce) => ({
          copyId,
          status,
          copyDelayMs,
          isAtMostOnce,
        }))
      )
    )
  ),
)(
  "a request that runs is never told as not run by a copied refusal: %o",
  async ({ isAtMostOnce, ...fault }) => {
    const upstream = await startFaultyUpstream(fault);
    client = createUpstreamClient({
      address: upstream.address,
      connections: 8,
      clock: createClock(),
      protocol: platformUpstreams,
      memory: createMemoryBudget({
        limitBytes: 1_000_000,
        onStateChange: () => {},
      }),
    });
    for (let i = 0; i < ROUNDS; i++) {
      expect(saysNotRun(await send(`same-${i}`, isAtMostOnce))).toBe(true);
      // The same attempt once more, and another one, which may get the copy.
      for (const id of [`same-${i}`, `other-${i}`, `other-${i}`]) {
        const before = upstream.ran.length;
        const result = await send(id, isAtMostOnce);
        const hasRun = upstream.ran.length > before;
        if (hasRun) expect([id, saysNotRun(result)]).toEqual([id, false]);
      }
    }
    expect(upstream.ran.length).toBe(2 * ROUNDS);
  },
);

test("a refusal that names no request proves nothing for one with an id", () => {
  const forward = {
    method: "GET",
    path: "/",
    headers: { "x-vanillarock-attempt-id": "own" },
    body: null,
    signal: new EventEmitter(),
  };
  const refusal = { "x-vanillarock-not-executed": "1" };
  const classify = (status: number, headers: Record<string, string>) =>
    platformUpstreams.classify(forward, { status, headers });
  expect(classify(503, refusal)).toBe("foreign");
  expect(classify(421, refusal)).toBe("foreign");
  const own = { ...refusal, "x-vanillarock-attempt-id": "own" };
  expect(classify(503, own)).toBe("not-executed");
  expect(classify(421, own)).toBe("wrong-instance");
  expect(
    platformUpstreams.classify({ ...forward, headers: {} }, {
      status: 400,
      headers: refusal,
    }),
  ).toBe("not-executed");
});
