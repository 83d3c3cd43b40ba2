/** Selects the listed hosts that are usable, by their host status. */

import type { Counters } from "./counters.ts";
import type { DecisionTrace } from "./exclusions.ts";
import type { Attempt } from "./gateway_types.ts";
import { HostStatus, type HostStatusListener } from "./host_status.ts";
import { createKnownInstances } from "./known_instances.ts";
import { createReplacedInstances } from "./replaced_instances.ts";
import { createUnresponsiveHosts } from "./unresponsive_hosts.ts";
import type { Candidate, CoreHost, HostId, Verdict } from "./types.ts";

/** Host statuses of one gateway. */
export interface UsableHosts {
  /** Records that an attempt is sent to a host. */
  recordSend(host: HostId): void;
  /** Records a message from a host. */
  recordMessage(host: HostId): void;
  /** Records that a host did not reply to an attempt in time. */
  recordTimeout(host: HostId): void;
  /** Records a refusal, which may show that the incarnation was replaced. */
  recordRefusal(attempt: Attempt, verdict: Verdict): void;
  /** Forgets which incarnation runs at a host. */
  forget(host: HostId): void;
  /** The usable candidates, with their current incarnations. */
  filter(candidates: readonly Candidate[]): readonly Candidate[];
  /** What `filter` returns, without a change of any status. */
  preview(
    candidates: readonly Candidate[],
    trace: DecisionTrace,
  ): readonly Candidate[];
}

/** Creates host statuses; at the start every listed host is usable. */
export function createUsableHosts(
  host: CoreHost,
  options: {
    readonly counters: Counters;
    readonly onHostStatus?: HostStatusListener;
    wasListed?(instance: string): boolean;
  },
): UsableHosts {
  const instances = createKnownInstances({
    wasListed: options.wasListed ?? (() => false),
  });
  const replaced = createReplacedInstances(host);
  const silent = createUnresponsiveHosts(host);
  return {
    recordSend: silent.recordSend,
    recordMessage: (id) => {
      if (silent.recordMessage(id)) emit(HostStatus.Responsive, { host: id });
    },
    recordTimeout: (id) => {
      if (silent.recordTimeout(id)) emit(HostStatus.Unresponsive, { host: id });
    },
    recordRefusal,
    forget: instances.forget,
    filter: (candidates) =>
      silent.filter(replaced.filter(instances.replaceOutdated(candidates))),
    preview: (candidates, trace) =>
      silent.filter(
        replaced.preview(instances.preview(candidates, trace), trace),
        trace,
      ),
  };

  function recordRefusal(
    { host: id, instance, bornAt }: Attempt,
    verdict: Verdict,
  ): void {
    if (instance === undefined) return;
    const { currentInstance: current } = verdict;
    if (current !== undefined && instances.mayUse(current)) {
      const isNew = instances.record(id, { asked: instance, current });
      if (isNew) emit(HostStatus.Replaced, { host: id, instance, current });
    } else if (replaced.recordVerdict({ instance, bornAt }, verdict)) {
      emit(HostStatus.Replaced, { host: id, instance });
    }
  }

  function emit(...[status, about]: Parameters<HostStatusListener>): void {
    options.counters.add(`host_${status}`);
    options.onHostStatus?.(status, about);
  }
}
