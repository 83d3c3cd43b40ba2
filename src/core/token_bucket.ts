/** Token buckets: budgets for retries, hedges and probes. */

import type { CoreHost } from "./types.ts";

/** A bucket of tokens. */
export interface TokenBucket {
  /** Acquires tokens if enough are available. */
  tryAcquire(amount?: number): boolean;
  /** Adds tokens up to the capacity. */
  add(amount: number): void;
  getTokens(): number;
}

/** Settings of a bucket. */
export interface TokenBucketOptions {
  readonly capacity: number;
  /** Refill, in tokens per second. */
  readonly perSecond: number;
  readonly isEmptyAtStart?: boolean;
}

const MS_PER_SECOND = 1000;

/** Creates a bucket. */
export function createTokenBucket(
  host: CoreHost,
  options: TokenBucketOptions,
): TokenBucket {
  let tokens = options.isEmptyAtStart ? 0 : options.capacity;
  let refilledAt = host.now();
  return { tryAcquire, add, getTokens };

  function tryAcquire(amount = 1): boolean {
    refill();
    if (tokens < amount) return false;
    tokens -= amount;
    return true;
  }

  function add(amount: number): void {
    tokens = Math.min(options.capacity, tokens + amount);
  }

  function getTokens(): number {
    refill();
    return tokens;
  }

  function refill(): void {
    const now = host.now();
    add(options.perSecond * (now - refilledAt) / MS_PER_SECOND);
    refilledAt = now;
  }
}
