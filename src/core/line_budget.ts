/**
 * Which requests are logged when there are too many: all lines of a request or
 * none, and the same requests at every daemon, since the choice goes by a hash
 * of the request's id.
 */

import murmurhash from "murmurhash";
import type { CoreHost, Millis } from "./types.ts";

const PERIOD_MS: Millis = 1_000;
const HASH_RANGE = 2 ** 32;
/** At least one request in this many is logged. */
const MAX_THINNING = 1_024;

/** Decides on lines. */
export interface LineBudget {
  /** True where the lines of this request are written now. */
  mayWrite(id: string): boolean;
  /** Lines that were left out since the last call. */
  takeOmitted(): number;
}

/** Creates a budget of lines a second. */
export function createLineBudget(
  host: CoreHost,
  linesPerSecond: number,
): LineBudget {
  let startedAt = host.now();
  let offered = 0;
  let omitted = 0;
  /** One request in this many is logged. */
  let thinning = 1;
  return { mayWrite, takeOmitted };

  function mayWrite(id: string): boolean {
    if (host.now() - startedAt >= PERIOD_MS) startPeriod();
    offered += 1;
    const isWritten = murmurhash.v3(id) < HASH_RANGE / thinning;
    if (!isWritten) omitted += 1;
    return isWritten;
  }

  function startPeriod(): void {
    const wanted = offered / linesPerSecond;
    thinning = 1;
    while (thinning < wanted && thinning < MAX_THINNING) thinning *= 2;
    offered = 0;
    startedAt = host.now();
  }

  function takeOmitted(): number {
    const count = omitted;
    omitted = 0;
    return count;
  }
}
