/**
 * Spreads configuration and members' words from peer to peer: a daemon that
 * hears of a higher revision fetches it from whoever it heard it from.
 */

import type { ConfigState } from "./config_state.ts";
import {
  type ConfigDocument,
  ControlKind,
  type ControlMessage,
  type ControlSend,
  type HostPlace,
  type MemberWord,
} from "./config_types.ts";
import { type Counters, createCounters } from "./counters.ts";
import type { Membership } from "./membership.ts";
import type { CoreHost, HostId, Incarnation, Millis, OfKind } from "./types.ts";

/** Words of other members in one Hello, at most. */
const WORDS_PER_HELLO = 4;
/** A fetch that brought nothing is asked again after this time, in ms. */
const FETCH_PATIENCE_MS = 1_000;
/** Time between greetings of a peer with another digest, in ms. */
const GREET_AGAIN_MS = 200;

/** Settings of the spread. */
export interface SpreadOptions<T> {
  readonly place: HostPlace;
  readonly incarnation: Incarnation;
  readonly config: ConfigState<T>;
  readonly membership: Membership;
  /** Peers greeted when something changed. */
  readonly fanout: number;
  /** Called for each document that comes into force. */
  onAccepted(document: ConfigDocument): void;
  onRejected(reason: string, document: ConfigDocument): void;
}

/** The spread of one daemon. */
export interface Spread {
  handle(from: HostId, msg: ControlMessage): ControlSend[];
  /** Takes documents read from the platform. */
  takeDocuments(documents: readonly ConfigDocument[]): ControlSend[];
  /** One round: greets a peer chosen by chance. */
  tick(): ControlSend[];
  /** Says something urgent of itself, such as draining, to several peers. */
  announce(change: { draining: boolean }): ControlSend[];
  greet(to: HostId): ControlSend;
  /** Hears a peer's digest on the data path; greets it where it differs. */
  hearDigest(from: HostId, digest: string): ControlSend[];
  /** Peers whose index was seen since the start. */
  getPeersHeard(): number;
  getWord(): MemberWord;
  readonly counters: Counters;
}

type Handlers = {
  [K in ControlKind]: (
    from: HostId,
    msg: OfKind<ControlMessage, K>,
  ) => ControlSend[];
};

/** Creates the spread of one daemon. */
export function createSpread<T>(
  host: CoreHost,
  options: SpreadOptions<T>,
): Spread {
  const { config, membership } = options;
  const counters = createCounters();
  const heard = new Set<HostId>();
  const greetedAt = new Map<HostId, Millis>();
  const fetching = new Map<string, Millis>();
  let draining = false;
  let sequence = 0;

  const handlers: Handlers = {
    [ControlKind.Hello]: onHello,
    [ControlKind.Index]: onIndex,
    [ControlKind.Fetch]: onFetch,
    [ControlKind.Documents]: (_, msg) => takeDocuments(msg.documents),
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
    takeDocuments,
    tick,
    announce,
    greet: (to) => createHello(to, true),
    hearDigest,
    getPeersHeard: () => heard.size,
    getWord,
    counters,
  };

  function onHello(
    from: HostId,
    msg: OfKind<ControlMessage, ControlKind.Hello>,
  ): ControlSend[] {
    membership.takeWord(msg.word, { isDirect: true });
    for (const word of msg.words) {
      if (word.host === options.place.host) continue;
      membership.takeWord(word, { isDirect: false });
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
    const newer = config.getWanted(msg.revisions);
    if (newer.length === 0) heard.add(from);
    const wanted = newer.filter(isWorthFetching);
    if (wanted.length === 0) return [];
    for (const key of wanted) fetching.set(key, host.now());
    return [{ to: from, msg: { kind: ControlKind.Fetch, keys: wanted } }];
  }

  function isWorthFetching(key: string): boolean {
    const askedAt = fetching.get(key);
    return askedAt === undefined || host.now() - askedAt > FETCH_PATIENCE_MS;
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

  function takeDocuments(documents: readonly ConfigDocument[]): ControlSend[] {
    let hasChanged = false;
    for (const document of documents) {
      fetching.delete(document.key);
      if (takeDocument(document)) hasChanged = true;
    }
    return hasChanged ? greetSome(options.fanout) : [];
  }

  function takeDocument(document: ConfigDocument): boolean {
    const result = config.offer(document);
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
    return greetSome(1);
  }

  function announce(change: { draining: boolean }): ControlSend[] {
    draining = change.draining;
    return greetSome(options.fanout);
  }

  function greetSome(count: number): ControlSend[] {
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

  function hearDigest(from: HostId, digest: string): ControlSend[] {
    if (digest === config.getDigest()) return [];
    const last = greetedAt.get(from) ?? -Infinity;
    if (host.now() - last < GREET_AGAIN_MS) return [];
    greetedAt.set(from, host.now());
    return [createHello(from, true)];
  }

  function createHello(to: HostId, wantsReply: boolean): ControlSend {
    return {
      to,
      msg: {
        kind: ControlKind.Hello,
        word: getWord(),
        digest: config.getDigest(),
        wantsReply,
        words: membership.getRecentWords(WORDS_PER_HELLO),
      },
    };
  }

  function getWord(): MemberWord {
    sequence += 1;
    return {
      ...options.place,
      incarnation: options.incarnation,
      sequence,
      draining,
    };
  }
}
