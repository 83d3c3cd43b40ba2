/** Vocabulary of configuration, membership and the messages that spread them. */

import type {
  FailureDomainName,
  HostId,
  Incarnation,
  Millis,
  ServiceName,
} from "./types.ts";

/** A configuration value as published, with the revision that orders it. */
export interface ConfigDocument {
  readonly key: string;
  /** Whole number from 1; rises with every accepted publication of the key. */
  readonly revision: number;
  /** YAML or JSON text, up to 1 MB. */
  readonly value: string;
}

/** A key and the revision in force. */
export interface DocumentRevision {
  readonly key: string;
  readonly revision: number;
}

/** What the platform's list says of a host. */
export enum ListedState {
  Live = "live",
  Leaving = "leaving",
}

/** Where a host is and what it serves. */
export interface HostPlace {
  readonly host: HostId;
  readonly service: ServiceName;
  readonly failureDomain: FailureDomainName;
  /** host:port for requests between daemons. */
  readonly dataAddress: string;
  /** host:port for control messages. */
  readonly controlAddress: string;
}

/** A row of the platform's list. */
export interface ListedHost extends HostPlace {
  readonly state: ListedState;
}

/** What a daemon says of itself. */
export interface MemberWord extends HostPlace {
  readonly incarnation: Incarnation;
  /** Rises with every word of one incarnation. */
  readonly sequence: number;
  readonly draining: boolean;
}

/** A member as the local view has it. */
export interface Member {
  readonly place: HostPlace;
  readonly incarnation?: Incarnation;
  readonly isLeaving: boolean;
  /** Age of the newest word in ms; Infinity where there is none. */
  readonly wordAgeMs: Millis;
}

/** Kinds of control message. */
export enum ControlKind {
  /** A word, a digest, and a few words of others. */
  Hello = "hello",
  /** All keys with the revisions in force. */
  Index = "index",
  /** Asks for documents by key. */
  Fetch = "fetch",
  Documents = "documents",
}

/** Control messages between daemons. */
export type ControlMessage =
  | {
    kind: ControlKind.Hello;
    word: MemberWord;
    digest: string;
    /** True asks for a Hello in return. */
    wantsReply: boolean;
    words: readonly MemberWord[];
  }
  | { kind: ControlKind.Index; revisions: readonly DocumentRevision[] }
  | { kind: ControlKind.Fetch; keys: readonly string[] }
  | { kind: ControlKind.Documents; documents: readonly ConfigDocument[] };

/** A control message on its way. */
export interface ControlSend {
  readonly to: HostId;
  readonly msg: ControlMessage;
}
