/**
 * Limits the starts at an upstream to several rates: the one that the upstream
 * states, and the one that it can take while it is cold. The guard applies the
 * limits, as it alone sees the requests of all hosts. Load pattern "an upstream
 * in need": it states a limit far below what its slots allow, and would
 * otherwise be the first choice of every gateway, being idle.
 */

import type { CoreHost, Millis } from "./types.ts";

/** Starts that may follow each other at once under a stated limit, in seconds of the limit. */
const BURST_S = 0.25;
/** Lowest rate of starts, per second: only a response shows that a limit of 0 was lifted. */
const MIN_RATE_PER_S = 0.2;
/** Longest time for which gateways are told not to ask, in ms; the limit may be lifted meanwhile. */
const MAX_TURN_MS = 1_000;
/** Share of a start that may be missing because of rounding. */
const TOLERANCE = 1e-6;
/**
 * Time for which a start counts against a limit that begins later, in ms: the
 * upstream may have become cold up to the age of a reading before the guard
 * learns it.
 */
const PRECEDING_MS = 100;
/** Span of the operators' bound on a cold upstream, in ms. */
const BOUND_SPAN_MS = 1_000;
const MS_PER_SECOND = 1_000;

/** Limits on one upstream. */
export enum RateLimit {
  /** What the upstream states in its responses. */
  Stated = "stated",
  /** What it can take while it is cold. */
  Cold = "cold",
}

const ALL_LIMITS = Object.values(RateLimit);

/** A rate of starts and the starts that may follow each other at once. */
export interface RateBound {
  readonly perS: number;
  readonly burst: number;
}

/** The rate of starts at one upstream. */
export interface RequestRate {
  /** Sets a limit; undefined lifts it. */
  setLimit(limit: RateLimit, bound: RateBound | undefined): void;
  /** Time until a request may start after `ahead` others, in whole ms; 0 without a limit. */
  getWaitMs(ahead: number, limits?: readonly RateLimit[]): Millis;
  /** True while a limit is in force. */
  isLimited(limit: RateLimit): boolean;
  /** Counts a start. */
  acquire(): void;
  /** Withdraws a start that did not take place from the given limits. */
  release(limits?: readonly RateLimit[]): void;
  /** Gives the gateway of a refused request its turn, after those refused before. */
  defer(): void;
  /** Time until the turn of the gateway that was refused last, in ms; undefined without any of the limits. */
  tryGetTurnMs(limits?: readonly RateLimit[]): Millis | undefined;
}

/** The bound of a limit that an upstream states, in requests per second. */
export function createStatedBound(
  limitPerS: number | undefined,
): RateBound | undefined {
  if (limitPerS === undefined) return undefined;
  const perS = Math.max(limitPerS, MIN_RATE_PER_S);
  return { perS, burst: Math.max(1, perS * BURST_S) };
}

/** Settings of the rate of starts. */
export interface RequestRateOptions {
  /** Time from which this guard alone starts requests at the upstream, in ms; now by default. */
  readonly aloneSince?: Millis;
}

/** Creates a rate without a limit. */
export function createRequestRate(
  host: Pick<CoreHost, "now">,
  { aloneSince = host.now() }: RequestRateOptions = {},
): RequestRate {
  const buckets: Record<RateLimit, Bucket> = {
    [RateLimit.Stated]: createBucket(host),
    [RateLimit.Cold]: createBucket(host, createRecentStarts(host, aloneSince)),
  };
  let turnAt: Millis = -Infinity;
  return {
    setLimit: (limit, bound) => buckets[limit].setBound(bound),
    getWaitMs,
    isLimited: (limit) => buckets[limit].getPerS() !== Infinity,
    acquire: () => {
      for (const limit of ALL_LIMITS) buckets[limit].acquire();
    },
    release: (limits = ALL_LIMITS) => {
      for (const limit of limits) buckets[limit].release();
    },
    defer,
    tryGetTurnMs,
  };

  function getWaitMs(ahead: number, limits = ALL_LIMITS): Millis {
    return Math.max(...limits.map((it) => buckets[it].getWaitMs(ahead)));
  }

  function defer(): void {
    const now = host.now();
    const perS = Math.min(...ALL_LIMITS.map((it) => buckets[it].getPerS()));
    const nextTurnAt = Math.max(
      turnAt + MS_PER_SECOND / perS,
      now + getWaitMs(0),
    );
    turnAt = Math.min(nextTurnAt, now + MAX_TURN_MS);
  }

  function tryGetTurnMs(limits = ALL_LIMITS): Millis | undefined {
    const isAny = limits.some((it) => buckets[it].getPerS() !== Infinity);
    if (!isAny) return undefined;
    return Math.max(getWaitMs(0, limits), turnAt - host.now());
  }
}

