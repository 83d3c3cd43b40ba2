/**
 * State of the store that one daemon passes to another one which can't read it.
 * Load pattern "a start without the store": a daemon that has just started and
 * that the store doesn't answer knows no route and would refuse its callers
 * until the store is back, although the daemons beside it know everything.
 */

import { z } from "zod";
import type { StoreBatch, StorePosition } from "../core/change_log.ts";
import type { HostId } from "../core/types.ts";
import type { GetLink } from "../link/types.ts";
import { decodeJson } from "../settings/json.ts";
import type { Logger } from "./logger.ts";

/** State of the store as a daemon knows it. */
export interface PeerState extends StoreBatch {
  /** False for the changes after the position that was asked for, true for the whole content. */
  readonly isWhole: boolean;
}

/** Asks daemons for their state. */
export interface PeerStateReader {
  /** Asks the next daemon, or several as long as nothing is known; undefined if none knows anything new. */
  read(after: StorePosition | undefined): Promise<PeerState | undefined>;
}

/** Settings of the reader. */
export interface PeerStateReaderOptions {
  readonly self: HostId;
  /** Daemons to ask: those of the list, or those of the settings as long as there is none. */
  getPeers(): readonly HostId[];
  getLink: GetLink;
  readonly logger: Logger;
}

const positionSchema = z.object({ era: z.int(), revision: z.int() });
const stateSchema = positionSchema.extend({
  isWhole: z.boolean(),
  entries: z.array(z.object({ key: z.string(), text: z.string().optional() })),
});

/** Creates a reader that asks one daemon after the other. */
export function createPeerStateReader(
  { self, getPeers, getLink, logger }: PeerStateReaderOptions,
): PeerStateReader {
  let askedCount = 0;
  return { read };

  async function read(
    after: StorePosition | undefined,
  ): Promise<PeerState | undefined> {
    const peers = getPeers().filter((peer) => peer !== self);
    // Without any state, callers are refused: a seed that is down must not delay it.
    if (after === undefined) {
      return await findFirst(peers.map((peer) => ask(peer, after)));
    }
    const peer = peers[askedCount % peers.length];
    if (peer === undefined) return undefined;
    askedCount += 1;
    return await ask(peer, after);
  }

  async function ask(
    peer: HostId,
    after: StorePosition | undefined,
  ): Promise<PeerState | undefined> {
    const text = await getLink(peer)?.readState?.(encodePosition(after));
    if (text === undefined || text === "") return undefined;
    const decoded = decodeJson(text, stateSchema);
    if (decoded.ok) return decoded.val;
    logger.warn("peer_nonsense", { peer, message: decoded.val });
    return undefined;
  }
}

/** The first value that is not undefined; undefined if there is none. */
function findFirst<T>(
  values: readonly Promise<T | undefined>[],
): Promise<T | undefined> {
  return new Promise((resolve) => {
    const ended = values.map((value) =>
      value.then((it) => {
        if (it !== undefined) resolve(it);
      })
    );
    void Promise.all(ended).then(() => resolve(undefined));
  });
}

/** Encodes the position after which changes are asked for; empty for the whole content. */
export function encodePosition(after: StorePosition | undefined): string {
  return after === undefined ? "" : JSON.stringify(after);
}

/** Decodes such a position; an unreadable one asks for the whole content. */
export function decodePosition(text: string): StorePosition | undefined {
  const decoded = decodeJson(text, positionSchema);
  return decoded.ok ? decoded.val : undefined;
}
