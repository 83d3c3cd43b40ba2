/**
 * Lets a process read its sockets once more before it acts on what it has read.
 * A request and the close of its connection arrive together if packets were sent
 * again or the process was held up, and Node.js reads them in different turns of
 * the event loop.
 */

import type { Socket } from "node:net";
import type { Counters } from "../core/counters.ts";
import type { Millis } from "../core/types.ts";
import type { Clock } from "./clock.ts";
import type { Logger } from "./logger.ts";

let nextReading: Promise<void> | undefined;

/**
 * Resolves once the sockets have been read again after the present reading: at
 * the end of the next turn of the event loop. Calls of one turn share it.
 */
export function waitForSockets(): Promise<void> {
  return nextReading ??= new Promise((resolve) =>
    setImmediate(() => {
      nextReading = undefined;
      setImmediate(resolve);
    })
  );
}

/** True if the peer has closed the connection, as far as it was read. */
export function hasEnded(socket: Socket): boolean {
  return socket.destroyed || socket.readableEnded;
}

/** Shortest time between two log lines about a late timer, in ms. */
const LOG_INTERVAL_MS = 1_000;

/** Creates a listener for late timers, which counts and logs that the process was held up. */
export function createDelayListener(
  clock: Clock,
  { counters, logger }: {
    readonly counters: Counters;
    readonly logger: Logger;
  },
): (lateMs: Millis) => void {
  let loggedAt: Millis = -Infinity;
  return (lateMs) => {
    counters.add("process_held_up");
    if (clock.now() - loggedAt < LOG_INTERVAL_MS) return;
    loggedAt = clock.now();
    logger.warn("process_held_up", { lateMs: Math.round(lateMs) });
  };
}
