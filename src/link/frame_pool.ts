/** Connections to one peer that carry frames, one exchange at a time each. */

import type { Buffer } from "node:buffer";
import type { Socket } from "node:net";
import type { Millis } from "../core/types.ts";
import { splitAddress } from "./address.ts";
import {
  createFrameReader,
  type Frame,
  FrameKind,
  HTTP_FIRST_BYTE,
} from "./frames.ts";
import { connectQuickly } from "./quick_connector.ts";
import {
  createTicker,
  SIGN_INTERVAL_MS,
  SILENT_INTERVALS,
  UNSIGNED_INTERVALS,
} from "./signs_of_life.ts";
import { createSmallReads } from "./small_reads.ts";

/** Idle time after which a connection is closed, in ms; shorter than servers keep it. */
const KEEP_ALIVE_MS = 30_000;

/** Of all connections of the process, as each read is copied at once. */
const smallReads = createSmallReads();
/** Of all connections of the process, so that it wakes once an interval. */
const ticker = createTicker();

/** Why an exchange ended without its last frame. */
export interface ExchangeFailure {
  /** False if no byte of the request was sent, or the peer has stated that it does not read it. */
  readonly wasSent: boolean;
  /** True if the peer knows no frames and has read no request. */
  readonly isHttpPeer: boolean;
  /** True if no connection was free for it in time. */
  readonly isBusy?: boolean;
  readonly message: string;
}

/** Receives what happens in an exchange. */
export interface ExchangeHandlers {
  /** Returns true for the last frame of the exchange, after which the connection serves another one. */
  onFrame(frame: Frame): boolean;
  /** Called at most once, and not after the last frame. */
  onFailure(failure: ExchangeFailure): void;
}

/** An exchange in progress. */
export interface FrameExchange {
  /** Closes its connection; the handlers get the failure. */
  cancel(): void;
  pause(): void;
  resume(): void;
}

/** Connections to one peer. */
export interface FramePool {
  /** Starts an exchange; one for which no connection is free fails after a time, in ms, if one is given. */
  send(
    frame: Buffer,
    handlers: ExchangeHandlers,
    maxWaitMs?: Millis,
  ): FrameExchange;
  /** New exchanges use new connections; those in progress finish on the old ones. */
  replaceConnections(): void;
  close(): void;
}

/** Settings of a pool. */
export interface FramePoolOptions {
  /** IP address and port of the peer. */
  readonly address: string;
  readonly connectTimeoutMs: Millis;
  /** Connections at most; further exchanges wait, as streams that nobody reads hold memory. */
  readonly maxConnections: number;
  /** Called for each connection that is opened. */
  onConnect?(): void;
  /** Called for each connection that is closed as its peer was silent within an exchange. */
  onSilent?(): void;
}

/** A connection; `handlers` belong to its exchange, none while it is idle. */
interface Connection {
  socket?: Socket;
  handlers?: ExchangeHandlers | undefined;
  /** True once a frame of the present exchange has arrived. */
  isAnswered?: boolean;
  isCancelled?: boolean;
  /** True while the exchange reads nothing. */
  isPaused?: boolean;
  /** True once the peer has sent a sign of life. */
  sendsSigns?: boolean;
  /** Bytes read by the last tick, and the ticks since the last one. */
  bytesRead: number;
  silentTicks: number;
  /** Why it was closed, if this side did so. */
  closeReason?: string;
  /** Looks for signs of life while it carries an exchange. */
  readonly check: () => void;
}

/** A request and the connection that it uses, none while it waits for one. */
interface Exchange {
  readonly frame: Buffer;
  readonly handlers: ExchangeHandlers;
  connection?: Connection;
  /** Ends its wait. */
  timeout?: NodeJS.Timeout;
}

