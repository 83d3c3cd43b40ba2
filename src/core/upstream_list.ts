/**
 * Which upstreams exist, from a list that may be away for a while. What the
 * list says of a departure is binding; its silence says nothing. Entries that
 * lapsed while the list was away get a short time to come back.
 */

import type { PlacedHost } from "./reading_plan.ts";
import { type ListedUpstream, ListedUpstreamState } from "./routing_types.ts";
import type { Candidate, CoreHost, HostId, Millis } from "./types.ts";

/** What became of an upstream. */
export enum UpstreamChange {
  Listed = "listed",
  Restarted = "restarted",
  Draining = "draining",
  Lapsed = "lapsed",
  Gone = "gone",
}

/** Settings of the list. */
export interface UpstreamListOptions {
  /** How long an entry that lapsed during an outage may stay away after it, in ms. */
  readonly lapseGraceMs: Millis;
  /** The host of an address; daemons are known by it. */
  getHost(address: string): HostId;
  onChange(change: UpstreamChange, upstream: ListedUpstream): void;
}

/** The upstreams that are believed to exist. */
export interface UpstreamList {
  put(upstream: ListedUpstream): void;
  remove(instance: string): void;
  /** Takes the whole list, the oldest first: what it lacks has left or lapsed. */
  replaceAll(upstreams: readonly ListedUpstream[]): void;
  noteListLost(): void;
  noteListRegained(): void;
  getCandidates(service: string): readonly Candidate[];
  /** The newest upstream at an address, also one that drains. */
  tryGetAt(address: string): ListedUpstream | undefined;
  /** Hosts with an upstream. */
  countHosts(): number;
  /** Hosts with an upstream that takes work, each once. */
  getReadyHosts(): PlacedHost[];
  size(): number;
}

interface Entry {
  upstream: ListedUpstream;
  /** Order of the first listing; the later one holds a shared address. */
  readonly order: number;
  /** When an entry that lapsed is taken as gone, in ms. */
  goneAt?: Millis;
}

/** Creates an empty list. */
export function createUpstreamList(
  host: CoreHost,
  options: UpstreamListOptions,
): UpstreamList {
  const entries = new Map<string, Entry>();
  const candidates = new Map<string, Candidate[]>();
  let isLost = false;
  let regainedAt = -Infinity;
  let orders = 0;
  let nextGoneAt = Infinity;
  return {
    put,
    remove,
    replaceAll,
    noteListLost,
    noteListRegained,
    getCandidates,
    tryGetAt,
    countHosts,
    getReadyHosts,
    size: () => entries.size,
  };

  function put(upstream: ListedUpstream): void {
    candidates.clear();
    const known = entries.get(upstream.instance);
    if (known === undefined) {
      orders += 1;
      entries.set(upstream.instance, { upstream, order: orders });
      options.onChange(UpstreamChange.Listed, upstream);
    } else {
      const before = known.upstream;
      known.upstream = upstream;
      delete known.goneAt;
      if (before.bornAt !== upstream.bornAt) {
        options.onChange(UpstreamChange.Restarted, upstream);
      }
      const drains = upstream.state === ListedUpstreamState.Draining;
      if (drains && before.state !== upstream.state) {
        options.onChange(UpstreamChange.Draining, upstream);
      }
    }
  }

  function remove(instance: string): void {
    const entry = entries.get(instance);
    if (entry === undefined) return;
    candidates.clear();
    const mayReturn = isWithinGrace() &&
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

  function noteListLost(): void {
    isLost = true;
  }

  function noteListRegained(): void {
    if (!isLost) return;
    isLost = false;
    regainedAt = host.now();
  }

  function getCandidates(service: string): readonly Candidate[] {
    if (host.now() >= nextGoneAt) dropLapsed();
    let known = candidates.get(service);
    if (known === undefined) {
      known = findCandidates(service);
      candidates.set(service, known);
    }
    return known;
  }

  function findCandidates(service: string): Candidate[] {
    const byHost = new Map<HostId, Entry>();
    for (const entry of entries.values()) {
      const { upstream } = entry;
      const id = options.getHost(upstream.address);
      const other = byHost.get(id);
      if (other === undefined || other.order < entry.order) {
        byHost.set(id, entry);
      }
    }
    const found: Candidate[] = [];
    for (const [id, { upstream }] of byHost) {
      const isReady = upstream.state === ListedUpstreamState.Ready;
      if (upstream.service !== service || !isReady) continue;
      const { failureDomain, instance } = upstream;
      found.push({ host: id, failureDomain, instance });
    }
    return found;
  }

  function tryGetAt(address: string): ListedUpstream | undefined {
    let newest: Entry | undefined;
    for (const entry of entries.values()) {
      if (entry.upstream.address !== address) continue;
      if (newest === undefined || newest.order < entry.order) newest = entry;
    }
    return newest?.upstream;
  }

  function countHosts(): number {
    const hosts = new Set<HostId>();
    for (const { upstream } of entries.values()) {
      hosts.add(options.getHost(upstream.address));
    }
    return hosts.size;
  }

  function getReadyHosts(): PlacedHost[] {
    const hosts = new Map<HostId, PlacedHost>();
    for (const { upstream } of entries.values()) {
      if (upstream.state !== ListedUpstreamState.Ready) continue;
      const id = options.getHost(upstream.address);
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
      if (entry.goneAt <= now && !isLost) drop(entry);
      else nextGoneAt = Math.min(nextGoneAt, Math.max(entry.goneAt, now + 1));
    }
  }

  function drop(entry: Entry): void {
    entries.delete(entry.upstream.instance);
    options.onChange(UpstreamChange.Gone, entry.upstream);
  }

  function isWithinGrace(): boolean {
    return isLost || host.now() < regainedAt + options.lapseGraceMs;
  }
}
