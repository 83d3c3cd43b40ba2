/**
 * Known upstreams, from a list that may be unavailable for a while. An outage of
 * the list by itself drops no upstream. A removal from the list is final, except
 * that a ready entry that disappears during an outage or within `lapseGraceMs`
 * after it may return until the grace period ends. The same holds after the list
 * came back from an older copy, which lacks the newest upstreams and may still
 * contain some that have left. An entry that can't be read names no upstream; it
 * is not missing. One of a service that isn't named is kept, in case that the
 * configuration names it later, and is in no view until then.
 */

import { createDepartures } from "./departures.ts";
import { type DecisionTrace, Exclusion } from "./exclusions.ts";
import type { DomainHost } from "./reading_plan.ts";
import { type ListedUpstream, ListedUpstreamState } from "./routing_types.ts";
import type {
  Candidate,
  CoreHost,
  HostId,
  Millis,
  ServiceName,
} from "./types.ts";
import { getStartKey } from "./upstream_start.ts";

/** Changes of an upstream in the list. */
export enum UpstreamChange {
  Listed = "listed",
  Restarted = "restarted",
  Draining = "draining",
  /** Missing from the list; it may return within the grace period. */
  Lapsed = "lapsed",
  /** Removed for good. */
  Gone = "gone",
  /** Listed as ready by an older copy of the list, although it has left since. */
  Outdated = "outdated",
}

/** How an upstream's entry ceased to name it. */
export enum UpstreamRemoval {
  /** It is missing from the list, which may be due to an outage of the list. */
  Missing = "missing",
  /** It is listed and can't be read. */
  Unreadable = "unreadable",
}

/** Settings of the list. */
export interface UpstreamListOptions {
  /** Grace period, from the end of an outage, or from the lapse if that is during one, in ms. */
  readonly lapseGraceMs: Millis;
  /** Host of an address, by which daemons are identified. */
  getHost(address: string): HostId;
  /**
   * True for a service that the configuration names; by default, for all. An
   * entry of any other service names no upstream to use.
   */
  isNamed?(service: ServiceName): boolean;
  onChange(change: UpstreamChange, upstream: ListedUpstream): void;
  /** Called when the newest upstream of a host is another start than before, or none is left. */
  onStart?(host: HostId, newest: ListedUpstream | undefined): void;
}

/** Known upstreams. */
export interface UpstreamList {
  put(upstream: ListedUpstream): void;
  remove(instance: string, removal?: UpstreamRemoval): void;
  /** Applies a complete list, the oldest entry first; missing entries are removed. */
  replaceAll(upstreams: readonly ListedUpstream[]): void;
  /** Records that the list is unavailable. */
  markLost(): void;
  /** Records that the list is available again. */
  markRegained(): void;
  /** Records that the list came back from an older copy; `replaceAll` with it follows. */
  markRolledBack(): void;
  /** Records that other services are named than before. */
  recordServicesChanged(): void;
  getCandidates(service: string): readonly Candidate[];
  /**
   * What `getCandidates` returns, without a change of the list; tells the trace
   * why other known upstreams of the service are none.
   */
  previewCandidates(
    service: string,
    trace: DecisionTrace,
  ): readonly Candidate[];
  /** The newest upstream at an address, including a draining one. */
  tryGetAt(address: string): ListedUpstream | undefined;
  /** True if an incarnation is listed or has left within some minutes. */
  wasListed(instance: string): boolean;
  /** Time since which an incarnation is listed as draining or has left the list, in ms; undefined if it is not. */
  tryGetLeavingSince(instance: string): Millis | undefined;
  /** Start time of an incarnation as the list states it or last stated it; undefined if it doesn't. */
  tryGetBornAt(instance: string): number | undefined;
  /**
   * Number of hosts with an upstream of any service: each has a daemon, and its
   * callers, also where no route names the service.
   */
  countHosts(): number;
  /** True if any upstream of the host is listed. */
  isHostListed(host: HostId): boolean;
  /** Hosts with a ready upstream, each once. */
  getReadyHosts(): DomainHost[];
  size(): number;
}

interface Entry {
  upstream: ListedUpstream;
  host: HostId;
  /** Order in which starts were listed; of entries with the same host the latest counts. */
  order: number;
  /** Time at which a lapsed entry is dropped, in ms. */
  goneAt?: Millis;
}

