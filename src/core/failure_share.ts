/**
 * Share of recent results that were failures. It decays with time, so that an
 * upstream that is avoided because of it is tried again.
 */

import type { CoreHost, Millis } from "./types.ts";

/** Age at which a share that a guard reports has fallen to a half, in ms. */
export const REPORTED_HALF_LIFE_MS = 4_000;

/** Recent failures of one upstream. */
export interface FailureShare {
  record(isGood: boolean): void;
  /** Share of failures, from 0 to 1. */
  get(): number;
}

/** How results are weighted. */
export interface FailureShareOptions {
  /** Weight of the newest result. */
  readonly smoothing: number;
  /** Age at which a share has fallen to a half, in ms. */
  readonly halfLifeMs: Millis;
}

/** Creates a share of 0. */
export function createFailureShare(
  host: Pick<CoreHost, "now">,
  { smoothing, halfLifeMs }: FailureShareOptions,
): FailureShare {
  let share = 0;
  let recordedAt: Millis = -Infinity;
  return { record, get };

  function record(isGood: boolean): void {
    const before = get();
    share = before + smoothing * ((isGood ? 0 : 1) - before);
    recordedAt = host.now();
  }

  function get(): number {
    return share * 0.5 ** ((host.now() - recordedAt) / halfLifeMs);
  }
}
