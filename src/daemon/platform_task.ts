/**
 * Polls the platform for the list of hosts and for configuration. A watcher,
 * one of a few daemons in each failure domain, polls the list often and waits
 * for configuration by long polls. All other daemons poll both slowly, as a
 * fallback for what they get from peers.
 */

import type { ConfigState } from "../core/config_state.ts";
import type { ConfigDocument } from "../core/config_types.ts";
import type { Counters } from "../core/counters.ts";
import type { Membership } from "../core/membership.ts";
import type { CoreHost, Millis } from "../core/types.ts";
import type {
  PlatformClient,
  PlatformError,
  PlatformIndex,
} from "../platform/platform_client.ts";
import type { Logger } from "./logger.ts";

const WATCHERS_PER_DOMAIN = 2;
/** Age of a watcher's announcement from which another daemon replaces it, in ms. */
const WATCHER_TIMEOUT_MS = 5_000;
/** Longest wait of one long poll, in ms. */
const WATCH_WAIT_MS = 30_000;
/** Mean time between polls of the list by a watcher, in ms. */
const WATCHER_POLL_MS = 1_000;
/** Mean time between polls by other daemons, in ms. */
const OTHER_POLL_MS = 120_000;
/** Time between two checks for a change of role, in ms. */
const ROLE_CHECK_MS = 2_000;
const FIRST_BACKOFF_MS = 200;
const MAX_BACKOFF_MS = 10_000;

/** Settings of the task. */
export interface PlatformTaskOptions<T> {
  readonly client: PlatformClient;
  readonly membership: Membership;
  readonly config: ConfigState<T>;
  readonly counters: Counters;
  readonly logger: Logger;
  applyDocuments(documents: readonly ConfigDocument[]): void;
}

/** Reads the platform until it is closed. */
export interface PlatformTask {
  /** Reads the list of hosts once; resolves to false if the call failed. */
  readHosts(): Promise<boolean>;
  /** Reads the index once, and the documents newer than those in force; false if the index could not be read. */
  readIndex(): Promise<boolean>;
  start(): void;
  isWatching(): boolean;
  close(): Promise<void>;
}

/** Creates the task; polling begins with `start`. */
export function createPlatformTask<T>(
  host: CoreHost,
  options: PlatformTaskOptions<T>,
): PlatformTask {
  const { client, membership, config, counters, logger } = options;
  let isClosed = false;
  let isWatching = false;
  let backoffMs = FIRST_BACKOFF_MS;
  let seenRevision = 0;
  const timers = new Set<NodeJS.Timeout>();
  return { readHosts, readIndex, start, isWatching: () => isWatching, close };

  function start(): void {
    void pollHosts();
    void followConfig();
  }

  async function pollHosts(): Promise<void> {
    while (!isClosed) {
      const period = isWatcher() ? WATCHER_POLL_MS : OTHER_POLL_MS;
      await sleep(addJitter(period), isWatcher);
      if (!isClosed) await readHosts();
    }
  }

  async function followConfig(): Promise<void> {
    while (!isClosed) {
      isWatching = isWatcher();
      if (isWatching) await watch();
      else {
        await sleep(addJitter(OTHER_POLL_MS), isWatcher);
        if (!isClosed && !isWatcher()) await readIndex();
      }
    }
  }

  async function watch(): Promise<void> {
    const index = await client.watchIndex(seenRevision, WATCH_WAIT_MS);
    counters.add("platform_call");
    if (index.isOk()) await applyIndex(index.value);
    else await backOff(index.error);
  }

  async function readHosts(): Promise<boolean> {
    counters.add("platform_call");
    const hosts = await client.readHosts();
    if (hosts.isErr()) return recordFailure(hosts.error);
    membership.applyList(hosts.value);
    return true;
  }

  async function readIndex(): Promise<boolean> {
    counters.add("platform_call");
    const index = await client.readIndex();
    if (index.isErr()) return recordFailure(index.error);
    await applyIndex(index.value);
    return true;
  }

  async function applyIndex(index: PlatformIndex): Promise<void> {
    backoffMs = FIRST_BACKOFF_MS;
    seenRevision = Math.max(seenRevision, index.revision);
    const documents: ConfigDocument[] = [];
    for (const key of config.getOutdatedKeys(index.revisions)) {
      counters.add("platform_call");
      const document = await client.readDocument(key);
      if (document.isOk()) documents.push(document.value);
      else recordFailure(document.error);
    }
    if (documents.length > 0) options.applyDocuments(documents);
  }

  async function backOff(error: PlatformError): Promise<void> {
    recordFailure(error);
    await sleep(addJitter(backoffMs), () => false);
    backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
  }

  function recordFailure(error: PlatformError): false {
    counters.add("platform_unavailable");
    if (!isClosed) logger.warn("platform_unavailable", { ...error });
    return false;
  }

  function isWatcher(): boolean {
    return membership.isWatcher(WATCHERS_PER_DOMAIN, WATCHER_TIMEOUT_MS);
  }

  /** Sleeps; ends early if the daemon's role changes or the task is closed. */
  async function sleep(ms: Millis, getRole: () => boolean): Promise<void> {
    const role = getRole();
    const until = host.now() + ms;
    while (!isClosed && host.now() < until && getRole() === role) {
      await pause(Math.min(ROLE_CHECK_MS, until - host.now()));
    }
  }

  function pause(ms: Millis): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        timers.delete(timer);
        resolve();
      }, ms);
      timer.unref();
      timers.add(timer);
    });
  }

  function addJitter(ms: Millis): Millis {
    return ms * (0.75 + host.random() / 2);
  }

  async function close(): Promise<void> {
    isClosed = true;
    for (const timer of timers) clearTimeout(timer);
    await client.close();
  }
}
