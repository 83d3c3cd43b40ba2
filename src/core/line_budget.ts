/**
 * Samples the requests to log under high load: all lines of a request or none.
 * A hash of the request's id decides, so the samples of different daemons cover
 * the same requests.
 */

import murmurhash from "murmurhash";
import type { CoreHost, Millis } from "./types.ts";

const PERIOD_MS: Millis = 1_000;
const HASH_RANGE = 2 ** 32;
/** At least one request in this many is logged. */
const MAX_SAMPLING_INTERVAL = 1_024;

/** Limits the log lines of requests. */
export interface LineBudget {
  /** True if lines of this request are to be written now. */
  mayWrite(id: string): boolean;
  /** Returns the number of lines omitted since the last call and resets it. */
  takeOmitted(): number;
}

/** Creates a budget in lines per second. */
export function createLineBudget(
  host: CoreHost,
  linesPerSecond: number,
): LineBudget {
  let startedAt = host.now();
  let offered = 0;
  let omitted = 0;
  /** One request in this many is logged. */
  let samplingInterval = 1;
  return { mayWrite, takeOmitted };

  function mayWrite(id: string): boolean {
    if (host.now() - startedAt >= PERIOD_MS) startPeriod();
    offered += 1;
    const isWritten = samplingInterval === 1 ||
      murmurhash.v3(id) < HASH_RANGE / samplingInterval;
    if (!isWritten) omitted += 1;
    return isWritten;
  }

  function startPeriod(): void {
    const wanted = offered / linesPerSecond;
    samplingInterval = 1;
    while (
      samplingInterval < wanted && samplingInterval < MAX_SAMPLING_INTERVAL
    ) samplingInterval *= 2;
    offered = 0;
    startedAt = host.now();
  }

  function takeOmitted(): number {
    const count = omitted;
    omitted = 0;
    return count;
  }
}
