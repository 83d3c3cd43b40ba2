/**
 * Relays the store's changes to daemons that follow this one: one line of JSON
 * for each response of the store, also for one without changes, so that a
 * follower that receives no line can tell that its path to the store is broken.
 */

import type { ServerResponse } from "node:http";
import {
  createChangeLog,
  type StoreBatch,
  type StorePosition,
} from "../core/change_log.ts";
import type { Counters } from "../core/counters.ts";
import type { CoreHost, Millis } from "../core/types.ts";
import type { PeerState } from "./peer_state.ts";

/** Age of the store's last response up to which followers are accepted, in ms; the shortest line timeout of a follower. */
const MAX_RESPONSE_AGE_MS = 900;
/** Bytes buffered for a slow follower before it is disconnected; a few large configurations. */
const MAX_BUFFERED_BYTES = 8_388_608;

/**
 * Largest changes that are relayed, in characters. A head on a slow link would
 * need seconds to send more to all of its followers.
 */
const MAX_RELAYED_CHARS = 16_384;

/** Changes as they are relayed. */
export interface RelayedBatch extends StoreBatch {
  /** Daemons between the sender and the store; 0 if the sender reads the store itself. */
  readonly hops: number;
  /** True if the changes are left out as too large; they are to be read from the store. */
  readonly isLarge?: boolean;
}

/** The relay of one daemon. */
export interface ChangeRelay {
  /** Starts anew from the whole content of the store; disconnects all followers. */
  restart(batch: StoreBatch): void;
  /** Records what another daemon knows of the store; it isn't relayed, since the store did not respond here. */
  adopt(state: PeerState): void;
  /** What is known of the store: the changes after a position if the log reaches back that far, else everything. */
  tryGetState(after: StorePosition | undefined): PeerState | undefined;
  /** Relays a response of the store, whether read here or received from a source. */
  publish(batch: RelayedBatch): void;
  /**
   * Streams the changes after a revision and all later ones to a follower.
   * Responds with 503 if the store's last response is too old or the log does
   * not reach back to the revision, or is of another era.
   */
  attach(after: StorePosition, outgoing: ServerResponse): void;
  /** Disconnects all followers, so that they try another source; refuses new ones until the next batch. */
  release(): void;
  /** Disconnects all followers and refuses new ones. */
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
  return { restart, adopt, tryGetState, publish, attach, release, close };

  function restart(batch: StoreBatch): void {
    // Followers may have missed changes from before the batch.
    release();
    respondedAt = host.now();
    hops = 0;
    log.restart(batch);
  }

  function adopt(state: PeerState): void {
    if (state.isWhole) log.restart(state);
    else log.apply(state);
  }

  function tryGetState(
    after: StorePosition | undefined,
  ): PeerState | undefined {
    const missed = after && log.tryGetSince(after);
    if (missed !== undefined) return { ...missed, isWhole: false };
    const all = log.tryGetAll();
    return all && { ...all, isWhole: true };
  }

  function publish(batch: RelayedBatch): void {
    respondedAt = host.now();
    hops = batch.hops;
    log.apply(batch);
    const line = encode(batch);
    for (const follower of followers) send(follower, line);
  }

  function attach(after: StorePosition, outgoing: ServerResponse): void {
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

function encode({ era, revision, hops, entries }: RelayedBatch): string {
  const chars = entries.reduce((sum, e) => sum + (e.text?.length ?? 0), 0);
  const line = chars > MAX_RELAYED_CHARS
    ? { era, revision, hops, entries: [], isLarge: true }
    : { era, revision, hops, entries };
  return `${JSON.stringify(line)}\n`;
}
