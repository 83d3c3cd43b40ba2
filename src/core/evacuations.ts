/**
 * Failure domains that the operators have evacuated, as known from the store.
 * While the store is unavailable, the last known state applies. If the store
 * comes back from an older copy that lacks a known evacuation, the evacuation
 * stays in effect for a grace period, in which its writer writes it again.
 */

import { type DecisionTrace, Exclusion, narrow } from "./exclusions.ts";
import type {
  Candidate,
  CoreHost,
  FailureDomainName,
  Millis,
} from "./types.ts";

/** Time for which a gateway believes a guard that states that its failure domain is evacuated, in ms. */
const STATED_MS = 1_000;

/** Called when an evacuation begins or ends. */
export type EvacuationListener = (
  failureDomain: FailureDomainName,
  isEvacuated: boolean,
) => void;

/** Settings of the evacuations. */
export interface EvacuationsOptions {
  /** Time for which an evacuation that an older copy of the store lacks stays in effect, in ms. */
  readonly graceMs: Millis;
  readonly onChange?: EvacuationListener;
}

/** Evacuated failure domains. */
export interface Evacuations {
  /** Records a change in the store. */
  record(failureDomain: FailureDomainName, isEvacuated: boolean): void;
  /** Applies a complete list from the store. */
  replaceAll(failureDomains: readonly FailureDomainName[]): void;
  /** Records that the store is unavailable. */
  markLost(): void;
  /** Records that the store is available again. */
  markRegained(): void;
  /** Records that the store came back from an older copy; `replaceAll` with its content follows. */
  markRolledBack(): void;
  /** True if the store, as last known, has the failure domain evacuated. */
  isEvacuated(failureDomain: FailureDomainName): boolean;
  /**
   * Records that a guard refused a request because its failure domain is
   * evacuated: a gateway that does not reach the store learns it so.
   */
  recordRefusal(failureDomain: FailureDomainName): void;
  /** The candidates in failure domains that are not evacuated. */
  filter(candidates: readonly Candidate[]): readonly Candidate[];
  /** What `filter` returns, without a change of any state. */
  preview(
    candidates: readonly Candidate[],
    trace: DecisionTrace,
  ): readonly Candidate[];
  /** Number of evacuated failure domains. */
  count(): number;
}

/** Creates an empty set. */
export function createEvacuations(
  host: Pick<CoreHost, "now">,
  options: EvacuationsOptions,
): Evacuations {
  /** Time at which each evacuation ends, in ms; Infinity while the store has its key. */
  const endsAt = new Map<FailureDomainName, Millis>();
  /** Time until which a guard's statement is believed, in ms. */
  const statedUntil = new Map<FailureDomainName, Millis>();
  let isLost = false;
  let rolledBackAt: Millis = -Infinity;
  return {
    record,
    replaceAll,
    markLost: () => void (isLost = true),
    markRegained,
    markRolledBack: () => void (rolledBackAt = host.now()),
    isEvacuated,
    recordRefusal: (it) => void statedUntil.set(it, host.now() + STATED_MS),
    filter,
    preview: (candidates, trace) => narrow(candidates, findExclusion, trace),
    count: () => [...endsAt.keys()].filter(isEvacuated).length,
  };

  function record(it: FailureDomainName, isNowEvacuated: boolean): void {
    if (!isNowEvacuated) return end(it);
    const isNew = !endsAt.has(it);
    endsAt.set(it, Infinity);
    if (isNew) options.onChange?.(it, true);
  }

  function replaceAll(present: readonly FailureDomainName[]): void {
    const graceEndsAt = rolledBackAt + options.graceMs;
    for (const [it, at] of [...endsAt]) {
      if (present.includes(it)) continue;
      if (host.now() >= graceEndsAt) end(it);
      else endsAt.set(it, Math.min(at, graceEndsAt));
    }
    for (const it of present) record(it, true);
  }

  /** The writer needs the store to write an evacuation again. */
  function markRegained(): void {
    if (!isLost) return;
    isLost = false;
    const graceEndsAt = host.now() + options.graceMs;
    for (const [it, at] of endsAt) {
      if (at < graceEndsAt) endsAt.set(it, graceEndsAt);
    }
  }

  function isEvacuated(it: FailureDomainName): boolean {
    if (!endsAt.has(it)) return false;
    if (isInEffect(it)) return true;
    end(it);
    return false;
  }

  function isInEffect(it: FailureDomainName): boolean {
    const at = endsAt.get(it);
    return at !== undefined && (isLost || host.now() < at);
  }

  function filter(candidates: readonly Candidate[]): readonly Candidate[] {
    if (endsAt.size === 0 && statedUntil.size === 0) return candidates;
    const usable = narrow(candidates, findExclusion);
    for (const { failureDomain } of usable) {
      isEvacuated(failureDomain);
      statedUntil.delete(failureDomain);
    }
    return usable;
  }

  /** The end of an evacuation also ends what a guard stated. */
  function findExclusion(
    { failureDomain: it }: Candidate,
  ): Exclusion | undefined {
    const isExcluded = endsAt.has(it)
      ? isInEffect(it)
      : host.now() < (statedUntil.get(it) ?? -Infinity);
    return isExcluded ? Exclusion.DomainEvacuated : undefined;
  }

  function end(it: FailureDomainName): void {
    statedUntil.delete(it);
    if (endsAt.delete(it)) options.onChange?.(it, false);
  }
}
