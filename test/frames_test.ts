/** Frames between daemons: their bytes, and links over real sockets to peers that misbehave. */

import { Buffer } from "node:buffer";
import { EventEmitter, once } from "node:events";
import { createServer as createHttpServer } from "node:http";
import {
  type AddressInfo,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import type { Readable } from "node:stream";
import { afterEach, expect, test } from "vitest";
import { Diagnostics } from "../src/core/diagnostics.ts";
import { hashTicket } from "../src/core/ticket_hash.ts";
import { Execution, Repeatability } from "../src/core/types.ts";
import {
  decodeReplyFrame,
  decodeRequestFrame,
} from "../src/link/frame_heads.ts";
import { createFrameLink } from "../src/link/frame_link.ts";
import {
  ALIVE,
  createFrameReader,
  encodeFrame,
  type Frame,
  FrameKind,
  MAX_FRAME_BODY_BYTES,
  MAX_FRAME_HEAD_BYTES,
} from "../src/link/frames.ts";
import {
  SIGN_INTERVAL_MS,
  SILENT_INTERVALS,
} from "../src/link/signs_of_life.ts";
import {
  type ForwardRequest,
  type GuardLink,
  ReplyKind,
} from "../src/link/types.ts";
import { encodeVerdict, Header, Step } from "../src/link/wire.ts";

const HEAD = {
  account: "all",
  service: "shop",
  repeatability: Repeatability.Idempotent,
  fingerprint: "",
  timeoutMs: 1_000,
};

let server: Server | undefined;
let link: GuardLink | undefined;
const sockets = new Set<Socket>();

afterEach(async () => {
  await link?.close();
  for (const socket of sockets) socket.destroy();
  sockets.clear();
  server?.close();
});

/** Starts a peer that handles each frame; `count` is the number of frames before it on all connections. */
async function startPeer(
  onFrame: (socket: Socket, frame: Frame, count: number) => void,
): Promise<void> {
  let count = 0;
  server = createServer((socket) => {
    sockets.add(socket);
    const reader = createFrameReader((frame) =>
      onFrame(socket, frame, count++)
    );
    socket.on("error", () => {});
    socket.on("data", (chunk: Buffer) => reader.read(chunk));
  });
  await connectLink(server);
}

async function connectLink(to: Server): Promise<void> {
  to.listen(0, "127.0.0.1");
  await once(to, "listening");
  const { port } = to.address() as AddressInfo;
  link = createFrameLink({
    address: `127.0.0.1:${port}`,
    self: "caller",
    peer: "peer",
    connections: 4,
    getRevisions: () => "1",
    onReplyMetadata: () => {},
    onLinkError: () => {},
  });
}

function createForward(body: Buffer | null = null): ForwardRequest {
  return {
    method: "POST",
    path: "/order/1",
    headers: { "x-own": "1" },
    body,
    signal: new EventEmitter(),
  };
}

const submit = (ticket: string, forward = createForward()) =>
  link!.submit(ticket, HEAD, { forward });

function createReply(ticket: string, body: string): Buffer {
  const head = { meta: {}, ticket, status: 200, headers: {} };
  const text = JSON.stringify(head);
  return encodeFrame(FrameKind.Reply, text, Buffer.from(body));
}

test("frames are read from any split of their bytes", () => {
  const bytes = Buffer.concat([
    encodeFrame(FrameKind.Request, '{"step":"submit"}', Buffer.from("body")),
    encodeFrame(FrameKind.Accepted),
    encodeFrame(FrameKind.Part, "", Buffer.from("more \u2603")),
  ]);
  for (let size = 1; size <= bytes.length; size++) {
    const frames: Frame[] = [];
    const reader = createFrameReader((frame) => frames.push(frame));
    for (let at = 0; at < bytes.length; at += size) {
      expect(reader.read(bytes.subarray(at, at + size))).toBe(true);
    }
    // The bytes of a part come as they arrive.
    const parts = frames.filter(({ kind }) => kind === FrameKind.Part);
    const others = frames.slice(0, frames.length - parts.length);
    expect(others.map(({ kind, head, body }) => [kind, head, String(body)]))
      .toEqual([
        [FrameKind.Request, '{"step":"submit"}', "body"],
        [FrameKind.Accepted, "", ""],
      ]);
    expect(String(Buffer.concat(parts.map(({ body }) => body)))).toBe(
      "more \u2603",
    );
  }
});

test("a frame that comes byte by byte isn't copied with each read", () => {
  const body = Buffer.alloc(MAX_FRAME_BODY_BYTES, "b");
  const head = "h".repeat(MAX_FRAME_HEAD_BYTES);
  const bytes = encodeFrame(FrameKind.Reply, head, body);
  const frames: Frame[] = [];
  const reader = createFrameReader((frame) => frames.push(frame));
  const startedAt = performance.now();
  for (let at = 0; at < bytes.length; at++) {
    reader.read(bytes.subarray(at, at + 1));
  }
  expect(performance.now() - startedAt).toBeLessThan(2_000);
  expect(frames.length).toBe(1);
  expect(frames[0]!.head).toBe(head);
  expect(frames[0]!.body.equals(body)).toBe(true);
});

test("parts of no bytes are no frames", () => {
  const reader = createFrameReader(() => {});
  expect(reader.read(encodeFrame(FrameKind.Part))).toBe(false);
});

const PARTS_HEAD = JSON.stringify({
  meta: {},
  ticket: "t",
  status: 200,
  headers: {},
  hasParts: true,
});

test("parts of one byte are passed on together, at a bounded rate, and none is lost", async () => {
  const count = 30_000;
  const parts = Array.from(
    { length: count },
    (_, i) => encodeFrame(FrameKind.Part, "", Buffer.from([i % 251])),
  );
  const rest = Buffer.concat([...parts, encodeFrame(FrameKind.End)]);
  await startPeer((socket, _frame, count) => {
    if (count > 0) return void socket.write(createReply("t2", "next"));
    socket.write(encodeFrame(FrameKind.Reply, PARTS_HEAD));
    socket.write(rest);
  });
  const startedAt = performance.now();
  const reply = await submit("t");
  if (reply.kind !== ReplyKind.Response) throw new Error(reply.kind);
  let pieces = 0;
  const bytes: number[] = [];
  for await (const piece of reply.response.body as AsyncIterable<Buffer>) {
    pieces += 1;
    bytes.push(...piece);
  }
  // 60 a millisecond beyond the first 4,096.
  expect(performance.now() - startedAt).toBeGreaterThan(430);
  expect(pieces).toBeLessThan(200);
  expect(bytes).toEqual(Array.from({ length: count }, (_, i) => i % 251));
  expect(await submit("t2")).toMatchObject({ kind: ReplyKind.Response });
  expect(sockets.size).toBe(1);
});

test("a second acceptance ends its exchange", async () => {
  await startPeer((socket) => {
    socket.write(encodeFrame(FrameKind.Accepted));
    setTimeout(() => socket.write(encodeFrame(FrameKind.Accepted)), 5);
  });
  expect(await submit("t")).toMatchObject({
    kind: ReplyKind.Failed,
    mayHaveArrived: true,
  });
});

test("bytes that are no frames, and frames beyond their bounds, are not read", () => {
  const read = (bytes: Buffer) => createFrameReader(() => {}).read(bytes);
  expect(read(Buffer.from("HTTP/1.1 400 Bad Request"))).toBe(false);
  expect(read(Buffer.from([0]))).toBe(false);
  const large = encodeFrame(FrameKind.Reply);
  large.writeUInt32BE(MAX_FRAME_HEAD_BYTES + 1, 1);
  expect(read(large)).toBe(false);
  const long = encodeFrame(FrameKind.Part);
  long.writeUInt32BE(MAX_FRAME_BODY_BYTES + 1, 5);
  expect(read(long)).toBe(false);
});

test.each([
  "",
  "[]",
  "{",
  '{"step":"submit"}',
  '{"step":"odd","ticket":"t"}',
  '{"step":"submit","ticket":"t","head":{}}',
  '{"step":"submit","ticket":"t","path":"no slash"}',
  '{"step":"submit","ticket":"t","headers":{"a":1}}',
  `{"step":"submit","ticket":"t","head":${
    JSON.stringify({ ...HEAD, timeoutMs: "1" })
  }}`,
  `{"step":"submit","ticket":"t","head":${
    JSON.stringify(HEAD).replace("1000", "1e400")
  }}`,
])("a malformed head of a request is refused: %s", (text) => {
  expect(decodeRequestFrame(text)).toBeUndefined();
});

test("heads are decoded, and fields that are not known are ignored", () => {
  const head = { step: Step.Submit, ticket: "t", head: HEAD, later: 1 };
  expect(decodeRequestFrame(JSON.stringify(head))).toEqual(head);
  const reply = { meta: {}, status: 200, headers: { a: ["b"] } };
  expect(decodeReplyFrame(JSON.stringify(reply))).toEqual(reply);
  expect(decodeReplyFrame('{"status":200}')).toBeUndefined();
});

test("exchanges use one connection after the other, and each gets its own reply", async () => {
  await startPeer((socket, { head, body }) => {
    const { ticket } = decodeRequestFrame(head)!;
    socket.write(encodeFrame(FrameKind.Accepted));
    setTimeout(() => socket.write(createReply(ticket, String(body))), 5);
  });
  for (let round = 0; round < 3; round++) {
    const bodies = ["a", "b", "c"];
    const replies = await Promise.all(
      bodies.map((it) => submit(`t/${it}`, createForward(Buffer.from(it)))),
    );
    expect(replies.map((it) =>
      it.kind === ReplyKind.Response && [
        it.ticket,
        String(it.response.bytes),
      ]
    )).toEqual(bodies.map((it) => [`t/${it}`, it]));
  }
  expect(sockets.size).toBe(3);
});

test("a reply that comes without a request closes its connection and belongs to none", async () => {
  await startPeer((socket, { head }) => {
    const { ticket } = decodeRequestFrame(head)!;
    socket.write(createReply(ticket, "own"));
    setTimeout(() => socket.write(createReply(ticket, "again")), 1);
  });
  for (let i = 0; i < 5; i++) {
    const reply = await submit(`t/${i}`);
    expect(reply.kind === ReplyKind.Response && reply.ticket).toBe(`t/${i}`);
    await expect.poll(() => [...sockets].every((it) => it.destroyed), {
      interval: 1,
    }).toBe(true);
  }
  expect(sockets.size).toBe(5);
});

function createRefusal(ticket?: string): Buffer {
  const verdict = encodeVerdict({
    execution: Execution.NotRun,
    diagnostic: Diagnostics.no_room_now,
  });
  return encodeFrame(
    FrameKind.Reply,
    JSON.stringify({
      meta: {},
      verdict,
      ...(ticket && { of: hashTicket(ticket) }),
    }),
  );
}

// It was told the earlier one's refusal, as not run, and might run.
test.each([
  ["a refusal", (ticket: string) => createRefusal(ticket)],
  ["a response", (ticket: string) => createReply(ticket, "first")],
  ["a grant", (ticket: string) => {
    const head = { meta: {}, ticket, grant: "g", key: "k" };
    return encodeFrame(FrameKind.Reply, JSON.stringify(head));
  }],
])(
  "%s that comes once more answers no later attempt on its connection",
  async (_name, create) => {
    await startPeer((socket, { head }, count) => {
      const { ticket } = decodeRequestFrame(head)!;
      if (count !== 1) return void socket.write(create(ticket));
      socket.write(create("t/0"));
      setTimeout(() => socket.write(createReply(ticket, "own")), 5);
    });
    await submit("t/0");
    expect(await submit("t/1")).toMatchObject({
      kind: ReplyKind.Failed,
      mayHaveArrived: true,
    });
    await new Promise((resolve) => setTimeout(resolve, 20));
    expect((await submit("t/2")).kind).not.toBe(ReplyKind.Failed);
    expect(sockets.size).toBe(2);
  },
);

test("a refusal of a peer that names no ticket is read", async () => {
  await startPeer((socket) => void socket.write(createRefusal()));
  expect((await submit("t")).kind).toBe(ReplyKind.Refused);
});

// What came in the same read as a malformed frame was taken as the reply.
test.each([
  ["a malformed reply", encodeFrame(FrameKind.Reply, "{}")],
  ["a part", encodeFrame(FrameKind.Part, "", Buffer.from("x"))],
  ["an end", encodeFrame(FrameKind.End)],
])(
  "nothing is read behind %s that belongs to no reply",
  async (_name, bytes) => {
    await startPeer((socket) =>
      void socket.write(Buffer.concat([bytes, createRefusal("t")]))
    );
    expect(await submit("t")).toMatchObject({
      kind: ReplyKind.Failed,
      mayHaveArrived: true,
    });
  },
);

test("a part behind the end of a body closes its connection, the body stays whole", async () => {
  const head = JSON.stringify({
    meta: {},
    ticket: "t",
    status: 200,
    headers: {},
    hasParts: true,
  });
  const part = encodeFrame(FrameKind.Part, "", Buffer.from("x"));
  const end = encodeFrame(FrameKind.End);
  await startPeer((socket, _frame, count) => {
    if (count > 0) return void socket.write(createReply("t2", "next"));
    socket.write(encodeFrame(FrameKind.Reply, head));
    socket.write(Buffer.concat([part, end, part, end]));
  });
  const first = await submit("t");
  if (first.kind !== ReplyKind.Response) throw new Error(first.kind);
  let text = "";
  for await (const chunk of first.response.body) text += chunk;
  expect(text).toBe("x");
  expect(await submit("t2")).toMatchObject({ kind: ReplyKind.Response });
  expect(sockets.size).toBe(2);
});

test("a cancel that crosses the reply leaves nothing of it to the next attempt", async () => {
  for (let delayMs = 0; delayMs < 4; delayMs++) {
    await startPeer((socket, { head }) => {
      const { ticket } = decodeRequestFrame(head)!;
      socket.write(encodeFrame(FrameKind.Accepted));
      setTimeout(() => socket.write(createReply(ticket, ticket)), 1);
    });
    for (let i = 0; i < 15; i++) {
      const forward = createForward();
      const cancelled = submit(`c/${i}`, forward);
      setTimeout(() => forward.signal.emit("abort"), delayMs);
      const next = [submit(`a/${i}`), cancelled.then(() => submit(`b/${i}`))];
      for (const reply of await Promise.all(next)) {
        if (reply.kind !== ReplyKind.Response) throw new Error(reply.kind);
        expect(String(reply.response.bytes)).toBe(reply.ticket);
        expect(reply.ticket).toMatch(new RegExp(`^[ab]/${i}$`));
      }
    }
    await link!.close();
    server!.close();
  }
});

test.each([
  ["closes", (socket: Socket) => void socket.end()],
  ["resets", (socket: Socket) => void socket.resetAndDestroy()],
  ["sends half a reply", (socket: Socket) => {
    socket.end(createReply("t", "body").subarray(0, 20));
  }],
  ["sends no frame", (socket: Socket) => void socket.end("\u0000")],
  ["sends a malformed reply", (socket: Socket) => {
    socket.write(encodeFrame(FrameKind.Reply, "{}"));
  }],
  ["sends a part first", (socket: Socket) => {
    socket.write(encodeFrame(FrameKind.Part, "", Buffer.from("x")));
  }],
])("an attempt at a peer that %s is in doubt", async (_name, act) => {
  await startPeer(act);
  const reply = await submit("t");
  expect(reply).toMatchObject({ kind: ReplyKind.Failed, mayHaveArrived: true });
});

test("an attempt at a peer that doesn't listen has not arrived", async () => {
  await startPeer(() => {});
  server!.close();
  await once(server!, "close");
  const reply = await submit("t");
  expect(reply).toMatchObject({
    kind: ReplyKind.Failed,
    mayHaveArrived: false,
  });
});

// Orders on their way to a daemon that closed idle connections were in doubt.
test("an attempt that crosses the announced end of its connection has not arrived", async () => {
  await startPeer((socket, { head }, count) => {
    if (count > 0) return void socket.end(encodeFrame(FrameKind.Closing));
    const { ticket } = decodeRequestFrame(head)!;
    socket.write(createReply(ticket, ""));
  });
  expect((await submit("answered")).kind).toBe(ReplyKind.Response);
  expect(await submit("crossing")).toMatchObject({
    kind: ReplyKind.Failed,
    mayHaveArrived: false,
  });
});

test("an attempt that was accepted before the announced end of its connection is in doubt", async () => {
  await startPeer((socket) => {
    socket.write(encodeFrame(FrameKind.Accepted));
    socket.end(encodeFrame(FrameKind.Closing));
  });
  expect(await submit("t")).toMatchObject({
    kind: ReplyKind.Failed,
    mayHaveArrived: true,
  });
});

test("a body in parts ends with its last frame, and a cut is no end", async () => {
  const head = JSON.stringify({
    meta: {},
    ticket: "t",
    status: 200,
    headers: {},
    hasParts: true,
  });
  await startPeer((socket, _frame, count) => {
    socket.write(encodeFrame(FrameKind.Reply, head));
    socket.write(encodeFrame(FrameKind.Part, "", Buffer.from("first ")));
    setTimeout(() => {
      if (count > 0) return void socket.end();
      socket.write(encodeFrame(FrameKind.Part, "", Buffer.from("second")));
      socket.write(encodeFrame(FrameKind.End));
    }, 5);
  });
  const read = async () => {
    const reply = await submit("t");
    if (reply.kind !== ReplyKind.Response) throw new Error(reply.kind);
    let text = "";
    for await (const chunk of reply.response.body) text += chunk;
    return text;
  };
  expect(await read()).toBe("first second");
  await expect(read()).rejects.toThrow();
});

test("a response that nobody reads holds up no later exchange on its connection", async () => {
  const head = JSON.stringify({
    meta: {},
    ticket: "t",
    status: 200,
    headers: {},
    hasParts: true,
  });
  // Together more than what is buffered, each less than one read.
  const part = encodeFrame(FrameKind.Part, "", Buffer.alloc(9_000));
  const end = encodeFrame(FrameKind.End);
  await startPeer((socket, _frame, count) => {
    if (count > 0) return void socket.write(createReply("t2", "next"));
    socket.write(encodeFrame(FrameKind.Reply, head));
    setTimeout(() => socket.write(part), 5);
    // The last part and the end arrive in one read.
    setTimeout(() => socket.write(Buffer.concat([part, end])), 20);
  });
  const first = await submit("t");
  if (first.kind !== ReplyKind.Response) throw new Error(first.kind);
  await new Promise((resolve) => setTimeout(resolve, 50));
  const next = await Promise.race([
    submit("t2"),
    new Promise((resolve) => setTimeout(() => resolve("no reply"), 500)),
  ]);
  expect(next).toMatchObject({ kind: ReplyKind.Response });
  expect(sockets.size).toBe(1);
  let size = 0;
  for await (const chunk of first.response.body) size += chunk.length;
  expect(size).toBe(18_000);
});

test("a cancelled attempt closes its connection, and the others go on", async () => {
  await startPeer((socket, { head }) => {
    const { ticket } = decodeRequestFrame(head)!;
    setTimeout(() => socket.write(createReply(ticket, "late")), 50);
  });
  const forward = createForward();
  const cancelled = submit("cancelled", forward);
  const other = submit("other");
  await expect.poll(() => sockets.size).toBe(2);
  forward.signal.emit("abort");
  expect((await cancelled).kind).toBe(ReplyKind.Failed);
  expect((await other).kind).toBe(ReplyKind.Response);
});

test("exchanges beyond the limit of connections wait, and one that is cancelled meanwhile is not sent", async () => {
  const seen: string[] = [];
  await startPeer((socket, { head }) => {
    const { ticket } = decodeRequestFrame(head)!;
    seen.push(ticket);
    setTimeout(() => socket.write(createReply(ticket, "")), 20);
  });
  const sent = Array.from({ length: 10 }, (_, i) => submit(`t/${i}`));
  const forward = createForward();
  const cancelled = submit("cancelled", forward);
  forward.signal.emit("abort");
  expect(await cancelled).toMatchObject({ mayHaveArrived: false });
  const replies = await Promise.all(sent);
  expect(replies.every((it) => it.kind === ReplyKind.Response)).toBe(true);
  expect(sockets.size).toBe(4);
  expect(seen).toHaveLength(10);
});

test("an exchange for which no connection becomes free is refused as not run, and not sent", async () => {
  const seen: string[] = [];
  await startPeer((_socket, { head }) =>
    void seen.push(decodeRequestFrame(head)!.ticket)
  );
  const silent = Array.from({ length: 4 }, () => createForward());
  const ended = silent.map((it, i) => submit(`silent/${i}`, it));
  const forward = createForward();
  const refusal = {
    kind: ReplyKind.Refused,
    verdict: {
      execution: Execution.NotRun,
      diagnostic: Diagnostics.no_room_now,
    },
  };
  expect(await submit("waiting", forward)).toEqual(refusal);
  // The gateway takes no other refusal for that of a run.
  expect(await link!.run("run", "g", { forward }))
    .toEqual({ ...refusal, grant: "g" });
  for (const { signal } of silent) signal.emit("abort");
  await Promise.all(ended);
  expect(seen.filter((it) => !it.startsWith("silent"))).toEqual([]);
});

test("silent connections that were replaced keep no exchange waiting", async () => {
  await startPeer((socket, { head }, count) => {
    if (count < 4) return;
    const { ticket } = decodeRequestFrame(head)!;
    socket.write(createReply(ticket, ""));
  });
  const silent = Array.from({ length: 4 }, () => createForward());
  const ended = silent.map((it, i) => submit(`silent/${i}`, it));
  await expect.poll(() => sockets.size).toBe(4);
  const waiting = submit("waiting");
  link!.replaceConnections();
  expect((await waiting).kind).toBe(ReplyKind.Response);
  for (const { signal } of silent) signal.emit("abort");
  await Promise.all(ended);
});

test("after a replacement, new exchanges use new connections", async () => {
  await startPeer((socket, { head }) => {
    const { ticket } = decodeRequestFrame(head)!;
    setTimeout(() => socket.write(createReply(ticket, "")), 20);
  });
  await submit("before");
  const open = submit("open");
  link!.replaceConnections();
  expect((await submit("after")).kind).toBe(ReplyKind.Response);
  expect((await open).kind).toBe(ReplyKind.Response);
  expect(sockets.size).toBe(2);
});

test("a peer that knows no frames gets the attempt over HTTP", async () => {
  const steps: unknown[] = [];
  const http = createHttpServer((req, res) => {
    steps.push(req.headers[Header.Step]);
    req.resume();
    const verdict = encodeVerdict({
      execution: Execution.NotRun,
      diagnostic: Diagnostics.no_room_now,
    });
    res.writeHead(503, { [Header.VerdictJson]: verdict }).end();
  });
  server = http;
  await connectLink(http);
  for (const ticket of ["first", "second"]) {
    expect(await submit(ticket)).toMatchObject({
      kind: ReplyKind.Refused,
      verdict: { execution: Execution.NotRun },
    });
  }
  expect(await link!.reserve("third", HEAD)).toMatchObject({
    kind: ReplyKind.Refused,
  });
  expect(steps).toEqual([Step.Submit, Step.Submit, Step.Reserve]);
  http.closeAllConnections();
});

/** Replies in parts, after a sign of life. */
function startSigningPeer(
  { sends }: { sends: "signs" | "nothing" },
): Promise<void> {
  return startPeer((socket, frame) => {
    const { ticket, knowsSigns } = decodeRequestFrame(frame.head)!;
    expect(knowsSigns).toBe(true);
    const head = { meta: {}, ticket, status: 200, headers: {}, hasParts: true };
    socket.write(ALIVE);
    socket.write(encodeFrame(FrameKind.Reply, JSON.stringify(head)));
    socket.write(encodeFrame(FrameKind.Part, "", Buffer.alloc(50_000, "b")));
    if (sends === "nothing") return;
    const timer = setInterval(() => socket.write(ALIVE), SIGN_INTERVAL_MS);
    socket.once("close", () => clearInterval(timer));
  });
}

async function submitForBody(): Promise<Readable> {
  const reply = await submit("i/1:r/1");
  if (reply.kind !== ReplyKind.Response) throw new Error(reply.kind);
  reply.response.body.on("error", () => {});
  return reply.response.body;
}

const SILENCE_MS = (SILENT_INTERVALS + 2) * SIGN_INTERVAL_MS;

test("a connection whose peer has sent signs of life and is silent is closed", async () => {
  await startSigningPeer({ sends: "nothing" });
  const body = await submitForBody();
  const cut = once(body, "error");
  body.resume();
  const [error] = await Promise.race([cut, after(SILENCE_MS, ["none"])]);
  expect(String(error)).toContain("silent");
});

test(
  "a peer that sends signs of life, or a reader that waits, is not taken for silent",
  async () => {
    await startSigningPeer({ sends: "signs" });
    const read = await submitForBody();
    read.resume();
    await after(SILENCE_MS, undefined);
    expect(read.destroyed).toBe(false);
    read.destroy();
    await startSigningPeer({ sends: "nothing" });
    const waiting = await submitForBody();
    await after(SILENCE_MS, undefined);
    expect(waiting.destroyed).toBe(false);
    waiting.destroy();
  },
  10_000,
);

test(
  "a peer that has sent no sign of life may take as long as it likes",
  async () => {
    await startPeer((socket, frame) => {
      const { ticket } = decodeRequestFrame(frame.head)!;
      setTimeout(() => socket.write(createReply(ticket, "late")), SILENCE_MS);
    });
    const reply = await submit("i/1:r/1");
    expect(reply.kind).toBe(ReplyKind.Response);
  },
  10_000,
);

function after<T>(ms: number, value: T): Promise<T> {
  return new Promise((resolve) => setTimeout(() => resolve(value), ms));
}
