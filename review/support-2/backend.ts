/** A backend as the users' pages describe one; it does no more than they allow. */

import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";

/** A request that arrived, whether it ran or not. */
export interface Arrival {
  readonly id: string;
  readonly instance: string;
  /** Monotonic time, in ms. */
  readonly at: number;
  /** True if it was meant for another instance and answered with 421. */
  readonly isMisdirected: boolean;
}

/** A request that a backend began to run. */
export type Run = Omit<Arrival, "isMisdirected">;

/** A running backend. */
export interface Backend {
  readonly address: string;
  readonly slots: number;
  readonly arrived: Arrival[];
  /** Requests that it began to run, in order. */
  readonly runs: Run[];
  instance: string;
  workMs: number;
  /** Named in its answers, if it is in need. */
  limitPerS: number | undefined;
  /** True says so in all its answers. */
  isLeaving: boolean;
  /** True for a request that ends the backend once it has begun to run it. */
  isFatal(path: string): boolean;
  /** Called when a request has ended the backend. */
  onEnded(instance: string): void;
  /** Ends as a process does: its listener and all its connections are closed. */
  end(): void;
  /** Starts anew under an id. */
  start(instance: string): Promise<void>;
}

/** Time from the start of a fatal request to the end of the backend, in ms. */
const FATAL_AFTER_MS = 40;

/** Starts a backend at an address. */
export async function startBackend(
  instance: string,
  { ip, port, slots = 12 }: { ip: string; port: number; slots?: number },
): Promise<Backend> {
  let running = 0;
  /** Requests that wait for a slot. */
  let queue: (() => void)[] = [];
  const server = createServer((req, res) => void serve(req, res));
  const backend: Backend = {
    address: `${ip}:${port}`,
    slots,
    arrived: [],
    runs: [],
    instance,
    workMs: 20,
    limitPerS: undefined,
    isLeaving: false,
    isFatal: () => false,
    onEnded: () => {},
    end,
    start,
  };
  await start(instance);
  return backend;

  function start(next: string): Promise<void> {
    backend.instance = next;
    running = 0;
    queue = [];
    return new Promise((resolve, reject) => {
      server.once("error", reject);
      server.listen(port, ip, () => {
        server.off("error", reject);
        resolve();
      });
    });
  }

  function end(): void {
    server.close();
    server.closeAllConnections();
  }

  /** What the backend says of itself in an answer, as it stands by then. */
  function setNotices(res: ServerResponse): void {
    const { isLeaving, limitPerS } = backend;
    res.setHeader(
      "X-Vanillarock-Server-Load",
      `${running},${queue.length},${slots}`,
    );
    if (isLeaving) res.setHeader("Server-Leaving", "1");
    if (limitPerS !== undefined) {
      res.setHeader("Server-Limit", String(limitPerS));
    }
  }

  async function serve(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const { instance } = backend;
    setNotices(res);
    if (req.url === "/healthz") {
      const status = backend.isLeaving ? 503 : 200;
      res.setHeader("X-Vanillarock-Instance-Id", instance);
      res.writeHead(status, { "content-length": "0" }).end();
      return;
    }
    const id = String(req.headers["x-vanillarock-attempt-id"]);
    res.setHeader("X-Vanillarock-Attempt-Id", id);
    try {
      for await (const _ of req);
    } catch {
      return;
    }
    const expected = req.headers["x-vanillarock-expect-instance"];
    const isMisdirected = expected !== undefined && expected !== instance;
    backend.arrived.push({
      id,
      instance,
      at: performance.now(),
      isMisdirected,
    });
    if (isMisdirected) {
      res.setHeader("X-Vanillarock-Instance-Id", instance);
      res.writeHead(421, { "content-length": "0" }).end();
      return;
    }
    if (running >= slots && queue.length >= slots) {
      res.setHeader("X-Vanillarock-Not-Executed", "1");
      res.writeHead(503, { "content-length": "0" }).end();
      return;
    }
    if (running >= slots) {
      await new Promise<void>((resolve) => queue.push(resolve));
    }
    if (res.destroyed) return queue.shift()?.();
    running += 1;
    backend.runs.push({ id, instance, at: performance.now() });
    if (backend.isFatal(req.url ?? "")) {
      setTimeout(() => {
        if (backend.instance !== instance || !server.listening) return;
        end();
        backend.onEnded(instance);
      }, FATAL_AFTER_MS);
      return;
    }
    const timeoutMs = Number(req.headers["x-vanillarock-timeout-ms"] ?? 60_000);
    const isInTime = backend.workMs <= timeoutMs;
    await new Promise((resolve) =>
      setTimeout(resolve, Math.min(backend.workMs, timeoutMs))
    );
    // What ended with an earlier start of the backend has no slot any more.
    if (backend.instance === instance) {
      running -= 1;
      queue.shift()?.();
    }
    if (res.destroyed) return;
    setNotices(res);
    const body = isInTime ? `done: ${id}` : "";
    res.setHeader("X-Vanillarock-Response-Signature", `${instance}.${id}`);
    res.writeHead(isInTime ? 200 : 504, {
      "content-length": String(Buffer.byteLength(body)),
    }).end(body);
  }
}
