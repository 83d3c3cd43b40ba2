/** Connections of callers, on real sockets with a handler that answers when told. */

import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import { type AddressInfo, connect } from "node:net";
import { Readable } from "node:stream";
import { Buffer } from "node:buffer";
import { afterEach, expect, test } from "vitest";
import { createCounters } from "../src/core/counters.ts";
import {
  type CallerConnections,
  createCallerConnections,
  type Place,
} from "../src/daemon/caller_connections.ts";
import { gatherBody } from "../src/daemon/request_body.ts";
import { createClock } from "../src/daemon/clock.ts";
import { startCallerListener } from "../src/daemon/caller_listener.ts";
import type { LogFields, Logger } from "../src/daemon/logger.ts";
import { openPipe, type Pipe } from "./support/pipelining_caller.ts";

interface Taken {
  readonly incoming: IncomingMessage;
  readonly outgoing: ServerResponse;
  readonly place: Place;
}

interface Listener {
  readonly port: number;
  readonly connections: CallerConnections;
  /** Requests that were passed on, by path. */
  readonly taken: Map<string, Taken>;
  readonly lines: { event: string; fields: LogFields }[];
  getCounter(name: string): number;
  answer(path: string): void;
  setStopping(): void;
}

const closers: (() => Promise<void>)[] = [];
afterEach(async () => {
  for (const close of closers.splice(0)) await close();
});

