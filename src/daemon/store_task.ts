/**
 * Follows a store that can only be read: takes a snapshot, then waits for
 * changes. While the store is silent, refuses or has dropped its history, what
 * it said last stays in force.
 */

import type { Result } from "neverthrow";
import type { ListedUpstream, RoutingConfig } from "../core/routing_types.ts";
import type { CoreHost, Millis } from "../core/types.ts";
import type { Counters } from "../core/counters.ts";
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

/** Changes up to a revision of the store. */
export interface StoreChanges {
  readonly revision: number;
  readonly changes: readonly StoreChange[];
}

/** Why a call to the store failed. */
export interface StoreError {
  readonly call: string;
  readonly message: string;
  /** True where the changes since the revision are no longer to be had. */
  readonly isHistoryGone: boolean;
}

/** Reads a store. */
export interface StoreReader {
  /** Everything that a daemon follows. */
  readAll(): Promise<Result<StoreChanges, StoreError>>;
  /** Changes after a revision; empty where none came within the wait. */
  watch(
    after: number,
    waitMs: Millis,
  ): Promise<Result<StoreChanges, StoreError>>;
  close(): Promise<void>;
}

/** Settings of the task. */
export interface StoreTaskOptions {
  readonly reader: StoreReader;
  readonly counters: Counters;
  readonly logger: Logger;
  /** Longest wait of one watch, in ms. */
  readonly waitMs: Millis;
  onSnapshot(changes: readonly StoreChange[]): void;
  onChange(change: StoreChange): void;
  onLost(): void;
  onRegained(): void;
}

/** The task. */
export interface StoreTask {
  start(): void;
  /** True where the last call was answered. */
  isInTouch(): boolean;
  close(): Promise<void>;
}

/** Pause between two watches, so that changes in a row cost one call, in ms. */
const BATCH_MS = 250;
/** Wait of a watch while the store is lost, in ms: a swallowed call must not be waited for long. */
const LOST_WAIT_MS = 50;
/** First pause after a failed call, in ms; it doubles up to the longest. */
const MIN_BACKOFF_MS = 100;
/** Short beside the bound on changes, which counts from the store's return, in ms. */
const MAX_BACKOFF_MS = 400;

/** Creates the task. */
export function createStoreTask(
  host: CoreHost,
  options: StoreTaskOptions,
): StoreTask {
  const { reader, counters, logger } = options;
  let isClosed = false;
  let revision: number | undefined;
  let failures = 0;
  let lostAt: Millis | undefined;
  let timer: NodeJS.Timeout | undefined;
  return { start: () => void step(), isInTouch: () => failures === 0, close };

  async function step(): Promise<void> {
    const isSnapshot = revision === undefined;
    const result = isSnapshot ? await reader.readAll() : await reader.watch(
      revision!,
      failures === 0 ? options.waitMs : LOST_WAIT_MS,
    );
    if (isClosed) return;
    counters.add(isSnapshot ? "store_snapshot" : "store_watch");
    result.match(
      (changes) => take(changes, isSnapshot),
      (error) => fail(error),
    );
  }

  function take(result: StoreChanges, isSnapshot: boolean): void {
    regain();
    revision = result.revision;
    if (isSnapshot) options.onSnapshot(result.changes);
    else for (const change of result.changes) options.onChange(change);
    schedule(result.changes.length > 0 || isSnapshot ? BATCH_MS : 0);
  }

  function regain(): void {
    failures = 0;
    if (lostAt === undefined) return;
    const outageMs = Math.round(host.now() - lostAt);
    lostAt = undefined;
    logger.info("store_regained", { outageMs, revision });
    options.onRegained();
  }

  function fail(error: StoreError): void {
    const { call, message, isHistoryGone } = error;
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
    const backoff = Math.min(MIN_BACKOFF_MS * 2 ** failures, MAX_BACKOFF_MS);
    schedule(backoff * (0.5 + host.random() / 2));
  }

  function schedule(delayMs: Millis): void {
    if (isClosed) return;
    timer = setTimeout(() => void step(), delayMs);
  }

  async function close(): Promise<void> {
    isClosed = true;
    clearTimeout(timer);
    await reader.close();
  }
}
