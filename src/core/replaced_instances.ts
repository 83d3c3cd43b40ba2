/**
 * Incarnations that are still listed although the guards at their addresses
 * report that they were replaced. After a power loss an entry stays in the list
 * for some heartbeats.
 */

import { Diagnostics } from "./diagnostics.ts";
import { type DecisionTrace, Exclusion } from "./exclusions.ts";
import type { Candidate, CoreHost, Millis, Verdict } from "./types.ts";
import { getStartKey, type UpstreamStart } from "./upstream_start.ts";

/** Time for which a replaced incarnation is excluded, in ms; the list drops an entry after three heartbeats of 1.5 s. */
const EXCLUSION_MS = 5_000;

/** Refusals that show that another incarnation or service runs at the host. */
const REPLACED = new Set([
  Diagnostics.instance_replaced,
  Diagnostics.wrong_instance,
  Diagnostics.wrong_host,
]);

/** Replaced incarnations. */
export interface ReplacedInstances {
  /** Records the verdict on an attempt for a start of an upstream; true if the replacement was not known. */
  recordVerdict(start: UpstreamStart, verdict: Verdict): boolean;
  /** Candidates whose incarnation was not replaced. */
  filter(candidates: readonly Candidate[]): readonly Candidate[];
  /** What `filter` returns, without a change of the set. */
  preview(
    candidates: readonly Candidate[],
    trace: DecisionTrace,
  ): readonly Candidate[];
}

/** Creates an empty set. */
export function createReplacedInstances(host: CoreHost): ReplacedInstances {
  /** By key of the start. */
  const until = new Map<string, Millis>();
  return { recordVerdict, filter, preview };

  function recordVerdict(
    start: UpstreamStart,
    { diagnostic }: Verdict,
  ): boolean {
    if (!REPLACED.has(diagnostic)) return false;
    const key = getStartKey(start);
    const isNew = !until.has(key);
    until.set(key, host.now() + EXCLUSION_MS);
    return isNew;
  }

  function filter(candidates: readonly Candidate[]): readonly Candidate[] {
    const now = host.now();
    for (const [key, at] of until) {
      if (at <= now) until.delete(key);
    }
    if (until.size === 0) return candidates;
    return candidates.filter((c) => getRemainingMs(c) <= 0);
  }

  function preview(
    candidates: readonly Candidate[],
    trace: DecisionTrace,
  ): readonly Candidate[] {
    return candidates.filter((candidate) => {
      const leftMs = getRemainingMs(candidate);
      if (leftMs <= 0) return true;
      trace.exclude(candidate, Exclusion.InstanceReplaced, leftMs);
      return false;
    });
  }

  function getRemainingMs({ instance = "", bornAt }: Candidate): Millis {
    const key = getStartKey({ instance, bornAt });
    return (until.get(key) ?? -Infinity) - host.now();
  }
}
