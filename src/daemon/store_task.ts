/**
 * Follows a store that can only be read: takes a snapshot, then waits for
 * changes, at the store or through a daemon that reads it. While the store is
 * silent, refuses or has dropped its history, what it said last stays in force.
 */

import type { Result } from "neverthrow";
import {
  dropReplaced,
  type StoreBatch,
  type StoreEntry,
} from "../core/change_log.ts";
import type { Counters } from "../core/counters.ts";
import { type ReadingPlan, ReadingRank } from "../core/reading_plan.ts";
import type { ListedUpstream, RoutingConfig } from "../core/routing_types.ts";
import type { CoreHost, HostId, Millis } from "../core/types.ts";
import { followSource, type Subscription } from "./change_follower.ts";
import type { ChangeRelay, RelayedBatch } from "./change_relay.ts";
import type { Logger } from "./logger.ts";

/** What changed in the store. */
export enum StoreChangeKind {
  UpstreamListed = "upstream-listed",
  UpstreamRemoved = "upstream-removed",
  RoutingPublished = "routing-published",
  /** An entry that can't be read; it is ignored. */
  Unreadable = "unreadable",
}

/** One change, decoded. */
export type StoreChange =
  | { kind: StoreChangeKind.UpstreamListed; upstream: ListedUpstream }
  | { kind: StoreChangeKind.UpstreamRemoved; instance: string }
  | { kind: StoreChangeKind.RoutingPublished; config: RoutingConfig }
  | { kind: StoreChangeKind.Unreadable; key: string; message: string };

/** Why a call to the store failed. */
export interface StoreError {
  readonly call: string;
  readonly message: string;
  /** True where the changes since the revision are no longer to be had. */
  readonly isHistoryGone: boolean;
}

/** Reads a store. */
export interface StoreReader {
  /** Everything that a daemon follows, the oldest entry first. */
  readAll(): Promise<Result<StoreBatch, StoreError>>;
  /** Changes after a revision; empty where none came within the wait. */
  watch(after: number, waitMs: Millis): Promise<Result<StoreBatch, StoreError>>;
  /** What an entry says; it may say more than one thing. */
  decode(entry: StoreEntry): readonly StoreChange[];
  close(): Promise<void>;
}

/** Settings of the task. */
export interface StoreTaskOptions {
  readonly reader: StoreReader;
  /** Passes on what this daemon knows of the store. */
  readonly relay: ChangeRelay;
  readonly counters: Counters;
  readonly logger: Logger;
  /** Longest wait of one watch, in ms. */
  readonly waitMs: Millis;
  /**
   * Time between two reads of large changes, in ms. Each costs a call and time
   * in which the daemon takes no request.
   */
  readonly largeGapMs: Millis;
  /** Which daemons read the store, by the newest list of hosts. */
  getPlan(): ReadingPlan;
  /** Where a host takes messages of its peers. */
  getPeerAddress(host: HostId): string;
  onSnapshot(changes: readonly StoreChange[]): void;
  onChange(change: StoreChange): void;
  onLost(): void;
  onRegained(): void;
}

/** The task. */
export interface StoreTask {
  start(): void;
  /** True where the last call was answered. */
  isReachable(): boolean;
  close(): Promise<void>;
}

/** Longest wait of a watch that others depend on, in ms: its end shows them that the reader is in touch. */
const SHARED_WATCH_MS = 500;
/** Time for which a source that was lost is not asked again, in ms. */
const LOST_SOURCE_BACKOFF_MS = 2_000;
/** As above where it had nothing to pass on, in ms; asking costs little. */
const REFUSING_SOURCE_BACKOFF_MS = 500;
/** Pause between two watches, so that changes in a row cost one call, in ms. */
const BATCH_DELAY_MS = 250;
/** Wait of a watch while the store is lost, in ms: a swallowed call must not be waited for long. */
const OUTAGE_WATCH_MS = 50;
/** First pause after a failed call, in ms; it doubles up to the longest. */
const MIN_BACKOFF_MS = 100;
/** Short beside the bound on changes, which counts from the store's return, in ms. */
const MAX_BACKOFF_MS = 400;
/** As above for one of many daemons, whose sources try more often, in ms. */
const MAX_FOLLOWER_BACKOFF_MS = 2_000;

