/** Settings of a daemon whose routes and hosts come from a watched store. */

import type {
  FailureDomainName,
  HostId,
  Millis,
  ServiceName,
} from "../core/types.ts";

/** Addresses are IP address and port. */
export interface MeshSettings {
  /** IP address of this host; peers know it by this. */
  readonly host: HostId;
  readonly failureDomain: FailureDomainName;
  /** Service of the local upstream. */
  readonly service: ServiceName;
  readonly upstreamAddress: string;
  readonly listen: {
    readonly callers: string;
    readonly peers: string;
    readonly readiness: string;
    readonly metrics: string;
  };
  readonly storeAddress: string;
  readonly bounds: MeshBounds;
}

/** What the operators promise and demand, in ms where not said otherwise. */
export interface MeshBounds {
  /** Time without disturbance after which bounds hold again. */
  readonly stableMs: Millis;
  /** Time from a listed departure to the last request. */
  readonly drainMs: Millis;
  /** Time from a change of configuration to its effect everywhere. */
  readonly inForceMs: Millis;
  /** Time between a request to stop and a kill. */
  readonly graceMs: Millis;
  /** Sends beyond the first for each request. */
  readonly retryRatio: number;
  readonly retryWindowMs: Millis;
  /** Further sends in a window, for all daemons together. */
  readonly retrySlack: number;
}
