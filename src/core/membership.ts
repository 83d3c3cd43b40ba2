/**
 * The local view of the fleet: the platform's list, which lags behind, overlaid
 * with each daemon's own announcements. A listed host is never removed only
 * because it is unresponsive.
 */

import murmurhash from "murmurhash";
import {
  type HostPlace,
  type ListedHost,
  ListedState,
  type Member,
  type MemberAnnouncement,
} from "./config_types.ts";
import { type DecisionTrace, Exclusion } from "./exclusions.ts";
import type {
  Candidate,
  CoreHost,
  FailureDomainName,
  HostId,
  Incarnation,
  Millis,
  ServiceName,
} from "./types.ts";

/** Age up to which an announcement keeps a host that is not on the list, in ms. */
const ANNOUNCEMENT_TTL_MS = 60_000;

/** Settings of the membership. */
export interface MembershipOptions {
  readonly self: HostId;
  readonly failureDomain: FailureDomainName;
  /** Hosts of one service that this daemon keeps links to, at most. */
  readonly subsetSize: number;
}

/** The local view of the fleet. */
export interface Membership {
  /** Applies the platform's list. */
  applyList(hosts: readonly ListedHost[]): void;
  /** Applies an announcement and returns whether it was newer; `isDirect` if the host itself sent it. */
  applyAnnouncement(
    word: MemberAnnouncement,
    how: { isDirect: boolean },
  ): boolean;
  getCandidates(service: ServiceName): readonly Candidate[];
  /**
   * What `getCandidates` returns, without a change of any state; tells the trace
   * why other known hosts of the service are none.
   */
  previewCandidates(
    service: ServiceName,
    trace: DecisionTrace,
  ): readonly Candidate[];
  tryGetPlace(host: HostId): HostPlace | undefined;
  tryGetAnnouncement(host: HostId): MemberAnnouncement | undefined;
  getMembers(): Member[];
  /** The newest announcements, to be relayed. */
  getRecentAnnouncements(count: number): MemberAnnouncement[];
  /** True if this daemon is one of the `count` in its failure domain that poll the platform. */
  isWatcher(count: number, unresponsiveAfterMs: Millis): boolean;
  size(): number;
}

interface Entry {
  listed?: ListedHost;
  /** Incarnation known when the list first showed the host as leaving. */
  leavingIncarnation?: Incarnation | undefined;
  /** The newest announcement. */
  word?: MemberAnnouncement;
  receivedAt: Millis;
}

