/** Which listed hosts are worth a request, by what they and their guards said. */

import type { Counters } from "./counters.ts";
import type { Attempt } from "./gateway_types.ts";
import { createReplacedInstances } from "./replaced_instances.ts";
import { createSilentHosts } from "./silent_hosts.ts";
import type { Candidate, CoreHost, HostId, Verdict } from "./types.ts";

/** What a gateway came to believe of a host. */
export enum Belief {
  /** It left an attempt without a word. */
  Silent = "silent",
  /** It was silent and said something. */
  Heard = "heard",
  /** Another incarnation or service has its address. */
  Replaced = "replaced",
}

/** Hears of each change of belief. */
export type NoteBelief = (
  belief: Belief,
  about: { readonly host: HostId; readonly instance?: string },
) => void;

/** Beliefs of one gateway. */
export interface UsableHosts {
  noteSent(host: HostId): void;
  /** Takes that a host said something. */
  noteHeard(host: HostId): void;
  /** Takes that a host left an attempt without a word. */
  noteSilent(host: HostId): void;
  noteRefused(attempt: Attempt, verdict: Verdict): void;
  filter(candidates: readonly Candidate[]): readonly Candidate[];
}

/** Creates beliefs that trust the list. */
export function createUsableHosts(
  host: CoreHost,
  options: { readonly counters: Counters; readonly onBelief?: NoteBelief },
): UsableHosts {
  const replaced = createReplacedInstances(host);
  const silent = createSilentHosts(host);
  return {
    noteSent: silent.noteSent,
    noteHeard: (id) => {
      if (silent.noteHeard(id)) noteBelief(Belief.Heard, { host: id });
    },
    noteSilent: (id) => {
      if (silent.noteSilent(id)) noteBelief(Belief.Silent, { host: id });
    },
    noteRefused: ({ host: id, instance }, verdict) => {
      if (instance === undefined || !replaced.note(instance, verdict)) return;
      noteBelief(Belief.Replaced, { host: id, instance });
    },
    filter: (candidates) => silent.filter(replaced.filter(candidates)),
  };

  function noteBelief(...[belief, about]: Parameters<NoteBelief>): void {
    options.counters.add(`host_${belief}`);
    options.onBelief?.(belief, about);
  }
}
