/**
 * Current incarnations of upstreams that guards stated, for hosts that the list
 * still names an outdated one for. After a power loss all entries of the list
 * name dead incarnations until the upstreams are listed again.
 */

import type { DecisionTrace } from "./exclusions.ts";
import type { Candidate, HostId } from "./types.ts";

/** Settings of the known incarnations. */
export interface KnownInstancesOptions {
  /** True if the list has named an incarnation, also if it has left since; the list then decides on its use. */
  wasListed(instance: string): boolean;
}

/** Incarnations known to one gateway. */
export interface KnownInstances {
  /** False if only the list decides on the use of an incarnation. */
  mayUse(instance: string): boolean;
  /** Records the current incarnation at a host that was asked for another one; true if it was not known. */
  record(
    host: HostId,
    incarnations: { readonly asked: string; readonly current: string },
  ): boolean;
  /** The candidates with the current incarnations in place of outdated ones. */
  replaceOutdated(candidates: readonly Candidate[]): readonly Candidate[];
  /** What `replaceOutdated` returns, without a change of what is known. */
  preview(
    candidates: readonly Candidate[],
    trace: Pick<DecisionTrace, "forgotten">,
  ): readonly Candidate[];
  forget(host: HostId): void;
}

interface Known {
  /** Incarnation that the list names; another one ends the use of `current`. */
  readonly listed: string;
  readonly current: string;
}

/** Creates an empty set. */
export function createKnownInstances(
  options: KnownInstancesOptions,
): KnownInstances {
  const known = new Map<HostId, Known>();
  return {
    mayUse: (instance) => !options.wasListed(instance),
    record,
    replaceOutdated,
    preview: (candidates, { forgotten }) =>
      candidates.map((c) => forgotten.has(c.host) ? c : tryReplace(c) ?? c),
    forget: (host) => void known.delete(host),
  };

  function record(
    host: HostId,
    { asked, current }: { asked: string; current: string },
  ): boolean {
    const before = known.get(host);
    const listed = before?.current === asked ? before.listed : asked;
    known.set(host, { listed, current });
    return before?.listed !== listed || before.current !== current;
  }

  function replaceOutdated(
    candidates: readonly Candidate[],
  ): readonly Candidate[] {
    return known.size === 0 ? candidates : candidates.map(replace);
  }

  function replace(candidate: Candidate): Candidate {
    const replaced = tryReplace(candidate);
    if (replaced === undefined) known.delete(candidate.host);
    return replaced ?? candidate;
  }

  /** The candidate with the current incarnation; undefined if the list decides. */
  function tryReplace(candidate: Candidate): Candidate | undefined {
    const it = known.get(candidate.host);
    const isCurrent = it?.listed === candidate.instance &&
      it !== undefined && !options.wasListed(it.current);
    return isCurrent ? { ...candidate, instance: it.current } : undefined;
  }
}
