/** Mean time that an upstream takes for the requests of each route. */

import type { Millis } from "./types.ts";

const SMOOTHING = 0.1;
/** Routes that are told apart; beyond them the mean of all stands in. */
const MAX_ROUTES = 256;

/** Service times of one upstream. */
export interface ServiceTimes {
  /** Takes how long one request took at the usual speed, in ms. */
  note(route: string | undefined, tookMs: Millis): void;
  /** Mean of a route's requests in ms; of all where the route is not known. */
  get(route: string | undefined): Millis;
  /** Mean of all requests, in ms. */
  getMean(): Millis;
}

/** Creates service times that begin with an assumed mean, in ms. */
export function createServiceTimes(assumedMs: Millis): ServiceTimes {
  const byRoute = new Map<string, Millis>();
  let mean = assumedMs;
  return {
    note,
    get: (route) =>
      (route === undefined ? undefined : byRoute.get(route)) ?? mean,
    getMean: () => mean,
  };

  function note(route: string | undefined, tookMs: Millis): void {
    mean += SMOOTHING * (tookMs - mean);
    if (route === undefined) return;
    const known = byRoute.get(route);
    if (known === undefined && byRoute.size >= MAX_ROUTES) return;
    const before = known ?? tookMs;
    byRoute.set(route, before + SMOOTHING * (tookMs - before));
  }
}
