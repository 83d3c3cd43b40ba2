/**
 * Hosts that say nothing, after a loss of power or behind a cut. Load pattern
 * "hosts vanish": a host that is still listed takes its share of all requests
 * with it, more than the retry allowance can make good. So it gets no more of
 * them until it is heard again, but for a single trial now and then.
 */

import type { Candidate, CoreHost, HostId, Millis } from "./types.ts";

/** Time until a silent host is tried again, in ms; some three times the silence that is found. */
const FIRST_BELIEF_MS = 400;
/** The time doubles with each silent trial up to this, in ms; a host that is back is soon heard. */
const MAX_BELIEF_MS = 1_600;

interface Silence {
  /** Length of the belief, in ms. */
  beliefMs: Millis;
  until: Millis;
}

/** Hosts that are taken as silent. */
export interface SilentHosts {
  /** Takes that a host has not answered an attempt in time; true where that is new. */
  noteSilent(host: HostId): boolean;
  /** Takes that a host said something; true where it was silent. */
  noteHeard(host: HostId): boolean;
  /** Takes that an attempt goes to a host: of a silent one it is the trial. */
  noteSent(host: HostId): void;
  /** Candidates that are not silent; all where none is left. */
  filter(candidates: readonly Candidate[]): readonly Candidate[];
}

/** Creates an empty set. */
export function createSilentHosts(host: CoreHost): SilentHosts {
  const silences = new Map<HostId, Silence>();
  return {
    noteSilent,
    noteHeard: (id) => silences.delete(id),
    noteSent,
    filter,
  };

  function noteSilent(id: HostId): boolean {
    const known = silences.get(id);
    const now = host.now();
    if (known !== undefined) {
      known.until = Math.max(known.until, now + known.beliefMs);
      return false;
    }
    const beliefMs = FIRST_BELIEF_MS;
    silences.set(id, { beliefMs, until: now + beliefMs });
    return true;
  }

  function noteSent(id: HostId): void {
    const known = silences.get(id);
    if (known === undefined) return;
    known.beliefMs = Math.min(known.beliefMs * 2, MAX_BELIEF_MS);
    known.until = host.now() + known.beliefMs;
  }

  function filter(candidates: readonly Candidate[]): readonly Candidate[] {
    if (silences.size === 0) return candidates;
    const now = host.now();
    const heard = candidates.filter((c) =>
      now >= (silences.get(c.host)?.until ?? 0)
    );
    return heard.length > 0 ? heard : candidates;
  }
}
