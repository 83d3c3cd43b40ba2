/** The clock of the daemon's tasks. */

import { performance } from "node:perf_hooks";
import type { Millis } from "../core/types.ts";

/** A monotonic clock in milliseconds. */
export interface Clock {
  now(): Millis;
}

/** Creates a clock that reads the process's monotonic time. */
export function createClock(): Clock {
  return { now: () => performance.now() };
}
