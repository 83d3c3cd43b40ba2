/** An upstream of the platform for tests, with its failure modes. */

import { Buffer } from "node:buffer";
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import type { AddressInfo, Socket } from "node:net";

/** How an upstream responds to a request. */
export enum UpstreamMode {
  Serving = "serving",
  /** Refuses the request and states that it did not run. */
  Shedding = "shedding",
  /** Runs the request and resets the connection. */
  LosesResponse = "loses-answer",
  /** Closes the connection in the middle of the response. */
  TruncatesResponse = "cuts-short",
  /** Sends a second response directly after the first. */
  RespondsTwice = "answers-twice",
  /** Responds without its signature. */
  Unsigned = "unsigned",
  /**
   * Sends a response without a length and resets the connection before its end.
   */
  ResetsUnframed = "resets-unframed",
  /** Sends a response without a length, ended by closing the connection. */
  Unframed = "unframed",
  /** Never responds. */
  Hangs = "hangs",
  /** Responds 500 with its signature. */
  Fails = "fails",
  /** Sends one header that never ends. */
  EndlessHeader = "endless-header",
  /** Sends headers without end. */
  EndlessHeaders = "endless-headers",
  /** Sends informational responses without end. */
  EndlessInformational = "endless-informational",
  /** Sends a body without a length, which never ends. */
  EndlessUnframed = "endless-unframed",
  /** Sends a chunked body that never ends. */
  EndlessChunked = "endless-chunked",
  /** The same in chunks of one byte. */
  EndlessTinyChunks = "endless-tiny-chunks",
  /** Sends a chunk extension that never ends. */
  EndlessExtension = "endless-extension",
  /** Sends trailers without end. */
  EndlessTrailers = "endless-trailers",
  /** States that the request did not run, with a body that never ends. */
  EndlessRefusal = "endless-refusal",
  /** Sends bytes that are no HTTP without end. */
  EndlessNonsense = "endless-nonsense",
  /** Sends the body with a chunked encoding, in several parts. */
  Chunked = "chunked",
  /** States the length of the body, and writes it evenly over `bodyMs`. */
  SlowBody = "slow-body",
  /** The same, each byte in a chunk of its own. */
  TinyChunks = "tiny-chunks",
  /**
   * States the length of the body, and resets the connection while a part is
   * still unread.
   */
  CutsUnread = "cuts-unread",
  /** Refuses every other request, and writes each refusal once more before the next response on its connection. */
  RepeatsRefusal = "repeats-refusal",
  /** The same without the id of the request in the copies. */
  RepeatsUnnamedRefusal = "repeats-unnamed-refusal",
}

/** Modes that send bytes until the connection is closed. */
export const ENDLESS_MODES = [
  UpstreamMode.EndlessHeader,
  UpstreamMode.EndlessHeaders,
  UpstreamMode.EndlessInformational,
  UpstreamMode.EndlessUnframed,
  UpstreamMode.EndlessChunked,
  UpstreamMode.EndlessTinyChunks,
  UpstreamMode.EndlessExtension,
  UpstreamMode.EndlessTrailers,
  UpstreamMode.EndlessRefusal,
  UpstreamMode.EndlessNonsense,
] as const;
/** One of these modes. */
export type EndlessMode = typeof ENDLESS_MODES[number];

/** A request that an upstream started to run. */
export interface Run {
  readonly id: string;
  readonly instance: string;
  /** Monotonic time of the start, in ms. */
  readonly at: number;
  readonly body: Buffer;
}

/** A request that arrived, whether it ran or not. */
export interface Arrival {
  readonly id: string;
  readonly instance: string;
  /** Monotonic time, in ms. */
  readonly at: number;
  /** True if it was answered with 421. */
  readonly isMisdirected: boolean;
}

