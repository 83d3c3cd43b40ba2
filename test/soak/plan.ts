/** Seeded plans of faults: series, pairs at one moment, and single ones. */

import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { type Fault, FaultKind } from "./types.ts";

/** Time in which faults begin, in ms. */
export const FAULTS_MS = 8_000;
const FAULTS = 14;
const MIN_FOR_MS = 100;
const MAX_FOR_MS = 2_000;
/** Share of faults that follow the one before at once, on the same host. */
const SERIES_SHARE = 0.35;

/** A sequence of numbers from 0 to 1 for a seed. */
export function createRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

/** Draws a plan. */
export function drawPlan(seed: number, hosts: number): Fault[] {
  const random = createRandom(seed);
  const kinds = Object.values(FaultKind);
  const faults: Fault[] = [];
  for (let i = 0; i < FAULTS; i++) {
    const before = faults.at(-1);
    const isSeries = before !== undefined && random() < SERIES_SHARE;
    const forMs = MIN_FOR_MS + random() * (MAX_FOR_MS - MIN_FOR_MS);
    faults.push({
      at: isSeries ? before.at + random() * 400 : random() * FAULTS_MS,
      forMs,
      kind: kinds[Math.floor(random() * kinds.length)]!,
      host: isSeries ? before.host : Math.floor(random() * hosts),
      strength: random(),
    });
  }
  return faults.sort((a, b) => a.at - b.at);
}
