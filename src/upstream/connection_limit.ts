/**
 * How many connections one upstream accepts. An upstream resets those beyond
 * its limit, with the requests on them. The configuration states the limit; an
 * upstream that accepts fewer shows it by resetting a connection at once while
 * others stay open.
 */

import type { CoreHost, Millis } from "../core/types.ts";

/** Connections to the upstream beside those for requests: the health check's, and one that tests whether it has ended. */
const OTHER_CONNECTIONS = 2;
/** Time after which a limit that was shown is forgotten, in ms: an upstream accepts fewer connections only while its queue is long. */
const SHOWN_MS = 60_000;

/** Settings of the limit. */
export interface ConnectionLimitOptions {
  /** Connections that the upstream accepts as stated, undefined if nothing is stated. */
  tryGetStated(): number | undefined;
  /** Requests that the upstream runs at once; each needs a connection. */
  getSlots(): number;
}

/** The limit of one upstream. */
export interface ConnectionLimit {
  /** True if one more connection beside the given number of open ones may exceed the limit. */
  isReached(open: number): boolean;
  /**
   * Records that a new connection was reset at once: the number of others that
   * were open then, and how many of these the upstream kept. Returns true if that
   * shows its limit.
   */
  recordRefused(open: number, kept: number): boolean;
  /** Records that the upstream keeps the given number of connections. */
  recordKept(kept: number): void;
  /** Forgets what an earlier start of the upstream has shown. */
  forgetStart(): void;
}

/** Creates the limit of an upstream that has shown none. */
export function createConnectionLimit(
  host: Pick<CoreHost, "now">,
  options: ConnectionLimitOptions,
): ConnectionLimit {
  let shown = Infinity;
  let forgetsAt: Millis = -Infinity;
  return {
    isReached: (open) => open >= Math.min(getStated(), getShown()),
    recordRefused,
    recordKept: (kept) => shown = Math.max(shown, kept),
    forgetStart: () => forgetsAt = -Infinity,
  };

  function getStated(): number {
    const stated = options.tryGetStated() ?? Infinity;
    return atLeastSlots(stated - OTHER_CONNECTIONS);
  }

  function getShown(): number {
    return host.now() < forgetsAt ? atLeastSlots(shown) : Infinity;
  }

  /** Fewer connections than slots would leave slots unused. */
  function atLeastSlots(limit: number): number {
    return Math.max(limit, options.getSlots());
  }

  /** If others were closed too, the upstream may have ended. */
  function recordRefused(open: number, kept: number): boolean {
    if (kept === 0 || kept < open) return false;
    shown = kept;
    forgetsAt = host.now() + SHOWN_MS;
    return true;
  }
}
