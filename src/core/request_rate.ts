/**
 * Limits the starts at an upstream to the rate that the upstream states. The
 * guard applies the limit, as it alone sees the requests of all hosts. Load
 * pattern "an upstream in need": it states a limit far below what its slots
 * allow, and would otherwise be the first choice of every gateway, being idle.
 */

import type { CoreHost, Millis } from "./types.ts";

/** Starts that may follow each other at once, in seconds of the limit. */
const BURST_S = 0.25;
/** Lowest rate of starts, per second: only a response shows that a limit of 0 was lifted. */
const MIN_RATE_PER_S = 0.2;
/** Longest time for which gateways are told not to ask, in ms; the limit may be lifted meanwhile. */
const MAX_TURN_MS = 1_000;
/** Share of a start that may be missing because of rounding. */
const TOLERANCE = 1e-6;
const MS_PER_SECOND = 1_000;

/** The rate of starts at one upstream. */
export interface RequestRate {
  /** Sets the limit in requests per second; undefined lifts it. */
  setLimit(limitPerS: number | undefined): void;
  /** Time until a request may start after `ahead` others, in whole ms; 0 without a limit. */
  getWaitMs(ahead: number): Millis;
  /** Counts a start. */
  acquire(): void;
  /** Withdraws a start that did not take place. */
  release(): void;
  /** Gives the gateway of a refused request its turn, after those refused before. */
  defer(): void;
  /** Time until the turn of the gateway that was refused last, in ms; undefined without a limit. */
  tryGetTurnMs(): Millis | undefined;
}

/** Creates a rate without a limit. */
export function createRequestRate(host: Pick<CoreHost, "now">): RequestRate {
  let perS = Infinity;
  /** Starts that the limit allows at `refilledAt`. */
  let allowed = 0;
  let refilledAt = 0;
  let turnAt: Millis = -Infinity;
  return {
    setLimit,
    getWaitMs,
    acquire: () => add(-1),
    release: () => add(1),
    defer,
    tryGetTurnMs,
  };

  /** Under a new limit no start is allowed at once: the upstream is in need already. */
  function setLimit(limitPerS = Infinity): void {
    const isNew = perS === Infinity;
    refill();
    perS = Math.max(limitPerS, MIN_RATE_PER_S);
    allowed = isNew ? 0 : Math.min(allowed, getBurst());
  }

  function getWaitMs(ahead: number): Millis {
    if (perS === Infinity) return 0;
    refill();
    const missing = ahead + 1 - allowed;
    if (missing <= TOLERANCE) return 0;
    return Math.ceil(missing * MS_PER_SECOND / perS);
  }

  function defer(): void {
    const now = host.now();
    const nextTurnAt = Math.max(
      turnAt + MS_PER_SECOND / perS,
      now + getWaitMs(0),
    );
    turnAt = Math.min(nextTurnAt, now + MAX_TURN_MS);
  }

  function tryGetTurnMs(): Millis | undefined {
    if (perS === Infinity) return undefined;
    return Math.max(getWaitMs(0), turnAt - host.now());
  }

  function add(starts: number): void {
    if (perS === Infinity) return;
    refill();
    allowed = Math.min(allowed + starts, getBurst());
  }

  function refill(): void {
    const elapsedS = (host.now() - refilledAt) / MS_PER_SECOND;
    refilledAt = host.now();
    if (perS === Infinity) return;
    allowed = Math.min(allowed + elapsedS * perS, getBurst());
  }

  function getBurst(): number {
    return Math.max(1, perS * BURST_S);
  }
}