/** An upstream in this process. */
export interface UpstreamStandIn {
  readonly address: string;
  /** Ids of the requests that ran, in order of their start. */
  readonly ran: string[];
  /** The same with time, instance and body. */
  readonly runs: Run[];
  /** Number of requests that arrived, including those that did not run. */
  arrivals: number;
  /** The same with their time. */
  readonly arrived: Arrival[];
  /** Number of health checks. */
  probes: number;
  /** Headers of the requests that arrived. */
  readonly heard: IncomingMessage["headers"][];
  /** Bytes of the bodies that arrived. */
  readonly bodies: Buffer[];
  /** Ids of requests whose connection closed before the response. */
  readonly cancelled: string[];
  instance: string;
  mode: UpstreamMode;
  /** How health checks are answered without end, if so. */
  endlessHealth?: EndlessMode | undefined;
  /** Bytes that endless responses sent. */
  endlessBytes: number;
  /** Endless responses whose connection is still open. */
  endlessOpen: number;
  /** Time that a response stays unread before it is cut, in ms. */
  unreadMs: number;
  /** Bytes of bodies passed to the connections. */
  sentBytes: number;
  workMs: number;
  /** Work of one request, in ms, instead of `workMs`. */
  getWorkMs?: ((id: string) => number) | undefined;
  /** Time in which a slow body is written, in ms. */
  bodyMs: number;
  slowdownPercent: number;
  slots: number;
  /** Requests per second that its responses state as its limit, a text as it is; none by default. */
  limitPerS?: number | string | undefined;
  /** Monotonic time in ms until which its health responses state that it is cold. */
  coldUntil: number;
  /** False never responds to health checks. */
  respondsToHealth: boolean;
  /** True states in its responses that it is leaving. */
  isLeaving: boolean;
  /** Idle time in ms, after which a connection is reset on its next request. */
  maxIdleMs: number;
  /** Connections at most; further ones are reset. */
  maxConnections: number;
  /** Connections that were reset for that. */
  resets: number;
  createBody(id: string): string;
  /** True for a request, by its path and body, that ends this upstream some time after it began to run. */
  isFatal(path: string, body: Buffer): boolean;
  /** Time for which the upstream is down after such an end, in ms. */
  downMs: number;
  /** Monotonic times of these ends, in ms. */
  readonly ends: number[];
  /** Called when the upstream is back after such an end of an instance. */
  onRestarted(ended: string): void;
  /** Resets all connections, as a process that is killed does. */
  cut(): void;
  close(): Promise<void>;
}

const BODY = "the upstream's answer";
/** Header of all responses to requests, for tests only. */
export const INSTANCE_HEADER = "x-test-instance";

