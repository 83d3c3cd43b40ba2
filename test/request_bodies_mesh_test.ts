/**
 * Store daemons as processes before upstreams on raw sockets that record each
 * request as it is framed. Guards against a body that is run as a request of its
 * own, and against one that arrives changed.
 */

import { Buffer } from "node:buffer";
import { createServer, type Server } from "node:http";
import { connect, type Socket } from "node:net";
import { afterAll, beforeAll, beforeEach, expect, test } from "vitest";
import {
  CALLER_PORT,
  type Deployment,
  startDeployment,
} from "./platform/mesh.ts";

const ANSWER_MS = 2_400;
const TIMEOUT_MS = 2_000;
/** Time in which an upstream would have run what follows a request, in ms. */
const SETTLE_MS = 20;

let fleet: Deployment;
const servers: Server[] = [];
let count = 0;

interface Run {
  readonly id: string | undefined;
  readonly method: string;
  readonly path: string;
  readonly body: string;
}
let runs: Run[] = [];
/** Requests that the upstream could not parse. */
let unparsed = 0;

beforeAll(async () => {
  // Requests at the second daemon are all served at the first one's upstream.
  fleet = await startDeployment(94, ["shop", "other"]);
  for (const { upstream } of fleet.hosts) {
    await upstream.close();
    const [host, port] = upstream.address.split(":") as [string, string];
    const server = createServer((req, res) => {
      const chunks: Buffer[] = [];
      req.on("data", (chunk) => chunks.push(chunk));
      req.on("end", () => {
        const id = req.headers["x-vanillarock-attempt-id"] as
          | string
          | undefined;
        if (req.url !== "/healthz") {
          const body = Buffer.concat(chunks).toString("latin1");
          runs.push({ id, method: req.method!, path: req.url!, body });
        }
        res.writeHead(200, {
          "content-length": "2",
          "x-vanillarock-server-load": "0,0,64,100",
          "x-vanillarock-response-signature": "s",
          ...(id !== undefined && { "x-vanillarock-attempt-id": id }),
        });
        res.end("ok");
      });
    });
    server.on("clientError", (_error, socket) => {
      unparsed += 1;
      socket.destroy();
    });
    servers.push(server);
    await new Promise<void>((resolve) =>
      server.listen(Number(port), host, resolve)
    );
  }
});
beforeEach(() => {
  runs = [];
  unparsed = 0;
});
afterAll(async () => {
  for (const server of servers) server.close();
  await fleet.close();
});

/** Writes a request as it is; resolves to the status of its response. */
function send(
  at: number,
  text: string,
  { isReset = false } = {},
): Promise<number | undefined> {
  return new Promise((resolve) => {
    let received = "";
    const socket: Socket = connect(
      CALLER_PORT,
      fleet.hosts[at]!.ip,
      () => {
        socket.write(Buffer.from(text, "latin1"));
        if (isReset) setTimeout(() => socket.resetAndDestroy(), SETTLE_MS);
      },
    );
    socket.on("error", () => {});
    socket.on("data", (data) => {
      received += data.toString("latin1");
      if (received.includes("\r\n\r\n")) socket.end();
    });
    socket.on("close", () => {
      const status = /^HTTP\/1.1 (\d{3})/.exec(received)?.[1];
      resolve(status === undefined ? undefined : Number(status));
    });
    socket.setTimeout(ANSWER_MS, () => socket.destroy());
  });
}

function createHead(
  id: string,
  { method, framing }: { method: string; framing: string },
): string {
  return `${method} /order/1 HTTP/1.1\r\nhost: shop\r\n` +
    `x-vanillarock-attempt-id: ${id}\r\n` +
    `x-vanillarock-timeout-ms: ${TIMEOUT_MS}\r\n${framing}\r\n`;
}

function encodeChunks(body: string, size: number): string {
  let text = "";
  for (let at = 0; at < body.length; at += size) {
    const part = body.slice(at, at + size);
    text += `${part.length.toString(16)}\r\n${part}\r\n`;
  }
  return `${text}0\r\n\r\n`;
}

