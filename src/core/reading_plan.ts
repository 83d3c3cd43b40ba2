/**
 * Which daemons read the store themselves. In a failure domain with many hosts
 * a few do, and pass on what changed; every daemon works out the same few from
 * the list of upstreams, without an election.
 */

import murmurhash from "murmurhash";
import type { FailureDomainName, HostId } from "./types.ts";

/** Readers in a failure domain: the second takes over while the first is lost. */
const READERS = 2;
/** Hosts of a failure domain from which sharing saves more than half of the calls. */
const MIN_SHARING_HOSTS = 3 * READERS;

/** A host and where it stands. */
export interface PlacedHost {
  readonly host: HostId;
  readonly failureDomain: FailureDomainName;
}

/** How a daemon reads the store. */
export interface ReadingPlan {
  /** True where it reads the store itself. */
  readonly isReader: boolean;
  /** True where others of its failure domain depend on readers. */
  readonly isShared: boolean;
  /** Readers to follow, the preferred one first. */
  readonly readers: readonly HostId[];
}

/** Plans how a daemon reads, given the hosts that are listed as ready. */
export function planReading(
  self: PlacedHost,
  listed: readonly PlacedHost[],
): ReadingPlan {
  const peers = listed.filter((it) => it.failureDomain === self.failureDomain);
  if (peers.length < MIN_SHARING_HOSTS) {
    return { isReader: true, isShared: false, readers: [] };
  }
  const readers = rank(peers.map((it) => it.host), "reads").slice(0, READERS);
  const isReader = readers.includes(self.host);
  // Followers spread over the readers.
  const order = isReader ? [] : rank(readers, `followed by ${self.host}`);
  return { isReader, isShared: true, readers: order };
}

/** Orders hosts by a hash, alike at every daemon. */
function rank(hosts: readonly HostId[], purpose: string): HostId[] {
  return hosts
    .map((host) => ({ host, hash: murmurhash.v3(`${host} ${purpose}`) }))
    .sort((a, b) => a.hash - b.hash || (a.host < b.host ? -1 : 1))
    .map((it) => it.host);
}