/** Starts an upstream on a loopback address; port 0 selects a free one. */
export async function startUpstream(
  instance: string,
  listen: { ip?: string; port?: number } = {},
): Promise<UpstreamStandIn> {
  const server = createServer(
    { maxHeaderSize: 65_536 },
    (req, res) => void serve(req, res),
  );
  const ip = listen.ip ?? "127.0.0.1";
  await new Promise<void>((resolve) =>
    server.listen(listen.port ?? 0, ip, resolve)
  );
  const { port } = server.address() as AddressInfo;
  let running = 0;
  let isClosed = false;
  /** True from the end of an instance until the next one listens. */
  let isDown = false;
  const respondedAt = new WeakMap<Socket, number>();
  /** Refusals to be written once more, by connection. */
  const copies = new WeakMap<Socket, string>();
  const standIn: UpstreamStandIn = {
    address: `${ip}:${port}`,
    ran: [],
    runs: [],
    arrivals: 0,
    arrived: [],
    probes: 0,
    heard: [],
    bodies: [],
    cancelled: [],
    instance,
    mode: UpstreamMode.Serving,
    endlessBytes: 0,
    endlessOpen: 0,
    unreadMs: 1_500,
    sentBytes: 0,
    workMs: 1,
    bodyMs: 1_500,
    slowdownPercent: 100,
    slots: 10,
    coldUntil: 0,
    respondsToHealth: true,
    isLeaving: false,
    maxIdleMs: Infinity,
    maxConnections: Infinity,
    resets: 0,
    createBody: () => BODY,
    isFatal: () => false,
    downMs: 1_000,
    ends: [],
    onRestarted: () => {},
    cut: () => server.closeAllConnections(),
    close: async () => {
      isClosed = true;
      server.closeAllConnections();
      await new Promise((resolve) => server.close(resolve));
    },
  };
  let connections = 0;
  server.on("connection", (socket: Socket) => {
    connections += 1;
    socket.once("close", () => connections -= 1);
    if (connections <= standIn.maxConnections) return;
    standIn.resets += 1;
    socket.resetAndDestroy();
  });
  return standIn;

  /** Ends as a process that crashes, and starts again as a new instance. */
  function end(): void {
    isDown = true;
    const ended = standIn.instance;
    standIn.ends.push(performance.now());
    standIn.instance = `${ended}.${standIn.ends.length}`;
    running = 0;
    server.close();
    server.closeAllConnections();
    setTimeout(() => {
      if (isClosed) return;
      server.listen({ port, host: ip }, () => {
        isDown = false;
        standIn.onRestarted(ended);
      });
    }, standIn.downMs);
  }

  /** Health checks state nothing, so that only responses to requests can show it. */
  function setNotices(res: ServerResponse): void {
    const { limitPerS, isLeaving, instance } = standIn;
    res.setHeader(INSTANCE_HEADER, instance);
    if (limitPerS === undefined) res.removeHeader("server-limit");
    else res.setHeader("server-limit", String(limitPerS));
    if (isLeaving) res.setHeader("server-leaving", "1");
    else res.removeHeader("server-leaving");
  }

  async function serve(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const { socket } = req;
    const idleMs = Date.now() - (respondedAt.get(socket) ?? Infinity);
    if (idleMs > standIn.maxIdleMs) return void socket.resetAndDestroy();
    res.once("finish", () => respondedAt.set(socket, Date.now()));
    const load = `${running},0,${standIn.slots},${standIn.slowdownPercent}`;
    res.setHeader("x-vanillarock-server-load", load);
    if (req.url === "/healthz") {
      standIn.probes += 1;
      if (standIn.endlessHealth !== undefined) {
        sendEndless(socket, standIn.endlessHealth, { standIn, id: "" });
        return;
      }
      if (!standIn.respondsToHealth) return;
      const coldMs = Math.ceil(standIn.coldUntil - performance.now());
      if (coldMs > 0) res.setHeader("x-vanillarock-cold-ms", String(coldMs));
      res.setHeader("x-vanillarock-instance-id", standIn.instance);
      res.writeHead(200).end();
      return;
    }
    setNotices(res);
    standIn.heard.push(req.headers);
    const chunks: Buffer[] = [];
    try {
      for await (const chunk of req) chunks.push(chunk as Buffer);
    } catch {
      // The request was cancelled within its body.
      return;
    }
    standIn.arrivals += 1;
    const body = Buffer.concat(chunks);
    standIn.bodies.push(body);
    const id = String(req.headers["x-vanillarock-attempt-id"]);
    const { instance } = standIn;
    const expected = req.headers["x-vanillarock-expect-instance"];
    const isMisdirected = expected !== undefined && expected !== instance;
    const at = performance.now();
    standIn.arrived.push({ id, instance, at, isMisdirected });
    res.setHeader("x-vanillarock-attempt-id", id);
    if (isMisdirected) {
      res.setHeader("x-vanillarock-not-executed", "1");
      res.writeHead(421).end();
      return;
    }
    const isRepeating = standIn.mode === UpstreamMode.RepeatsRefusal ||
      standIn.mode === UpstreamMode.RepeatsUnnamedRefusal;
    if (isRepeating) {
      const copy = copies.get(socket);
      copies.delete(socket);
      if (copy !== undefined) socket.write(copy);
      else if (standIn.arrivals % 2 === 1) {
        const isNamed = standIn.mode === UpstreamMode.RepeatsRefusal;
        copies.set(socket, createRefusalText(isNamed ? id : undefined));
        res.setHeader("x-vanillarock-not-executed", "1");
        res.writeHead(503).end();
        return;
      }
    }
    if (standIn.mode === UpstreamMode.Shedding) {
      res.setHeader("x-vanillarock-not-executed", "1");
      res.writeHead(503).end();
      return;
    }
    if (standIn.mode === UpstreamMode.EndlessRefusal) {
      return sendEndless(socket, standIn.mode, { standIn, id });
    }
    standIn.ran.push(id);
    standIn.runs.push({
      id,
      instance: standIn.instance,
      at: performance.now(),
      body,
    });
    running += 1;
    res.once("close", () => {
      if (!res.writableEnded) standIn.cancelled.push(id);
    });
    const workMs = standIn.getWorkMs?.(id) ?? standIn.workMs;
    await new Promise((resolve) => setTimeout(resolve, workMs));
    running -= 1;
    if (standIn.isFatal(req.url ?? "", body)) {
      // Another one that ran beside it may have ended this instance.
      if (!isDown) end();
      return;
    }
    setNotices(res);
    const mode = getModeAfterRun();
    const endless = ENDLESS_MODES.find((m) => m === mode);
    if (endless !== undefined) {
      sendEndless(res.socket!, endless, { standIn, id });
    } else if (mode === UpstreamMode.CutsUnread) cutUnread(res, standIn);
    else if (mode === UpstreamMode.SlowBody) {
      await sendSlowly(res, standIn.createBody(id), standIn.bodyMs);
    } else {
      responders[mode as FiniteMode](res, id, standIn.createBody(id));
    }
  }

  /** Whatever the mode is by then, a request that ran is not refused as not run. */
  function getModeAfterRun(): UpstreamMode {
    const { mode } = standIn;
    return mode === UpstreamMode.EndlessRefusal ? UpstreamMode.Serving : mode;
  }
}

