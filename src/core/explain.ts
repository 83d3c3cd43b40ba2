/** Ratings of a service's hosts for operators, and the hosts that need a probe. */

import type { Chooser } from "./choice.ts";
import type { Explanation } from "./gateway_types.ts";
import type { LoadTable } from "./load_table.ts";
import type { Candidate, HostId, Millis } from "./types.ts";

/** Ratings of candidates, the best first. */
export function explainChoice(
  candidates: readonly Candidate[],
  { loads, chooser }: { loads: LoadTable; chooser: Chooser },
): Explanation[] {
  return candidates.map((candidate) => {
    const entry = loads.get(candidate.host);
    return {
      host: candidate.host,
      expectedMs: chooser.getExpectedMs(candidate),
      failureShare: loads.getFailureShare(entry),
      reportAgeMs: loads.getAge(entry),
      inFlight: entry.report?.inFlight ?? 0,
      queued: entry.report?.queued ?? 0,
    };
  }).sort((a, b) => a.expectedMs - b.expectedMs);
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
