/**
 * Signs of life on connections that carry exchanges. An open connection may go
 * silent without a reset; only a byte that should have come and has not shows it.
 * One timer serves all connections, and runs only while one carries an exchange.
 */

import type { Millis } from "../core/types.ts";

/** Interval in which a guard's daemon sends at least a byte on a connection with an exchange, in ms. */
export const SIGN_INTERVAL_MS: Millis = 300;
/** Intervals without a byte after which a peer that sends signs counts as silent. */
export const SILENT_INTERVALS = 4;
/** The same for a peer that sends no signs, whose reply may take as long as its request's time. */
export const UNSIGNED_INTERVALS = 250;

/** Calls back what is added once an interval. */
export interface Ticker {
  add(check: () => void): void;
  remove(check: () => void): void;
}

/**
 * Creates a ticker without a timer. Time is counted in its ticks: those that a
 * pause of the process swallows don't count, so that what arrived meanwhile is
 * read first.
 */
export function createTicker(): Ticker {
  const checks = new Set<() => void>();
  let timer: NodeJS.Timeout | undefined;
  return {
    add: (check) => {
      checks.add(check);
      timer ??= setInterval(tick, SIGN_INTERVAL_MS).unref();
    },
    remove: (check) => void checks.delete(check),
  };

  function tick(): void {
    for (const check of checks) check();
    if (checks.size > 0) return;
    clearInterval(timer);
    timer = undefined;
  }
}
