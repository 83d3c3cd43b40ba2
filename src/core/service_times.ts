/** Service times of an upstream by route. */

import type { CoreHost, Millis } from "./types.ts";

/** Weight of the newest sample; the mean covers about the last ten. */
const SMOOTHING = 0.1;
/** Age at which the weight of a sample in the recent mean has fallen to a half, in ms; short beside the time between trials of a slow upstream. */
const RECENT_HALF_LIFE_MS = 2_000;
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
  /** As above, of samples of the last seconds: an upstream may have been slow only just after its start. */
  tryGetRecentMean(): Millis | undefined;
  /** Mean service time of the requests in the slots at a random moment, which weights long ones more, in ms. */
  tryGetMeanInSlots(): Millis | undefined;
}

/** Creates estimates; the initial mean, in ms, is corrected sample by sample. */
export function createServiceTimes(
  host: Pick<CoreHost, "now">,
  initialMs?: Millis,
): ServiceTimes {
  const byRoute = new Map<string, RouteTimes>();
  let mean = initialMs;
  let meanSquare = initialMs === undefined ? undefined : initialMs ** 2;
  let recentMean = initialMs;
  let recordedAt = host.now();
  return {
    record,
    tryGetRouteMean: (route) => tryFind(route)?.mean,
    tryGetRouteUpper: (route) => {
      const known = tryFind(route);
      if (known === undefined) return undefined;
      return known.mean + UPPER_DEVIATIONS * known.deviation;
    },
    tryGetMean: () => mean,
    tryGetRecentMean: () => recentMean,
    tryGetMeanInSlots: () =>
      mean === undefined ? undefined : meanSquare! / mean,
  };

  function tryFind(route: string | undefined): RouteTimes | undefined {
    return route === undefined ? undefined : byRoute.get(route);
  }

  function record(route: string | undefined, tookMs: Millis): void {
    mean = smooth(mean, tookMs, SMOOTHING);
    meanSquare = smooth(meanSquare, tookMs ** 2, SMOOTHING);
    recentMean = smooth(recentMean, tookMs, getRecentWeight());
    recordedAt = host.now();
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

  /** A sample after a pause replaces most of what is known from before. */
  function getRecentWeight(): number {
    const gapMs = host.now() - recordedAt;
    return Math.max(SMOOTHING, 1 - 0.5 ** (gapMs / RECENT_HALF_LIFE_MS));
  }
}

interface RouteTimes {
  readonly mean: Millis;
  readonly deviation: Millis;
}

function smooth(
  mean: number | undefined,
  sample: number,
  weight: number,
): number {
  return mean === undefined ? sample : mean + weight * (sample - mean);
}