/** Creates an empty list. */
export function createUpstreamList(
  host: CoreHost,
  options: UpstreamListOptions,
): UpstreamList {
  const entries = new Map<string, Entry>();
  /** The same by host. */
  const byHost = new Map<HostId, Set<Entry>>();
  /** Key of the newest start of each host with an upstream. */
  const starts = new Map<HostId, string>();
  const candidates = new Map<string, Candidate[]>();
  const departures = createDepartures(host);
  /** Outdated entries by instance. */
  const withheld = new Map<string, ListedUpstream>();
  let isLost = false;
  let regainedAt = -Infinity;
  let lastOrder = 0;
  let nextGoneAt = Infinity;
  return {
    put,
    remove,
    replaceAll,
    markLost,
    markRegained,
    markRolledBack,
    recordServicesChanged,
    getCandidates,
    previewCandidates,
    tryGetAt,
    wasListed: (instance) => entries.has(instance) || departures.has(instance),
    tryGetLeavingSince: departures.tryGetSince,
    tryGetBornAt: (instance) =>
      entries.get(instance)?.upstream.bornAt ??
        departures.tryGetBornAt(instance),
    countHosts: () => byHost.size,
    isHostListed: (id) => byHost.has(id),
    getReadyHosts,
    size: () => entries.size,
  };

  function put(upstream: ListedUpstream): void {
    const listed = entries.get(upstream.instance)?.upstream;
    const isEarlierStart = listed !== undefined &&
      departures.isEarlierStart(upstream, listed);
    if (isEarlierStart || departures.isOutdated(upstream)) {
      return withhold(upstream);
    }
    const isReady = upstream.state === ListedUpstreamState.Ready;
    if (isReady) departures.forget(upstream.instance);
    else departures.record(upstream);
    withheld.delete(upstream.instance);
    candidates.clear();
    const known = entries.get(upstream.instance);
    const id = options.getHost(upstream.address);
    if (known === undefined) {
      lastOrder += 1;
      const entry = { upstream, host: id, order: lastOrder };
      entries.set(upstream.instance, entry);
      addToHost(entry);
      options.onChange(UpstreamChange.Listed, upstream);
    } else {
      const before = known.upstream;
      known.upstream = upstream;
      delete known.goneAt;
      if (known.host !== id) move(known, id);
      if (before.bornAt !== upstream.bornAt) {
        lastOrder += 1;
        known.order = lastOrder;
        options.onChange(UpstreamChange.Restarted, upstream);
      }
      if (!isReady && before.state !== upstream.state) {
        options.onChange(UpstreamChange.Draining, upstream);
      }
    }
    updateStart(id);
  }

  function move(entry: Entry, to: HostId): void {
    const from = entry.host;
    removeFromHost(entry);
    entry.host = to;
    addToHost(entry);
    updateStart(from);
  }

  function addToHost(entry: Entry): void {
    const own = byHost.get(entry.host);
    if (own === undefined) byHost.set(entry.host, new Set([entry]));
    else own.add(entry);
  }

  function removeFromHost(entry: Entry): void {
    const own = byHost.get(entry.host)!;
    own.delete(entry);
    if (own.size === 0) byHost.delete(entry.host);
  }

  function recordServicesChanged(): void {
    candidates.clear();
    for (const id of byHost.keys()) updateStart(id);
  }

  function isUsable({ upstream }: Entry): boolean {
    return options.isNamed?.(upstream.service) ?? true;
  }

  function getUsableAt(id: HostId): Entry[] {
    return [...byHost.get(id) ?? []].filter(isUsable);
  }

  function updateStart(id: HostId): void {
    const newest = findNewest(getUsableAt(id))?.upstream;
    const key = newest && getStartKey(newest);
    if (key === starts.get(id)) return;
    if (key === undefined) starts.delete(id);
    else starts.set(id, key);
    options.onStart?.(id, newest);
  }

  /** Keeps what is known of the upstream; if it was removed, it stays so. */
  function withhold(upstream: ListedUpstream): void {
    if (!withheld.has(upstream.instance)) {
      options.onChange(UpstreamChange.Outdated, upstream);
    }
    withheld.set(upstream.instance, upstream);
  }

  function remove(
    instance: string,
    removal = UpstreamRemoval.Missing,
  ): void {
    const outdated = withheld.get(instance);
    if (outdated !== undefined) {
      // An entry that is listed from now on is current, unless the list is rolled back again.
      withheld.delete(instance);
      if (!entries.has(instance)) departures.record(outdated);
    }
    const entry = entries.get(instance);
    if (entry === undefined) return;
    candidates.clear();
    const mayReturn = removal === UpstreamRemoval.Missing && isWithinGrace() &&
      entry.upstream.state === ListedUpstreamState.Ready;
    if (!mayReturn) return drop(entry);
    if (entry.goneAt !== undefined) return;
    const from = isLost ? host.now() : regainedAt;
    entry.goneAt = from + options.lapseGraceMs;
    nextGoneAt = Math.min(nextGoneAt, entry.goneAt);
    options.onChange(UpstreamChange.Lapsed, entry.upstream);
  }

  function replaceAll(upstreams: readonly ListedUpstream[]): void {
    const present = new Set(upstreams.map((u) => u.instance));
    for (const instance of [...entries.keys()]) {
      if (!present.has(instance)) remove(instance);
    }
    for (const upstream of upstreams) put(upstream);
  }

  function markLost(): void {
    isLost = true;
  }

  function markRegained(): void {
    if (!isLost) return;
    isLost = false;
    regainedAt = host.now();
  }

  function markRolledBack(): void {
    regainedAt = host.now();
    departures.markRolledBack();
  }

  function getCandidates(service: string): readonly Candidate[] {
    if (host.now() >= nextGoneAt) dropLapsed();
    if (withheld.size > 0) releaseWithheld();
    let known = candidates.get(service);
    if (known === undefined) {
      known = findCandidates(service, entries.values());
      candidates.set(service, known);
    }
    return known;
  }

  /** An upstream that is still listed by then is alive. */
  function releaseWithheld(): void {
    if (host.now() < departures.getWithheldUntil()) return;
    for (const upstream of [...withheld.values()]) put(upstream);
  }

  function previewCandidates(
    service: string,
    trace: DecisionTrace,
  ): readonly Candidate[] {
    const now = host.now();
    const view = new Map(entries);
    const changed = new Set<HostId>();
    for (const [instance, entry] of view) {
      if (now < nextGoneAt || !isGone(entry, now)) continue;
      view.delete(instance);
      changed.add(entry.host);
      exclude(entry.upstream, Exclusion.NotListed);
    }
    let order = lastOrder;
    for (const [instance, upstream] of withheld) {
      if (now < departures.getWithheldUntil()) {
        exclude(upstream, Exclusion.OutdatedEntry);
      } else {
        order += 1;
        const id = options.getHost(upstream.address);
        const known = view.get(instance);
        const isSameStart = known?.upstream.bornAt === upstream.bornAt;
        view.set(instance, {
          upstream,
          host: id,
          order: isSameStart ? known?.order ?? order : order,
        });
        changed.add(id);
      }
    }
    for (const id of changed) {
      const own = [...view.values()].filter((it) =>
        it.host === id && isUsable(it)
      );
      const newest = findNewest(own)?.upstream;
      if ((newest && getStartKey(newest)) !== starts.get(id)) trace.forget(id);
    }
    return findCandidates(service, view.values(), exclude);

    function exclude(upstream: ListedUpstream, reason: Exclusion): void {
      if (upstream.service !== service) return;
      trace.exclude(toCandidate(upstream), reason);
    }
  }

  function findCandidates(
    service: string,
    from: Iterable<Entry>,
    onExcluded?: (upstream: ListedUpstream, reason: Exclusion) => void,
  ): Candidate[] {
    const newest = new Map<HostId, Entry>();
    for (const entry of from) {
      if (!isUsable(entry)) continue;
      const other = newest.get(entry.host);
      const isNewest = other === undefined || other.order < entry.order;
      if (isNewest) newest.set(entry.host, entry);
      const older = isNewest ? other : entry;
      if (older) onExcluded?.(older.upstream, Exclusion.Superseded);
    }
    const found: Candidate[] = [];
    for (const { upstream } of newest.values()) {
      if (upstream.service !== service) continue;
      if (upstream.state === ListedUpstreamState.Ready) {
        found.push(toCandidate(upstream));
      } else onExcluded?.(upstream, Exclusion.ListedDraining);
    }
    return found;
  }

  function toCandidate(
    { address, failureDomain, instance, bornAt }: ListedUpstream,
  ): Candidate {
    return {
      host: options.getHost(address),
      failureDomain,
      instance,
      ...(bornAt !== undefined && { bornAt }),
    };
  }

  function tryGetAt(address: string): ListedUpstream | undefined {
    const own = getUsableAt(options.getHost(address));
    return findNewest(own.filter((it) => it.upstream.address === address))
      ?.upstream;
  }

  function getReadyHosts(): DomainHost[] {
    const hosts = new Map<HostId, DomainHost>();
    for (const entry of entries.values()) {
      const { upstream, host: id } = entry;
      if (upstream.state !== ListedUpstreamState.Ready) continue;
      if (!isUsable(entry)) continue;
      hosts.set(id, { host: id, failureDomain: upstream.failureDomain });
    }
    return [...hosts.values()];
  }

  function dropLapsed(): void {
    const now = host.now();
    nextGoneAt = Infinity;
    candidates.clear();
    for (const entry of [...entries.values()]) {
      if (entry.goneAt === undefined) continue;
      if (isGone(entry, now)) drop(entry);
      else nextGoneAt = Math.min(nextGoneAt, Math.max(entry.goneAt, now + 1));
    }
  }

  function isGone({ goneAt = Infinity }: Entry, now: Millis): boolean {
    return goneAt <= now && !isLost;
  }

  function drop(entry: Entry): void {
    entries.delete(entry.upstream.instance);
    removeFromHost(entry);
    departures.record(entry.upstream);
    options.onChange(UpstreamChange.Gone, entry.upstream);
    updateStart(entry.host);
  }

  function isWithinGrace(): boolean {
    return isLost || host.now() < regainedAt + options.lapseGraceMs;
  }
}

/** Of entries of one host, the one that was listed last. */
function findNewest(from: Iterable<Entry>): Entry | undefined {
  let newest: Entry | undefined;
  for (const entry of from) {
    if (newest === undefined || newest.order < entry.order) newest = entry;
  }
  return newest;
}
