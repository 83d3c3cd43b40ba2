/** An upstream of the platform as tests need it, with the ways in which it fails. */

import { Buffer } from "node:buffer";
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import type { AddressInfo, Socket } from "node:net";

/** How an upstream answers a request. */
export enum UpstreamMood {
  Serving = "serving",
  /** States that it did not run the request. */
  Shedding = "shedding",
  /** Runs the request and resets the connection. */
  LosesAnswer = "loses-answer",
  /** Breaks its answer off in the middle. */
  CutsShort = "cuts-short",
  /** Sends a second answer right behind the first. */
  AnswersTwice = "answers-twice",
  /** Answers without its signature. */
  Unsigned = "unsigned",
  /** Answers without a length, then resets the connection in the middle. */
  ResetsUnframed = "resets-unframed",
  /** Answers without a length, which ends with the connection. */
  Unframed = "unframed",
  /** Never answers. */
  Hangs = "hangs",
  /** Answers 500 of its own. */
  Fails = "fails",
}

/** A request that an upstream began to work on. */
export interface Run {
  readonly id: string;
  readonly instance: string;
  /** Steady time, in ms. */
  readonly at: number;
  readonly body: Buffer;
}

/** An upstream in this process. */
export interface UpstreamStandIn {
  readonly address: string;
  /** Ids of the requests that ran, in order. */
  readonly ran: string[];
  /** The same with time and incarnation. */
  readonly runs: Run[];
  /** Requests that arrived, also those that did not run. */
  arrivals: number;
  /** Headers of the requests that arrived. */
  readonly heard: IncomingMessage["headers"][];
  /** Bytes of the bodies that arrived. */
  readonly bodies: Buffer[];
  /** Requests whose connection closed before the answer. */
  readonly cancelled: string[];
  instance: string;
  mood: UpstreamMood;
  workMs: number;
  slowdownPercent: number;
  slots: number;
  /** Connections that rested longer are forgotten without notice, in ms. */
  forgetsAfterMs: number;
  createBody(id: string): string;
  /** Resets all connections, as a process that is killed does. */
  cut(): void;
  close(): Promise<void>;
}

const BODY = "the upstream's answer";

/** Starts an upstream on a port of a loopback address; 0 takes a free one. */
export async function startUpstream(
  instance: string,
  where: { ip?: string; port?: number } = {},
): Promise<UpstreamStandIn> {
  const server = createServer(
    { maxHeaderSize: 65_536 },
    (req, res) => void serve(req, res),
  );
  const ip = where.ip ?? "127.0.0.1";
  await new Promise<void>((resolve) =>
    server.listen(where.port ?? 0, ip, resolve)
  );
  const { port } = server.address() as AddressInfo;
  let running = 0;
  const answeredAt = new WeakMap<Socket, number>();
  const it: UpstreamStandIn = {
    address: `${ip}:${port}`,
    ran: [],
    runs: [],
    arrivals: 0,
    heard: [],
    bodies: [],
    cancelled: [],
    instance,
    mood: UpstreamMood.Serving,
    workMs: 1,
    slowdownPercent: 100,
    slots: 10,
    forgetsAfterMs: Infinity,
    createBody: () => BODY,
    cut: () => server.closeAllConnections(),
    close: async () => {
      server.closeAllConnections();
      await new Promise((resolve) => server.close(resolve));
    },
  };
  return it;

  async function serve(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const { socket } = req;
    const restedMs = Date.now() - (answeredAt.get(socket) ?? Infinity);
    if (restedMs > it.forgetsAfterMs) return void socket.resetAndDestroy();
    res.once("finish", () => answeredAt.set(socket, Date.now()));
    const load = `${running},0,${it.slots},${it.slowdownPercent}`;
    res.setHeader("x-vanillarock-server-load", load);
    if (req.url === "/healthz") {
      res.setHeader("x-vanillarock-instance-id", it.instance);
      res.writeHead(200).end();
      return;
    }
    it.heard.push(req.headers);
    const chunks: Buffer[] = [];
    for await (const chunk of req) chunks.push(chunk as Buffer);
    it.arrivals += 1;
    const body = Buffer.concat(chunks);
    it.bodies.push(body);
    const id = String(req.headers["x-vanillarock-attempt-id"]);
    res.setHeader("x-vanillarock-attempt-id", id);
    const expected = req.headers["x-vanillarock-expect-instance"];
    if (expected !== undefined && expected !== it.instance) {
      res.setHeader("x-vanillarock-not-executed", "1");
      res.writeHead(421).end();
      return;
    }
    if (it.mood === UpstreamMood.Shedding) {
      res.setHeader("x-vanillarock-not-executed", "1");
      res.writeHead(503).end();
      return;
    }
    it.ran.push(id);
    it.runs.push({ id, instance: it.instance, at: performance.now(), body });
    running += 1;
    res.once("close", () => {
      if (!res.writableEnded) it.cancelled.push(id);
    });
    await new Promise((resolve) => setTimeout(resolve, it.workMs));
    running -= 1;
    moods[it.mood](res, id, it.createBody(id));
  }
}

type Answer = (res: ServerResponse, id: string, body: string) => void;

const moods: Record<UpstreamMood, Answer> = {
  [UpstreamMood.Serving]: (res, _id, body) =>
    sign(res).writeHead(200).end(body),
  [UpstreamMood.Shedding]: () => {},
  [UpstreamMood.LosesAnswer]: (res) => res.socket!.resetAndDestroy(),
  [UpstreamMood.CutsShort]: (res, _id, body) => {
    sign(res).writeHead(200, { "content-length": "100" });
    res.write(body);
    setTimeout(() => res.socket?.destroy(), 5);
  },
  [UpstreamMood.AnswersTwice]: (res, id, body) => {
    const socket = res.socket!;
    sign(res).writeHead(200).end(body, () => {
      socket.write(
        `HTTP/1.1 200 OK\r\nx-vanillarock-attempt-id: ${id}\r\n` +
          "x-vanillarock-response-signature: s\r\ncontent-length: 5\r\n\r\nextra",
      );
    });
  },
  [UpstreamMood.ResetsUnframed]: (res, id, body) => {
    writeUnframed(res, id, body);
    setTimeout(() => res.socket?.resetAndDestroy(), 5);
  },
  [UpstreamMood.Unframed]: (res, id, body) => {
    writeUnframed(res, id, body);
    res.socket!.end();
  },
  [UpstreamMood.Unsigned]: (res, _id, body) => res.writeHead(200).end(body),
  [UpstreamMood.Hangs]: () => {},
  [UpstreamMood.Fails]: (res) => sign(res).writeHead(500).end("failed"),
};

function sign(res: ServerResponse): ServerResponse {
  return res.setHeader("x-vanillarock-response-signature", "s");
}

function writeUnframed(res: ServerResponse, id: string, body: string): void {
  res.socket!.write(
    `HTTP/1.1 200 OK\r\nx-vanillarock-attempt-id: ${id}\r\n` +
      `x-vanillarock-response-signature: s\r\nconnection: close\r\n\r\n${body}`,
  );
}