const settle = () => new Promise((resolve) => setTimeout(resolve, SETTLE_MS));

const PLACES = [
  { at: 0, from: "its own host" },
  { at: 1, from: "another host" },
];
const METHODS = [
  "GET",
  "HEAD",
  "OPTIONS",
  "TRACE",
  "DELETE",
  "POST",
  "PUT",
  "PATCH",
  "SEARCH",
];
const SMUGGLED = "DELETE /order/other HTTP/1.1\r\nhost: shop\r\n" +
  "x-vanillarock-attempt-id: nobody\r\n\r\n";
const BODIES = {
  "the form of a request": SMUGGLED,
  "other text": "a=1&b=2",
  "no byte": "",
  "the size of a large upload": "x".repeat(700_000),
  "more than a frame between daemons takes": "y".repeat(20_000),
};

test.each(
  METHODS.flatMap((method) =>
    (Object.keys(BODIES) as (keyof typeof BODIES)[]).flatMap((form) =>
      ["chunks", "a length"].flatMap((framing) =>
        PLACES.map((place) => ({ method, form, framing, ...place }))
      )
    )
  ),
)(
  "a $method whose body has $form, with $framing, is run once with its body, at $from",
  async ({ method, form, framing, at }) => {
    const id = `body-${count += 1}`;
    const body = BODIES[form];
    const isChunked = framing === "chunks";
    const head = createHead(id, {
      method,
      framing: isChunked
        ? "transfer-encoding: chunked\r\n"
        : `content-length: ${body.length}\r\n`,
    });
    const status = await send(
      at,
      head + (isChunked ? encodeChunks(body, 65_000) : body),
    );
    await settle();
    expect([status, runs, unparsed]).toEqual(
      [200, [{ id, method, path: "/order/1", body }], 0],
    );
  },
);

const CODINGS = [
  "gzip, chunked",
  "chunked, chunked",
  "identity",
  "deflate",
  "chunked, gzip",
  "x, chunked",
];

test.each(
  CODINGS.flatMap((coding) =>
    ["DELETE", "POST"].flatMap((method) =>
      PLACES.map((place) => ({ coding, method, ...place }))
    )
  ),
)(
  "a $method with the transfer coding $coding is refused and not run, at $from",
  async ({ coding, method, at }) => {
    const head = createHead(`coded-${count += 1}`, {
      method,
      framing: `transfer-encoding: ${coding}\r\n`,
    });
    const status = await send(at, head + encodeChunks(SMUGGLED, 1_000));
    await settle();
    expect([400, 501]).toContain(status);
    expect([runs, unparsed]).toEqual([[], 0]);
  },
);

test.each(
  ["DELETE", "GET", "POST"].flatMap((method) =>
    PLACES.map((place) => ({ method, ...place }))
  ),
)(
  "a $method whose body in chunks is cut off is not run as a whole, at $from",
  async ({ method, at }) => {
    const head = createHead(`cut-${count += 1}`, {
      method,
      framing: "transfer-encoding: chunked\r\n",
    });
    const part = encodeChunks(SMUGGLED, 1_000).slice(0, -5);
    await send(at, head + part, { isReset: true });
    await settle();
    expect(runs).toEqual([]);
  },
);

test("a caller's connection serves the next request after a body in chunks", async () => {
  const ids = [1, 2].map(() => `kept-${count += 1}`);
  const framing = "transfer-encoding: chunked\r\n";
  const text = createHead(ids[0]!, { method: "DELETE", framing }) +
    encodeChunks(SMUGGLED, 7) +
    createHead(ids[1]!, { method: "DELETE", framing: "" });
  const socket = connect(CALLER_PORT, fleet.hosts[0]!.ip);
  socket.write(text);
  const endsAt = performance.now() + ANSWER_MS;
  while (runs.length < 2 && performance.now() < endsAt) await settle();
  await settle();
  socket.destroy();
  // They run beside each other.
  expect(runs.map((run) => run.id).sort()).toEqual(ids);
});
