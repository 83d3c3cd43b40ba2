/** The listener of a store daemon for callers. */

import { createServer, type Server } from "node:http";
import { Server as TcpServer } from "node:net";
import { splitAddress } from "../link/address.ts";
import { MAX_READ_BYTES } from "../link/small_reads.ts";
import type { Millis } from "../core/types.ts";
import {
  type CallerConnections,
  type CallerConnectionsOptions,
  createCallerConnections,
} from "./caller_connections.ts";

/** Settings of the listener. */
export interface CallerListenerOptions extends CallerConnectionsOptions {
  /** IP address and port. */
  readonly address: string;
  /** Largest head of a request, in bytes. */
  readonly maxHeaderBytes: number;
}

/** Times after which a connection is closed, in ms. */
export interface CallerLimits {
  readonly idleTimeoutMs: Millis;
  readonly headerTimeoutMs: Millis;
}

/** A listener for callers. */
export interface CallerListener extends CallerConnections {
  readonly server: Server;
  setLimits(limits: CallerLimits): void;
}

/** Starts to listen; rejects if it can't. */
export async function startCallerListener(
  options: CallerListenerOptions,
): Promise<CallerListener> {
  const server = createServer({
    maxHeaderSize: options.maxHeaderBytes,
    requestTimeout: 0,
    noDelay: true,
    highWaterMark: MAX_READ_BYTES,
    // Node.js would answer by itself, and close behind the answer.
    requireHostHeader: false,
  });
  const connections = createCallerConnections(server, options);
  const { host, port } = splitAddress(options.address);
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, resolve);
  });
  return { ...connections, server, close, setLimits };

  async function close(getLeftMs: () => Millis): Promise<void> {
    // The method of the HTTP server would reset idle connections.
    TcpServer.prototype.close.call(server);
    await connections.close(getLeftMs);
    server.close();
  }

  function setLimits(limits: CallerLimits): void {
    server.keepAliveTimeout = limits.idleTimeoutMs;
    server.headersTimeout = limits.headerTimeoutMs + limits.idleTimeoutMs;
  }
}
