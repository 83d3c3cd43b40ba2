/**
 * Keep-alive connections to one upstream. An upstream may drop an idle connection
 * without notice and reset it on the next request: an idempotent request is then
 * only delayed, an at-most-once request is in doubt.
 */

import { Agent } from "node:http";
import { connect, type NetConnectOpts, type Socket } from "node:net";
import type { Millis } from "../core/types.ts";
import type { Clock } from "../daemon/clock.ts";
import { createSmallReads } from "../link/small_reads.ts";
import type { ConnectionLimit } from "./connection_limit.ts";

/** Longest idle time of a connection, in ms; below the timeouts that upstreams state. */
const MAX_IDLE_MS = 4_000;
/** The same for at-most-once requests, in ms; some upstreams drop connections after 300 ms. */
const MAX_AT_MOST_ONCE_IDLE_MS = 150;
/** Lower bound of the adapted idle time, in ms; keeps connections open within a burst. */
const MIN_IDLE_LIMIT_MS = 25;
/** A dropped connection is reset within a few round trips, in ms; later resets have other causes. */
const STALE_RESET_WINDOW_MS = 10;
/** The same for a new connection beyond the upstream's limit, in ms; an end of the upstream closes all within this time. */
const REFUSAL_WINDOW_MS = 10;
/** Longest wait for the upstream's close of a connection that makes room for another one, in ms. */
const MAKE_ROOM_MS = 20;

/** Settings of the connections. */
export interface UpstreamConnectionsOptions {
  /** Connections at most, each for idempotent and for at-most-once requests. */
  readonly maxSockets: number;
  readonly limit: ConnectionLimit;
  /** Called when an idle connection is closed to make room for a new one. */
  onMadeRoom?(): void;
  /** Called when a reset of a new connection shows the upstream's limit. */
  onRefused?(): void;
}

/** Connections to one upstream. */
export interface UpstreamConnections {
  getPool(isAtMostOnce: boolean): Agent;
  /**
   * Records that a connection was reset before the response. If it had just been
   * reused, connections are kept idle for a shorter time; if it was new, it may
   * have been beyond the upstream's limit.
   */
  recordReset(socket: Socket): void;
  /** Forgets what an earlier start of the upstream has shown of its limits. */
  forgetStart(): void;
  close(): void;
}

/**
 * Creates the pools. An idle connection is closed when it receives bytes, which
 * belong to no request, and when it has been idle for longer than the upstream
 * appears to keep it. At the upstream's limit, idle connections of one pool give
 * way to new ones of the other.
 */
export function createUpstreamConnections(
  clock: Clock,
  options: UpstreamConnectionsOptions,
): UpstreamConnections {
  const { limit, maxSockets } = options;
  const idleSince = new WeakMap<Socket, Millis>();
  const reusedAt = new WeakMap<Socket, Millis>();
  const connectedAt = new WeakMap<Socket, Millis>();
  /** Open connections that have served a request. */
  const kept = new Set<Socket>();
  /** Connections that are opened once an idle one has closed. */
  let awaitingRoom = 0;
  const smallReads = createSmallReads();
  let maxIdleMs = MAX_IDLE_MS;
  const idempotentPool = createPool(() => maxIdleMs);
  const atMostOncePool = createPool(() =>
    Math.min(maxIdleMs, MAX_AT_MOST_ONCE_IDLE_MS)
  );
  return {
    getPool: (isAtMostOnce) => isAtMostOnce ? atMostOncePool : idempotentPool,
    recordReset,
    forgetStart: () => {
      maxIdleMs = MAX_IDLE_MS;
      limit.forgetStart();
    },
    close: () => {
      idempotentPool.destroy();
      atMostOncePool.destroy();
    },
  };

  function createPool(getMaxIdleMs: () => Millis): Agent {
    const pool = new Agent({
      keepAlive: true,
      maxSockets,
      ...smallReads,
    });
    const keep = pool.keepSocketAlive.bind(pool);
    const reuse = pool.reuseSocket.bind(pool);
    pool.createConnection = (to, onCreate) => {
      const spare = tryTakeSpare(pool);
      if (spare === undefined) return open(to as NetConnectOpts);
      awaitingRoom += 1;
      options.onMadeRoom?.();
      endSocket(spare, () => {
        awaitingRoom -= 1;
        onCreate?.(null, open(to as NetConnectOpts));
      });
      return undefined;
    };
    pool.keepSocketAlive = (stream) => {
      const socket = stream as Socket;
      const isKeptOpen = keep(socket);
      recordKept(socket);
      idleSince.set(socket, clock.now());
      socket.on("data", destroySocket).on("timeout", destroySocket).resume();
      socket.setTimeout(getMaxIdleMs());
      return isKeptOpen;
    };
    pool.reuseSocket = (stream, req) => {
      const socket = stream as Socket;
      socket.setTimeout(0);
      socket.off("data", destroySocket).off("timeout", destroySocket);
      reusedAt.set(socket, clock.now());
      reuse(socket, req);
    };
    return pool;
  }

  function open(to: NetConnectOpts): Socket {
    const socket = connect(to);
    socket.once("connect", () => connectedAt.set(socket, clock.now()));
    return socket;
  }

  function recordKept(socket: Socket): void {
    if (kept.has(socket)) return;
    kept.add(socket);
    socket.once("close", () => kept.delete(socket));
    limit.recordKept(kept.size);
  }

  /** Takes the longest idle connection of the other pool if the limit is reached. */
  function tryTakeSpare(pool: Agent): Socket | undefined {
    const other = pool === idempotentPool ? atMostOncePool : idempotentPool;
    const count = countSockets(pool) + countSockets(other) + awaitingRoom;
    if (!limit.isReached(count)) return undefined;
    return Object.values(other.freeSockets).flat()
      .find((socket) => socket?.writable);
  }

  function recordReset(socket: Socket): void {
    const reusedAtMs = reusedAt.get(socket);
    if (reusedAtMs === undefined) return recordNewReset(socket);
    if (clock.now() - reusedAtMs > STALE_RESET_WINDOW_MS) return;
    const idleMs = reusedAtMs - idleSince.get(socket)!;
    maxIdleMs = Math.max(MIN_IDLE_LIMIT_MS, Math.min(maxIdleMs, idleMs / 2));
  }

  function recordNewReset(socket: Socket): void {
    const connectedAtMs = connectedAt.get(socket) ?? clock.now();
    if (clock.now() - connectedAtMs > REFUSAL_WINDOW_MS) return;
    const others = [...kept];
    const timer = setTimeout(() => {
      const left = others.filter((other) => !other.destroyed).length;
      if (limit.recordRefused(others.length, left)) options.onRefused?.();
    }, REFUSAL_WINDOW_MS);
    timer.unref();
  }
}

function countSockets({ sockets, freeSockets }: Agent): number {
  return [...Object.values(sockets), ...Object.values(freeSockets)]
    .reduce((sum, list) => sum + (list?.length ?? 0), 0);
}

/** Ends an idle connection; calls back once the upstream has closed it too, or after a short time. */
function endSocket(socket: Socket, done: () => void): void {
  const timeout = setTimeout(() => socket.destroy(), MAKE_ROOM_MS);
  socket.once("close", () => {
    clearTimeout(timeout);
    done();
  });
  socket.end();
  // Takes it out of its pool.
  socket.emit("agentRemove");
}

function destroySocket(this: Socket): void {
  this.destroy();
}
