/**
 * Why a known host isn't used for an attempt. The decision code names the reason
 * where it drops a host, and an explanation collects these reasons.
 */

import type { Candidate, HostId, Millis } from "./types.ts";

/** Reasons not to use a host for an attempt. */
export enum Exclusion {
  /** The list shows it as draining or leaving. */
  ListedDraining = "listed_draining",
  /** Only an older copy of the list names it; it has left since. */
  OutdatedEntry = "outdated_entry",
  /** It has left the list, and its grace period or its announcement has ended. */
  NotListed = "not_listed",
  /** A newer upstream is listed at its address. */
  Superseded = "superseded",
  /** This daemon keeps links to other hosts of the service. */
  OutsideSubset = "outside_subset",
  DomainEvacuated = "domain_evacuated",
  /** Another incarnation or service runs at its address. */
  InstanceReplaced = "instance_replaced",
  /** It did not reply to an attempt in time; a trial follows. */
  Unresponsive = "unresponsive",
  /** Its upstream stated that it leaves, longer ago than a leaving one is used. */
  UpstreamLeft = "upstream_left",
  /** Its upstream states that it leaves; it is a last choice. */
  UpstreamLeaving = "upstream_leaving",
  /** Its guard reports that it is draining; it is a last choice. */
  Draining = "draining",
  /** Only draining hosts that were not asked are left to be asked. */
  NotLastChoice = "not_last_choice",
  /** The request was sent to it before. */
  Asked = "asked",
  /** The limit that its upstream states allows no start yet. */
  OverLimit = "over_limit",
  /** Its upstream is cold and can take no request yet. */
  Cold = "cold",
  /** Its upstream is in a slow period. */
  SlowPeriod = "slow_period",
  NoFreeSlot = "no_free_slot",
  /** Requests are queued at its guard. */
  Queueing = "queueing",
  /** More of its attempts fail than of those of the best host. */
  Failing = "failing",
  /** Another host has just stated its incarnation. */
  NotConfirmed = "not_confirmed",
  /** It is in another failure domain, and the own one has hosts that are used first. */
  OtherDomain = "other_domain",
  /** Its expected response time is longer than that of others. */
  Slower = "slower",
  /** It is as good as the selected one, or the policy prefers another one. */
  NotChosen = "not_chosen",
}

/** Collects what a decision does with its candidates. */
export interface DecisionTrace {
  /** Records that a candidate is dropped; with the time until the reason ends, in ms, if known. */
  exclude(candidate: Candidate, reason: Exclusion, endsInMs?: Millis): void;
  /** Records the expected response time by which a candidate is rated. */
  rate(candidate: Candidate, expectedMs: Millis): void;
  /**
   * Records that the decision would forget what is known of a host, as an entry
   * of the list that ended by time is dropped only when candidates are needed.
   */
  forget(host: HostId): void;
  /** Hosts that the decision would forget. */
  readonly forgotten: ReadonlySet<HostId>;
}

/** The candidates without a reason against them. */
export function narrow(
  candidates: readonly Candidate[],
  findExclusion: (candidate: Candidate) => Exclusion | undefined,
  trace?: DecisionTrace,
): Candidate[] {
  return candidates.filter((candidate) => {
    const reason = findExclusion(candidate);
    if (reason !== undefined) trace?.exclude(candidate, reason);
    return reason === undefined;
  });
}
