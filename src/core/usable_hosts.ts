/** Selects the listed hosts that are usable, by their host status. */

import type { Counters } from "./counters.ts";
import type { Attempt } from "./gateway_types.ts";
import { createReplacedInstances } from "./replaced_instances.ts";
import { createSilentHosts } from "./silent_hosts.ts";
import type { Candidate, CoreHost, HostId, Verdict } from "./types.ts";

/** Host status: what a gateway currently holds to be true of a host. */
export enum Belief {
  /** It did not reply to an attempt in time. */
  Silent = "silent",
  /** It was unresponsive and replied again. */
  Heard = "heard",
  /** Another incarnation or service runs at its address. */
  Replaced = "replaced",
}

/** Called on each change of a host status. */
export type NoteBelief = (
  status: Belief,
  about: { readonly host: HostId; readonly instance?: string },
) => void;

/** Host statuses of one gateway. */
export interface UsableHosts {
  /** Records that an attempt is sent to a host. */
  noteSent(host: HostId): void;
  /** Records a message from a host. */
  noteHeard(host: HostId): void;
  /** Records that a host did not reply to an attempt in time. */
  noteSilent(host: HostId): void;
  /** Records a refusal, which may show that the incarnation was replaced. */
  noteRefused(attempt: Attempt, verdict: Verdict): void;
  /** The usable candidates. */
  filter(candidates: readonly Candidate[]): readonly Candidate[];
}

/** Creates host statuses; at the start every listed host is usable. */
export function createUsableHosts(
  host: CoreHost,
  options: { readonly counters: Counters; readonly onBelief?: NoteBelief },
): UsableHosts {
  const replaced = createReplacedInstances(host);
  const silent = createSilentHosts(host);
  return {
    noteSent: silent.noteSent,
    noteHeard: (id) => {
      if (silent.noteHeard(id)) emit(Belief.Heard, { host: id });
    },
    noteSilent: (id) => {
      if (silent.noteSilent(id)) emit(Belief.Silent, { host: id });
    },
    noteRefused: ({ host: id, instance }, verdict) => {
      if (instance === undefined || !replaced.note(instance, verdict)) return;
      emit(Belief.Replaced, { host: id, instance });
    },
    filter: (candidates) => silent.filter(replaced.filter(candidates)),
  };

  function emit(...[status, about]: Parameters<NoteBelief>): void {
    options.counters.add(`host_${status}`);
    options.onBelief?.(status, about);
  }
}
