/**
 * The connections of callers: which requests share them, and who closes them.
 * A connection is closed once each request that was passed on over it has its
 * answer (docs/design/0022).
 */

import {
  type IncomingMessage,
  type Server,
  type ServerResponse,
  STATUS_CODES,
} from "node:http";
import type { Socket } from "node:net";
import type { Duplex, Readable } from "node:stream";
import {
  type ConnectionOrder,
  createConnectionOrder,
} from "../core/connection_order.ts";
import type { Counters } from "../core/counters.ts";
import { type Diagnostic, Diagnostics } from "../core/diagnostics.ts";
import { createRateLimit, type RateLimit } from "../core/rate_limit.ts";
import type { Millis } from "../core/types.ts";
import { type CallerInput, createCallerInput } from "./caller_input.ts";
import type { Clock } from "./clock.ts";
import type { Logger } from "./logger.ts";
import { createLoopTurns, type Step } from "./loop_turns.ts";

/** Time without a byte for which a connection is read on after the last answer, in ms: closing it with unread bytes resets it. */
const LINGER_MS = 250;
/** The same in all, in ms, for callers that read the answer only once they have sent a whole body. */
const MAX_LINGER_MS = 2_000;
/**
 * Requests of one connection that are passed on at a time. What is read beyond
 * waits, and nothing more is parsed, so that memory and work are bounded.
 */
const MAX_PASSED_ON = 128;
/**
 * Requests of one connection that are passed on as they are read, each ms and at
 * once. Beyond that the connections take turns. A read of 64 KB may have 3,000
 * requests.
 */
const REQUEST_RATE = { perMs: 0.1, atOnce: 10 };
/** Requests that a connection beyond its rate may have passed on in any case. */
const MIN_PASSED_ON = 4;
/**
 * Requests of all connections with which one beyond its rate has no more than
 * these: what waits at the upstreams is in the way of the other callers.
 */
const MAX_PASSED_ON_BEYOND = 32;
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
  /** When the request was read, in ms of the clock. */
  readonly readAt: Millis;
  /** The caller's id of the request, for the log. */
  id?: string | undefined;
  /** True if all requests before it have their answers. */
  isFirst(): boolean;
  /** True if no request has been read behind it. */
  isNewest(): boolean;
  /** Resolves once it is the first; undefined if it is. A head is to be written only then. */
  whenFirst(): Promise<void> | undefined;
  /**
   * To be called right before the head of the answer is written: announces the
   * end of the connection if that is due, or if `mustEnd`, and nothing has been
   * read behind the request. From then on nothing more is passed on.
   */
  prepareHead(mustEnd?: boolean): void;
  /**
   * To be called in place of `prepareHead` for an answer whose end the caller
   * can't tell from its bytes: the connection ends behind it, and is reset where
   * the answer is cut, as a mere close would look like the end.
   */
  delimitByClose(body: Readable): void;
  /**
   * To be called before the head of an answer that may still be cut: what is read
   * behind the request is passed on only once the answer has ended, as a cut takes
   * it along.
   */
  holdOthers(): void;
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
  readonly clock: Clock;
  isStopping(): boolean;
  /** The whole response to bytes that are no request; without a body by default. */
  formatRefusal?(diagnostic: Diagnostic): string;
  onRefused?(diagnostic: Diagnostic): void;
}

/** The open connections of callers. */
export interface CallerConnections {
  /** Requests that were read and whose answers aren't written whole, over all connections. */
  countUnanswered(): number;
  /**
   * Closes each connection once what was passed on over it has its answer, and
   * what is still open after a time, which is asked for in ms once the others are
   * being closed. Resolves when all are closed.
   */
  close(getLeftMs: () => Millis): Promise<void>;
}

/** A place, and what starts it or tells its turn. */
interface Entry extends Place {
  onFirst?: () => void;
}

