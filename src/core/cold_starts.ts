/**
 * Whether one upstream is cold, and how many requests it may get then. An
 * upstream is cold for some seconds after it starts and may become cold again
 * at any moment; it crashes if it gets many more requests than it can take.
 * Only its health responses and its list entry tell. The newest evidence
 * counts; without recent evidence the upstream is treated as cold.
 */

import type { RateBound } from "./request_rate.ts";
import type { CoreHost, Millis } from "./types.ts";

/**
 * Age up to which a health response shows that the upstream is not cold, in ms.
 * A request that reaches a cold upstream before the guard learns of it counts
 * against the bound: at 100 starts per second this age adds six.
 */
const MAX_READING_AGE_MS = 60;
/** Age from which a new reading is due before a start, in ms; leaves time for the reading. */
const READING_DUE_MS = 30;
/** Part of the operators' bound that one second's refill uses. */
const REFILL_SHARE = 0.7;
/** Part of the operators' bound that burst and one second's refill use together. */
const BOUND_SHARE = 7 / 8;

/** Longest time by which readings of one cold phase differ, in ms: two health checks that took long. */
const MAX_READING_MS = 500;

/** Bounds of an upstream that became cold again while it was cold: less than it can take. */
const NO_EXCESS = { over: 1, slack: 0 };

/** Slowdown of a cold upstream, whose load readings need not show it. */
export const COLD_SLOWDOWN = 2;

/** Whether an upstream is cold. */
export enum ColdState {
  /** Nothing limits the requests of cold upstreams. */
  Unlimited = "unlimited",
  Warm = "warm",
  Cold = "cold",
  /** No recent evidence; treated as cold. */
  Unknown = "unknown",
}

/** Bounds of the operators on requests to cold upstreams. */
export interface ColdBounds {
  /** Factor on the rate that an upstream can take. */
  readonly over: number;
  /** Additional requests in any second. */
  readonly slack: number;
}

/** Settings of the state of one upstream. */
export interface ColdStartsOptions {
  /** Absent if nothing is to be limited. */
  readonly bounds?: ColdBounds;
  /** Requests per second that the upstream can take while it is cold; undefined if nothing is to be limited. */
  tryGetColdRatePerS(): number | undefined;
  /** Called when evidence shows that the upstream is cold, or that it is not. */
  onChange?(isCold: boolean, evidence: ColdEvidence): void;
}

/** What shows that an upstream is cold or not. */
export interface ColdEvidence {
  readonly source: "health" | "list";
  readonly coldMs: Millis;
}

/** The state of one upstream. */
export interface ColdStarts {
  /** Records a health response to a check sent at a time in ms; `coldMs` is 0 if the upstream is not cold. */
  recordHealth(coldMs: Millis, sentAt: Millis): void;
  /** Records the time for which the upstream's list entry states that it is cold, in ms. */
  recordListed(coldMs: Millis): void;
  /** Records that another incarnation runs, or that none can be told from the list. */
  forget(): void;
  getState(): ColdState;
  /** True if a health check is due before a request starts. */
  isReadingDue(): boolean;
  /** Rate of starts that the upstream may get now; undefined if it is not limited. */
  tryGetBound(): RateBound | undefined;
}

/** Creates the state of an upstream without evidence. */
export function createColdStarts(
  host: Pick<CoreHost, "now">,
  options: ColdStartsOptions,
): ColdStarts {
  let coldUntil: Millis = -Infinity;
  /** Time of the newest reading, in ms. */
  let readAt: Millis = -Infinity;
  /** Time of the newest reading if it shows that the upstream is not cold, in ms. */
  let warmAt: Millis = -Infinity;
  /** Health checks sent before this time, in ms, show nothing. */
  let validFrom: Millis = -Infinity;
  let wasCold = false;
  /** Time until which the newest health response states that the upstream is cold, in ms. */
  let statedUntil: Millis = -Infinity;
  /** True from a restart of the cold upstream until it is warm. */
  let isCautious = false;
  return {
    recordHealth,
    recordListed,
    forget,
    getState,
    isReadingDue: () =>
      tryGetColdBound() !== undefined && host.now() - readAt >= READING_DUE_MS,
    tryGetBound,
  };

  function recordHealth(coldMs: Millis, sentAt: Millis): void {
    if (sentAt < validFrom && coldMs <= 0) return;
    readAt = host.now();
    isCautious = coldMs > 0 && (isCautious || isColdAgain(coldMs));
    statedUntil = readAt + coldMs;
    warmAt = coldMs > 0 ? -Infinity : readAt;
    coldUntil = coldMs > 0 ? readAt + coldMs : -Infinity;
    report({ source: "health", coldMs });
  }

  /** True if the upstream became cold again while it was cold: it may have got more than it can take. */
  function isColdAgain(coldMs: Millis): boolean {
    return readAt < statedUntil &&
      readAt + coldMs > statedUntil + MAX_READING_MS;
  }

  /** A health check that is sent later is newer evidence. */
  function recordListed(coldMs: Millis): void {
    if (coldMs <= 0) return;
    forget();
    coldUntil = Math.max(coldUntil, host.now() + coldMs);
    report({ source: "list", coldMs });
  }

  function forget(): void {
    validFrom = host.now();
    warmAt = -Infinity;
    readAt = -Infinity;
  }

  function report(evidence: ColdEvidence): void {
    const isCold = evidence.coldMs > 0;
    if (isCold === wasCold) return;
    wasCold = isCold;
    options.onChange?.(isCold, evidence);
  }

  function getState(): ColdState {
    if (tryGetColdBound() === undefined) return ColdState.Unlimited;
    const now = host.now();
    if (now < coldUntil) return ColdState.Cold;
    return now - warmAt <= MAX_READING_AGE_MS
      ? ColdState.Warm
      : ColdState.Unknown;
  }

  function tryGetBound(): RateBound | undefined {
    const state = getState();
    return state === ColdState.Cold || state === ColdState.Unknown
      ? tryGetColdBound()
      : undefined;
  }

  function tryGetColdBound(): RateBound | undefined {
    const perS = options.tryGetColdRatePerS();
    if (perS === undefined || options.bounds === undefined) return undefined;
    return createColdBound(perS, isCautious ? NO_EXCESS : options.bounds);
  }
}

/**
 * The rate of starts at a cold upstream. In any second burst and refill stay
 * below the operators' bound by at least an eighth of it, for what arrives
 * closer together than it started.
 */
export function createColdBound(
  coldRatePerS: number,
  { over, slack }: ColdBounds,
): RateBound {
  const maxPerSecond = coldRatePerS * over + slack;
  const perS = Math.max(maxPerSecond * REFILL_SHARE, MIN_PER_S);
  return { perS, burst: Math.max(1, maxPerSecond * BOUND_SHARE - perS) };
}

/** Lowest rate of starts, per second, so that every wait ends. */
const MIN_PER_S = 0.2;
