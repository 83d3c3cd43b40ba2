/** Mean time that an upstream takes for the requests of each route. */

import type { Millis } from "./types.ts";

/** Weight of the newest request; some ten requests decide. */
const SMOOTHING = 0.1;
/** Deviations above the mean within which most requests end, as in TCP's estimate of a round trip. */
const UPPER_DEVIATIONS = 2;
/** Routes that are told apart; beyond them the mean of all stands in. */
const MAX_ROUTES = 256;

/** Service times of one upstream. */
export interface ServiceTimes {
  /** Takes how long one request took at the usual speed, in ms. */
  note(route: string | undefined, tookMs: Millis): void;
  /** Mean of a route's requests, in ms; undefined before the first. */
  tryGet(route: string | undefined): Millis | undefined;
  /** Time within which most of a route's requests end, in ms; undefined before the first. */
  tryGetUpper(route: string | undefined): Millis | undefined;
  /** Mean of all requests, in ms; undefined before the first. */
  tryGetMean(): Millis | undefined;
  /** Mean of the requests that a look at the slots finds, where long ones stand longer, in ms. */
  tryGetMeanInSlots(): Millis | undefined;
}

/** Creates service times; an assumed mean in ms is corrected sample by sample. */
export function createServiceTimes(assumedMs?: Millis): ServiceTimes {
  const byRoute = new Map<string, { mean: Millis; deviation: Millis }>();
  let mean = assumedMs;
  let meanSquare = assumedMs === undefined ? undefined : assumedMs ** 2;
  return {
    note,
    tryGet: (route) => tryFind(route)?.mean,
    tryGetUpper: (route) => {
      const known = tryFind(route);
      if (known === undefined) return undefined;
      return known.mean + UPPER_DEVIATIONS * known.deviation;
    },
    tryGetMean: () => mean,
    tryGetMeanInSlots: () =>
      mean === undefined ? undefined : meanSquare! / mean,
  };

  function tryFind(route: string | undefined) {
    return route === undefined ? undefined : byRoute.get(route);
  }

  function note(route: string | undefined, tookMs: Millis): void {
    mean = smooth(mean, tookMs);
    meanSquare = smooth(meanSquare, tookMs ** 2);
    if (route === undefined) return;
    const known = byRoute.get(route);
    if (known === undefined && byRoute.size >= MAX_ROUTES) return;
    const before = known ?? { mean: tookMs, deviation: 0 };
    const error = tookMs - before.mean;
    byRoute.set(route, {
      mean: before.mean + SMOOTHING * error,
      deviation: before.deviation +
        SMOOTHING * (Math.abs(error) - before.deviation),
    });
  }
}

function smooth(mean: number | undefined, sample: number): number {
  return mean === undefined ? sample : mean + SMOOTHING * (sample - mean);
}
