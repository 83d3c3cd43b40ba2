/** HTTP servers of the gossip daemon and the stand-ins. */

import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { Server as NetServer } from "node:net";
import { getRequestListener } from "@hono/node-server";
import type { Hono } from "hono";
import { createCounters } from "../core/counters.ts";
import { Debug } from "../core/debug.ts";
import type { Diagnostic } from "../core/diagnostics.ts";
import type { Millis } from "../core/types.ts";
import { splitAddress } from "../link/address.ts";
import { MAX_READ_BYTES } from "../link/small_reads.ts";
import {
  type CallerConnectionsOptions,
  createCallerConnections,
  type Place,
} from "./caller_connections.ts";
import { createClock } from "./clock.ts";
import type { Logger } from "./logger.ts";

/** Largest request head, in bytes. */
const MAX_HEADER_BYTES = 32_768;
const KEEP_ALIVE_MS = 75_000;

/** Type of `c.env` in hono's handlers. */
export interface HttpEnv {
  Bindings: { incoming: IncomingMessage; outgoing: ServerResponse };
}

/** Settings of a server. */
export interface HttpServerOptions {
  /** IP address and port. */
  readonly address: string;
  readonly app: Hono<HttpEnv>;
  onMalformed(diagnostic: Diagnostic): void;
  /** Where closed connections are counted and logged, if anywhere. */
  readonly log?: Pick<
    CallerConnectionsOptions,
    "counters" | "logger" | "isStopping"
  >;
}

const SILENT: Logger = {
  debug: () => {},
  info: () => {},
  warn: () => {},
  error: () => {},
};

/** A running server. */
export interface HttpServer {
  readonly server: Server;
  /**
   * Accepts no further connections, and closes each open one once what was
   * passed on over it has its answer; what is still open after a time, in ms, is
   * cut. Resolves when all are closed.
   */
  close(withinMs: Millis): Promise<void>;
}

/** Places of requests on their connections, by response. */
const places = new WeakMap<ServerResponse, Place>();

/** The place of a request to one of these servers. */
export function getPlace(outgoing: ServerResponse): Place {
  const place = places.get(outgoing);
  Debug.assert(place !== undefined, "a response of another server");
  return place;
}

/** Starts a server; resolves once it listens, rejects if it can't. */
export async function startHttpServer(
  options: HttpServerOptions,
): Promise<HttpServer> {
  const listener = getRequestListener(options.app.fetch, {
    overrideGlobalObjects: false,
  });
  const server = createServer({
    maxHeaderSize: MAX_HEADER_BYTES,
    keepAliveTimeout: KEEP_ALIVE_MS,
    requestTimeout: 0,
    noDelay: true,
    highWaterMark: MAX_READ_BYTES,
    // Node.js would answer by itself, and close behind the answer.
    requireHostHeader: false,
  });
  const connections = createCallerConnections(server, {
    handler: (incoming, outgoing, place) => {
      places.set(outgoing, place);
      announceEnds(outgoing, place);
      void listener(incoming, outgoing);
    },
    counters: createCounters(),
    logger: SILENT,
    clock: createClock(),
    isStopping: () => false,
    ...options.log,
    formatRefusal,
    onRefused: options.onMalformed,
  });
  const { host, port } = splitAddress(options.address);
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, resolve);
  });
  return { server, close };

  async function close(withinMs: Millis): Promise<void> {
    // The method of the HTTP server also closes connections, by what it takes as idle.
    NetServer.prototype.close.call(server);
    await connections.close(() => withinMs);
    server.close();
  }
}

/** Announces the end of the connection in the head of a response, however it is written, if it is due. */
function announceEnds(outgoing: ServerResponse, place: Place): void {
  const { writeHead } = outgoing;
  outgoing.writeHead = function (
    this: ServerResponse,
    ...head: Parameters<typeof writeHead>
  ) {
    place.prepareHead();
    return writeHead.apply(this, head);
  } as typeof writeHead;
}

function formatRefusal(diagnostic: Diagnostic): string {
  const body = JSON.stringify({
    execution: "not-run",
    reason: diagnostic.reason,
    message: diagnostic.text,
  });
  return `HTTP/1.1 ${diagnostic.status} Refused\r\n` +
    "connection: close\r\ncontent-type: application/json\r\n" +
    "vanillarock-execution: not-run\r\n" +
    `vanillarock-reason: ${diagnostic.reason}\r\n` +
    `content-length: ${body.length}\r\n\r\n${body}`;
}
