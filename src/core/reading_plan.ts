/**
 * Which daemons read the store themselves. Where there are many, one does and
 * passes on what changed: to a stand-by, to a few heads in each failure domain,
 * and through these to all others. Every daemon works out the same few from
 * the list of upstreams, without an election.
 */

import murmurhash from "murmurhash";
import type { FailureDomainName, HostId } from "./types.ts";

/** Sources of one daemon: one, and one that takes over. */
const SOURCES = 2;
/** Hosts of a failure domain for each head beyond two, so that a head sends some 9 KB/s at the most. */
const HOSTS_PER_HEAD = 50;
/** Hosts from which sharing saves most of the calls; below, the bounds are kept with less. */
const MIN_SHARING_HOSTS = 18;

/** A daemon's place in the order in which changes are passed on. */
export enum ReadingRank {
  /** Reads the store. */
  Root = 0,
  /** Reads the store while the root is lost. */
  StandBy = 1,
  /** Passes changes on in its failure domain. */
  Head = 2,
  Follower = 3,
}

/** A host and where it stands. */
export interface PlacedHost {
  readonly host: HostId;
  readonly failureDomain: FailureDomainName;
}

/** How a daemon reads the store. */
export interface ReadingPlan {
  readonly rank: ReadingRank;
  /** True where others depend on readers. */
  readonly isShared: boolean;
  /** Daemons to follow, the preferred one first; the store where none is left. */
  readonly sources: readonly HostId[];
}

/** Plans how a daemon reads, given the hosts that are listed as ready. */
export function planReading(
  self: PlacedHost,
  listed: readonly PlacedHost[],
): ReadingPlan {
  if (listed.length < MIN_SHARING_HOSTS) {
    return { rank: ReadingRank.Root, isShared: false, sources: [] };
  }
  const isShared = true;
  const roots = pick(listed, "reads", SOURCES);
  const others = roots.filter((host) => host !== self.host);
  if (self.host === roots[0]) {
    return { rank: ReadingRank.Root, isShared, sources: others };
  }
  if (others.length < roots.length) {
    return { rank: ReadingRank.StandBy, isShared, sources: others };
  }
  const peers = listed.filter((it) => it.failureDomain === self.failureDomain);
  const headCount = Math.max(SOURCES, Math.ceil(peers.length / HOSTS_PER_HEAD));
  const heads = pick(peers, "passes on", headCount);
  if (heads.includes(self.host)) {
    return { rank: ReadingRank.Head, isShared, sources: roots };
  }
  // Followers spread over the heads.
  const sources = rank(heads, `followed by ${self.host}`).slice(0, SOURCES);
  return { rank: ReadingRank.Follower, isShared, sources };
}

function pick(
  hosts: readonly PlacedHost[],
  purpose: string,
  count: number,
): HostId[] {
  return rank(hosts.map((it) => it.host), purpose).slice(0, count);
}

/** Orders hosts by a hash, alike at every daemon. */
function rank(hosts: readonly HostId[], purpose: string): HostId[] {
  return hosts
    .map((host) => ({ host, hash: murmurhash.v3(`${host} ${purpose}`) }))
    .sort((a, b) => a.hash - b.hash || (a.host < b.host ? -1 : 1))
    .map((it) => it.host);
}
