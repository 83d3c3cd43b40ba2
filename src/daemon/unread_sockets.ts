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

/** Interval of the timer that shows whether the process is held up, in ms. */
const CHECK_MS = 100;
/** Delay of that timer from which the process counts as held up, in ms: a tenth of the time within which work for a departed caller has to end. */
const LATE_MS = 50;
/** Shortest time between two log lines about it, in ms. */
const LOG_INTERVAL_MS = 1_000;

/** Settings of the observation. */
export interface ProcessDelayOptions {
  readonly counters: Counters;
  readonly logger: Logger;
}

/** Logs and counts delays of the process; returns a function that ends it. */
export function observeProcessDelay(
  clock: Clock,
  { counters, logger }: ProcessDelayOptions,
): () => void {
  let dueAt = clock.now() + CHECK_MS;
  let loggedAt: Millis = -Infinity;
  const timer = setInterval(check, CHECK_MS);
  timer.unref();
  return () => clearInterval(timer);

  function check(): void {
    const lateMs = clock.now() - dueAt;
    dueAt = clock.now() + CHECK_MS;
    if (lateMs < LATE_MS) return;
    counters.add("process_held_up");
    if (clock.now() - loggedAt < LOG_INTERVAL_MS) return;
    loggedAt = clock.now();
    logger.warn("process_held_up", { lateMs: Math.round(lateMs) });
  }
}
