/**
 * Connections to one upstream that are kept for reuse. An upstream may forget
 * one that rested, without notice, and reset it at the next request: one that
 * may be sent again is only late then, a protected one is in doubt.
 */

import { Agent } from "node:http";
import type { Socket } from "node:net";
import type { Millis } from "../core/types.ts";
import type { Clock } from "../daemon/clock.ts";

/** Longest rest of a kept connection, in ms; below the time-outs that upstreams state. */
const MAX_REST_MS = 4_000;
/** As above before a protected request, in ms; upstreams are known to forget connections after 300. */
const MAX_PROTECTED_REST_MS = 150;
/** Lower bound of the rest where upstreams forget sooner, in ms; keeps connections within a burst. */
const MIN_REST_MS = 25;
/** A forgotten connection is reset within some round trips, in ms; later resets have other causes. */
const FORGOTTEN_WITHIN_MS = 10;

/** Connections to one upstream. */
export interface UpstreamConnections {
  getPool(isProtected: boolean): Agent;
  /** Hears of a reused connection that the upstream reset before its answer. */
  noteReset(socket: Socket): void;
  close(): void;
}

/**
 * Creates the connections. None is kept on which bytes come that belong to no
 * request, and none for longer than the upstream seems to remember them.
 */
export function createUpstreamConnections(
  clock: Clock,
  maxSockets: number,
): UpstreamConnections {
  const keptAt = new WeakMap<Socket, Millis>();
  const reusedAt = new WeakMap<Socket, Millis>();
  let maxRestMs = MAX_REST_MS;
  const repeatable = createPool(() => maxRestMs);
  const protecting = createPool(() =>
    Math.min(maxRestMs, MAX_PROTECTED_REST_MS)
  );
  return {
    getPool: (isProtected) => isProtected ? protecting : repeatable,
    noteReset,
    close: () => {
      repeatable.destroy();
      protecting.destroy();
    },
  };

  function createPool(getMaxRestMs: () => Millis): Agent {
    const pool = new Agent({ keepAlive: true, maxSockets });
    const keep = pool.keepSocketAlive.bind(pool);
    const reuse = pool.reuseSocket.bind(pool);
    pool.keepSocketAlive = (stream) => {
      const socket = stream as Socket;
      const isKept = keep(socket);
      keptAt.set(socket, clock.now());
      socket.on("data", destroySocket).on("timeout", destroySocket).resume();
      socket.setTimeout(getMaxRestMs());
      return isKept;
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

  function noteReset(socket: Socket): void {
    const reused = reusedAt.get(socket);
    if (reused === undefined) return;
    if (clock.now() - reused > FORGOTTEN_WITHIN_MS) return;
    const restedMs = reused - keptAt.get(socket)!;
    maxRestMs = Math.max(MIN_REST_MS, Math.min(maxRestMs, restedMs / 2));
  }
}

function destroySocket(this: Socket): void {
  this.destroy();
}
