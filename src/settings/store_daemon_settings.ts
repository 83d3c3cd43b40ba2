/** Settings of a store daemon, whose routes and hosts come from a watched store. */

import type { ColdBounds } from "../core/cold_starts.ts";
import type { DegradedPart } from "../core/routing_types.ts";
import type {
  FailureDomainName,
  HostId,
  Millis,
  ServiceName,
} from "../core/types.ts";

/** Settings of a store daemon. Addresses are IP address and port. */
export interface StoreDaemonSettings {
  /** IP address of this host, by which peers identify it. */
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
  /** Hosts whose daemons are asked by one that starts while the store doesn't respond. */
  readonly seeds: readonly HostId[];
  readonly bounds: OperationalBounds;
  /** Extra work allowed as a share of the work of own requests; 0, the default, disables extra attempts. */
  readonly extraWorkShare?: number;
  /** Settings that can't be read and have their default. */
  readonly degraded: readonly DegradedPart[];
  /** Memory beyond which the process is killed, in MB; absent if none is stated. */
  readonly memoryMb?: number;
}

/** Time bounds, in ms, and retry limits that the operators guarantee or require. */
export interface OperationalBounds {
  /** Time from the listing of a departure to the last request sent there. */
  readonly drainMs: Millis;
  /** Time from a configuration change until it is in force on all hosts. */
  readonly inForceMs: Millis;
  /** Time from a request to stop until the process is killed. */
  readonly graceMs: Millis;
  /** Retries per request. */
  readonly retryRatio: number;
  readonly retryWindowMs: Millis;
  /** Additional retries per window, for all daemons together. */
  readonly retrySlack: number;
  /** Time from an evacuation until no request reaches the failure domain; absent if there are none. */
  readonly evacuateMs?: Millis;
  /** Bounds on the requests that a cold upstream gets in any second; absent if there are none. */
  readonly cold?: ColdBounds;
}
