/**
 * Whom a daemon tells of the suspects that it holds: those it observed, and those
 * it was asked to collect. The collectors of a suspect are the first hosts by a
 * hash among those that are listed and can be reached, so that daemons with the
 * same list choose the same ones; hosts without an upstream to use, at which
 * there may be no daemon, come last. Whoever holds a suspect keeps its collectors
 * told, also as the list changes; a collector keeps all hosts told of a suspect
 * that is refused.
 */

import type { CrashSuspects } from "./crash_suspects.ts";
import { orderByHash } from "./host_order.ts";
import type { HostId } from "./types.ts";

/** Hosts that collect what is observed of one suspect, so that two may be lost. */
export const COLLECTOR_COUNT = 3;

/** Hosts to be told of one suspect. */
export interface Telling {
  readonly signature: string;
  readonly collectors: readonly HostId[];
  /** Collectors and others that don't know it yet. */
  readonly to: readonly HostId[];
}

/** The suspects that one daemon holds. */
export interface HeldSuspects {
  /** Records that this daemon itself observed something of a suspect. */
  recordObserved(signature: string): void;
  /** Records that another daemon takes this one for a collector. */
  recordAsked(signature: string): void;
  /** Records that other daemons told something new, which the hosts in `knownBy` know. */
  recordLearned(signature: string, knownBy: readonly HostId[]): void;
  /** Records that the daemon of a host may have started, and so know no suspects. */
  forgetHost(host: HostId): void;
  /** Records that the list has changed, or which hosts can be reached. */
  recordHostsChanged(): void;
  /** Who is to be told now; counts as told from then on. */
  takeTellings(): Telling[];
  size(): number;
}

/** Settings of the held suspects. */
export interface HeldSuspectsOptions {
  readonly self: HostId;
  readonly suspects: Pick<CrashSuspects, "isKnown" | "isQuarantined">;
  /** Hosts with a ready upstream to use. */
  getReady(): readonly HostId[];
  /** Hosts with any upstream in the list. */
  getListed(): readonly HostId[];
  /** All hosts whose daemons may pass on requests. */
  getHosts(): readonly HostId[];
  canReach(host: HostId): boolean;
}

interface Held {
  /** True if this daemon collects it. */
  collects: boolean;
  /** True once it was refused: then all are told what changes. */
  isForAll: boolean;
  /** Hosts that know what this daemon knows, or are being told. */
  readonly told: Set<HostId>;
  /** Its current collectors; undefined until they are determined. */
  collectors: readonly HostId[] | undefined;
}

/** Creates an empty set. */
export function createHeldSuspects(options: HeldSuspectsOptions): HeldSuspects {
  const { self, suspects } = options;
  const held = new Map<string, Held>();
  /** Signatures whose recipients are to be determined. */
  const changed = new Set<string>();
  /** Ready hosts that can be reached, as of the current collectors. */
  let reachable: ReadonlySet<HostId> = new Set();
  return {
    recordObserved: (signature) => {
      getOrCreate(signature).told.clear();
      changed.add(signature);
    },
    recordAsked: (signature) => void (getOrCreate(signature).collects = true),
    recordLearned,
    forgetHost: (host) => {
      for (const { told } of held.values()) told.delete(host);
      recordHostsChanged();
    },
    recordHostsChanged,
    takeTellings,
    size: () => held.size,
  };

  function recordLearned(
    signature: string,
    knownBy: readonly HostId[],
  ): void {
    const it = held.get(signature);
    // The collector that told a mere observer tells the others as well.
    if (it?.collects !== true) return;
    it.told.clear();
    for (const host of knownBy) it.told.add(host);
    changed.add(signature);
  }

  function recordHostsChanged(): void {
    for (const signature of held.keys()) changed.add(signature);
  }

  function takeTellings(): Telling[] {
    if (changed.size === 0) return [];
    const before = reachable;
    reachable = new Set(options.getReady().filter(canReach));
    const added = [...reachable].filter((host) => !before.has(host));
    if (added.length > 0 || before.size > reachable.size) recordHostsChanged();
    const others = options.getListed().filter((host) =>
      !reachable.has(host) && canReach(host)
    );
    const all = options.getHosts();
    const tellings: Telling[] = [];
    for (const signature of changed) {
      const it = held.get(signature);
      if (it === undefined || !suspects.isKnown(signature)) {
        held.delete(signature);
        continue;
      }
      const ready = chooseReady(signature, it.collectors, added);
      const collectors = ready.length === COLLECTOR_COUNT
        ? ready
        : [...ready, ...orderByHash(others, signature)]
          .slice(0, COLLECTOR_COUNT);
      it.collectors = collectors;
      if (collectors.includes(self)) it.collects = true;
      if (it.collects && suspects.isQuarantined(signature)) it.isForAll = true;
      const recipients = it.isForAll
        ? new Set([...collectors, ...all])
        : collectors;
      const to = [...recipients].filter((host) =>
        host !== self && !it.told.has(host)
      );
      for (const host of to) it.told.add(host);
      if (to.length > 0) tellings.push({ signature, collectors, to });
    }
    changed.clear();
    return tellings;
  }

  function canReach(host: HostId): boolean {
    return host === self || options.canReach(host);
  }

  /** As long as all collectors are ready, only hosts that were added can precede them. */
  function chooseReady(
    signature: string,
    before: readonly HostId[] | undefined,
    added: readonly HostId[],
  ): readonly HostId[] {
    const areKept = before?.length === COLLECTOR_COUNT &&
      before.every((host) => reachable.has(host));
    const pool = areKept ? [...before, ...added] : [...reachable];
    return orderByHash(pool, signature).slice(0, COLLECTOR_COUNT);
  }

  function getOrCreate(signature: string): Held {
    let it = held.get(signature);
    if (it === undefined) {
      it = {
        collects: false,
        isForAll: false,
        told: new Set(),
        collectors: undefined,
      };
      held.set(signature, it);
    }
    return it;
  }
}
