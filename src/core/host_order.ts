/** An order of hosts that all daemons derive alike, without an election. */

import murmurhash from "murmurhash";
import type { HostId } from "./types.ts";

/** Orders hosts by a hash, in the same order at every daemon; another purpose gives another order. */
export function orderByHash(
  hosts: readonly HostId[],
  purpose: string,
): HostId[] {
  return hosts
    .map((host) => ({ host, hash: murmurhash.v3(`${host} ${purpose}`) }))
    .sort((a, b) => a.hash - b.hash || (a.host < b.host ? -1 : 1))
    .map((it) => it.host);
}
