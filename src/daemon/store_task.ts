/**
 * Follows a read-only key-value store: reads a snapshot, then watches for
 * changes, either at the store or through another daemon that reads it. While
 * the store is unresponsive, fails calls or has dropped its history, its last
 * known content stays in force. If the store comes back from an older copy, the
 * task reads it again from the start: its revisions name other changes then.
 */

import type { Result } from "neverthrow";
import {
  dropSuperseded,
  type StoreBatch,
  type StoreEntry,
  type StorePosition,
} from "../core/change_log.ts";
import type { Counters } from "../core/counters.ts";
import { type ReadingPlan, ReadingRank } from "../core/reading_plan.ts";
import type { ListedUpstream, PublishedConfig } from "../core/routing_types.ts";
import type {
  CoreHost,
  FailureDomainName,
  HostId,
  Millis,
} from "../core/types.ts";
import type { UpstreamRemoval } from "../core/upstream_list.ts";
import { planWatch, type WatchTimes } from "../core/watch_times.ts";
import { followSource, type Subscription } from "./change_follower.ts";
import type { ChangeRelay, RelayedBatch } from "./change_relay.ts";
import type { Logger } from "./logger.ts";
import type { PeerState, PeerStateReader } from "./peer_state.ts";

/** Kinds of change in the store. */
export enum StoreChangeKind {
  UpstreamListed = "upstream-listed",
  UpstreamRemoved = "upstream-removed",
  RoutingPublished = "routing-published",
  DomainEvacuated = "domain-evacuated",
  /** An entry that can't be decoded; it is ignored. */
  Unreadable = "unreadable",
}

/** One change, decoded. */
export type StoreChange =
  | { kind: StoreChangeKind.UpstreamListed; upstream: ListedUpstream }
  | {
    kind: StoreChangeKind.UpstreamRemoved;
    instance: string;
    /** Missing if absent. */
    removal?: UpstreamRemoval;
  }
  | { kind: StoreChangeKind.RoutingPublished; config: PublishedConfig }
  | {
    kind: StoreChangeKind.DomainEvacuated;
    failureDomain: FailureDomainName;
    /** False once the operators have ended the evacuation. */
    isEvacuated: boolean;
  }
  | { kind: StoreChangeKind.Unreadable; key: string; message: string };

/** Why a call to the store failed. */
export interface StoreError {
  readonly call: string;
  readonly message: string;
  /** True if the store has discarded the changes since the requested revision. */
  readonly isHistoryGone: boolean;
  /** True if no byte came in time: the connection may be silent while the store responds on others. */
  readonly isSilent?: boolean;
  /** True if the store's response was cut as larger than what a daemon reads. */
  readonly isEndless?: boolean;
}

/** Client of a key-value store. */
export interface StoreReader {
  /** Reads all entries that a daemon follows, the oldest first. */
  readAll(): Promise<Result<StoreBatch, StoreError>>;
  /** Waits for changes after a revision of the current era; empty if there are none in time. */
  watch(
    after: number,
    times: WatchTimes,
  ): Promise<Result<StoreBatch, StoreError>>;
  /** Decodes an entry, which may contain several changes. */
  decode(entry: StoreEntry): readonly StoreChange[];
  close(): Promise<void>;
}

/** Settings of the task. */
export interface StoreTaskOptions {
  readonly reader: StoreReader;
  /** Asks other daemons while the store doesn't respond; nobody is asked by default. */
  readonly peers?: PeerStateReader;
  /** Relays the changes that this daemon receives to its followers. */
  readonly relay: ChangeRelay;
  readonly counters: Counters;
  readonly logger: Logger;
  /** Time within which a change has to be in force, in ms; bounds the silence of a connection. */
  readonly promiseMs: Millis;
  /**
   * Delay between two watches of a daemon that has just started and follows no
   * other, and time between two reads of large changes, in ms. Each read costs
   * a call and blocks the daemon while the changes are applied.
   */
  readonly readGapMs: Millis;
  /** How this daemon reads the store, given the current list of hosts. */
  getPlan(): ReadingPlan;
  /** IP address and port at which a host accepts messages of its peers. */
  getPeerAddress(host: HostId): string;
  onSnapshot(changes: readonly StoreChange[]): void;
  onChange(change: StoreChange): void;
  onLost(): void;
  onRegained(): void;
  /** Called before the first snapshot of another era of the store. */
  onRolledBack(): void;
}

/** Keeps a daemon's view of the store up to date. */
export interface StoreTask {
  start(): void;
  /** False from a failed call to the store until it or a source responds again. */
  isReachable(): boolean;
  close(): Promise<void>;
}

