/** Finds the route of a request: by hostname, then by the longest prefix. */

import type { PrefixRoute, RoutePart, RoutingConfig } from "./routing_types.ts";
import type { CoreHost, ServiceName } from "./types.ts";

/** Routes of one configuration. */
export interface RouteTable {
  readonly config: RoutingConfig;
  tryMatch(hostname: string, path: string): PrefixRoute | undefined;
}

/** Creates the table of a configuration. */
export function createRouteTable(config: RoutingConfig): RouteTable {
  const byHostname = new Map<string, PrefixRoute[]>();
  for (const route of config.routes) {
    const routes = byHostname.get(route.hostname);
    if (routes === undefined) byHostname.set(route.hostname, [route]);
    else routes.push(route);
  }
  for (const routes of byHostname.values()) {
    routes.sort((a, b) => b.prefix.length - a.prefix.length);
  }
  return { config, tryMatch };

  function tryMatch(hostname: string, path: string): PrefixRoute | undefined {
    return byHostname.get(hostname)?.find((r) => path.startsWith(r.prefix));
  }
}

/** Selects the service of a request at random, by the weights of its route's parts. */
export function pickService(
  parts: readonly RoutePart[],
  host: CoreHost,
): ServiceName {
  const total = parts.reduce((sum, part) => sum + part.weight, 0);
  let left = host.random() * total;
  for (const part of parts) {
    left -= part.weight;
    if (left < 0) return part.service;
  }
  return parts.at(-1)!.service;
}