async function listen(): Promise<Listener> {
  const server = createServer({
    headersTimeout: 200,
    connectionsCheckingInterval: 50,
    keepAliveTimeout: 500,
    requestTimeout: 0,
  });
  const taken = new Map<string, Taken>();
  const lines: Listener["lines"] = [];
  const counters = createCounters();
  let isStopping = false;
  const log = (event: string, fields: LogFields = {}) =>
    void lines.push({ event, fields });
  const logger: Logger = { debug: log, info: log, warn: log, error: log };
  const connections = createCallerConnections(server, {
    counters,
    logger,
    clock: createClock(),
    isStopping: () => isStopping,
    handler: (incoming, outgoing, place) => {
      place.id = incoming.url;
      taken.set(incoming.url!, { incoming, outgoing, place });
    },
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  closers.push(() => {
    server.closeAllConnections();
    return new Promise((resolve) => server.close(() => resolve()));
  });
  return {
    port: (server.address() as AddressInfo).port,
    connections,
    taken,
    lines,
    getCounter: counters.get,
    setStopping: () => isStopping = true,
    answer: (path) => {
      void answer(taken.get(path)!);
    },
  };
}

async function answer({ outgoing, place }: Taken): Promise<void> {
  await place.whenFirst();
  place.prepareHead();
  outgoing.writeHead(200, { "content-length": "2" });
  outgoing.end("ok");
}

async function open({ port }: Listener): Promise<Pipe> {
  const pipe = await openPipe("127.0.0.1", port);
  closers.push(() => Promise.resolve(pipe.close()));
  return pipe;
}

/** Sends requests behind each other; resolves once all have been passed on. */
async function sendAll(listener: Listener, pipe: Pipe, paths: string[]) {
  const answers = paths.map((path) => pipe.send({ id: path, path }));
  await until(() => paths.every((path) => listener.taken.has(path)));
  return answers;
}

async function until(isTrue: () => boolean): Promise<void> {
  for (let i = 0; i < 400 && !isTrue(); i++) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
  expect(isTrue()).toBe(true);
}

test("a caller that leaves its requests unanswered is logged, and none is counted any more", async () => {
  const listener = await listen();
  const pipe = await open(listener);
  await sendAll(listener, pipe, ["/1", "/2", "/3"]);
  expect(listener.connections.countUnanswered()).toBe(3);
  let closed = 0;
  for (const { outgoing } of listener.taken.values()) {
    outgoing.once("close", () => closed += 1);
  }
  pipe.close();
  await until(() => listener.connections.countUnanswered() === 0);
  await until(() => closed === 3);
  expect(listener.lines).toEqual([{
    event: "connection_closed",
    fields: {
      by: "caller",
      reason: "ended",
      unanswered: 3,
      stopping: false,
      reqs: "/1,/2,/3",
    },
  }]);
  expect(listener.getCounter("unanswered_closed_by_caller")).toBe(3);
});

test("a connection that the daemon cuts names its reason and what it leaves", async () => {
  const listener = await listen();
  const pipe = await open(listener);
  const answers = await sendAll(listener, pipe, ["/1", "/2"]);
  listener.setStopping();
  listener.taken.get("/1")!.place.cut("answer_cut");
  expect((await Promise.all(answers)).map((it) => it.isWhole))
    .toEqual([false, false]);
  await until(() => listener.lines.length === 1);
  expect(listener.lines[0]!.fields).toMatchObject({
    by: "daemon",
    reason: "answer_cut",
    unanswered: 2,
    stopping: true,
  });
});

test("closing waits for the answers of what was passed on", async () => {
  const listener = await listen();
  const idle = await open(listener);
  const pipe = await open(listener);
  const answers = await sendAll(listener, pipe, ["/1", "/2"]);
  const closed = listener.connections.close(() => 2_000);
  await until(() => !idle.isOpen());
  listener.answer("/2");
  listener.answer("/1");
  expect((await Promise.all(answers)).map((it) => it.status))
    .toEqual([200, 200]);
  await closed;
  expect(listener.connections.countUnanswered()).toBe(0);
  expect(listener.lines).toEqual([]);
});

test("closing cuts what is unanswered in the end", async () => {
  const listener = await listen();
  const pipe = await open(listener);
  const answers = await sendAll(listener, pipe, ["/1"]);
  await listener.connections.close(() => 100);
  expect((await answers[0]!).isWhole).toBe(false);
  expect(listener.lines[0]!.fields).toMatchObject({
    by: "daemon",
    reason: "close_timeout",
    unanswered: 1,
  });
});

test("while stopping, only an answer with nothing behind it announces the end", async () => {
  const listener = await listen();
  const pipe = await open(listener);
  const answers = await sendAll(listener, pipe, ["/1", "/2", "/3"]);
  listener.setStopping();
  for (const path of ["/3", "/1", "/2"]) listener.answer(path);
  const all = await Promise.all(answers);
  expect(all.map(({ status, headers }) => [status, headers["connection"]]))
    .toEqual([[200, "keep-alive"], [200, "keep-alive"], [200, "close"]]);
  expect(listener.lines).toEqual([]);
});

test("a request behind an announced end is not passed on, and resets nothing", async () => {
  const listener = await listen();
  const pipe = await open(listener);
  const [first] = await sendAll(listener, pipe, ["/1"]);
  listener.setStopping();
  const { outgoing, place } = listener.taken.get("/1")!;
  place.prepareHead();
  outgoing.writeHead(200, { "content-length": "200000" });
  outgoing.write("x".repeat(100_000));
  const late = pipe.send({ id: "/2", path: "/2" });
  const flood = "GET /flood HTTP/1.1\r\nhost: a\r\n\r\n".repeat(2_000);
  pipe.write(flood);
  await until(() => listener.getCounter("requests_behind_close") > 0);
  outgoing.end("x".repeat(100_000));
  pipe.write(flood);
  expect((await first!).isWhole).toBe(true);
  pipe.write(flood);
  expect(await late).toMatchObject({ isBehindClose: true });
  expect([...listener.taken.keys()]).toEqual(["/1"]);
  expect(listener.lines).toEqual([]);
});

test("a caller gets its last answer though it goes on sending", async () => {
  for (let i = 0; i < 20; i++) {
    const listener = await listen();
    const pipe = await open(listener);
    const [first] = await sendAll(listener, pipe, ["/1"]);
    listener.setStopping();
    pipe.write("POST /2 HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\n");
    await until(() => listener.taken.has("/2"));
    listener.answer("/1");
    listener.answer("/2");
    for (let j = 0; j < 5; j++) {
      pipe.write("x");
      await new Promise((resolve) => setImmediate(resolve));
    }
    expect(await first).toMatchObject({ status: 200, isWhole: true });
    await until(() => !pipe.isOpen());
    expect(pipe.getStray()).toContain("HTTP/1.1 200 OK");
  }
});

test("a caller that reads only once it has sent its body gets the answer that came before", async () => {
  const listener = await listen();
  const bytes = 700_000;
  const parts = 14;
  const socket = connect(listener.port, "127.0.0.1");
  closers.push(() => Promise.resolve(void socket.destroy()));
  const errors: Error[] = [];
  socket.on("error", (error) => errors.push(error));
  socket.pause();
  socket.write(
    `POST /1 HTTP/1.1\r\nhost: a\r\ncontent-length: ${bytes}\r\n\r\n`,
  );
  await until(() => listener.taken.has("/1"));
  const { outgoing, place } = listener.taken.get("/1")!;
  place.prepareHead(true);
  outgoing.writeHead(413, { "content-length": "0" }).end();
  for (let i = 0; i < parts; i++) {
    socket.write("x".repeat(bytes / parts));
    await new Promise((resolve) => setTimeout(resolve, 50));
  }
  let text = "";
  socket.on("data", (data) => text += data);
  socket.resume();
  await until(() => socket.closed);
  expect(errors).toEqual([]);
  expect(text).toContain("HTTP/1.1 413");
});

test("a caller that sends on without end behind its last answer is closed", async () => {
  const listener = await listen();
  const pipe = await open(listener);
  const [first] = await sendAll(listener, pipe, ["/1"]);
  listener.setStopping();
  listener.answer("/1");
  expect(await first).toMatchObject({ status: 200, isWhole: true });
  let isClosed = false;
  listener.taken.get("/1")!.incoming.socket.once(
    "close",
    () => isClosed = true,
  );
  const timer = setInterval(() => pipe.write("x".repeat(1_000)), 20);
  await new Promise((resolve) => setTimeout(resolve, 3_000));
  clearInterval(timer);
  expect(isClosed).toBe(true);
});

test("a caller that sends without end has a bounded number of requests passed on", async () => {
  const listener = await listen();
  const pipe = await open(listener);
  const paths = Array.from({ length: 5_000 }, (_, i) => `/${i}`);
  const answers = paths.map((path) => pipe.send({ id: path, path }));
  await until(() => listener.taken.size >= 32);
  await new Promise((resolve) => setTimeout(resolve, 100));
  expect(listener.taken.size).toBe(32);
  expect(listener.connections.countUnanswered()).toBeLessThan(2_000);
  for (const path of paths) {
    await until(() => listener.taken.has(path));
    listener.answer(path);
  }
  expect((await Promise.all(answers)).every((it) => it.isWhole)).toBe(true);
});

test("requests that a caller sends without waiting are passed on a few in each turn of the loop", async () => {
  const listener = await listen();
  const pipe = await open(listener);
  const paths = Array.from({ length: 5_000 }, (_, i) => `/${i}`);
  pipe.write(
    paths.map((it) => `GET ${it} HTTP/1.1\r\nhost: a\r\n\r\n`).join(""),
  );
  let most = 0;
  let mostRead = 0;
  for (let passedOn = 0; passedOn < paths.length;) {
    await new Promise((resolve) => setImmediate(resolve));
    const added = paths.slice(passedOn, listener.taken.size);
    passedOn += added.length;
    most = Math.max(most, added.length);
    mostRead = Math.max(mostRead, listener.connections.countUnanswered());
    for (const path of added) listener.answer(path);
  }
  expect(most).toBeLessThanOrEqual(20);
  expect(mostRead).toBeLessThan(2_500);
});

const CHUNKED = "POST /1 HTTP/1.1\r\nhost: a\r\n" +
  "transfer-encoding: chunked\r\n\r\n";
const END = "0\r\n\r\n";

test("small chunks of a caller are parsed a few in each turn of the loop", async () => {
  const listener = await listen();
  const pipe = await open(listener);
  pipe.write(CHUNKED);
  await until(() => listener.taken.has("/1"));
  const { incoming } = listener.taken.get("/1")!;
  let chunks = 0;
  incoming.on("data", () => chunks += 1);
  pipe.write("1\r\na\r\n".repeat(40_000) + END);
  let most = 0;
  for (let parsed = 0; parsed < 40_000; parsed = chunks) {
    await new Promise((resolve) => setImmediate(resolve));
    most = Math.max(most, chunks - parsed);
  }
  expect(most).toBeLessThan(4_096);
});

test("of a body that nobody reads few small chunks are parsed, and it arrives whole later", async () => {
  const listener = await listen();
  const pipe = await open(listener);
  pipe.write(CHUNKED);
  await until(() => listener.taken.has("/1"));
  const { incoming } = listener.taken.get("/1")!;
  pipe.write("1\r\na\r\n".repeat(40_000) + END);
  await until(() => incoming.readableLength > 0);
  await new Promise((resolve) => setTimeout(resolve, 200));
  expect(incoming.readableLength).toBeLessThan(4_096);
  let size = 0;
  for await (const piece of gatherBody(incoming)) {
    size += (piece as Buffer).length;
  }
  expect(size).toBe(40_000);
});

test("a body in chunks whose reader pauses within it arrives whole", async () => {
  const listener = await listen();
  const pipe = await open(listener);
  pipe.write(CHUNKED);
  await until(() => listener.taken.has("/1"));
  const { incoming } = listener.taken.get("/1")!;
  const chunk = `fde8\r\n${"a".repeat(65_000)}\r\n`;
  let size = 0;
  incoming.on("data", (piece: Buffer) => {
    size += piece.length;
    incoming.pause();
    setTimeout(() => incoming.resume(), 5);
  });
  pipe.write(chunk.repeat(10) + END);
  await until(() => size === 650_000);
});

test("a body of small chunks arrives whole in few pieces, and so do the requests behind it", async () => {
  const listener = await listen();
  const pipe = await open(listener);
  const body = Array.from({ length: 30_000 }, (_, i) => String(i % 10));
  const first = pipe.send({ id: "/1", path: "/1" });
  await until(() => listener.taken.has("/1"));
  const upload = CHUNKED.replace("/1", "/2") +
    body.map((it) => `1\r\n${it}\r\n`).join("") + END;
  const paths = Array.from({ length: 50 }, (_, i) => `/behind${i}`);
  pipe.write(
    upload +
      paths.map((it) => `GET ${it} HTTP/1.1\r\nhost: a\r\n\r\n`).join(""),
  );
  await until(() => listener.taken.has("/2"));
  const pieces: Buffer[] = [];
  for await (const it of gatherBody(listener.taken.get("/2")!.incoming)) {
    pieces.push(it as Buffer);
  }
  expect(Buffer.concat(pieces).toString()).toBe(body.join(""));
  expect(pieces.length).toBeLessThan(300);
  for (const path of ["/1", "/2", ...paths]) {
    await until(() => listener.taken.has(path));
    listener.answer(path);
  }
  expect((await first).isWhole).toBe(true);
  await until(() => pipe.getStray().match(/200 OK/g)?.length === 51);
  expect(listener.lines).toEqual([]);
});

// While it waited, it wasn't read, so that upstreams worked on for nobody.
test("the end of a caller is noticed though more of its requests wait than are passed on", async () => {
  const listener = await listen();
  const pipe = await open(listener);
  const paths = Array.from({ length: 300 }, (_, i) => `/${i}`);
  const answers = paths.map((path) => pipe.send({ id: path, path }));
  await until(() => listener.taken.size === 32);
  pipe.close();
  await Promise.all(answers);
  await until(() => listener.connections.countUnanswered() === 0);
  expect(listener.taken.size).toBe(32);
});

test("closing passes on nothing more of a caller that sends without end", async () => {
  const listener = await listen();
  const pipe = await open(listener);
  const paths = Array.from({ length: 300 }, (_, i) => `/${i}`);
  const answers = paths.map((path) => pipe.send({ id: path, path }));
  await until(() => listener.taken.size === 32);
  const closed = listener.connections.close(() => 3_000);
  for (const path of [...listener.taken.keys()]) listener.answer(path);
  const all = await Promise.all(answers);
  await closed;
  expect(listener.taken.size).toBe(32);
  expect(all.filter((it) => it.isWhole).length).toBe(32);
  expect(all.filter((it) => it.isBehindClose).length).toBe(300 - 32);
  expect(listener.lines).toEqual([]);
});

test("while connections are closed, new ones are refused, not accepted and closed", async () => {
  const taken: Taken[] = [];
  const log = () => {};
  const listener = await startCallerListener({
    address: "127.0.0.1:0",
    maxHeaderBytes: 16_384,
    counters: createCounters(),
    logger: { debug: log, info: log, warn: log, error: log },
    clock: createClock(),
    isStopping: () => true,
    handler: (incoming, outgoing, place) =>
      void taken.push({ incoming, outgoing, place }),
  });
  const { port } = listener.server.address() as AddressInfo;
  const pipe = await openPipe("127.0.0.1", port);
  const first = pipe.send({ id: "/1", path: "/1" });
  await until(() => taken.length === 1);
  const closed = listener.close(() => 2_000);
  await expect(openPipe("127.0.0.1", port))
    .rejects.toMatchObject({ code: "ECONNREFUSED" });
  await answer(taken[0]!);
  expect(await first).toMatchObject({ status: 200, isWhole: true });
  await closed;
});

const MALFORMED = "HTTP/1.1 400 Bad Request\r\nconnection: close\r\n";
test.each([
  { name: "no request", bytes: "BLAH BLAH\r\n\r\n", refusal: MALFORMED },
  { name: "CONNECT", bytes: "CONNECT a:1 HTTP/1.1\r\nhost: a\r\n\r\n" },
  { name: "HTTP/2", bytes: "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" },
  {
    name: "a head without end",
    bytes: `GET / HTTP/1.1\r\nhost: a\r\na: ${"x".repeat(40_000)}`,
    refusal:
      "HTTP/1.1 431 Request Header Fields Too Large\r\nconnection: close\r\n",
  },
  {
    name: "half a head",
    bytes: "GET / HTTP/1.1\r\nhost: a\r\n",
    refusal: "HTTP/1.1 408 Request Timeout\r\nconnection: close\r\n",
  },
])(
  "$name behind running requests is refused behind their answers",
  async ({ bytes, refusal = MALFORMED }) => {
    const listener = await listen();
    const pipe = await open(listener);
    const answers = await sendAll(listener, pipe, ["/1", "/2"]);
    pipe.write(bytes);
    await new Promise((resolve) => setTimeout(resolve, 400));
    pipe.write("GET /late HTTP/1.1\r\nhost: a\r\n\r\n");
    listener.answer("/1");
    await new Promise((resolve) => setTimeout(resolve, 20));
    listener.answer("/2");
    const all = await Promise.all(answers);
    expect(all.map(({ status, body }) => [status, body.toString()]))
      .toEqual([[200, "ok"], [200, "ok"]]);
    await until(() => !pipe.isOpen());
    expect(pipe.getStray()).toContain(refusal);
    expect(pipe.getStray().match(/HTTP\//g)).toHaveLength(1);
    expect([...listener.taken.keys()]).toEqual(["/1", "/2"]);
    expect(listener.lines.map((it) => it.event)).toEqual(["bytes_refused"]);
  },
);

test("a large answer before CONNECT arrives whole", async () => {
  const listener = await listen();
  const pipe = await open(listener);
  const [first] = await sendAll(listener, pipe, ["/1"]);
  pipe.write("CONNECT a:1 HTTP/1.1\r\nhost: a\r\n\r\n");
  await new Promise((resolve) => setTimeout(resolve, 50));
  const body = Buffer.alloc(3_000_000, "x");
  const { outgoing, place } = listener.taken.get("/1")!;
  place.prepareHead();
  outgoing.writeHead(200, { "content-length": body.length });
  Readable.from([body.subarray(0, 2_000_000), body.subarray(2_000_000)])
    .pipe(outgoing);
  expect((await first!).body.length).toBe(body.length);
  await until(() => !pipe.isOpen());
});

test("a body that can't be parsed ends its request only", async () => {
  const listener = await listen();
  const pipe = await open(listener);
  const [first] = await sendAll(listener, pipe, ["/1"]);
  const second = pipe.send({
    id: "/2",
    path: "/2",
    method: "POST",
    headers: { "transfer-encoding": "chunked" },
  });
  await until(() => listener.taken.has("/2"));
  const errors: Error[] = [];
  listener.taken.get("/2")!.incoming.on("error", (it) => errors.push(it));
  pipe.write("zzz\r\n");
  await until(() => errors.length === 1);
  listener.answer("/1");
  listener.answer("/2");
  expect(await first).toMatchObject({ status: 200, isWhole: true });
  expect(await second).toMatchObject({
    status: 200,
    headers: { connection: "close" },
  });
  expect(listener.lines).toEqual([]);
});

test(
  "an idle connection is closed, one whose answer takes longer than that is not",
  async () => {
    const listener = await listen();
    const pipe = await open(listener);
    await Promise.all(
      await sendAll(listener, pipe, ["/1"]).then((it) => {
        listener.answer("/1");
        return it;
      }),
    );
    const [slow] = await sendAll(listener, pipe, ["/2"]);
    await new Promise((resolve) => setTimeout(resolve, 2_000));
    listener.answer("/2");
    expect(await slow).toMatchObject({ status: 200 });
    await until(() => !pipe.isOpen());
    expect(pipe.getStray()).toBe("");
    expect(listener.lines).toEqual([]);
  },
  10_000,
);
