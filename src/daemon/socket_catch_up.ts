/**
 * Lets a process that was held up read its sockets once more before it acts on
 * what it has read. A caller's request and the close of its connection wait one
 * behind the other in the same buffer, and Node.js reads them in different turns
 * of the event loop.
 */

import type { Socket } from "node:net";
import type { Counters } from "../core/counters.ts";
import type { Millis } from "../core/types.ts";
import type { Clock } from "./clock.ts";
import type { Logger } from "./logger.ts";

/** Interval of the timer that shows whether the process is held up, in ms. */
const CHECK_MS = 100;
/**
 * Delay of that timer from which the process counts as held up, in ms. With
 * CHECK_MS, bytes may have waited up to 150 ms unnoticed at each of two daemons,
 * of the half second that work for a departed caller may go on.
 */
const LATE_MS = 50;
/** Shortest time between two log lines about it, in ms. */
const LOG_INTERVAL_MS = 1_000;
/** Turns of the event loop that end until a close is read that waits behind a request: the present one and the next. */
const TURNS = 2;

/** Tells whether sockets may hold bytes that have waited for long. */
export interface SocketCatchUp {
  /** Resolves once the sockets have been read again; undefined unless the process was held up. */
  wait(): Promise<void> | undefined;
  close(): void;
}

/** Settings of the observation. */
export interface SocketCatchUpOptions {
  readonly counters: Counters;
  readonly logger: Logger;
}

/** Starts to observe the process. */
export function createSocketCatchUp(
  clock: Clock,
  { counters, logger }: SocketCatchUpOptions,
): SocketCatchUp {
  let dueAt: Millis;
  /** Turns that have to pass since the timer was last seen to be late. */
  let turnsLeft = 0;
  let timer: NodeJS.Timeout;
  let loggedAt: Millis = -Infinity;
  schedule();
  return { wait, close: () => clearTimeout(timer) };

  function schedule(): void {
    dueAt = clock.now() + CHECK_MS;
    timer = setTimeout(check, CHECK_MS);
    timer.unref();
  }

  /** The timer runs before the sockets are read that filled meanwhile. */
  function check(): void {
    if (isLate()) {
      if (turnsLeft === 0) setImmediate(endTurn);
      turnsLeft = TURNS;
      report(clock.now() - dueAt);
    }
    schedule();
  }

  function report(lateMs: Millis): void {
    counters.add("process_held_up");
    if (clock.now() - loggedAt < LOG_INTERVAL_MS) return;
    loggedAt = clock.now();
    logger.warn("process_held_up", { lateMs: Math.round(lateMs) });
  }

  function endTurn(): void {
    turnsLeft -= 1;
    if (turnsLeft > 0) setImmediate(endTurn);
  }

  function isLate(): boolean {
    return clock.now() - dueAt >= LATE_MS;
  }

  function wait(): Promise<void> | undefined {
    // A pause within the reading of sockets ends before the timer runs.
    if (turnsLeft === 0 && !isLate()) return undefined;
    return new Promise((resolve) => waitTurns(TURNS, resolve));
  }
}

/** True if the peer has closed the connection, as far as it was read. */
export function hasEnded(socket: Socket): boolean {
  return socket.destroyed || socket.readableEnded;
}

function waitTurns(turns: number, done: () => void): void {
  if (turns === 0) done();
  else setImmediate(() => waitTurns(turns - 1, done));
}
