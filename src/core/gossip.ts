/**
 * Gossip of configuration and member announcements between peers: a daemon that
 * learns of a higher revision fetches the document from the peer that named it.
 */

import type { ConfigState } from "./config_state.ts";
import {
  type ConfigDocument,
  ControlKind,
  type ControlMessage,
  type ControlSend,
  type HostPlace,
  type MemberAnnouncement,
} from "./config_types.ts";
import { type Counters, createCounters } from "./counters.ts";
import type { Membership } from "./membership.ts";
import type { CoreHost, HostId, Incarnation, Millis, OfKind } from "./types.ts";

/** Announcements of other members in one Hello, at most. */
const ANNOUNCEMENTS_PER_HELLO = 4;
/** Time after which a fetch without a response may be repeated, in ms. */
const FETCH_RETRY_MS = 1_000;
/** Shortest time between Hellos sent to a peer because its digest differs, in ms. */
const MIN_HELLO_INTERVAL_MS = 200;

/** Settings of the gossip. */
export interface GossipOptions<T> {
  readonly place: HostPlace;
  readonly incarnation: Incarnation;
  readonly config: ConfigState<T>;
  readonly membership: Membership;
  /** Peers that get a Hello after a change. */
  readonly fanout: number;
  /** Called for each document that comes into force. */
  onAccepted(document: ConfigDocument): void;
  onRejected(reason: string, document: ConfigDocument): void;
}

/** Gossip of one daemon. */
export interface Gossip {
  handle(from: HostId, msg: ControlMessage): ControlSend[];
  /** Applies documents read from the platform. */
  applyDocuments(documents: readonly ConfigDocument[]): ControlSend[];
  /** Runs one round: sends a Hello to a random peer. */
  tick(): ControlSend[];
  /** Announces an urgent change, such as draining, to several peers at once. */
  announce(change: { draining: boolean }): ControlSend[];
  /** Creates a Hello that requests a reply. */
  createHello(to: HostId): ControlSend;
  /** Handles a peer's digest received on the data path; sends a Hello if it differs. */
  handleDigest(from: HostId, digest: string): ControlSend[];
  /** Number of peers found to have no newer revision since the start. */
  getSyncedPeerCount(): number;
  /** Creates this daemon's next announcement. */
  createAnnouncement(): MemberAnnouncement;
  readonly counters: Counters;
}

type Handlers = {
  [K in ControlKind]: (
    from: HostId,
    msg: OfKind<ControlMessage, K>,
  ) => ControlSend[];
};

/** Creates the gossip of one daemon. */
export function createGossip<T>(
  host: CoreHost,
  options: GossipOptions<T>,
): Gossip {
  const { config, membership } = options;
  const counters = createCounters();
  /** Peers found to have no newer revision. */
  const heard = new Set<HostId>();
  const helloSentAt = new Map<HostId, Millis>();
  const fetchSentAt = new Map<string, Millis>();
  let draining = false;
  let sequence = 0;

  const handlers: Handlers = {
    [ControlKind.Hello]: onHello,
    [ControlKind.Index]: onIndex,
    [ControlKind.Fetch]: onFetch,
    [ControlKind.Documents]: (_, msg) => applyDocuments(msg.documents),
  };
  return {
    handle(from, msg) {
      counters.add(`control_${msg.kind}`);
      const handler = handlers[msg.kind] as (
        from: HostId,
        msg: ControlMessage,
      ) => ControlSend[];
      return handler(from, msg);
    },
    applyDocuments,
    tick,
    announce,
    createHello: (to) => createHello(to, true),
    handleDigest,
    getSyncedPeerCount: () => heard.size,
    createAnnouncement,
    counters,
  };

  function onHello(
    from: HostId,
    msg: OfKind<ControlMessage, ControlKind.Hello>,
  ): ControlSend[] {
    membership.applyAnnouncement(msg.word, { isDirect: true });
    for (const word of msg.words) {
      if (word.host === options.place.host) continue;
      membership.applyAnnouncement(word, { isDirect: false });
    }
    const sends = msg.wantsReply ? [createHello(from, false)] : [];
    if (msg.digest !== config.getDigest()) {
      sends.push({
        to: from,
        msg: { kind: ControlKind.Index, revisions: config.getRevisions() },
      });
    } else heard.add(from);
    return sends;
  }

  function onIndex(
    from: HostId,
    msg: OfKind<ControlMessage, ControlKind.Index>,
  ): ControlSend[] {
    const newer = config.getOutdatedKeys(msg.revisions);
    if (newer.length === 0) heard.add(from);
    const wanted = newer.filter(isWorthFetching);
    if (wanted.length === 0) return [];
    for (const key of wanted) fetchSentAt.set(key, host.now());
    return [{ to: from, msg: { kind: ControlKind.Fetch, keys: wanted } }];
  }

  function isWorthFetching(key: string): boolean {
    const sentAt = fetchSentAt.get(key);
    return sentAt === undefined || host.now() - sentAt > FETCH_RETRY_MS;
  }

  function onFetch(
    from: HostId,
    msg: OfKind<ControlMessage, ControlKind.Fetch>,
  ): ControlSend[] {
    const documents = msg.keys
      .map((key) => config.get(key)?.document)
      .filter((d) => d !== undefined);
    if (documents.length === 0) return [];
    return [{ to: from, msg: { kind: ControlKind.Documents, documents } }];
  }

  function applyDocuments(documents: readonly ConfigDocument[]): ControlSend[] {
    let hasChanged = false;
    for (const document of documents) {
      fetchSentAt.delete(document.key);
      if (applyDocument(document)) hasChanged = true;
    }
    return hasChanged ? createHellos(options.fanout) : [];
  }

  function applyDocument(document: ConfigDocument): boolean {
    const result = config.apply(document);
    if (result.isErr()) {
      const { reason } = result.error.diagnostic;
      counters.add(reason);
      options.onRejected(reason, document);
      return false;
    }
    if (result.value === undefined) return false;
    counters.add("config_accepted");
    options.onAccepted(document);
    return true;
  }

  function tick(): ControlSend[] {
    return createHellos(1);
  }

  function announce(change: { draining: boolean }): ControlSend[] {
    draining = change.draining;
    return createHellos(options.fanout);
  }

  function createHellos(count: number): ControlSend[] {
    const peers = membership.getMembers()
      .map((member) => member.place.host)
      .filter((id) => id !== options.place.host);
    const sends: ControlSend[] = [];
    for (let index = 0; index < count && peers.length > 0; index++) {
      const pick = Math.floor(host.random() * peers.length);
      sends.push(createHello(peers.splice(pick, 1)[0]!, true));
    }
    return sends;
  }

  function handleDigest(from: HostId, digest: string): ControlSend[] {
    if (digest === config.getDigest()) return [];
    const last = helloSentAt.get(from) ?? -Infinity;
    if (host.now() - last < MIN_HELLO_INTERVAL_MS) return [];
    helloSentAt.set(from, host.now());
    return [createHello(from, true)];
  }

  function createHello(to: HostId, wantsReply: boolean): ControlSend {
    return {
      to,
      msg: {
        kind: ControlKind.Hello,
        word: createAnnouncement(),
        digest: config.getDigest(),
        wantsReply,
        words: membership.getRecentAnnouncements(ANNOUNCEMENTS_PER_HELLO),
      },
    };
  }

  function createAnnouncement(): MemberAnnouncement {
    sequence += 1;
    return {
      ...options.place,
      incarnation: options.incarnation,
      sequence,
      draining,
    };
  }
}
