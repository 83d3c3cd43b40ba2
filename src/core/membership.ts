/**
 * The local view of the fleet: the platform's lagging list, and above it what
 * each daemon says of itself. Silence alone never removes a host.
 */

import murmurhash from "murmurhash";
import {
  type HostPlace,
  type ListedHost,
  ListedState,
  type Member,
  type MemberWord,
} from "./config_types.ts";
import type {
  Candidate,
  CoreHost,
  FailureDomainName,
  HostId,
  Incarnation,
  Millis,
  ServiceName,
} from "./types.ts";

/** A word that old no longer carries a host that the list lacks, in ms. */
const WORD_LIFETIME_MS = 60_000;

/** Settings of the membership. */
export interface MembershipOptions {
  readonly self: HostId;
  readonly failureDomain: FailureDomainName;
  /** Hosts of one service that this daemon keeps links to, at most. */
  readonly subsetSize: number;
}

/** The local view of the fleet. */
export interface Membership {
  takeList(hosts: readonly ListedHost[]): void;
  /** Takes a word; one that the host itself sent outranks relayed ones. */
  takeWord(word: MemberWord, how: { isDirect: boolean }): boolean;
  getCandidates(service: ServiceName): readonly Candidate[];
  tryGetPlace(host: HostId): HostPlace | undefined;
  tryGetWord(host: HostId): MemberWord | undefined;
  getMembers(): Member[];
  /** The newest words, for passing on. */
  getRecentWords(count: number): MemberWord[];
  /** True where this daemon is one of a domain's few watchers of the platform. */
  isWatcher(count: number, silentAfterMs: Millis): boolean;
  size(): number;
}

interface Entry {
  listed?: ListedHost;
  /** Incarnation known when the list first said leaving. */
  leavingIncarnation?: Incarnation | undefined;
  word?: MemberWord;
  wordAt: Millis;
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
    takeList,
    takeWord,
    getCandidates,
    tryGetPlace: (id) => getPlace(entries.get(id)),
    tryGetWord: (id) => entries.get(id)?.word,
    getMembers: () => [...entries.values()].map(toMember),
    getRecentWords,
    isWatcher,
    size: () => entries.size,
  };

  function takeList(hosts: readonly ListedHost[]): void {
    const listed = new Set(hosts.map((h) => h.host));
    for (const row of hosts) takeRow(row);
    for (const [id, entry] of entries) {
      if (!listed.has(id)) removeUnlisted(id, entry);
    }
    candidateCache.clear();
  }

  function takeRow(row: ListedHost): void {
    const entry = entries.get(row.host) ?? { wordAt: -Infinity };
    const wasLeaving = entry.listed?.state === ListedState.Leaving;
    if (row.state !== ListedState.Leaving) delete entry.leavingIncarnation;
    else if (!wasLeaving) entry.leavingIncarnation = entry.word?.incarnation;
    entry.listed = row;
    entries.set(row.host, entry);
  }

  function removeUnlisted(id: HostId, entry: Entry): void {
    delete entry.listed;
    if (host.now() - entry.wordAt > WORD_LIFETIME_MS) entries.delete(id);
  }

  function takeWord(word: MemberWord, how: { isDirect: boolean }): boolean {
    const entry = entries.get(word.host) ?? { wordAt: -Infinity };
    const known = entry.word;
    if (known !== undefined && !isNewer(word, known, how.isDirect)) {
      return false;
    }
    entry.word = word;
    entry.wordAt = host.now();
    entries.set(word.host, entry);
    candidateCache.clear();
    return true;
  }

  function getCandidates(service: ServiceName): readonly Candidate[] {
    if (host.now() - cachedAt > WORD_LIFETIME_MS / 10) {
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

  /** Own domain first; every other domain keeps at least one host. */
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
      host.now() - entry.wordAt <= WORD_LIFETIME_MS;
  }

  function isWatcher(count: number, silentAfterMs: Millis): boolean {
    const own = murmurhash.v3(`watch ${options.self}`);
    let above = 0;
    for (const [id, entry] of entries) {
      if (id === options.self || isLeaving(entry)) continue;
      const isHere = getPlace(entry)?.failureDomain === options.failureDomain;
      const isSilent = host.now() - entry.wordAt > silentAfterMs;
      if (!isHere || isSilent) continue;
      if (murmurhash.v3(`watch ${id}`) > own) above += 1;
    }
    return above < count;
  }

  function getRecentWords(count: number): MemberWord[] {
    return [...entries.values()]
      .filter((e) => e.word !== undefined)
      .sort((a, b) => b.wordAt - a.wordAt)
      .slice(0, count)
      .map((e) => e.word!);
  }

  function toMember(entry: Entry): Member {
    const place = getPlace(entry)!;
    return {
      place,
      ...(entry.word && { incarnation: entry.word.incarnation }),
      isLeaving: isLeaving(entry),
      wordAgeMs: host.now() - entry.wordAt,
    };
  }
}

function getPlace(entry: Entry | undefined): HostPlace | undefined {
  return entry?.word ?? entry?.listed;
}

/** Leaving by its own word, or by the list unless it has restarted since. */
function isLeaving(entry: Entry): boolean {
  if (entry.word?.draining) return true;
  if (entry.listed?.state !== ListedState.Leaving) return false;
  const known = entry.leavingIncarnation;
  return known === undefined || known === entry.word?.incarnation;
}

/**
 * Orders words of one host. Incarnations are UUIDv7, so a relayed word of an
 * earlier run is recognised; the host's own message always counts as newer.
 */
function isNewer(
  word: MemberWord,
  known: MemberWord,
  isDirect: boolean,
): boolean {
  if (word.incarnation === known.incarnation) {
    return word.sequence > known.sequence;
  }
  return isDirect || word.incarnation > known.incarnation;
}
