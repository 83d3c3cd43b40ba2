/** A sound backend: runs each request that it receives and echoes its id, as the platform's pages say. */

import { Buffer } from "node:buffer";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import { now, pause } from "./world.ts";

/** A request that a backend began to work on. */
export interface Run {
  readonly id: string;
  readonly method: string;
  readonly path: string;
  readonly body: Buffer;
  readonly caller: string;
  /** Monotonic time of the start, in ms. */
  readonly at: number;
  /** False until its answer was sent. */
  isAnswered: boolean;
}

/** How a backend answers one request. */
export type Responder = (
  run: Run,
  res: ServerResponse,
) => void | Promise<void>;

/** A running backend. */
export interface Backend {
  readonly instance: string;
  readonly runs: Run[];
  readonly server: Server;
  /** Ends the backend as a process that exits: closes its listener and its connections. */
  end(): Promise<void>;
}

/** Settings of a backend. */
export interface BackendOptions {
  readonly instance: string;
  readonly address: string;
  readonly slots?: number;
  readonly workMs?: number;
  /** Answers with 200, the id and the signature by default. */
  readonly respond?: Responder;
  /** Called for each request that begins. */
  onRun?(run: Run): void;
  isDraining?(): boolean;
}

/** Starts a backend on a loopback address. */
export async function startBackend(options: BackendOptions): Promise<Backend> {
  const { instance, slots = 12, workMs = 5 } = options;
  const runs: Run[] = [];
  let running = 0;
  const sockets = new Set<Socket>();
  const server = createServer(
    { maxHeaderSize: 65_536, keepAliveTimeout: 10_000 },
    (req, res) => void serve(req, res),
  );
  server.on("connection", (socket) => {
    sockets.add(socket);
    socket.once("close", () => sockets.delete(socket));
  });
  const [ip, port] = options.address.split(":") as [string, string];
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(Number(port), ip, resolve);
  });
  return { instance, runs, server, end };

  async function serve(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    res.setHeader("X-Vanillarock-Server-Load", `${running},0,${slots},100`);
    if (req.url === "/healthz") {
      res.setHeader("X-Vanillarock-Instance-Id", instance);
      res.writeHead(options.isDraining?.() ? 503 : 200).end();
      return;
    }
    const chunks: Buffer[] = [];
    try {
      for await (const chunk of req) chunks.push(chunk as Buffer);
    } catch {
      return;
    }
    const id = String(req.headers["x-vanillarock-attempt-id"] ?? "");
    if (id === "") {
      res.setHeader("X-Vanillarock-Not-Executed", "1");
      res.writeHead(400).end();
      return;
    }
    res.setHeader("X-Vanillarock-Attempt-Id", id);
    const expected = req.headers["x-vanillarock-expect-instance"];
    if (expected !== undefined && expected !== instance) {
      res.setHeader("X-Vanillarock-Instance-Id", instance);
      res.writeHead(421).end();
      return;
    }
    const run: Run = {
      id,
      method: req.method ?? "",
      path: req.url ?? "",
      body: Buffer.concat(chunks),
      caller: String(req.headers["x-vanillarock-caller-service"] ?? ""),
      at: now(),
      isAnswered: false,
    };
    runs.push(run);
    options.onRun?.(run);
    running += 1;
    await pause(workMs);
    const others = running - 1;
    res.setHeader("X-Vanillarock-Server-Load", `${others},0,${slots},100`);
    res.setHeader("X-Vanillarock-Response-Signature", `sig.${id}`);
    res.once("finish", () => run.isAnswered = true);
    if (options.respond !== undefined) await options.respond(run, res);
    else res.writeHead(200).end(`answer to ${id}`);
    // A request that hangs is running until its connection closes.
    running -= 1;
  }

  function end(): Promise<void> {
    const closed = new Promise<void>((resolve) =>
      server.close(() => resolve())
    );
    for (const socket of sockets) socket.destroy();
    return closed;
  }
}
