/**
 * Plans which daemons read the store themselves. In large fleets only the root
 * does; it relays changes to a stand-by and to a few heads in each failure
 * domain, which relay them to all others. Every daemon derives the same roles
 * from the list of upstreams, without an election.
 */

import { orderByHash } from "./host_order.ts";
import type { FailureDomainName, HostId } from "./types.ts";

/** Sources of one daemon: the preferred one and a fallback. */
const SOURCE_COUNT = 2;
/** Hosts of a failure domain per head, so that a head sends about 9 KB/s at most; there are at least two heads. */
const HOSTS_PER_HEAD = 50;
/** Hosts from which sharing saves most of the calls to the store, each of which ends in time to find a silent connection. */
const MIN_SHARING_HOSTS = 8;

/** Role of a daemon in the relay tree; lower ranks are nearer to the store. */
export enum ReadingRank {
  /** Reads the store. */
  Root = 0,
  /** Reads the store while the root is unavailable. */
  StandBy = 1,
  /** Relays changes within its failure domain. */
  Head = 2,
  Follower = 3,
}

/** A host and its failure domain. */
export interface DomainHost {
  readonly host: HostId;
  readonly failureDomain: FailureDomainName;
}

/** How a daemon reads the store. */
export interface ReadingPlan {
  readonly rank: ReadingRank;
  /** True if changes are relayed between daemons. */
  readonly isShared: boolean;
  /** Daemons to follow, the preferred one first; if none is left, the daemon reads the store. */
  readonly sources: readonly HostId[];
}

/** Plans how a daemon reads the store, given the hosts listed as ready. */
export function planReading(
  self: DomainHost,
  listed: readonly DomainHost[],
): ReadingPlan {
  if (listed.length < MIN_SHARING_HOSTS) {
    return { rank: ReadingRank.Root, isShared: false, sources: [] };
  }
  const isShared = true;
  const roots = pickFirst(listed, "reads", SOURCE_COUNT);
  const others = roots.filter((host) => host !== self.host);
  if (self.host === roots[0]) {
    return { rank: ReadingRank.Root, isShared, sources: others };
  }
  if (others.length < roots.length) {
    return { rank: ReadingRank.StandBy, isShared, sources: others };
  }
  const peers = listed.filter((peer) =>
    peer.failureDomain === self.failureDomain
  );
  const headCount = Math.max(
    SOURCE_COUNT,
    Math.ceil(peers.length / HOSTS_PER_HEAD),
  );
  const heads = pickFirst(peers, "passes on", headCount);
  if (heads.includes(self.host)) {
    return { rank: ReadingRank.Head, isShared, sources: roots };
  }
  // The hash distributes the followers over the heads.
  const sources = orderByHash(heads, `followed by ${self.host}`).slice(
    0,
    SOURCE_COUNT,
  );
  return { rank: ReadingRank.Follower, isShared, sources };
}

function pickFirst(
  hosts: readonly DomainHost[],
  purpose: string,
  count: number,
): HostId[] {
  return orderByHash(hosts.map((it) => it.host), purpose).slice(0, count);
}
