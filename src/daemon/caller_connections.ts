/**
 * The connections of callers: which requests share them, and who closes them.
 * A connection is closed once each request that was passed on over it has its
 * answer (docs/design/0022).
 */

import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import {
  type ConnectionOrder,
  createConnectionOrder,
} from "../core/connection_order.ts";
import type { Counters } from "../core/counters.ts";
import type { Millis } from "../core/types.ts";
import type { Logger } from "./logger.ts";

/** Time for which a connection is read on after the last answer, in ms: closing it with unread bytes resets it. */
const LINGER_MS = 250;
/** Request ids in a line of the log. */
const MAX_LOGGED_IDS = 8;

/** Who closes a connection. */
export enum ClosedBy {
  Caller = "caller",
  Daemon = "daemon",
  /** The network, or a fault that Node.js reports. */
  Error = "error",
}

/** Why a connection is closed. */
export interface CloseCause {
  readonly by: ClosedBy;
  readonly reason: string;
}

/** A request's place on its connection. */
export interface Place {
  readonly incoming: IncomingMessage;
  readonly outgoing: ServerResponse;
  /** The caller's id of the request, for the log. */
  id?: string | undefined;
  /** Closes the connection, as the answer can't be completed. */
  cut(reason: string): void;
}

/** Handles a request of a caller. */
export type CallerHandler = (
  incoming: IncomingMessage,
  outgoing: ServerResponse,
  place: Place,
) => void;

/** Settings of the connections. */
export interface CallerConnectionsOptions {
  readonly handler: CallerHandler;
  readonly counters: Counters;
  readonly logger: Logger;
  isStopping(): boolean;
}

/** The open connections of callers. */
export interface CallerConnections {
  /** Requests that were read and whose answers aren't written whole, over all connections. */
  countUnanswered(): number;
  /**
   * Closes each connection once what was passed on over it has its answer, and
   * what is still open after a time, in ms. Resolves when all are closed.
   */
  close(withinMs: Millis): Promise<void>;
}

interface Connection {
  readonly socket: Socket;
  readonly order: ConnectionOrder<Place>;
  /** The first cause is the one that counts. */
  cause?: CloseCause;
  isEnding: boolean;
}

/** Watches the connections of a server and passes its requests on to the handler. */
export function createCallerConnections(
  server: Server,
  options: CallerConnectionsOptions,
): CallerConnections {
  const { counters, logger } = options;
  const connections = new Map<Socket, Connection>();
  let unanswered = 0;
  let isClosing = false;
  let onAllClosed: (() => void) | undefined;
  server.on("connection", accept);
  server.on("request", take);
  return { countUnanswered: () => unanswered, close };

  function accept(socket: Socket): void {
    const connection: Connection = {
      socket,
      order: createConnectionOrder(),
      isEnding: false,
    };
    connections.set(socket, connection);
    socket.once("end", () => {
      recordCause(connection, { by: ClosedBy.Caller, reason: "ended" });
    });
    socket.on("error", (error: NodeJS.ErrnoException) => {
      recordCause(connection, {
        by: error.code === "ECONNRESET" || error.code === "EPIPE"
          ? ClosedBy.Caller
          : ClosedBy.Error,
        reason: error.code ?? error.message,
      });
    });
    socket.once("close", () => forget(connection));
    if (isClosing) end(connection);
  }

  function take(incoming: IncomingMessage, outgoing: ServerResponse): void {
    const connection = connections.get(incoming.socket)!;
    const { order } = connection;
    const place: Place = {
      incoming,
      outgoing,
      cut: (reason) => {
        recordCause(connection, { by: ClosedBy.Daemon, reason });
        outgoing.destroy();
      },
    };
    if (!order.tryAdd(place)) {
      counters.add("requests_behind_close");
      incoming.resume();
      return;
    }
    unanswered += 1;
    outgoing.once("close", () => settle(connection, place));
    options.handler(incoming, outgoing, place);
  }

  function settle(connection: Connection, place: Place): void {
    const { order } = connection;
    const before = order.size();
    order.remove(place);
    unanswered -= before - order.size();
    if (connection.socket.writableEnded) {
      recordCause(connection, { by: ClosedBy.Daemon, reason: "announced" });
    }
    if (!order.takesMore() && order.size() === 0) end(connection);
  }

  /** Ends the writing side; what still arrives is read and dropped until the caller closes. */
  function end(connection: Connection): void {
    const { socket } = connection;
    if (connection.isEnding || socket.destroyed) return;
    connection.isEnding = true;
    connection.order.takeNoMore();
    socket.end();
    const timer = setTimeout(() => socket.destroy(), LINGER_MS);
    socket.once("close", () => clearTimeout(timer));
  }

  function forget(connection: Connection): void {
    const { socket, order } = connection;
    connections.delete(socket);
    const left = order.getAll().filter(({ outgoing }) =>
      !outgoing.writableFinished
    );
    if (left.length > 0) logClosed(connection, left);
    order.takeNoMore();
    // Node.js tells only the answer that is being written, not those behind it.
    for (const { outgoing } of left) {
      if (outgoing.socket === null) outgoing.destroy().emit("close");
    }
    unanswered -= order.size();
    for (const place of [...order.getAll()]) order.remove(place);
    if (connections.size === 0) onAllClosed?.();
  }

  function logClosed(connection: Connection, left: readonly Place[]): void {
    const { by, reason } = connection.cause ??
      { by: ClosedBy.Error, reason: "unknown" };
    counters.add(`connection_closed_by_${by}`);
    counters.add(`unanswered_closed_by_${by}`, left.length);
    const fields = {
      by,
      reason,
      unanswered: left.length,
      stopping: options.isStopping(),
      reqs: left.slice(0, MAX_LOGGED_IDS).map(({ id }) => id ?? "").join(","),
    };
    if (by === ClosedBy.Caller) logger.info("connection_closed", fields);
    else logger.warn("connection_closed", fields);
  }

  function close(withinMs: Millis): Promise<void> {
    isClosing = true;
    for (const connection of connections.values()) {
      connection.order.takeNoMore();
      if (connection.order.size() === 0) end(connection);
    }
    if (connections.size === 0) return Promise.resolve();
    return new Promise((resolve) => {
      const timer = setTimeout(cutAll, withinMs);
      onAllClosed = () => {
        clearTimeout(timer);
        resolve();
      };
    });
  }

  function cutAll(): void {
    for (const connection of connections.values()) {
      recordCause(connection, { by: ClosedBy.Daemon, reason: "close_timeout" });
      connection.socket.destroy();
    }
  }
}

function recordCause(connection: Connection, cause: CloseCause): void {
  connection.cause ??= cause;
}