/** Creates a pool without connections. */
export function createFramePool(options: FramePoolOptions): FramePool {
  const { host, port } = splitAddress(options.address);
  const idle: Connection[] = [];
  /** Exchanges for which no connection is free, the oldest first. */
  const waiting = new Set<Exchange>();
  const all = new Set<Connection>();
  /** Those that new exchanges may use; the others finish theirs. */
  let current = new Set<Connection>();
  return { send, replaceConnections, close };

  function send(
    frame: Buffer,
    handlers: ExchangeHandlers,
    maxWaitMs?: Millis,
  ): FrameExchange {
    const exchange: Exchange = { frame, handlers };
    if (mayStart()) start(exchange);
    else wait(exchange, maxWaitMs);
    return {
      cancel: () => cancel(exchange),
      pause: () => setPaused(exchange, true),
      resume: () => setPaused(exchange, false),
    };
  }

  /** After its last frame the connection of an exchange may serve another one. */
  function setPaused(
    { connection, handlers }: Exchange,
    isPaused: boolean,
  ): void {
    if (connection?.handlers !== handlers) return;
    connection.isPaused = isPaused;
    if (isPaused) connection.socket?.pause();
    else connection.socket?.resume();
  }

  function start(exchange: Exchange): void {
    const { frame, handlers } = exchange;
    const connection = takeIdle() ?? open(frame);
    exchange.connection = connection;
    connection.handlers = handlers;
    connection.isAnswered = false;
    connection.isPaused = false;
    connection.silentTicks = 0;
    ticker.add(connection.check);
    connection.socket?.write(frame);
  }

  function wait(exchange: Exchange, maxMs: Millis | undefined): void {
    waiting.add(exchange);
    if (maxMs === undefined) return;
    exchange.timeout = setTimeout(() => {
      const message = `no connection was free in ${maxMs} ms`;
      endWaiting(exchange, { message, isBusy: true });
    }, maxMs);
  }

  /** Ends an exchange that waits for a connection; false if it doesn't. */
  function endWaiting(
    exchange: Exchange,
    failure: Pick<ExchangeFailure, "message" | "isBusy">,
  ): boolean {
    if (!waiting.delete(exchange)) return false;
    clearTimeout(exchange.timeout);
    const { handlers } = exchange;
    handlers.onFailure({ wasSent: false, isHttpPeer: false, ...failure });
    return true;
  }

  function mayStart(): boolean {
    return idle.length > 0 || current.size < options.maxConnections;
  }

  /** Starts the exchanges that have waited longest, as far as connections are free or may be opened. */
  function startWaiting(): void {
    for (const next of waiting) {
      if (!mayStart()) return;
      waiting.delete(next);
      clearTimeout(next.timeout);
      start(next);
    }
  }

  function cancel(exchange: Exchange): void {
    const { connection, handlers } = exchange;
    const message = "cancelled before a connection was free";
    if (endWaiting(exchange, { message })) return;
    if (connection?.handlers !== handlers) return;
    connection.isCancelled = true;
    connection.socket?.destroy();
  }

  /** A connection that is closing is still in the list until it has closed. */
  function takeIdle(): Connection | undefined {
    for (;;) {
      const connection = idle.pop();
      if (connection?.socket?.destroyed !== true) return connection;
    }
  }

  function open(first: Buffer): Connection {
    options.onConnect?.();
    const connection: Connection = {
      bytesRead: 0,
      silentTicks: 0,
      check: () => checkSigns(connection),
    };
    all.add(connection);
    current.add(connection);
    connectQuickly({
      ...smallReads,
      host,
      port,
      timeoutMs: options.connectTimeoutMs,
    }, (error, socket) => {
      if (socket === null) {
        remove(connection);
        return fail(connection, { wasSent: false, message: String(error) });
      }
      attach(connection, socket);
      if (connection.isCancelled) socket.destroy();
      else socket.write(first);
    });
    return connection;
  }

  function attach(connection: Connection, socket: Socket): void {
    connection.socket = socket;
    let message = "the connection was closed";
    let isHttpPeer = false;
    let hasReceived = false;
    const reader = createFrameReader((frame) => {
      // What follows in the read that ended the connection belongs to nobody.
      if (socket.destroyed) return;
      hasReceived = true;
      receive(connection, frame);
    });
    socket.setTimeout(KEEP_ALIVE_MS, () => {
      if (connection.handlers === undefined) socket.destroy();
    });
    socket.on("data", (chunk: Buffer) => {
      if (reader.read(chunk)) return;
      isHttpPeer = !hasReceived && chunk[0] === HTTP_FIRST_BYTE;
      message = "the peer sent no frame";
      socket.destroy();
    });
    socket.on("error", (error) => message = String(error));
    socket.once("end", () => socket.destroy());
    socket.once("close", () => {
      remove(connection);
      const wasSent = connection.isCancelled !== true ||
        socket.bytesWritten > 0;
      fail(connection, {
        wasSent,
        isHttpPeer,
        message: connection.closeReason ?? message,
      });
    });
  }

  /** Closes a connection whose exchange waits for a peer that shows no life. */
  function checkSigns(connection: Connection): void {
    const { socket, sendsSigns } = connection;
    if (socket === undefined) return;
    const hasRead = socket.bytesRead !== connection.bytesRead;
    connection.bytesRead = socket.bytesRead;
    const isWaiting = !hasRead && !connection.isPaused;
    connection.silentTicks = isWaiting ? connection.silentTicks + 1 : 0;
    const maxTicks = sendsSigns ? SILENT_INTERVALS : UNSIGNED_INTERVALS;
    if (connection.silentTicks < maxTicks) return;
    connection.closeReason = `the peer was silent for ${
      maxTicks * SIGN_INTERVAL_MS
    } ms`;
    socket.destroy();
    options.onSilent?.();
  }

  function remove(connection: Connection): void {
    ticker.remove(connection.check);
    all.delete(connection);
    current.delete(connection);
    const index = idle.indexOf(connection);
    if (index >= 0) idle.splice(index, 1);
  }

  /** A frame without an exchange belongs to no request; its connection is closed. */
  function receive(connection: Connection, frame: Frame): void {
    const { handlers, socket } = connection;
    if (frame.kind === FrameKind.Closing) return endClosing(connection);
    if (frame.kind === FrameKind.Alive) connection.sendsSigns = true;
    const isExpected = handlers !== undefined &&
      frame.kind !== FrameKind.Request;
    if (!isExpected) return void socket!.destroy();
    connection.isAnswered = true;
    if (frame.kind === FrameKind.Alive || !handlers.onFrame(frame)) return;
    ticker.remove(connection.check);
    connection.handlers = undefined;
    // The last part may have paused it in the same read as the end.
    socket!.resume();
    if (current.has(connection)) idle.push(connection);
    else socket!.destroy();
    startWaiting();
  }

  /** The peer does not read a request that crossed its announcement. */
  function endClosing(connection: Connection): void {
    remove(connection);
    if (connection.handlers !== undefined && !connection.isAnswered) {
      const message = "the peer closes the connection and has not read this";
      fail(connection, { wasSent: false, message });
    }
    connection.socket!.destroy();
  }

  function fail(
    connection: Connection,
    failure: Omit<ExchangeFailure, "isHttpPeer"> & { isHttpPeer?: boolean },
  ): void {
    const { handlers } = connection;
    connection.handlers = undefined;
    handlers?.onFailure({ isHttpPeer: false, ...failure });
    startWaiting();
  }

  function replaceConnections(): void {
    current = new Set();
    for (const { socket } of idle.splice(0)) socket!.destroy();
    startWaiting();
  }

  function close(): void {
    for (const exchange of [...waiting]) cancel(exchange);
    current = new Set();
    idle.length = 0;
    for (const connection of all) {
      connection.isCancelled = true;
      connection.socket?.destroy();
    }
  }
}
