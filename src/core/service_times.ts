/** Service times of an upstream by route. */

import type { Millis } from "./types.ts";

/** Weight of the newest sample; the mean covers about the last ten. */
const SMOOTHING = 0.1;
/** Mean deviations above the mean within which most requests end, as in TCP's round-trip estimate. */
const UPPER_DEVIATIONS = 2;
/** Routes with estimates of their own; for all others the mean of all requests is used. */
const MAX_ROUTES = 256;

/** Service times of one upstream. */
export interface ServiceTimes {
  /** Records the service time of one request at the usual speed, in ms. */
  record(route: string | undefined, tookMs: Millis): void;
  /** Mean service time of a route, in ms; undefined before the first sample. */
  tryGetRouteMean(route: string | undefined): Millis | undefined;
  /** Time within which most requests of a route end, in ms; undefined before the first sample. */
  tryGetRouteUpper(route: string | undefined): Millis | undefined;
  /** Mean service time of all requests, in ms; undefined before the first sample. */
  tryGetMean(): Millis | undefined;
  /** Mean service time of the requests in the slots at a random moment, which weights long ones more, in ms. */
  tryGetMeanInSlots(): Millis | undefined;
}

/** Creates estimates; the initial mean, in ms, is corrected sample by sample. */
export function createServiceTimes(initialMs?: Millis): ServiceTimes {
  const byRoute = new Map<string, { mean: Millis; deviation: Millis }>();
  let mean = initialMs;
  let meanSquare = initialMs === undefined ? undefined : initialMs ** 2;
  return {
    record,
    tryGetRouteMean: (route) => tryFind(route)?.mean,
    tryGetRouteUpper: (route) => {
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

  function record(route: string | undefined, tookMs: Millis): void {
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