/** Creates an empty view. */
export function createMembership(
  host: CoreHost,
  options: MembershipOptions,
): Membership {
  const entries = new Map<HostId, Entry>();
  const candidateCache = new Map<ServiceName, Candidate[]>();
  let cachedAt: Millis = -Infinity;
  return {
    applyList,
    applyAnnouncement,
    getCandidates,
    previewCandidates,
    tryGetPlace: (id) => getPlace(entries.get(id)),
    tryGetAnnouncement: (id) => entries.get(id)?.word,
    getMembers: () => [...entries.values()].map(toMember),
    getRecentAnnouncements,
    isWatcher,
    size: () => entries.size,
  };

  function applyList(hosts: readonly ListedHost[]): void {
    const listed = new Set(hosts.map((h) => h.host));
    for (const row of hosts) applyRow(row);
    for (const [id, entry] of entries) {
      if (!listed.has(id)) removeUnlisted(id, entry);
    }
    candidateCache.clear();
  }

  function applyRow(row: ListedHost): void {
    const entry = entries.get(row.host) ?? { receivedAt: -Infinity };
    const wasLeaving = entry.listed?.state === ListedState.Leaving;
    if (row.state !== ListedState.Leaving) delete entry.leavingIncarnation;
    else if (!wasLeaving) entry.leavingIncarnation = entry.word?.incarnation;
    entry.listed = row;
    entries.set(row.host, entry);
  }

  function removeUnlisted(id: HostId, entry: Entry): void {
    delete entry.listed;
    if (host.now() - entry.receivedAt > ANNOUNCEMENT_TTL_MS) entries.delete(id);
  }

  function applyAnnouncement(
    word: MemberAnnouncement,
    how: { isDirect: boolean },
  ): boolean {
    const entry = entries.get(word.host) ?? { receivedAt: -Infinity };
    const known = entry.word;
    if (known !== undefined && !isNewer(word, known, how.isDirect)) {
      return false;
    }
    entry.word = word;
    entry.receivedAt = host.now();
    entries.set(word.host, entry);
    candidateCache.clear();
    return true;
  }

  function getCandidates(service: ServiceName): readonly Candidate[] {
    if (isCacheExpired()) {
      candidateCache.clear();
      cachedAt = host.now();
    }
    let candidates = candidateCache.get(service);
    if (candidates === undefined) {
      candidates = pickSubset(findLive(service));
      candidateCache.set(service, candidates);
    }
    return candidates;
  }

  /** Announcements expire over time, without a call that clears the cache. */
  function isCacheExpired(): boolean {
    return host.now() - cachedAt > ANNOUNCEMENT_TTL_MS / 10;
  }

  function previewCandidates(
    service: ServiceName,
    trace: DecisionTrace,
  ): readonly Candidate[] {
    const cached = isCacheExpired() ? undefined : candidateCache.get(service);
    const candidates = cached ?? pickSubset(findLive(service));
    const hosts = new Set(candidates.map((c) => c.host));
    for (const entry of entries.values()) {
      const place = getPlace(entry);
      if (place?.service !== service || hosts.has(place.host)) continue;
      const { host: id, failureDomain } = place;
      trace.exclude({ host: id, failureDomain }, findExclusion(entry));
    }
    return candidates;
  }

  function findExclusion(entry: Entry): Exclusion {
    if (isLeaving(entry)) return Exclusion.ListedDraining;
    return isKnownAlive(entry) ? Exclusion.OutsideSubset : Exclusion.NotListed;
  }

  function findLive(service: ServiceName): Candidate[] {
    const live: Candidate[] = [];
    for (const entry of entries.values()) {
      const place = getPlace(entry);
      if (place?.service !== service || isLeaving(entry)) continue;
      if (!isKnownAlive(entry)) continue;
      live.push({ host: place.host, failureDomain: place.failureDomain });
    }
    return live;
  }

  /** Prefers the own failure domain; keeps one host of every other domain even if these exceed the subset size. */
  function pickSubset(live: Candidate[]): Candidate[] {
    if (live.length <= options.subsetSize) return live;
    const ranked = live
      .map((candidate) => ({ candidate, rank: getRank(candidate.host) }))
      .sort((a, b) => b.rank - a.rank)
      .map(({ candidate }) => candidate);
    const others = groupOthers(ranked);
    const reserved = [...others.values()].map((list) => list[0]!);
    const own = ranked.filter((c) => c.failureDomain === options.failureDomain);
    const room = Math.max(0, options.subsetSize - reserved.length);
    const picked = new Set([...reserved, ...own.slice(0, room)]);
    for (const candidate of ranked) {
      if (picked.size >= options.subsetSize) break;
      picked.add(candidate);
    }
    return [...picked];
  }

  function groupOthers(
    ranked: readonly Candidate[],
  ): Map<FailureDomainName, Candidate[]> {
    const groups = new Map<FailureDomainName, Candidate[]>();
    for (const candidate of ranked) {
      if (candidate.failureDomain === options.failureDomain) continue;
      const group = groups.get(candidate.failureDomain) ?? [];
      group.push(candidate);
      groups.set(candidate.failureDomain, group);
    }
    return groups;
  }

  function getRank(id: HostId): number {
    return murmurhash.v3(`${options.self}>${id}`);
  }

  function isKnownAlive(entry: Entry): boolean {
    return entry.listed !== undefined ||
      host.now() - entry.receivedAt <= ANNOUNCEMENT_TTL_MS;
  }

  function isWatcher(count: number, unresponsiveAfterMs: Millis): boolean {
    const own = murmurhash.v3(`watch ${options.self}`);
    let above = 0;
    for (const [id, entry] of entries) {
      if (id === options.self || isLeaving(entry)) continue;
      const isHere = getPlace(entry)?.failureDomain === options.failureDomain;
      const isUnresponsive =
        host.now() - entry.receivedAt > unresponsiveAfterMs;
      if (!isHere || isUnresponsive) continue;
      if (murmurhash.v3(`watch ${id}`) > own) above += 1;
    }
    return above < count;
  }

  function getRecentAnnouncements(count: number): MemberAnnouncement[] {
    return [...entries.values()]
      .filter((e) => e.word !== undefined)
      .sort((a, b) => b.receivedAt - a.receivedAt)
      .slice(0, count)
      .map((e) => e.word!);
  }

  function toMember(entry: Entry): Member {
    const place = getPlace(entry)!;
    return {
      place,
      ...(entry.word && { incarnation: entry.word.incarnation }),
      isLeaving: isLeaving(entry),
      wordAgeMs: host.now() - entry.receivedAt,
    };
  }
}

function getPlace(entry: Entry | undefined): HostPlace | undefined {
  return entry?.word ?? entry?.listed;
}

/** True if the host announced draining, or the list shows it as leaving and it has not restarted since. */
function isLeaving(entry: Entry): boolean {
  if (entry.word?.draining) return true;
  if (entry.listed?.state !== ListedState.Leaving) return false;
  const known = entry.leavingIncarnation;
  return known === undefined || known === entry.word?.incarnation;
}

/**
 * Orders the announcements of one host. Incarnations are UUIDv7, so a relayed
 * announcement of an earlier incarnation is recognised; one of another
 * incarnation that the host itself sent always counts as newer.
 */
function isNewer(
  word: MemberAnnouncement,
  known: MemberAnnouncement,
  isDirect: boolean,
): boolean {
  if (word.incarnation === known.incarnation) {
    return word.sequence > known.sequence;
  }
  return isDirect || word.incarnation > known.incarnation;
}
