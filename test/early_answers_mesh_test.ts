/**
 * Store daemons as processes beside upstreams that answer an upload at once and
 * reset the connection while it is still being written. Guards against a part of
 * a response that a caller takes for a complete one.
 */

import { connect, createServer, type Server, type Socket } from "node:net";
import { afterAll, beforeAll, expect, test } from "vitest";
import {
  CALLER_PORT,
  type Deployment,
  type DeploymentHost,
  startDeployment,
} from "./platform/mesh.ts";

const TIMEOUT_MS = 1_500;
/** Time after which a caller gives up, in ms. */
const GIVE_UP_MS = 3_000;
/** The upload is written in parts, so that it is under way as the response ends. */
const PARTS = 20;
const PART_EVERY_MS = 20;
const SMALL = "part of the answer";
/** Too large for one frame between daemons. */
const LARGE = "x".repeat(30_000);
/** Too large to be buffered, so that it is streamed. */
const STREAMED = "x".repeat(1_500_000);

let fleet: Deployment;
let count = 0;
let answer: { head: string; sent: string; resetAfterMs: number };
const servers: Server[] = [];
const sockets = new Set<Socket>();

beforeAll(async () => {
  // Requests at the second daemon are all served at the first one's upstream.
  fleet = await startDeployment(239, ["shop", "other"], { hasRelays: true });
  for (const { upstream } of fleet.hosts) {
    await upstream.close();
    const [host, port] = upstream.address.split(":") as [string, string];
    const server = createServer((socket) => {
      sockets.add(socket);
      socket.on("error", () => {});
      socket.once("data", (data) => serve(socket, data.toString("latin1")));
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
    socket.end(
      "HTTP/1.1 200 OK\r\nx-vanillarock-server-load: 0,0,64,100\r\n" +
        "content-length: 0\r\nconnection: close\r\n\r\n",
    );
    return;
  }
  const id = /x-vanillarock-attempt-id: (\S+)/i.exec(text)?.[1];
  if (id === undefined) return;
  socket.write(
    `HTTP/1.1 200 OK\r\nx-vanillarock-attempt-id: ${id}\r\n` +
      `x-vanillarock-response-signature: s\r\n${answer.head}\r\n${answer.sent}`,
  );
  setTimeout(() => socket.resetAndDestroy(), answer.resetAfterMs);
}

enum Upload {
  Length = "a length",
  Chunks = "chunks",
}

/** What a caller receives until its connection ends. */
interface Received {
  readonly text: string;
  /** True if the response's own framing says that it is whole. */
  readonly isComplete: boolean;
  /** True if the response states where it ends. */
  readonly isFramed: boolean;
  readonly status: number;
}

/** Uploads over a socket of its own, with a read behind the upload if `isPipelined`. */
function upload(
  { ip }: DeploymentHost,
  { framing, bytes, isPipelined }: {
    framing: Upload;
    bytes: number;
    isPipelined: boolean;
  },
): Promise<Received> {
  count += 1;
  const id = `early-${count}`;
  const socket = connect(CALLER_PORT, ip);
  let text = "";
  let written = 0;
  const part = "u".repeat(Math.ceil(bytes / PARTS));
  const total = part.length * PARTS;
  socket.write(
    `POST /photo/${count} HTTP/1.1\r\nhost: shop\r\n` +
      `x-vanillarock-attempt-id: ${id}\r\n` +
      `x-vanillarock-timeout-ms: ${TIMEOUT_MS}\r\n` +
      (framing === Upload.Length
        ? `content-length: ${total}\r\n\r\n`
        : "transfer-encoding: chunked\r\n\r\n"),
  );
  const timer = setInterval(() => {
    if (written < PARTS) {
      socket.write(
        framing === Upload.Length
          ? part
          : `${part.length.toString(16)}\r\n${part}\r\n`,
      );
    }
    written += 1;
    if (written !== PARTS) return;
    if (framing === Upload.Chunks) socket.write("0\r\n\r\n");
    if (!isPipelined) return;
    socket.write(
      `GET /read/${count} HTTP/1.1\r\nhost: shop\r\n` +
        `x-vanillarock-attempt-id: ${id}-behind\r\n` +
        `x-vanillarock-timeout-ms: ${TIMEOUT_MS}\r\n\r\n`,
    );
  }, PART_EVERY_MS);
  return new Promise((resolve) => {
    let wasReset = false;
    const giveUp = setTimeout(() => socket.destroy(), GIVE_UP_MS);
    socket.on("data", (data) => {
      text += data.toString("latin1");
      // Whether a response without a length is whole shows at the close.
      const { isComplete, isFramed } = parseFirst(text, true);
      if (isComplete && isFramed) socket.destroy();
    });
    socket.on("error", () => wasReset = true);
    socket.on("close", () => {
      clearInterval(timer);
      clearTimeout(giveUp);
      resolve(parseFirst(text, wasReset));
    });
  });
}

/** Reads the first final response as a client does. */
function parseFirst(text: string, wasReset: boolean): Received {
  const none = { text, isComplete: false, isFramed: false, status: 0 };
  const start = text.replace(/^(?:HTTP\/1\.1 1\d\d[\s\S]*?\r\n\r\n)*/, "");
  const end = start.indexOf("\r\n\r\n");
  if (end < 0) return none;
  const head = start.slice(0, end);
  const body = start.slice(end + 4);
  const status = Number(/^HTTP\/1\.1 (\S+)/.exec(head)?.[1]);
  const length = /\r\ncontent-length: (\d+)/i.exec(head)?.[1];
  const isChunked = /\r\ntransfer-encoding: chunked/i.test(head);
  const isComplete = length !== undefined
    ? body.length >= Number(length)
    : isChunked
    ? /(?:^|\r\n)0\r\n\r\n/.test(body)
    : !wasReset;
  return {
    text,
    isComplete,
    isFramed: length !== undefined || isChunked,
    status,
  };
}

const HEADS: Record<string, string> = {
  "no length": "",
  "no length, announced": "connection: close\r\n",
  chunks: "transfer-encoding: chunked\r\n",
  "a length": `content-length: ${2 * STREAMED.length}\r\n`,
};
const SIZES: Record<string, string> = {
  small: SMALL,
  large: LARGE,
  streamed: STREAMED,
};

function frame(head: string, sent: string): string {
  if (!head.includes("chunked")) return sent;
  return `${sent.length.toString(16)}\r\n${sent}\r\n`;
}

const CASES = Object.keys(HEADS).flatMap((head) =>
  Object.keys(SIZES).flatMap((size) => [0, 1].map((at) => ({ head, size, at })))
);

test.each(CASES)(
  "a part of a response with $head, $size, at daemon $at, is no complete answer to an upload under way",
  async ({ head, size, at }) => {
    const host = fleet.hosts[at]!;
    for (const resetAfterMs of [0, 60]) {
      answer = {
        head: HEADS[head]!,
        sent: frame(HEADS[head]!, SIZES[size]!),
        resetAfterMs,
      };
      const uploads = [20_000, 300_000, 900_000].flatMap((bytes) =>
        Object.values(Upload).flatMap((framing) =>
          [false, true].map((isPipelined) => ({ framing, bytes, isPipelined }))
        )
      );
      const received = await Promise.all(uploads.map((it) => upload(host, it)));
      const taken = received.filter((it) =>
        it.isComplete && it.status >= 200 && it.status < 300
      );
      expect(taken.map((it) => it.text.slice(0, 300))).toEqual([]);
    }
  },
  30_000,
);

test.each(["no length", "chunks"])(
  "a part of a response with %s isn't complete either where the link between the daemons is cut",
  async (head) => {
    answer = {
      head: HEADS[head]!,
      sent: frame(HEADS[head]!, LARGE),
      resetAfterMs: 400,
    };
    const [own, caller] = fleet.hosts as [DeploymentHost, DeploymentHost];
    const framing = Upload.Length;
    const uploads = Array.from(
      { length: 8 },
      () => upload(caller, { framing, bytes: 100_000, isPipelined: false }),
    );
    for (let i = 0; i < 6; i++) {
      await new Promise((resolve) => setTimeout(resolve, 50));
      own.links!.peers.cut();
    }
    const received = await Promise.all(uploads);
    const taken = received.filter((it) =>
      it.isComplete && it.status >= 200 && it.status < 300
    );
    expect(taken.map((it) => it.text.slice(0, 300))).toEqual([]);
  },
  30_000,
);

test("a whole response to an upload under way is passed on", async () => {
  answer = {
    head: `content-length: ${SMALL.length}\r\n`,
    sent: SMALL,
    resetAfterMs: 1_000,
  };
  for (const host of fleet.hosts) {
    const { status, isComplete, text } = await upload(host, {
      framing: Upload.Length,
      bytes: 20_000,
      isPipelined: false,
    });
    expect({ status, isComplete }, text).toEqual({
      status: 200,
      isComplete: true,
    });
  }
}, 30_000);