/** Creates the task. */
export function createStoreTask(
  host: CoreHost,
  options: StoreTaskOptions,
): StoreTask {
  const { reader, relay, counters, logger } = options;
  const avoidedUntil = new Map<HostId, Millis>();
  let isClosed = false;
  let revision: number | undefined;
  let failures = 0;
  let lostAt: Millis | undefined;
  let timer: NodeJS.Timeout | undefined;
  let subscription: Subscription | undefined;
  /** True where a source has changes that it does not pass on. */
  let mustReadStore = false;
  let largeReadAt: Millis = -Infinity;
  return { start: readNext, isReachable: () => failures === 0, close };

  function readNext(): void {
    if (revision === undefined) return void readAll();
    const plan = options.getPlan();
    if (mustReadStore) {
      mustReadStore = false;
      largeReadAt = host.now();
      return void watch(revision, plan);
    }
    const mustFollow = plan.rank !== ReadingRank.Root || failures > 0;
    const source = mustFollow
      ? plan.sources.find((it) => !isAvoided(it))
      : undefined;
    if (source === undefined) void watch(revision, plan);
    else follow(source, revision);
  }

  async function readAll(): Promise<void> {
    counters.add("store_snapshot");
    const result = await reader.readAll();
    if (isClosed) return;
    if (result.isErr()) return handleFailure(result.error);
    const { value } = result;
    relay.restart(value);
    markReachable();
    revision = value.revision;
    options.onSnapshot(value.entries.flatMap(reader.decode));
    schedule(BATCH_DELAY_MS);
  }

  async function watch(after: number, plan: ReadingPlan): Promise<void> {
    counters.add("store_watch");
    const waitMs = plan.isShared ? SHARED_WATCH_MS : options.waitMs;
    const result = await reader.watch(
      after,
      failures === 0 ? waitMs : OUTAGE_WATCH_MS,
    );
    if (isClosed) return;
    if (result.isErr()) return handleFailure(result.error);
    applyBatch({ ...result.value, hops: 0 });
    schedule(result.value.entries.length > 0 ? BATCH_DELAY_MS : 0);
  }

  function follow(source: HostId, after: number): void {
    counters.add("source_asked");
    let hasReceived = false;
    subscription = followSource({
      address: options.getPeerAddress(source),
      after,
      onBatch: (batch) => {
        const { rank, sources } = options.getPlan();
        // Who is as far from the store may be following this daemon.
        const isNearer = batch.hops < Math.max(rank, 1);
        if (!isNearer) return subscription?.close();
        if (!hasReceived) logger.info("source_followed", { source, after });
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
        if (mustReadStore) {
          counters.add("source_left_to_read");
          return schedule(
            Math.max(0, largeReadAt + options.largeGapMs - host.now()),
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
    // Another source may be behind.
    if (revision !== undefined && batch.revision < revision) return;
    revision = batch.revision;
    relay.publish(batch);
    for (const change of dropReplaced(batch.entries).flatMap(reader.decode)) {
      options.onChange(change);
    }
  }

  function markReachable(): void {
    failures = 0;
    if (lostAt === undefined) return;
    const outageMs = Math.round(host.now() - lostAt);
    lostAt = undefined;
    logger.info("store_regained", { outageMs, revision });
    options.onRegained();
  }

  function handleFailure(error: StoreError): void {
    const { call, message, isHistoryGone } = error;
    relay.release();
    counters.add(isHistoryGone ? "store_history_gone" : "store_failed");
    if (isHistoryGone) {
      logger.warn("store_history_gone", { call, revision });
      revision = undefined;
      return schedule(0);
    }
    failures += 1;
    if (lostAt === undefined) {
      lostAt = host.now();
      logger.warn("store_lost", { call, message, revision });
      options.onLost();
    }
    const { rank } = options.getPlan();
    const longest = rank >= ReadingRank.Head
      ? MAX_FOLLOWER_BACKOFF_MS
      : MAX_BACKOFF_MS;
    const backoff = Math.min(MIN_BACKOFF_MS * 2 ** failures, longest);
    schedule(backoff * (0.5 + host.random() / 2));
  }

  function schedule(delayMs: Millis): void {
    if (isClosed) return;
    timer = setTimeout(readNext, delayMs);
  }

  async function close(): Promise<void> {
    isClosed = true;
    clearTimeout(timer);
    subscription?.close();
    relay.close();
    await reader.close();
  }
}
