/** Seeded plans of faults, some of them in series on one host. */

import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { getZone } from "../platform/mesh.ts";
import { type Fault, FaultKind } from "./types.ts";

/** Time within which faults start, in ms. */
export const FAULT_WINDOW_MS = 8_000;
const FAULT_COUNT = 14;
const MIN_DURATION_MS = 100;
const MAX_DURATION_MS = 2_000;
/**
 * Share of faults that start shortly after the previous one, on the same host.
 */
const SERIES_SHARE = 0.35;

/** Kinds that are drawn after all others, so that plans of earlier seeds keep their faults. */
const ADDED_KINDS = new Set([
  FaultKind.StoreRolledBack,
  FaultKind.UpstreamLimited,
  FaultKind.UpstreamLeaving,
]);
const COUNT_PER_ADDED_KIND = 2;

/** Kinds with a stream of their own, so that the other faults of a seed stay as they were. */
const SEPARATE_KINDS = new Map([
  // Early, so that the other faults begin before and after `evacuateS` has passed.
  [FaultKind.Evacuated, { count: 1, windowMs: 3_000 }],
  [FaultKind.UpstreamCold, { count: 3, windowMs: FAULT_WINDOW_MS }],
  [FaultKind.UpstreamEndless, { count: 2, windowMs: FAULT_WINDOW_MS }],
  [FaultKind.PublishedUnreadable, { count: 2, windowMs: FAULT_WINDOW_MS }],
  [FaultKind.FatalRequest, { count: 1, windowMs: 1_500 }],
]);
/** Every third seed has a fatal request: few callers are served during it. */
const FATAL_EVERY = 3;

/** Time within which the planned stops of the end begin, in ms. */
const STOP_WINDOW_MS = 1_500;
/** Most time from the first SIGTERM to the second one of the same daemon, in ms. */
const SECOND_STOP_MS = 2_500;

/** One seed in so many stops a whole failure domain at the end, and one loses writes of the store meanwhile. */
const EXTRA_STOPS_EVERY = 5;
const DOMAIN_STOPS = 4;
const ROLLBACK_WHILE_STOPPING = 1;

/** Creates a seeded generator of random numbers from 0 to 1. */
export function createRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

/** Draws the plan of a seed, sorted by start. */
export function drawPlan(seed: number, hosts: number): Fault[] {
  const random = createRandom(seed);
  const kinds = Object.values(FaultKind)
    .filter((k) => !ADDED_KINDS.has(k) && !SEPARATE_KINDS.has(k));
  const faults: Fault[] = [];
  for (let i = 0; i < FAULT_COUNT; i++) {
    const before = faults.at(-1);
    const isSeries = before !== undefined && random() < SERIES_SHARE;
    const durationMs = MIN_DURATION_MS +
      random() * (MAX_DURATION_MS - MIN_DURATION_MS);
    faults.push({
      at: isSeries ? before.at + random() * 400 : random() * FAULT_WINDOW_MS,
      durationMs,
      kind: kinds[Math.floor(random() * kinds.length)]!,
      host: isSeries ? before.host : Math.floor(random() * hosts),
      strength: random(),
    });
  }
  for (const kind of ADDED_KINDS) {
    for (let i = 0; i < COUNT_PER_ADDED_KIND; i++) {
      faults.push(drawFault(random, { kind, hosts }));
    }
  }
  for (const [kind, { count, windowMs }] of SEPARATE_KINDS) {
    const isLeftOut = kind === FaultKind.FatalRequest &&
      seed % FATAL_EVERY !== 1;
    if (isLeftOut) continue;
    // One stream a kind, so that a further kind changes none of these.
    const separate = createRandom(hashName(kind) ^ seed);
    for (let i = 0; i < count; i++) {
      faults.push(drawFault(separate, { kind, hosts, windowMs }));
    }
  }
  return faults.sort((a, b) => a.at - b.at);
}

/**
 * Draws planned stops that overlap: two daemons, one of which gets SIGTERM
 * twice and SIGHUP beside it, and a configuration meanwhile; for some seeds all
 * of its failure domain too, or a store that comes back older.
 */
export function drawStops(seed: number, hosts: number): Fault[] {
  const random = createRandom(hashName(FaultKind.Stopped) ^ seed);
  const host = Math.floor(random() * hosts);
  const other = (host + 1 + Math.floor(random() * (hosts - 1))) % hosts;
  const draw = (kind: FaultKind, host: number, windowMs: number) => ({
    ...drawFault(random, { kind, hosts, windowMs }),
    host,
  });
  const stops = [
    draw(FaultKind.Stopped, host, STOP_WINDOW_MS),
    draw(FaultKind.Stopped, other, STOP_WINDOW_MS),
    draw(FaultKind.Stopped, host, STOP_WINDOW_MS + SECOND_STOP_MS),
    draw(FaultKind.Reloaded, host, STOP_WINDOW_MS + SECOND_STOP_MS),
    draw(FaultKind.Reloaded, other, STOP_WINDOW_MS),
    draw(FaultKind.Published, host, STOP_WINDOW_MS + SECOND_STOP_MS),
  ];
  if (seed % EXTRA_STOPS_EVERY === DOMAIN_STOPS) {
    for (let it = 0; it < hosts; it++) {
      if (it === host || getZone(it) !== getZone(host)) continue;
      stops.push(draw(FaultKind.Stopped, it, STOP_WINDOW_MS));
    }
  }
  if (seed % EXTRA_STOPS_EVERY === ROLLBACK_WHILE_STOPPING) {
    const windowMs = STOP_WINDOW_MS + SECOND_STOP_MS;
    stops.push(draw(FaultKind.StoreRolledBack, host, windowMs));
  }
  return stops.sort((a, b) => a.at - b.at);
}

function drawFault(
  random: () => number,
  { kind, hosts, windowMs = FAULT_WINDOW_MS }: {
    kind: FaultKind;
    hosts: number;
    windowMs?: number;
  },
): Fault {
  return {
    at: random() * windowMs,
    durationMs: MIN_DURATION_MS +
      random() * (MAX_DURATION_MS - MIN_DURATION_MS),
    kind,
    host: Math.floor(random() * hosts),
    strength: random(),
  };
}

function hashName(name: string): number {
  return [...name].reduce((sum, c) => 31 * sum + c.charCodeAt(0) | 0, 0);
}
