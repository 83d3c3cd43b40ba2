/**
 * Store daemons as processes beside upstreams that stop anywhere in a response
 * and close. Guards against a success with an empty or short body.
 */

import { createServer, type Server, type Socket } from "node:net";
import { afterAll, beforeAll, expect, test } from "vitest";
import {
  type CallerResponse,
  type Deployment,
  startDeployment,
} from "./platform/mesh.ts";

const BODY = "the upstream's answer";
/** Too large for one frame between daemons, and streamed by both. */
const LARGE_BODY = "x".repeat(200_000);
const LARGE_STEP_BYTES = 4_099;
const BATCH = 16;
const TIMEOUT_MS = 800;
/** Statuses that promise that a request has not run and never will. */
const NOT_RUN = [408, 421, 429, 503];

let fleet: Deployment;
const servers: Server[] = [];
const sockets = new Set<Socket>();
/** Whether the connection ends or is reset after the cut. */
enum End {
  Close = "closed",
  Reset = "reset",
}
let fault: { end: End; create(id: string): string };
/** Ids of the requests that arrived, which name the bytes after which their response is cut. */
const arrived = new Set<string>();

beforeAll(async () => {
  // Requests at the second daemon are all served at the first one's upstream.
  fleet = await startDeployment(99, ["shop", "other"]);
  for (const { upstream } of fleet.hosts) {
    await upstream.close();
    const [host, port] = upstream.address.split(":") as [string, string];
    const server = createServer((socket) => {
      sockets.add(socket);
      socket.on("error", () => {});
      socket.on("data", (data) => serve(socket, data.toString()));
    });
    servers.push(server);
    await new Promise<void>((resolve) =>
      server.listen(Number(port), host, resolve)
    );
  }
});
afterAll(async () => {
  for (const socket of sockets) socket.destroy();
  for (const server of servers) server.close();
  await fleet.close();
});

function serve(socket: Socket, text: string): void {
  if (text.startsWith("GET /healthz")) {
    socket.write(
      "HTTP/1.1 200 OK\r\nx-vanillarock-server-load: 0,0,64,100\r\n" +
        "content-length: 0\r\n\r\n",
    );
    return;
  }
  const id = /x-vanillarock-attempt-id: (\S+)/i.exec(text)?.[1];
  if (id === undefined) return;
  arrived.add(id);
  socket.write(fault.create(id).slice(0, Number(id)), () => {
    if (fault.end === End.Reset) socket.resetAndDestroy();
    else socket.end();
  });
}

function createHead(id: string, framing: string): string {
  return "HTTP/1.1 200 OK\r\n" +
    `x-vanillarock-attempt-id: ${id}\r\n` +
    `x-vanillarock-response-signature: s\r\n${framing}\r\n`;
}

interface Response {
  create(id: string): string;
  /** Distance between two cuts, in bytes. */
  readonly stepBytes: number;
}

/** Responses by how their body is framed; one that only the end of the connection ends is cut within its head. */
const RESPONSES: Record<string, Response> = {
  "a stated length": createCase(`content-length: ${BODY.length}\r\n`, BODY),
  chunks: createCase(
    "transfer-encoding: chunked\r\n",
    `a\r\n${BODY.slice(0, 10)}\r\nb\r\n${BODY.slice(10)}\r\n0\r\n\r\n`,
  ),
  trailers: createCase(
    "transfer-encoding: chunked\r\ntrailer: x-sum\r\n",
    `15\r\n${BODY}\r\n0\r\nx-sum: 1\r\n\r\n`,
  ),
  "a length after an informational response": createCase(
    `content-length: ${BODY.length}\r\n`,
    BODY,
    { before: "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n" },
  ),
  "the end of the connection": createCase("", ""),
  "a large length": createCase(
    `content-length: ${LARGE_BODY.length}\r\n`,
    LARGE_BODY,
    { stepBytes: LARGE_STEP_BYTES },
  ),
  "a large chunk": createCase(
    "transfer-encoding: chunked\r\n",
    `${LARGE_BODY.length.toString(16)}\r\n${LARGE_BODY}\r\n0\r\n\r\n`,
    { stepBytes: LARGE_STEP_BYTES },
  ),
};

function createCase(
  framing: string,
  body: string,
  { before = "", stepBytes = 1 } = {},
): Response {
  const create = (id: string) => before + createHead(id, framing) + body;
  return { create, stepBytes };
}

test.each(
  Object.keys(RESPONSES).flatMap((framing) =>
    [End.Close, End.Reset].flatMap((end) => [
      { framing, end, at: 0, from: "its own host" },
      { framing, end, at: 1, from: "another host" },
    ])
  ),
)(
  "a response framed by $framing that is cut and $end is no success, at $from",
  async ({ framing, end, at }) => {
    const { create, stepBytes } = RESPONSES[framing]!;
    const { length } = create(createId(0));
    fault = { end, create };
    const cuts: number[] = [];
    for (let bytes = 0; bytes < length; bytes += stepBytes) cuts.push(bytes);
    while (cuts.length > 0) {
      await Promise.all(
        cuts.splice(0, BATCH).map((bytes) => expectNoSuccess(at, bytes)),
      );
    }
    if (end === End.Reset) return;
    expect((await send(at, length))?.status, "the whole response").toBe(200);
  },
  60_000,
);

/** A closed connection is right too: a response that ends early must not look complete. */
async function expectNoSuccess(at: number, bytes: number): Promise<void> {
  const res = await send(at, bytes);
  expect([bytes, res?.status], res?.text).not.toEqual([bytes, 200]);
  if (NOT_RUN.includes(res?.status ?? 0)) {
    expect(arrived).not.toContain(createId(bytes));
  }
}

function send(at: number, bytes: number): Promise<CallerResponse | undefined> {
  return fleet.call(fleet.hosts[at]!, {
    id: createId(bytes),
    path: "/order/1",
    method: "POST",
    body: "x",
    timeoutMs: TIMEOUT_MS,
  }).catch(() => undefined);
}

/** Of equal length for all numbers, as the id is part of the response. */
function createId(bytes: number): string {
  return String(bytes).padStart(6, "0");
}
