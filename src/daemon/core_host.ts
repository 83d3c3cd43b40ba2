/** The core's surroundings in a real process. */

import { createHmac, randomBytes } from "node:crypto";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import type { CoreHost } from "../core/types.ts";
import type { Clock } from "./clock.ts";

const SECRET_BYTES = 32;

/** Clock, chance and a digest whose secret lives as long as the process. */
export function createCoreHost(clock: Clock): CoreHost {
  const secret = randomBytes(SECRET_BYTES);
  const generator = xoroshiro128plus(randomBytes(4).readInt32LE());
  return {
    now: clock.now,
    random: () => uniformFloat64(generator),
    sign: (text) => createHmac("sha256", secret).update(text).digest("hex"),
  };
}
