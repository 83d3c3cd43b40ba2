/**
 * Stand-in of a backend: slots and a short queue, health checks, its load, the
 * check of the expected instance, and an end at which all its connections are
 * reset and its port refuses connections.
 */

import { Buffer } from "node:buffer";
import { createServer } from "node:http";

const QUEUE = 24;

/**
 * Starts a backend. `options` has `ip`, `port`, `slots`, `workMs` and optional
 * listeners: `onArrival(request)`, `onRun(request)`, which may return "crash"
 * or "work until the crash",
 * `onEnd(request, how)`, `onCrash()`, `onBack()` and `createAnswer(request)`, which
 * returns the `body` and whether it `isUnframed`: without a length, ended by the
 * end of its connection.
 */
export async function startServer(instance, options) {
  const { ip, port, slots } = options;
  const it = { instance, address: `${ip}:${port}`, isUp: true, crash, close };
  let running = 0;
  let waiting = [];
  let server = await listen();
  it.workMs = options.workMs;
  return it;

  async function listen() {
    const created = createServer({ keepAliveTimeout: 10_000 }, serve);
    created.on("connection", (socket) => socket.on("error", () => {}));
    await new Promise((resolve, reject) => {
      created.once("error", reject);
      created.listen(port, ip, resolve);
    });
    return created;
  }

  function getLoad() {
    return `${running},${waiting.length},${slots},100`;
  }

  async function serve(req, res) {
    const { socket } = req;
    if (req.url === "/healthz") {
      res.setHeader("X-Vanillarock-Instance-Id", it.instance);
      res.setHeader("X-Vanillarock-Server-Load", getLoad());
      return res.writeHead(200, { "content-length": "0" }).end();
    }
    const request = {
      id: req.headers["x-vanillarock-attempt-id"],
      caller: req.headers["x-vanillarock-caller-service"],
      method: req.method,
      path: req.url,
      instance: it.instance,
    };
    const chunks = [];
    try {
      for await (const chunk of req) chunks.push(chunk);
    } catch {
      return;
    }
    request.body = Buffer.concat(chunks).toString();
    if (!it.isUp) return;
    if (request.id !== undefined) {
      res.setHeader("X-Vanillarock-Attempt-Id", request.id);
    }
    options.onArrival?.(request);
    const expected = req.headers["x-vanillarock-expect-instance"];
    if (expected !== undefined && expected !== it.instance) {
      res.setHeader("X-Vanillarock-Instance-Id", it.instance);
      return refuse(res, 421);
    }
    if (request.id === undefined) return refuse(res, 400);
    const timeoutMs = Number(req.headers["x-vanillarock-timeout-ms"] ?? 5_000);
    const deadline = performance.now() + timeoutMs;
    if (running >= slots) {
      if (waiting.length >= QUEUE) return refuse(res, 503);
      await new Promise((resolve) => waiting.push(resolve));
      if (!it.isUp) return;
      if (performance.now() >= deadline) {
        startNext();
        return refuse(res, 503);
      }
    }
    if (socket.destroyed) return startNext();
    running += 1;
    await run(request, res, deadline);
  }

  function refuse(res, status) {
    res.setHeader("X-Vanillarock-Not-Executed", "1");
    res.setHeader("X-Vanillarock-Server-Load", getLoad());
    res.writeHead(status, { "content-length": "0" }).end();
  }

  async function run(request, res, deadline) {
    const how = options.onRun?.(request);
    if (how === "crash") return crash();
    if (how === "work until the crash") return;
    const leftMs = Math.max(0, deadline - performance.now());
    const isInTime = it.workMs <= leftMs;
    await sleep(Math.min(it.workMs, leftMs));
    if (!it.isUp || request.instance !== it.instance) return;
    running -= 1;
    startNext();
    if (res.socket?.destroyed ?? true) {
      return options.onEnd?.(request, "its connection was closed");
    }
    const answer = isInTime
      ? options.createAnswer?.(request) ?? { body: `done ${request.id}` }
      : { body: "" };
    const { body, isUnframed = false } = answer;
    res.setHeader("X-Vanillarock-Response-Signature", `s.${request.id}`);
    res.setHeader("X-Vanillarock-Server-Load", getLoad());
    if (isUnframed) res.useChunkedEncodingByDefault = false;
    else res.setHeader("content-length", String(Buffer.byteLength(body)));
    res.writeHead(isInTime ? 200 : 504);
    res.end(body);
    options.onEnd?.(request, isInTime ? "200" : "504");
  }

  function startNext() {
    waiting.shift()?.();
  }

  /** Ends as a process that crashes; it is back under a new instance after some seconds. */
  function crash() {
    if (!it.isUp) return;
    it.isUp = false;
    const ended = it.instance;
    const sockets = server;
    sockets.close();
    sockets.closeAllConnections();
    running = 0;
    for (const wake of waiting.splice(0)) wake();
    waiting = [];
    options.onCrash?.(ended);
    setTimeout(() => void comeBack(ended), options.downMs ?? 2_500);
  }

  async function comeBack(ended) {
    if (it.isClosed) return;
    const count = Number(ended.split("x")[1] ?? 0) + 1;
    it.instance = `${ended.split("x")[0]}x${count}`;
    server = await listen();
    it.isUp = true;
    options.onBack?.(ended);
  }

  function close() {
    it.isClosed = true;
    server.close();
    server.closeAllConnections();
  }
}

function sleep(ms) {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