interface Connection {
  readonly socket: Socket;
  readonly order: ConnectionOrder<Entry>;
  /** Requests that were read and wait to be passed on; meanwhile nothing more is parsed. */
  readonly held: Entry[];
  /** A request whose answer holds up those behind it. */
  holder?: Entry;
  readonly input: CallerInput;
  readonly rate: RateLimit;
  /** Passes on the first held request, or reads on. */
  readonly step: Step;
  /** The first cause is the one that counts. */
  cause?: CloseCause;
  /** The last request that was read, answered or not. */
  newest?: IncomingMessage;
  /** The last answer, if only the end of the connection tells its end. */
  delimitedByClose?: ServerResponse;
  /** Written behind the last answer, to bytes that are no request. */
  refusal?: string;
  /** When the connection was last parsed on after a wait, in ms of the clock. */
  readAgainAt: Millis;
  isEnding: boolean;
}

/** Watches the connections of a server and passes its requests on to the handler. */
export function createCallerConnections(
  server: Server,
  options: CallerConnectionsOptions,
): CallerConnections {
  const { counters, logger } = options;
  const connections = new Map<Socket, Connection>();
  const turns = createLoopTurns();
  let unanswered = 0;
  /** Unanswered requests that aren't passed on yet. */
  let waiting = 0;
  let isClosing = false;
  let onAllClosed: (() => void) | undefined;
  server.on("connection", accept);
  server.on("request", take);
  // Node.js would close at once, or write in the place of answers to come.
  server.on("connect", handleConnect);
  server.on("clientError", handleParserError);
  server.on("timeout", handleTimeout);
  return { countUnanswered: () => unanswered, close };

  function accept(socket: Socket): void {
    const connection: Connection = {
      socket,
      order: createConnectionOrder(),
      held: [],
      input: createCallerInput(socket, {
        clock: options.clock,
        hasHeld: () => connection.held.length > 0,
        hasUnread: () =>
          connection.newest?.complete === false &&
          connection.newest.readableLength > 0,
        onceReading: (listener) => {
          if (connection.newest?.readableFlowing === true) listener();
          else connection.newest?.once("resume", listener);
        },
        onWaiting: () => turns.add(connection.step),
      }),
      rate: createRateLimit(options.clock, REQUEST_RATE),
      step: () => takeTurn(connection),
      readAgainAt: -Infinity,
      isEnding: false,
    };
    connections.set(socket, connection);
    // Node.js calls it behind an answer that announces the end. Its own method
    // closes at once, so that bytes that are still to be read reset the connection.
    socket.destroySoon = () => end(connection);
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
    const { order, held, input, rate } = connection;
    // A head that was written without `prepareHead` may announce the end, too.
    const newest = order.tryGetNewest();
    if (newest?.outgoing.getHeader("connection") === "close") {
      order.takeNoMore();
    }
    const entry = createEntry(connection, incoming, outgoing);
    if (!order.tryAdd(entry)) return drop(connection, incoming);
    connection.newest = incoming;
    if (asksForUpgrade(incoming)) order.takeNoMore();
    unanswered += 1;
    outgoing.once("close", () => settle(connection, entry));
    if (incoming.headers["transfer-encoding"] !== undefined) input.measure();
    held.push(entry);
    waiting += 1;
    rate.add(1);
    if (held.length > 1) return;
    if (rate.getWaitMs() === 0 && mayPassOn(connection)) {
      return passOn(connection);
    }
    input.measure();
    // Until the parser is done with what was read, Node.js reads on.
    process.nextTick(() => {
      if (held.length > 0) input.hold();
    });
    turns.add(connection.step);
  }

  function mayPassOn({ order, held, holder, rate }: Connection): boolean {
    if (holder !== undefined) return false;
    const passedOn = order.size() - held.length;
    if (passedOn >= MAX_PASSED_ON) return false;
    return passedOn < MIN_PASSED_ON || rate.getWaitMs() === 0 ||
      unanswered - waiting < MAX_PASSED_ON_BEYOND;
  }

  function passOn({ held }: Connection): void {
    const { incoming, outgoing } = held[0]!;
    waiting -= 1;
    options.handler(incoming, outgoing, held.shift()!);
  }

  /** One step of a connection that waits for its turns; true if there is more. */
  function takeTurn(connection: Connection): boolean {
    const { held, input } = connection;
    if (!mayPassOn(connection)) return false;
    if (held.length > 0) {
      passOn(connection);
      return true;
    }
    if (input.isOnHold()) {
      connection.readAgainAt = options.clock.now();
      input.readOn();
    }
    return false;
  }

  function createEntry(
    connection: Connection,
    incoming: IncomingMessage,
    outgoing: ServerResponse,
  ): Entry {
    const { order } = connection;
    const entry: Entry = {
      incoming,
      outgoing,
      readAt: options.clock.now(),
      isFirst: () => order.tryGetFirst() === entry,
      isNewest: () => order.tryGetNewest() === entry,
      whenFirst: () =>
        entry.isFirst()
          ? undefined
          : new Promise((resolve) => entry.onFirst = resolve),
      prepareHead: (mustEnd = false) => {
        const isDue = mustEnd || options.isStopping() || !order.takesMore();
        const isLast = entry.isNewest() && connection.refusal === undefined;
        if (!isDue || !isLast) return;
        outgoing.setHeader("connection", "close");
        order.takeNoMore();
      },
      delimitByClose: (body) => {
        entry.prepareHead(true);
        connection.delimitedByClose = outgoing;
        body.once("error", () => entry.cut("answer_cut"));
      },
      holdOthers: () => void (connection.holder = entry),
      cut: (reason) => cut(connection, reason),
    };
    return entry;
  }

  /** The parser can't go on: what was read before is answered, then the rest is refused. */
  function handleParserError(
    error: NodeJS.ErrnoException,
    socket: Duplex,
  ): void {
    const connection = connections.get(socket as Socket);
    const diagnostic = getRefusal(error.code);
    if (connection === undefined || diagnostic === undefined) {
      return void socket.destroy(error);
    }
    if (error.code === REQUEST_TIMEOUT && wasPaused(connection)) return;
    const { newest } = connection;
    if (newest?.complete === false) cutBody(connection, newest, error);
    else refuseRest(connection, diagnostic);
  }

  /** True if the rest of a head may be there, and the daemon hasn't read it. */
  function wasPaused({ input, readAgainAt }: Connection): boolean {
    const sinceMs = options.clock.now() - readAgainAt;
    return input.isOnHold() || sinceMs < server.headersTimeout;
  }

  /** The error is in the body of a request, which has its own answer. */
  function cutBody(
    connection: Connection,
    incoming: IncomingMessage,
    error: Error,
  ): void {
    connection.input.drop();
    takeNoMore(connection);
    // To destroy it would close the connection.
    if (incoming.listenerCount("error") > 0) incoming.emit("error", error);
  }

  function handleConnect(incoming: IncomingMessage): void {
    const connection = connections.get(incoming.socket)!;
    const { socket, order } = connection;
    // Node.js has left the connection to the listener, answers that wait included.
    socket.on("drain", () => order.tryGetFirst()?.outgoing.emit("drain"));
    socket.once("end", () => socket.end());
    refuseRest(connection, Diagnostics.malformed_request);
  }

  function refuseRest(connection: Connection, diagnostic: Diagnostic): void {
    const { order, socket } = connection;
    // Behind a request that announced the end itself there is none.
    const isEnded = order.tryGetNewest()?.outgoing.shouldKeepAlive === false;
    if (order.takesMore() && !isEnded) {
      counters.add(`refused_${diagnostic.reason}`);
      options.onRefused?.(diagnostic);
      logger.info("bytes_refused", {
        reason: diagnostic.reason,
        unanswered: order.size(),
      });
      // A connection that has sent nothing has asked for no answer.
      if (socket.bytesRead > 0) {
        connection.refusal = (options.formatRefusal ?? formatRefusal)(
          diagnostic,
        );
      }
    }
    connection.input.drop();
    takeNoMore(connection);
  }

  /** An idle connection. Node.js also tells of one whose answers take long. */
  function handleTimeout(socket: Socket): void {
    const connection = connections.get(socket);
    if (connection?.order.size() === 0) end(connection);
  }

  /** Drops a request that came behind the end, and all bytes after it. */
  function drop(connection: Connection, incoming: IncomingMessage): void {
    counters.add("requests_behind_close");
    incoming.resume();
    connection.input.drop();
  }

  function settle(connection: Connection, entry: Entry): void {
    const { order, held, input } = connection;
    if (!order.remove(entry)) return;
    unanswered -= 1;
    if (order.isDone()) return end(connection);
    if (connection.holder === entry) delete connection.holder;
    order.tryGetFirst()?.onFirst?.();
    if (held.length > 0 || input.isOnHold()) turns.add(connection.step);
  }

  /** Passes on nothing more; what was read and not passed on counts as not read. */
  function takeNoMore(connection: Connection): void {
    const { order } = connection;
    order.takeNoMore();
    dropHeld(connection);
    if (order.isDone()) end(connection);
  }

  function dropHeld(connection: Connection): void {
    for (const entry of connection.held.splice(0)) {
      connection.order.remove(entry);
      unanswered -= 1;
      waiting -= 1;
      drop(connection, entry.incoming);
    }
  }

  /** Ends the writing side; what still arrives is read and dropped until the caller closes. */
  function end(connection: Connection): void {
    const { socket } = connection;
    if (connection.isEnding || socket.destroyed) return;
    connection.isEnding = true;
    connection.order.takeNoMore();
    socket.end(connection.refusal ?? "");
    socket.resume();
    const destroysAt = options.clock.now() + MAX_LINGER_MS;
    let { bytesRead } = socket;
    const timer = setInterval(() => {
      const isSilent = socket.bytesRead === bytesRead;
      if (isSilent || options.clock.now() >= destroysAt) socket.destroy();
      bytesRead = socket.bytesRead;
    }, LINGER_MS);
    socket.once("close", () => clearInterval(timer));
  }

  function forget(connection: Connection): void {
    const { socket, order } = connection;
    connections.delete(socket);
    order.takeNoMore();
    dropHeld(connection);
    const left = order.getAll().filter(({ outgoing }) =>
      !outgoing.writableFinished
    );
    if (left.length > 0) logClosed(connection, left);
    // Node.js tells only the answer that is being written, not those behind it.
    for (const { outgoing } of left) {
      if (outgoing.socket === null) outgoing.destroy().emit("close");
    }
    unanswered -= order.size();
    for (const entry of [...order.getAll()]) order.remove(entry);
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

  function close(getLeftMs: () => Millis): Promise<void> {
    isClosing = true;
    for (const connection of connections.values()) takeNoMore(connection);
    if (connections.size === 0) return Promise.resolve();
    return new Promise((resolve) => {
      const timer = setTimeout(cutAll, getLeftMs());
      onAllClosed = () => {
        clearTimeout(timer);
        resolve();
      };
    });
  }

  function cutAll(): void {
    for (const connection of connections.values()) {
      cut(connection, "close_timeout");
    }
  }

  function cut(connection: Connection, reason: string): void {
    const { socket, delimitedByClose } = connection;
    recordCause(connection, { by: ClosedBy.Daemon, reason });
    if (delimitedByClose?.writableFinished === false) {
      socket.resetAndDestroy();
    } else socket.destroy();
  }
}

/** Node.js goes on with HTTP behind such a request, but drops what it has read with it. */
function asksForUpgrade({ headers }: IncomingMessage): boolean {
  return headers.upgrade !== undefined &&
    /upgrade/i.test(headers.connection ?? "");
}

const REQUEST_TIMEOUT = "ERR_HTTP_REQUEST_TIMEOUT";
const REFUSALS: Readonly<Record<string, Diagnostic>> = {
  HPE_HEADER_OVERFLOW: Diagnostics.headers_too_large,
  [REQUEST_TIMEOUT]: Diagnostics.request_timeout,
};

/** What bytes are refused with that the parser can't read; undefined for an error of the connection. */
function getRefusal(code = ""): Diagnostic | undefined {
  // The caller has closed amid a message.
  if (code === "HPE_INVALID_EOF_STATE") return undefined;
  const other = code.startsWith("HPE_")
    ? Diagnostics.malformed_request
    : undefined;
  return REFUSALS[code] ?? other;
}

function formatRefusal({ status }: Diagnostic): string {
  return `HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\n` +
    "connection: close\r\ncontent-length: 0\r\n\r\n";
}

function recordCause(connection: Connection, cause: CloseCause): void {
  connection.cause ??= cause;
}
