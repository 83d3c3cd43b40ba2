/** Routes and services of a configuration, as published and as served. */

import type { Millis, Repeatability, ServiceName } from "./types.ts";

/** A part of a route's traffic, which goes to one service. */
export interface RoutePart {
  readonly service: ServiceName;
  /** Share of the route's requests, relative to the other parts. */
  readonly weight: number;
}

/** Requests of one hostname and path prefix. */
export interface PrefixRoute {
  readonly name: string;
  readonly hostname: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  readonly repeatability: Repeatability;
  /** Timeout of a request, in ms. */
  readonly timeoutMs: Millis;
  /** Latency objective, in ms. */
  readonly objectiveMs: Millis;
  /** Rank; 0 is the most urgent. */
  readonly priority: number;
  /** Maximum number of upstreams that one request may be sent to. */
  readonly maxRuns: number;
  readonly parts: readonly RoutePart[];
}

/** Limits on the requests and connections of callers. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: Millis;
  /** Idle time after which a caller's connection may be closed, in ms. */
  readonly idleTimeoutMs: Millis;
}

/** A part of a configuration that can't be read or has an unknown value. */
export interface DegradedPart {
  /** The table and the name or index of its row, or the name of a single part. */
  readonly row: string;
  readonly field: string;
  /** The value found, as JSON, shortened. */
  readonly found: string;
}

/** A published route that can't be served; its requests match no other route. */
export interface UnreadableRoute {
  readonly name?: string;
  readonly hostname: string;
  readonly prefix: string;
}

/** A row of the published table of routes. */
export interface PublishedRoute {
  /** Names the row in problems. */
  readonly row: string;
  /** False if a field is invalid. */
  readonly isReadable: boolean;
  /** The readable fields. Those of a column that the table lacks are absent also in readable rows. */
  readonly fields: Partial<PrefixRoute>;
}

/** A row of the published table of services; fields that can't be read are absent. */
export interface PublishedService {
  readonly name?: ServiceName;
  readonly healthPath?: string;
  /** True unless a field of the row is invalid. */
  readonly isReadable?: boolean;
  /** Requests per second that a cold upstream can take. */
  readonly coldRatePerS?: number;
  /** Connections that an upstream accepts. */
  readonly maxConnections?: number;
}

/** A configuration as published, before it is merged with the active one. */
export interface PublishedConfig {
  /** Undefined if it can't be read. */
  readonly version: number | undefined;
  /** Undefined if the table can't be read. */
  readonly routes: readonly PublishedRoute[] | undefined;
  /** Undefined if the table can't be read. */
  readonly services: readonly PublishedService[] | undefined;
  /** The readable limits. */
  readonly limits: Partial<CallerLimits>;
  /** At most one for each row. */
  readonly problems: readonly DegradedPart[];
}

/** A configuration that can be served. */
export interface RoutingConfig {
  /** Increases with each publication. */
  readonly version: number;
  readonly routes: readonly PrefixRoute[];
  readonly unreadable: readonly UnreadableRoute[];
  /** Services that it names; an upstream of any other one gets no requests. */
  readonly services: ReadonlySet<ServiceName>;
  /** Path of each service's health check; a service without one gets no health checks. */
  readonly healthPaths: ReadonlyMap<ServiceName, string>;
  readonly limits: CallerLimits;
  /** At most one for each row. */
  readonly problems: readonly DegradedPart[];
  /** Requests per second that a cold upstream of each service can take; services without a limit are missing. */
  readonly coldRatePerS?: ReadonlyMap<ServiceName, number>;
  /** Connections that an upstream of each service accepts; services without a limit are missing. */
  readonly maxConnections?: ReadonlyMap<ServiceName, number>;
}

/** States that an upstream has in the list. */
export enum ListedUpstreamState {
  Ready = "ready",
  Draining = "draining",
}

/** An upstream in the list. */
export interface ListedUpstream {
  /** Incarnation; a new one at each start, unless the upstream restarts under the same id. */
  readonly instance: string;
  readonly service: ServiceName;
  /** IP address and port. */
  readonly address: string;
  readonly failureDomain: string;
  readonly slots: number;
  readonly state: ListedUpstreamState;
  /** Time for which it is cold, from when the entry was written, in ms, if it is. */
  readonly coldMs?: Millis;
  /** Start time as Unix time in ms, if stated. */
  readonly bornAt?: number;
}
