/**
 * Keep-alive connections to one upstream. An upstream may drop an idle connection
 * without notice and reset it on the next request: an idempotent request is then
 * only delayed, an at-most-once request is in doubt.
 */

import { Agent } from "node:http";
import type { Socket } from "node:net";
import type { Millis } from "../core/types.ts";
import type { Clock } from "../daemon/clock.ts";
import { createSmallReads } from "../link/small_reads.ts";

/** Longest idle time of a connection, in ms; below the timeouts that upstreams state. */
const MAX_IDLE_MS = 4_000;
/** The same for at-most-once requests, in ms; some upstreams drop connections after 300 ms. */
const MAX_AT_MOST_ONCE_IDLE_MS = 150;
/** Lower bound of the adapted idle time, in ms; keeps connections open within a burst. */
const MIN_IDLE_LIMIT_MS = 25;
/** A dropped connection is reset within a few round trips, in ms; later resets have other causes. */
const STALE_RESET_WINDOW_MS = 10;

/** Connections to one upstream. */
export interface UpstreamConnections {
  getPool(isAtMostOnce: boolean): Agent;
  /**
   * Records that a connection was reset before the response. If it had just been
   * reused, connections are kept idle for a shorter time.
   */
  recordReset(socket: Socket): void;
  close(): void;
}

/**
 * Creates the pools. An idle connection is closed when it receives bytes, which
 * belong to no request, and when it has been idle for longer than the upstream
 * appears to keep it.
 */
export function createUpstreamConnections(
  clock: Clock,
  maxSockets: number,
): UpstreamConnections {
  const idleSince = new WeakMap<Socket, Millis>();
  const reusedAt = new WeakMap<Socket, Millis>();
  const smallReads = createSmallReads();
  let maxIdleMs = MAX_IDLE_MS;
  const idempotentPool = createPool(() => maxIdleMs);
  const atMostOncePool = createPool(() =>
    Math.min(maxIdleMs, MAX_AT_MOST_ONCE_IDLE_MS)
  );
  return {
    getPool: (isAtMostOnce) => isAtMostOnce ? atMostOncePool : idempotentPool,
    recordReset,
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
    pool.keepSocketAlive = (stream) => {
      const socket = stream as Socket;
      const isKeptOpen = keep(socket);
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

  function recordReset(socket: Socket): void {
    const reusedAtMs = reusedAt.get(socket);
    if (reusedAtMs === undefined) return;
    if (clock.now() - reusedAtMs > STALE_RESET_WINDOW_MS) return;
    const idleMs = reusedAtMs - idleSince.get(socket)!;
    maxIdleMs = Math.max(MIN_IDLE_LIMIT_MS, Math.min(maxIdleMs, idleMs / 2));
  }
}

function destroySocket(this: Socket): void {
  this.destroy();
}
