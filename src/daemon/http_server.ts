/** HTTP servers of the gossip daemon and the stand-ins. */

import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { Server as TcpServer } from "node:net";
import { getRequestListener } from "@hono/node-server";
import type { Hono } from "hono";
import { createCounters } from "../core/counters.ts";
import type { Diagnostic } from "../core/diagnostics.ts";
import { splitAddress } from "../link/address.ts";
import { MAX_READ_BYTES } from "../link/small_reads.ts";
import {
  type CallerConnections,
  type CallerConnectionsOptions,
  createCallerConnections,
} from "./caller_connections.ts";
import { createClock } from "./clock.ts";
import type { Logger } from "./logger.ts";

/** Largest request head, in bytes. */
const MAX_HEADER_BYTES = 32_768;
const KEEP_ALIVE_MS = 75_000;

const connectionsOf = new WeakMap<Server, CallerConnections>();

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

/** Starts a server; resolves once it listens, rejects if it can't. */
export async function startHttpServer(
  options: HttpServerOptions,
): Promise<Server> {
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
    handler: (incoming, outgoing) => void listener(incoming, outgoing),
    counters: createCounters(),
    logger: SILENT,
    clock: createClock(),
    isStopping: () => false,
    ...options.log,
    formatRefusal,
    onRefused: options.onMalformed,
  });
  connectionsOf.set(server, connections);
  const { host, port } = splitAddress(options.address);
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, resolve);
  });
  return server;
}

/** Stops listening; resolves once every request in progress has its whole answer. */
export async function stopHttpServer(server: Server): Promise<void> {
  // The method of the HTTP server would cut answers that are not sent whole.
  TcpServer.prototype.close.call(server);
  await connectionsOf.get(server)!.close();
  server.close();
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
