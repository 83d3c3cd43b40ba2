/** Hosts of a service in order of their expected response times, and those that need a probe. */

import type { Chooser } from "./choice.ts";
import type { LoadTable } from "./load_table.ts";
import type { Candidate, HostId, Millis } from "./types.ts";

/** Hosts of candidates, those with the shortest expected response time first. */
export function rankHosts(
  candidates: readonly Candidate[],
  chooser: Pick<Chooser, "getExpectedMs">,
): HostId[] {
  return candidates
    .map((c) => ({ host: c.host, expectedMs: chooser.getExpectedMs(c) }))
    .sort((a, b) => a.expectedMs - b.expectedMs)
    .map(({ host }) => host);
}

/** Hosts whose newest report is older than the age, in ms, or that have none. */
export function findStaleHosts(
  candidates: readonly Candidate[],
  { loads, ageMs }: { loads: LoadTable; ageMs: Millis },
): HostId[] {
  return candidates
    .filter((c) => loads.getAge(loads.get(c.host)) > ageMs)
    .map((c) => c.host);
}
