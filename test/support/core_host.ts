/** A `CoreHost` with a manual clock and deterministic random numbers. */

import { createHash } from "node:crypto";
import type { CoreHost } from "../../src/core/types.ts";

/** `CoreHost` whose clock moves only by `advance`. */
export interface TestHost extends CoreHost {
  advance(ms: number): void;
}

/** Creates a host at time 0 with a fixed sequence of random numbers. */
export function createTestHost(): TestHost {
  let now = 0;
  let draw = 0;
  return {
    now: () => now,
    random: () => {
      draw = (draw * 1_103_515_245 + 12_345) % 2_147_483_648;
      return draw / 2_147_483_648;
    },
    sign: (text) => createHash("sha256").update(text).digest("hex"),
    advance: (ms) => void (now += ms),
  };
}
