/**
 * Passes the store's changes on to daemons that follow this one: a line of
 * JSON for each answer of the store, also for one without changes, so that a
 * follower that hears nothing knows that the way to the store is lost.
 */

import type { ServerResponse } from "node:http";
import { createChangeLog, type StoreBatch } from "../core/change_log.ts";
import type { Counters } from "../core/counters.ts";
import type { CoreHost, Millis } from "../core/types.ts";

/** Age of the store's last answer up to which followers are taken, in ms; the shortest patience of a follower. */
const MAX_RESPONSE_AGE_MS = 900;
/** Bytes that may wait for a follower that reads slowly; a few large configurations. */
const MAX_BUFFERED_BYTES = 8_388_608;

/**
 * Size of changes up to which they are passed on, in characters. A head on a
 * weak link would need seconds to send more to all of its followers.
 */
const MAX_RELAYED_CHARS = 16_384;

/** What is passed on. */
export interface RelayedBatch extends StoreBatch {
  /** Daemons between the sender and the store; 0 where it reads itself. */
  readonly hops: number;
  /** True where the changes are too large and are to be read from the store. */
  readonly isLarge?: boolean;
}

/** The relay of one daemon. */
export interface ChangeRelay {
  /** Takes the whole content of the store. */
  restart(batch: StoreBatch): void;
  /** Takes an answer of the store, read itself or relayed, and passes it on. */
  publish(batch: RelayedBatch): void;
  /** Sends a follower what changed after a revision, and all that changes later. */
  attach(after: number, outgoing: ServerResponse): void;
  /** Lets all followers go, so that they turn to another source. */
  release(): void;
  /** Releases all followers and takes no more. */
  close(): void;
}

/** Creates a relay without followers. */
export function createChangeRelay(
  host: CoreHost,
  { counters }: { counters: Counters },
): ChangeRelay {
  const log = createChangeLog();
  const followers = new Set<ServerResponse>();
  let respondedAt: Millis = -Infinity;
  let hops = 0;
  let isClosed = false;
  return { restart, publish, attach, release, close };

  function restart(batch: StoreBatch): void {
    // Followers may lack changes from before the batch.
    release();
    respondedAt = host.now();
    hops = 0;
    log.restart(batch);
  }

  function publish(batch: RelayedBatch): void {
    respondedAt = host.now();
    hops = batch.hops;
    log.take(batch);
    const line = encode(batch);
    for (const follower of followers) send(follower, line);
  }

  function attach(after: number, outgoing: ServerResponse): void {
    const isCurrent = host.now() - respondedAt <= MAX_RESPONSE_AGE_MS;
    const missed = isCurrent && !isClosed ? log.tryGetSince(after) : undefined;
    if (missed === undefined) {
      counters.add("follower_refused");
      outgoing.writeHead(503, { "content-length": "0" }).end();
      return;
    }
    counters.add("follower_taken");
    followers.add(outgoing);
    outgoing.once("close", () => followers.delete(outgoing));
    outgoing.writeHead(200, { "content-type": "application/x-ndjson" });
    send(outgoing, encode({ ...missed, hops }));
  }

  function send(follower: ServerResponse, line: string): void {
    if (follower.writableLength > MAX_BUFFERED_BYTES) {
      counters.add("follower_too_slow");
      followers.delete(follower);
      follower.destroy();
    } else follower.write(line);
  }

  function release(): void {
    respondedAt = -Infinity;
    for (const follower of followers) follower.end();
    followers.clear();
  }

  function close(): void {
    isClosed = true;
    release();
  }
}

function encode({ revision, hops, entries }: RelayedBatch): string {
  const chars = entries.reduce((sum, e) => sum + (e.text?.length ?? 0), 0);
  const line = chars > MAX_RELAYED_CHARS
    ? { revision, hops, entries: [], isLarge: true }
    : { revision, hops, entries };
  return `${JSON.stringify(line)}\n`;
}
