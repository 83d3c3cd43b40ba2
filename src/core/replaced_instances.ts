/**
 * Incarnations that the guards at their addresses say are no more, although
 * the list still names them: after a loss of power that takes some heartbeats.
 */

import { Diagnostics } from "./diagnostics.ts";
import type { Candidate, CoreHost, Millis, Verdict } from "./types.ts";

/** How long a guard's word is believed, in ms; the list drops an entry after three heartbeats of 1.5 s. */
const BELIEF_MS = 5_000;

/** Refusals by which a host says that another incarnation, or another service, runs there. */
const REPLACED = new Set([
  Diagnostics.instance_replaced,
  Diagnostics.wrong_instance,
  Diagnostics.wrong_host,
]);

/** Incarnations that were replaced. */
export interface ReplacedInstances {
  /** Takes the verdict on an attempt that was meant for an incarnation; true where its end is news. */
  note(instance: string, verdict: Verdict): boolean;
  /** Candidates without those that were replaced. */
  filter(candidates: readonly Candidate[]): readonly Candidate[];
}

/** Creates an empty set. */
export function createReplacedInstances(host: CoreHost): ReplacedInstances {
  const until = new Map<string, Millis>();
  return { note, filter };

  function note(instance: string, { diagnostic }: Verdict): boolean {
    if (!REPLACED.has(diagnostic)) return false;
    const isNews = !until.has(instance);
    until.set(instance, host.now() + BELIEF_MS);
    return isNews;
  }

  function filter(candidates: readonly Candidate[]): readonly Candidate[] {
    const now = host.now();
    for (const [instance, at] of until) {
      if (at <= now) until.delete(instance);
    }
    if (until.size === 0) return candidates;
    return candidates.filter((c) => !until.has(c.instance ?? ""));
  }
}
