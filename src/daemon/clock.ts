/** Time for the daemon's tasks. */

import { performance } from "node:perf_hooks";
import type { Millis } from "../core/types.ts";

/** A monotonic clock in milliseconds. */
export interface Clock {
  now(): Millis;
}

/** The process's monotonic clock. */
export function createClock(): Clock {
  return { now: () => performance.now() };
}