/** Time before a source is tried again after its connection was lost, in ms. */
const LOST_SOURCE_BACKOFF_MS = 2_000;
/** As above after the source refused, in ms; shorter because a refusal costs little. */
const REFUSING_SOURCE_BACKOFF_MS = 500;
/** Time for which a daemon that has just started waits for the store before it asks another one, in ms; some round trips. */
const FIRST_SNAPSHOT_MS = 250;
/** Delay between two watches, in ms, so that successive changes cost one call. */
const BATCH_DELAY_MS = 250;
/** Time after the start in which the upstreams of a whole fleet register, in ms. */
const START_MS = 5_000;
/** Base of the exponential backoff after failed calls, in ms. */
const MIN_BACKOFF_MS = 100;
/** Longest backoff, in ms; short compared with the time limit for changes, which starts when the store is available again. */
const MAX_BACKOFF_MS = 400;
/** As above for heads and followers, in ms; the daemons that they follow retry more often. */
const MAX_FOLLOWER_BACKOFF_MS = 2_000;

/** Creates the task; reading begins with `start`. */
export function createStoreTask(
  host: CoreHost,
  options: StoreTaskOptions,
): StoreTask {
  const { reader, relay, counters, logger } = options;
  const avoidedUntil = new Map<HostId, Millis>();
  let isClosed = false;
  /** The last known position; undefined until a snapshot is read. */
  let position: StorePosition | undefined;
  /** Era of the last snapshot. */
  let era: number | undefined;
  let failures = 0;
  /** True after a silent connection, until the store responds or fails on another one. */
  let isAskedAgain = false;
  let respondedAt: Millis = host.now();
  let lostAt: Millis | undefined;
  let timer: NodeJS.Timeout | undefined;
  let peerTimer: NodeJS.Timeout | undefined;
  let subscription: Subscription | undefined;
  /** True if a source left out changes as too large; the next read is from the store. */
  let mustReadStore = false;
  let largeReadAt: Millis = -Infinity;
  /** True if the changes are too many for one watch; they are read in pages. */
  let mustReadPages = false;
  const startedAt = host.now();
  return { start, isReachable: () => failures === 0, close };

  /** An entry that a decoder fails on must not keep the other entries from being followed. */
  function decode(entry: StoreEntry): readonly StoreChange[] {
    try {
      return reader.decode(entry);
    } catch (error) {
      const kind = StoreChangeKind.Unreadable;
      return [{ kind, key: entry.key, message: String(error) }];
    }
  }

  function start(): void {
    readNext();
    schedulePeer(FIRST_SNAPSHOT_MS);
  }

  /** Asks other daemons, one after the other, from the first failure of the store until it responds. */
  function schedulePeer(delayMs: Millis): void {
    if (options.peers === undefined || peerTimer !== undefined) return;
    peerTimer = setTimeout(() => void askPeer(), delayMs);
  }

  async function askPeer(): Promise<void> {
    const state = isInNeed() ? await options.peers?.read(position) : undefined;
    peerTimer = undefined;
    if (isClosed || !isInNeed()) return;
    if (state !== undefined) applyPeerState(state);
    schedulePeer(
      position === undefined ? FIRST_SNAPSHOT_MS : options.readGapMs,
    );
  }

  function isInNeed(): boolean {
    return position === undefined || failures > 0;
  }

  function applyPeerState(state: PeerState): void {
    const { isWhole, revision } = state;
    const isNewer = position === undefined ||
      (state.era === position.era && revision > position.revision);
    if (!isNewer) return;
    counters.add("peer_state_used");
    logger.info("peer_state_used", { after: position?.revision, revision });
    relay.adopt(state);
    era = state.era;
    position = { era, revision };
    const changes = dropSuperseded(state.entries).flatMap(decode);
    if (isWhole) options.onSnapshot(changes);
    else for (const change of changes) options.onChange(change);
  }

  function readNext(): void {
    if (position === undefined) return void readAll();
    const plan = options.getPlan();
    if (mustReadStore) {
      mustReadStore = false;
      largeReadAt = host.now();
      return void watch(position, plan);
    }
    const mustFollow = plan.rank !== ReadingRank.Root || failures > 0;
    const source = mustFollow && !isAskedAgain
      ? plan.sources.find((it) => !isAvoided(it))
      : undefined;
    if (source !== undefined) follow(source, position);
    else if (mustReadPages) void readAll();
    else void watch(position, plan);
  }

  async function readAll(): Promise<void> {
    counters.add("store_snapshot");
    const result = await reader.readAll();
    if (isClosed) return;
    if (result.isErr()) return handleFailure(result.error);
    const { value } = result;
    relay.restart(value);
    markReachable();
    if (era !== undefined && era !== value.era) markRolledBack(era, value);
    era = value.era;
    position = { era, revision: value.revision };
    options.onSnapshot(value.entries.flatMap(decode));
    schedule(BATCH_DELAY_MS);
  }

  function markRolledBack(before: number, { era, revision }: StoreBatch): void {
    counters.add("store_rolled_back");
    logger.warn("store_rolled_back", { before, era, revision });
    options.onRolledBack();
  }

  async function watch(
    after: StorePosition,
    plan: ReadingPlan,
  ): Promise<void> {
    counters.add("store_watch");
    const times = planWatch({
      promiseMs: options.promiseMs,
      idleMs: host.now() - respondedAt,
      isShared: plan.isShared,
      isAskedAgain,
      isLost: failures > 0,
    });
    const result = await reader.watch(after.revision, times);
    if (isClosed) return;
    if (result.isErr()) return handleFailure(result.error);
    const { entries } = result.value;
    if (result.value.era !== after.era) return startOver();
    applyBatch({ ...result.value, hops: 0 });
    schedule(entries.length > 0 ? getBatchDelay(plan, entries) : 0);
  }

  /** Reads everything again: changes since the last known position are not known. */
  function startOver(): void {
    relay.release();
    position = undefined;
    schedule(0);
  }

  /** After a start of the whole fleet, entries join one by one and would wake each daemon for each. */
  function getBatchDelay(
    { isShared }: ReadingPlan,
    entries: readonly StoreEntry[],
  ): Millis {
    const isStarting = host.now() - startedAt < START_MS;
    const isWaitingForMore = isStarting && !isShared &&
      entries.flatMap(decode).some(isUpstreamListed);
    return isWaitingForMore ? options.readGapMs : BATCH_DELAY_MS;
  }

  function follow(source: HostId, after: StorePosition): void {
    counters.add("source_asked");
    let hasReceived = false;
    subscription = followSource({
      address: options.getPeerAddress(source),
      after,
      onBatch: (batch) => {
        const { rank, sources } = options.getPlan();
        // A source that is as far from the store may be following this daemon.
        const isNearer = batch.hops < Math.max(rank, 1);
        if (!isNearer) return subscription?.close();
        if (batch.era !== after.era) {
          if (batch.era > after.era) position = undefined;
          return subscription?.close();
        }
        if (!hasReceived) {
          logger.info("source_followed", { source, after: after.revision });
        }
        hasReceived = true;
        if (batch.isLarge) {
          mustReadStore = true;
          return subscription?.close();
        }
        applyBatch({ ...batch, hops: batch.hops + 1 });
        if (!sources.includes(source)) subscription?.close();
      },
      onEnd: (reason) => {
        if (isClosed) return;
        if (position === undefined) return startOver();
        if (mustReadStore) {
          counters.add("source_left_to_read");
          return schedule(
            Math.max(0, largeReadAt + options.readGapMs - host.now()),
          );
        }
        counters.add(hasReceived ? "source_lost" : "source_refused");
        if (hasReceived) logger.warn("source_lost", { source, reason });
        const avoidMs = hasReceived
          ? LOST_SOURCE_BACKOFF_MS
          : REFUSING_SOURCE_BACKOFF_MS;
        avoidedUntil.set(source, host.now() + avoidMs);
        schedule(0);
      },
    });
  }

  function isAvoided(source: HostId): boolean {
    const until = avoidedUntil.get(source);
    if (until !== undefined && until <= host.now()) avoidedUntil.delete(source);
    return avoidedUntil.has(source);
  }

  function applyBatch(batch: RelayedBatch): void {
    markReachable();
    // A new source may lag behind the previous one.
    if (position !== undefined && batch.revision < position.revision) return;
    position = { era: batch.era, revision: batch.revision };
    relay.publish(batch);
    for (const change of dropSuperseded(batch.entries).flatMap(decode)) {
      options.onChange(change);
    }
  }

  function markReachable(): void {
    failures = 0;
    isAskedAgain = false;
    mustReadPages = false;
    respondedAt = host.now();
    if (lostAt === undefined) return;
    const outageMs = Math.round(host.now() - lostAt);
    lostAt = undefined;
    const revision = position?.revision;
    logger.info("store_regained", { outageMs, revision });
    options.onRegained();
  }

  function handleFailure(error: StoreError): void {
    const { call, message, isHistoryGone } = error;
    if (error.isSilent && !isAskedAgain && failures === 0) {
      counters.add("store_connection_silent");
      logger.warn("store_connection_silent", { call, message });
      isAskedAgain = true;
      return schedule(0);
    }
    isAskedAgain = false;
    mustReadPages = error.isEndless === true;
    if (mustReadPages) counters.add("store_response_cut_endless");
    relay.release();
    counters.add(isHistoryGone ? "store_history_gone" : "store_failed");
    const revision = position?.revision;
    if (isHistoryGone) {
      logger.warn("store_history_gone", { call, revision });
      return startOver();
    }
    failures += 1;
    if (lostAt === undefined) {
      lostAt = host.now();
      logger.warn("store_lost", { call, message, revision });
      options.onLost();
    }
    schedulePeer(0);
    const { rank } = options.getPlan();
    const maxBackoffMs = rank >= ReadingRank.Head
      ? MAX_FOLLOWER_BACKOFF_MS
      : MAX_BACKOFF_MS;
    const backoffMs = Math.min(MIN_BACKOFF_MS * 2 ** failures, maxBackoffMs);
    schedule(backoffMs * (0.5 + host.random() / 2));
  }

  function schedule(delayMs: Millis): void {
    if (isClosed) return;
    timer = setTimeout(readNext, delayMs);
  }

  async function close(): Promise<void> {
    isClosed = true;
    clearTimeout(timer);
    clearTimeout(peerTimer);
    subscription?.close();
    relay.close();
    await reader.close();
  }
}

function isUpstreamListed({ kind }: StoreChange): boolean {
  return kind === StoreChangeKind.UpstreamListed;
}
