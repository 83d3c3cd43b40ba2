/** Mean size of the responses of each route, learned from those that ended well. */

/** Weight of the newest response; the mean follows a change within some 20 responses. */
const SMOOTHING = 0.05;
/** Routes that are remembered; more than a configuration has. */
const MAX_ROUTES = 1_024;
/** Size from which the responses of a route count as large, in bytes, as for request bodies. */
const LARGE_RESPONSE_BYTES = 16_384;

/** Sizes of responses by route. */
export interface ResponseSizes {
  record(route: string, bytes: number): void;
  /** True if the mean size of the route's responses is known and large. */
  isLarge(route: string | undefined): boolean;
}

/** Creates the sizes; none is known. */
export function createResponseSizes(): ResponseSizes {
  const means = new Map<string, number>();
  return { record, isLarge };

  function record(route: string, bytes: number): void {
    const before = means.get(route) ?? bytes;
    // The route moves to the end, so that the first one is the longest unused.
    means.delete(route);
    means.set(route, before + SMOOTHING * (bytes - before));
    if (means.size > MAX_ROUTES) means.delete(means.keys().next().value!);
  }

  function isLarge(route: string | undefined): boolean {
    return route !== undefined &&
      (means.get(route) ?? 0) >= LARGE_RESPONSE_BYTES;
  }
}
