/**
 * Stand-in for an upstream: slots, service time, cold start, slow periods,
 * shedding, drain, immediate failure, missing or broken responses, false load
 * reports and cancellation. Its journal records which requests really ran.
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import { Hono } from "hono";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { type HttpEnv, startHttpServer } from "../daemon/http_server.ts";
import { getHeader } from "../link/http_headers.ts";
import { Header } from "../link/wire.ts";
import { closeServer } from "./platform.ts";

/** Behaviour of the upstream; can be changed while it runs. */
export interface UpstreamBehaviour {
  slots: number;
  /** Mean time of one request, in ms; times are exponentially distributed. */
  serviceMs: number;
  /** Factor on the service time during a slow period. */
  slowFactor: number;
  /** Time after the start in which service times are tripled, in ms. */
  coldMs: number;
  /** Share of requests refused with 503 before they start. */
  shedShare: number;
  /** Refuses every new request with 503. */
  draining: boolean;
  /** Responds 500 immediately without running the request. */
  failFast: boolean;
  /** Runs requests and never responds. */
  silent: boolean;
  /** Responds with the id of another request. */
  crossed: boolean;
  /** Closes the connection after half of the response body. */
  short: boolean;
  /** Requests in flight that the load endpoint reports; -1 for the actual. */
  claimedLoad: number;
  /** Size of the filler in a response body, in bytes. */
  answerBytes: number;
}

/** Entry of the journal. */
export interface JournalEntry {
  readonly id: string;
  readonly key: string;
  readonly method: string;
  readonly path: string;
  readonly bytes: number;
  readonly event: "started" | "answered" | "cancelled";
}

/** Settings of the stand-in. */
export interface UpstreamStandInOptions {
  readonly address: string;
  readonly seed: number;
  readonly behaviour?: Partial<UpstreamBehaviour>;
}

/** A running stand-in. */
export interface UpstreamStandIn {
  readonly behaviour: UpstreamBehaviour;
  getJournal(): readonly JournalEntry[];
  close(): Promise<void>;
}

const DEFAULTS: UpstreamBehaviour = {
  slots: 12,
  serviceMs: 5,
  slowFactor: 1,
  coldMs: 0,
  shedShare: 0,
  draining: false,
  failFast: false,
  silent: false,
  crossed: false,
  short: false,
  claimedLoad: -1,
  answerBytes: 0,
};
const COLD_FACTOR = 3;
/** Time that a load probe takes, and that half a response stays open. */
const PROBE_MS = 6;

/** Starts the stand-in. */
export async function startUpstream(
  options: UpstreamStandInOptions,
): Promise<UpstreamStandIn> {
  const behaviour = { ...DEFAULTS, ...options.behaviour };
  const journal: JournalEntry[] = [];
  const generator = xoroshiro128plus(options.seed);
  const startedAt = Date.now();
  const waiting: (() => void)[] = [];
  let inFlight = 0;
  const { server } = await startHttpServer({
    address: options.address,
    app: createApp(),
    onMalformed: () => {},
  });
  return {
    behaviour,
    getJournal: () => journal,
    close: () => closeServer(server),
  };

  function createApp(): Hono<HttpEnv> {
    const app = new Hono<HttpEnv>();
    app.put("/control/behaviour", async (c) => {
      Object.assign(behaviour, await c.req.json());
      return c.json(behaviour);
    });
    app.get("/control/journal", (c) => c.json(journal));
    app.get("/-/load", async (c) => {
      await pause(PROBE_MS);
      const { claimedLoad } = behaviour;
      return c.json({ inFlight: claimedLoad < 0 ? inFlight : claimedLoad });
    });
    app.all("*", (c) => {
      void serve(c.env.incoming, c.env.outgoing);
      return RESPONSE_ALREADY_SENT;
    });
    return app;
  }

  async function serve(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
  ): Promise<void> {
    const refusal = tryGetRefusal();
    if (refusal !== undefined) return refuse(outgoing, refusal);
    if (inFlight >= behaviour.slots) {
      await new Promise<void>((resolve) => waiting.push(resolve));
    }
    inFlight += 1;
    await run(incoming, outgoing);
    inFlight -= 1;
    waiting.shift()?.();
  }

  function tryGetRefusal(): number | undefined {
    if (behaviour.draining) return 503;
    if (behaviour.failFast) return 500;
    const isShed = behaviour.shedShare > 0 &&
      uniformFloat64(generator) < behaviour.shedShare;
    return isShed ? 503 : undefined;
  }

  async function run(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
  ): Promise<void> {
    record("started", incoming, 0);
    const bytes = await countBody(incoming);
    await pause(getServiceMs());
    if (outgoing.destroyed) return record("cancelled", incoming, bytes);
    if (behaviour.silent) return;
    record("answered", incoming, bytes);
    answer(incoming, outgoing, bytes);
  }

  function answer(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
    bytes: number,
  ): void {
    const id = getHeader(incoming.headers, Header.RequestId) ?? "";
    const text = JSON.stringify({
      path: incoming.url,
      bytes,
      filler: "x".repeat(behaviour.answerBytes),
    });
    outgoing.writeHead(200, {
      "content-type": "application/json",
      ...(!behaviour.short && { "content-length": text.length }),
      [Header.RequestId]: behaviour.crossed ? `other-${id}` : id,
    });
    if (!behaviour.short) return void outgoing.end(text);
    outgoing.write(text.slice(0, text.length / 2));
    setTimeout(() => outgoing.destroy(), PROBE_MS);
  }

  function record(
    event: JournalEntry["event"],
    incoming: IncomingMessage,
    bytes: number,
  ): void {
    journal.push({
      id: getHeader(incoming.headers, Header.RequestId) ?? "",
      key: getHeader(incoming.headers, Header.Key) ?? "",
      method: incoming.method ?? "",
      path: incoming.url ?? "",
      bytes,
      event,
    });
  }

  function getServiceMs(): number {
    const isCold = Date.now() - startedAt < behaviour.coldMs;
    const factor = behaviour.slowFactor * (isCold ? COLD_FACTOR : 1);
    const uniform = Math.max(1e-9, uniformFloat64(generator));
    return -Math.log(uniform) * behaviour.serviceMs * factor;
  }
}

async function countBody(incoming: IncomingMessage): Promise<number> {
  let bytes = 0;
  try {
    for await (const chunk of incoming) bytes += chunk.length;
  } catch {
    return bytes;
  }
  return bytes;
}

function refuse(outgoing: ServerResponse, status: number): void {
  outgoing.writeHead(status, { "content-length": 0 });
  outgoing.end();
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
