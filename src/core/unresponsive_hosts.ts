/**
 * Hosts that send no replies, after a power loss or behind a network partition.
 * Load pattern "hosts vanish": a host that is still listed keeps getting its
 * share of all requests, and more of them fail than the retry allowance covers.
 * So an unresponsive host is excluded until it replies again, except for single
 * trials.
 */

import { type DecisionTrace, Exclusion } from "./exclusions.ts";
import type { Candidate, CoreHost, HostId, Millis } from "./types.ts";

/** Exclusion before the first trial, in ms; some three times the timeout that makes a host count as unresponsive. */
const FIRST_EXCLUSION_MS = 400;
/** Limit of the exclusion, which doubles with each trial, in ms; short, so that a recovered host is soon found. */
const MAX_EXCLUSION_MS = 1_600;

interface ExclusionPeriod {
  /** Time from a timeout or a trial to the next trial, in ms. */
  durationMs: Millis;
  /** Time of the next trial, in ms. */
  until: Millis;
}

/** Unresponsive hosts. */
export interface UnresponsiveHosts {
  /** Records that a host did not reply to an attempt in time; true if it was responsive. */
  recordTimeout(host: HostId): boolean;
  /** Records a message from a host; true if it was unresponsive. */
  recordMessage(host: HostId): boolean;
  /** Records that an attempt is sent to a host: if unresponsive, as its trial. */
  recordSend(host: HostId): void;
  /** Candidates that are responsive or due for a trial; all if there are none. */
  filter(
    candidates: readonly Candidate[],
    trace?: DecisionTrace,
  ): readonly Candidate[];
}

/** Creates an empty set. */
export function createUnresponsiveHosts(host: CoreHost): UnresponsiveHosts {
  const exclusions = new Map<HostId, ExclusionPeriod>();
  return {
    recordTimeout,
    recordMessage: (id) => exclusions.delete(id),
    recordSend,
    filter,
  };

  function recordTimeout(id: HostId): boolean {
    const known = exclusions.get(id);
    const now = host.now();
    if (known !== undefined) {
      known.until = Math.max(known.until, now + known.durationMs);
      return false;
    }
    const durationMs = FIRST_EXCLUSION_MS;
    exclusions.set(id, { durationMs, until: now + durationMs });
    return true;
  }

  function recordSend(id: HostId): void {
    const known = exclusions.get(id);
    if (known === undefined) return;
    known.durationMs = Math.min(known.durationMs * 2, MAX_EXCLUSION_MS);
    known.until = host.now() + known.durationMs;
  }

  function filter(
    candidates: readonly Candidate[],
    trace?: DecisionTrace,
  ): readonly Candidate[] {
    if (exclusions.size === 0) return candidates;
    const now = host.now();
    const getUntil = (c: Candidate) => exclusions.get(c.host)?.until ?? 0;
    const eligible = candidates.filter((c) => now >= getUntil(c));
    if (eligible.length === 0) return candidates;
    for (const candidate of trace === undefined ? [] : candidates) {
      const endsInMs = getUntil(candidate) - now;
      if (endsInMs <= 0) continue;
      trace?.exclude(candidate, Exclusion.Unresponsive, endsInMs);
    }
    return eligible;
  }
}
