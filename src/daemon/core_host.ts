/** Clock, randomness and signatures for the core in a real process. */

import { createHmac, randomBytes } from "node:crypto";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { type PreviewHost, withPreview } from "../core/preview_random.ts";
import type { Clock } from "./clock.ts";

const SECRET_BYTES = 32;

/** Creates a core host; its signing secret is random and lasts as long as the process. */
export function createCoreHost(clock: Clock): PreviewHost {
  const secret = randomBytes(SECRET_BYTES);
  const generator = xoroshiro128plus(randomBytes(4).readInt32LE());
  return withPreview({
    now: clock.now,
    random: () => uniformFloat64(generator),
    sign: (text) => createHmac("sha256", secret).update(text).digest("hex"),
  });
}
