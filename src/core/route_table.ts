/** Finds the route of a request: by hostname, then by the longest prefix. */

import type {
  PrefixRoute,
  RoutePart,
  RoutingConfig,
  UnreadableRoute,
} from "./routing_types.ts";
import type { CoreHost, ServiceName } from "./types.ts";

/** Result of a match, other than a route or none. */
export enum RouteMatch {
  /** The longest matching prefix is that of a route which can't be served. */
  Unreadable = "unreadable",
}

/** Routes of one configuration. */
export interface RouteTable {
  readonly config: RoutingConfig;
  tryMatch(
    hostname: string,
    path: string,
  ): PrefixRoute | RouteMatch.Unreadable | undefined;
}

type Row = PrefixRoute | UnreadableRoute;

/** Creates the table of a configuration. */
export function createRouteTable(config: RoutingConfig): RouteTable {
  const byHostname = new Map<string, Row[]>();
  // The sort is stable: of equal prefixes the unreadable one decides.
  for (const row of [...config.unreadable, ...config.routes]) {
    const rows = byHostname.get(row.hostname);
    if (rows === undefined) byHostname.set(row.hostname, [row]);
    else rows.push(row);
  }
  for (const rows of byHostname.values()) {
    rows.sort((a, b) => b.prefix.length - a.prefix.length);
  }
  return { config, tryMatch };

  function tryMatch(
    hostname: string,
    path: string,
  ): PrefixRoute | RouteMatch.Unreadable | undefined {
    const row = byHostname.get(hostname)?.find((r) =>
      path.startsWith(r.prefix)
    );
    if (row === undefined) return undefined;
    return "parts" in row ? row : RouteMatch.Unreadable;
  }
}

/** Selects the service of a request at random, by the weights of its route's parts. */
export function pickService(
  parts: readonly RoutePart[],
  host: Pick<CoreHost, "random">,
): ServiceName {
  const total = parts.reduce((sum, part) => sum + part.weight, 0);
  let left = host.random() * total;
  for (const part of parts) {
    left -= part.weight;
    if (left < 0) return part.service;
  }
  return parts.at(-1)!.service;
}
