/** When a refused caller comes back. */

import type { CoreHost, Millis } from "./types.ts";

/** Retry-after if no guard stated one, in ms; a random part of up to as much is added. */
const DEFAULT_RETRY_AFTER_MS = 100;
/** Shortest retry-after, in ms. */
const MIN_RETRY_AFTER_MS = 20;
/** Callers honour a retry-after of up to this share of the time that they have left. */
const MAX_SHARE_OF_TIME_LEFT = 1 / 3;

/** Time after which a request that a gateway refuses may be sent again, in ms. */
export function chooseRetryAfter(
  host: Pick<CoreHost, "random">,
  statedMs: Millis | undefined,
): Millis {
  return statedMs ?? DEFAULT_RETRY_AFTER_MS * (1 + host.random());
}

/**
 * Time after which a caller should come back, in ms: when capacity is expected,
 * within what the caller can wait. Load pattern "all callers at once": callers
 * that were refused together and can't wait until then would all come back at
 * the limit, so their times are spread over its second half.
 */
export function limitRetryAfter(
  host: Pick<CoreHost, "random">,
  { expectedMs = 0, leftMs }: {
    readonly expectedMs?: Millis | undefined;
    readonly leftMs: Millis;
  },
): Millis {
  const longestMs = Math.max(0, leftMs * MAX_SHARE_OF_TIME_LEFT);
  const wantedMs = Math.max(expectedMs, MIN_RETRY_AFTER_MS);
  return wantedMs <= longestMs ? wantedMs : longestMs * (1 - host.random() / 2);
}