function createRefusalText(id: string | undefined): string {
  const named = id === undefined ? "" : `x-vanillarock-attempt-id: ${id}\r\n`;
  return "HTTP/1.1 503 Refused\r\nx-vanillarock-not-executed: 1\r\n" +
    `${named}content-length: 0\r\n\r\n`;
}

type Responder = (res: ServerResponse, id: string, body: string) => void;

type FiniteMode = Exclude<
  UpstreamMode,
  EndlessMode | UpstreamMode.CutsUnread | UpstreamMode.SlowBody
>;

const responders: Record<FiniteMode, Responder> = {
  [UpstreamMode.Serving]: (res, _id, body) =>
    sign(res).writeHead(200).end(body),
  [UpstreamMode.Shedding]: () => {},
  [UpstreamMode.RepeatsRefusal]: (res, _id, body) =>
    sign(res).writeHead(200).end(body),
  [UpstreamMode.RepeatsUnnamedRefusal]: (res, _id, body) =>
    sign(res).writeHead(200).end(body),
  [UpstreamMode.LosesResponse]: (res) => res.socket!.resetAndDestroy(),
  [UpstreamMode.TruncatesResponse]: (res, _id, body) => {
    sign(res).writeHead(200, { "content-length": "100" });
    res.write(body);
    setTimeout(() => res.socket?.destroy(), 5);
  },
  [UpstreamMode.RespondsTwice]: (res, id, body) => {
    const socket = res.socket!;
    sign(res).writeHead(200).end(body, () => {
      socket.write(
        `HTTP/1.1 200 OK\r\nx-vanillarock-attempt-id: ${id}\r\n` +
          "x-vanillarock-response-signature: s\r\ncontent-length: 5\r\n\r\nextra",
      );
    });
  },
  [UpstreamMode.ResetsUnframed]: (res, id, body) => {
    writeUnframed(res, id, body);
    setTimeout(() => res.socket?.resetAndDestroy(), 5);
  },
  [UpstreamMode.Unframed]: (res, id, body) => {
    writeUnframed(res, id, body);
    res.socket!.end();
  },
  [UpstreamMode.Unsigned]: (res, _id, body) => res.writeHead(200).end(body),
  [UpstreamMode.Hangs]: () => {},
  [UpstreamMode.Fails]: (res) => sign(res).writeHead(500).end("failed"),
  [UpstreamMode.TinyChunks]: (res, _id, body) => {
    sign(res).writeHead(200);
    res.cork();
    for (const char of body) res.write(char);
    res.end();
  },
  [UpstreamMode.Chunked]: (res, _id, body) => {
    sign(res).writeHead(200);
    const half = Math.ceil(body.length / 2);
    res.write(body.slice(0, half));
    setTimeout(() => res.end(body.slice(half)), 5);
  },
};

/** Size of one write of an endless response, in bytes. */
const ENDLESS_PART_BYTES = 65_536;

/** What an endless response begins with, and what it repeats. */
const ENDLESS_PARTS: Record<
  EndlessMode,
  { createStart(id: string): string; readonly part: string }
> = {
  [UpstreamMode.EndlessHeader]: {
    createStart: (id) => `${createHead(id)}x-filler: `,
    part: "a",
  },
  [UpstreamMode.EndlessHeaders]: {
    createStart: createHead,
    part: "x-filler: aaaaaaaaaaaaaaaa\r\n",
  },
  [UpstreamMode.EndlessInformational]: {
    createStart: () => "",
    part: "HTTP/1.1 102 Processing\r\n\r\n",
  },
  [UpstreamMode.EndlessUnframed]: {
    createStart: (id) => `${createHead(id)}connection: close\r\n\r\n`,
    part: "a",
  },
  [UpstreamMode.EndlessChunked]: {
    createStart: createChunkedHead,
    part: `1000\r\n${"a".repeat(0x1000)}\r\n`,
  },
  [UpstreamMode.EndlessTinyChunks]: {
    createStart: createChunkedHead,
    part: "1\r\na\r\n",
  },
  [UpstreamMode.EndlessExtension]: {
    createStart: (id) => `${createChunkedHead(id)}1;`,
    part: "a",
  },
  [UpstreamMode.EndlessTrailers]: {
    createStart: (id) => `${createChunkedHead(id)}1\r\na\r\n0\r\n`,
    part: "x-filler: aaaaaaaaaaaaaaaa\r\n",
  },
  [UpstreamMode.EndlessRefusal]: {
    createStart: (id) =>
      "HTTP/1.1 503 Unavailable\r\nx-vanillarock-not-executed: 1\r\n" +
      `x-vanillarock-attempt-id: ${id}\r\ntransfer-encoding: chunked\r\n\r\n`,
    part: `1000\r\n${"a".repeat(0x1000)}\r\n`,
  },
  [UpstreamMode.EndlessNonsense]: { createStart: () => "", part: "nonsense " },
};