/** Token bucket of one limit. */
interface Bucket {
  setBound(bound: RateBound | undefined): void;
  /** Starts per second; Infinity without a bound. */
  getPerS(): number;
  getWaitMs(ahead: number): Millis;
  acquire(): void;
  release(): void;
}

function createBucket(
  host: Pick<CoreHost, "now">,
  recentStarts?: RecentStarts,
): Bucket {
  let bound: RateBound | undefined;
  /** Starts that the limit allows at `refilledAt`. */
  let allowed = 0;
  let refilledAt = 0;
  return {
    setBound,
    getPerS: () => bound?.perS ?? Infinity,
    getWaitMs,
    acquire,
    release: () => add(1),
  };

  /** Under a new bound no start is allowed at once: the upstream is in need already. */
  function setBound(next: RateBound | undefined): void {
    const isNew = bound === undefined;
    refill();
    bound = next;
    if (next === undefined) return;
    const preceding = recentStarts?.count(PRECEDING_MS) ?? 0;
    allowed = isNew ? -preceding : Math.min(allowed, next.burst);
  }

  function getWaitMs(ahead: number): Millis {
    if (bound === undefined) return 0;
    refill();
    const missing = ahead + 1 - allowed;
    if (missing <= TOLERANCE) return 0;
    return Math.ceil(missing * MS_PER_SECOND / bound.perS);
  }

  function acquire(): void {
    add(-1);
    recentStarts?.record();
  }

  function add(starts: number): void {
    if (bound === undefined) return;
    refill();
    allowed = Math.min(allowed + starts, bound.burst);
  }

  function refill(): void {
    const elapsedS = (host.now() - refilledAt) / MS_PER_SECOND;
    refilledAt = host.now();
    if (bound === undefined) return;
    allowed = Math.max(
      Math.min(allowed + elapsedS * bound.perS, bound.burst),
      getUnusedBurst(bound),
    );
  }

  /**
   * Starts that the last second leaves of the burst. An upstream that got no
   * request in that time can take the burst, however short its limit is in
   * force: after a loss of power all callers are back while the bucket, which
   * starts empty, holds nothing. In any second there are still no more starts
   * than burst and refill together.
   */
  function getUnusedBurst({ burst }: RateBound): number {
    return recentStarts?.isComplete() === true
      ? burst - recentStarts.count(BOUND_SPAN_MS)
      : -Infinity;
  }
}

/** Starts of the last second. */
interface RecentStarts {
  record(): void;
  /** Number of starts within a time of at most a second, in ms. */
  count(withinMs: Millis): number;
  /** True if no other guard can have started a request within the last second. */
  isComplete(): boolean;
}

function createRecentStarts(
  host: Pick<CoreHost, "now">,
  aloneSince: Millis,
): RecentStarts {
  const times: Millis[] = [];
  return { record, count, isComplete };

  function record(): void {
    const since = host.now() - BOUND_SPAN_MS;
    while (times.length > 0 && times[0]! <= since) times.shift();
    times.push(host.now());
  }

  function count(withinMs: Millis): number {
    const since = host.now() - withinMs;
    return times.length - 1 - times.findLastIndex((at) => at <= since);
  }

  function isComplete(): boolean {
    return host.now() - aloneSince >= BOUND_SPAN_MS;
  }
}
