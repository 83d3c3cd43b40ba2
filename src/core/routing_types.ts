/** Routes and services as one published configuration gives them. */

import type { Millis, Repeatability, ServiceName } from "./types.ts";

/** One part of a route's traffic. */
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
  /** Longest time that a request is kept waiting, in ms. */
  readonly timeoutMs: Millis;
  /** Time within which an answer has its full value, in ms. */
  readonly objectiveMs: Millis;
  /** Rank; 0 is the most urgent. */
  readonly priority: number;
  /** Upstreams that one request may be sent to at most. */
  readonly maxRuns: number;
  readonly parts: readonly RoutePart[];
}

/** Bounds on what a caller may send. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: Millis;
  /** Idle time after which a caller's connection may be closed, in ms. */
  readonly idleTimeoutMs: Millis;
}

/** One published configuration, whole. */
export interface RoutingConfig {
  /** Rises with each publication. */
  readonly version: number;
  readonly routes: readonly PrefixRoute[];
  /** Path of each service's health check. */
  readonly healthPaths: ReadonlyMap<ServiceName, string>;
  readonly limits: CallerLimits;
}

/** States in which an upstream lists itself. */
export enum ListedUpstreamState {
  Ready = "ready",
  Draining = "draining",
}

/** One upstream as the list has it. */
export interface ListedUpstream {
  /** Incarnation: another for each start, apart from a start under the same id. */
  readonly instance: string;
  readonly service: ServiceName;
  /** IP address and port. */
  readonly address: string;
  readonly failureDomain: string;
  readonly slots: number;
  readonly state: ListedUpstreamState;
  /** Time of its start as Unix time in ms, where it is stated. */
  readonly bornAt?: number;
}
