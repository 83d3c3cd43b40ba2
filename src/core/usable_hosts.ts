/** Which listed hosts are worth a request, by what they and their guards said. */

import type { Attempt } from "./gateway_types.ts";
import { createReplacedInstances } from "./replaced_instances.ts";
import { createSilentHosts } from "./silent_hosts.ts";
import type { Candidate, CoreHost, HostId, Verdict } from "./types.ts";

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
export function createUsableHosts(host: CoreHost): UsableHosts {
  const replaced = createReplacedInstances(host);
  const silent = createSilentHosts(host);
  return {
    noteSent: silent.noteSent,
    noteHeard: silent.noteHeard,
    noteSilent: silent.noteSilent,
    noteRefused: ({ instance }, verdict) => replaced.note(instance, verdict),
    filter: (candidates) => silent.filter(replaced.filter(candidates)),
  };
}
