/**
 * Passes the store's changes on to daemons that follow this one: a line of
 * JSON for each answer of the store, also for one without changes, so that a
 * follower that hears nothing knows that its reader has lost the store.
 */

import type { ServerResponse } from "node:http";
import { createChangeLog, type StoreBatch } from "../core/change_log.ts";
import type { Counters } from "../core/counters.ts";
import type { CoreHost, Millis } from "../core/types.ts";

/** Age of the store's last answer up to which followers are taken, in ms; a follower's patience. */
const MAX_ANSWER_AGE_MS = 1_300;
/** Bytes that may wait for a follower that reads slowly; a few large configurations. */
const MAX_WAITING_BYTES = 8_388_608;

/** Settings of the relay. */
export interface ChangeRelayOptions {
  readonly counters: Counters;
  /** True where this daemon reads the store itself. */
  isReader(): boolean;
}

/** The relay of one daemon. */
export interface ChangeRelay {
  /** Takes the whole content of the store. */
  restart(batch: StoreBatch): void;
  /** Takes an answer of the store and passes it on. */
  publish(batch: StoreBatch): void;
  /** Sends a follower what changed after a revision, and all that changes later. */
  attach(after: number, outgoing: ServerResponse): void;
  /** Lets all followers go, so that they turn to another reader. */
  release(): void;
}

/** Creates a relay without followers. */
export function createChangeRelay(
  host: CoreHost,
  options: ChangeRelayOptions,
): ChangeRelay {
  const { counters } = options;
  const log = createChangeLog();
  const followers = new Set<ServerResponse>();
  let answeredAt: Millis = -Infinity;
  return { restart, publish, attach, release };

  function restart(batch: StoreBatch): void {
    // Followers may lack changes from before the batch.
    release();
    answeredAt = host.now();
    log.restart(batch);
  }

  function publish(batch: StoreBatch): void {
    answeredAt = host.now();
    log.take(batch);
    const line = encode(batch);
    for (const follower of followers) send(follower, line);
  }

  function attach(after: number, outgoing: ServerResponse): void {
    const isFresh = host.now() - answeredAt <= MAX_ANSWER_AGE_MS;
    const missed = options.isReader() && isFresh
      ? log.tryGetSince(after)
      : undefined;
    if (missed === undefined) {
      counters.add("follower_refused");
      outgoing.writeHead(503, { "content-length": "0" }).end();
      return;
    }
    counters.add("follower_taken");
    followers.add(outgoing);
    outgoing.once("close", () => followers.delete(outgoing));
    outgoing.writeHead(200, { "content-type": "application/x-ndjson" });
    send(outgoing, encode(missed));
  }

  function send(follower: ServerResponse, line: string): void {
    if (follower.writableLength > MAX_WAITING_BYTES) {
      counters.add("follower_too_slow");
      followers.delete(follower);
      follower.destroy();
    } else follower.write(line);
  }

  function release(): void {
    answeredAt = -Infinity;
    for (const follower of followers) follower.end();
    followers.clear();
  }
}

function encode(batch: StoreBatch): string {
  return `${JSON.stringify(batch)}\n`;
}