function createHead(id: string): string {
  return `HTTP/1.1 200 OK\r\nx-vanillarock-attempt-id: ${id}\r\n` +
    "x-vanillarock-response-signature: s\r\n";
}

function createChunkedHead(id: string): string {
  return `${createHead(id)}transfer-encoding: chunked\r\n\r\n`;
}

/** Sends bytes as fast as they are taken, until the connection closes. */
function sendEndless(
  socket: Socket,
  mode: EndlessMode,
  { standIn, id }: { standIn: UpstreamStandIn; id: string },
): void {
  // The connection of a request that was cancelled while it ran.
  if (socket.destroyed) return;
  const { createStart, part } = ENDLESS_PARTS[mode];
  const parts = Buffer.from(
    part.repeat(Math.ceil(ENDLESS_PART_BYTES / part.length)),
  );
  standIn.endlessOpen += 1;
  socket.once("close", () => {
    standIn.endlessOpen -= 1;
    standIn.endlessBytes += socket.bytesWritten;
  });
  socket.on("error", () => {});
  socket.on("drain", send);
  socket.write(createStart(id));
  send();

  function send(): void {
    // A pause per write, so that a receiver in this process gets its turn.
    if (!socket.destroyed && socket.write(parts)) setImmediate(send);
  }
}

let lastBody = { text: "", bytes: Buffer.alloc(0) };

/** Bytes of a body, kept for the next request with the same one: large ones would fill the test's memory. */
function toBytes(text: string): Buffer {
  if (lastBody.text !== text) lastBody = { text, bytes: Buffer.from(text) };
  return lastBody.bytes;
}

/** Number of writes of a slow body. */
const SLOW_PARTS = 30;

async function sendSlowly(
  res: ServerResponse,
  text: string,
  bodyMs: number,
): Promise<void> {
  const body = toBytes(text);
  const partBytes = Math.ceil(body.length / SLOW_PARTS);
  sign(res).writeHead(200, { "content-length": String(body.length) });
  for (let at = 0; at < body.length && !res.destroyed; at += partBytes) {
    res.write(body.subarray(at, at + partBytes));
    await new Promise((resolve) => setTimeout(resolve, bodyMs / SLOW_PARTS));
  }
  res.end();
}

/** Passes the body on as it is taken; cuts it once no byte was taken for some time. */
function cutUnread(res: ServerResponse, standIn: UpstreamStandIn): void {
  const body = toBytes(standIn.createBody(""));
  const socket = res.socket!;
  sign(res).writeHead(200, { "content-length": String(body.length) });
  let sent = 0;
  let timeout: NodeJS.Timeout | undefined;
  res.on("drain", send);
  res.once("close", () => clearTimeout(timeout));
  send();

  function send(): void {
    clearTimeout(timeout);
    timeout = setTimeout(() => socket.resetAndDestroy(), standIn.unreadMs);
    let mayWrite = true;
    while (mayWrite && sent < body.length) {
      const part = body.subarray(sent, sent + ENDLESS_PART_BYTES);
      sent += part.length;
      standIn.sentBytes += part.length;
      mayWrite = res.write(part);
    }
    if (sent === body.length) res.end();
  }
}

function sign(res: ServerResponse): ServerResponse {
  return res.setHeader("x-vanillarock-response-signature", "s");
}

function writeUnframed(res: ServerResponse, id: string, body: string): void {
  res.socket!.write(
    `HTTP/1.1 200 OK\r\nx-vanillarock-attempt-id: ${id}\r\n` +
      `x-vanillarock-response-signature: s\r\nconnection: close\r\n\r\n${body}`,
  );
}
