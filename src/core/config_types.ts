/** Types of configuration, membership and the gossip messages that distribute them. */

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
  /** Integer from 1; increases with every accepted publication of the key. */
  readonly revision: number;
  /** YAML or JSON text, up to 1 MB. */
  readonly value: string;
}

/** A key and the revision in force. */
export interface DocumentRevision {
  readonly key: string;
  readonly revision: number;
}

/** State of a host in the platform's list. */
export enum ListedState {
  Live = "live",
  Leaving = "leaving",
}

/** Location of a host and the service that it provides. */
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

/** What a member publishes about itself; `word` on the wire. */
export interface MemberAnnouncement extends HostPlace {
  readonly incarnation: Incarnation;
  /** Increases with every announcement of one incarnation. */
  readonly sequence: number;
  readonly draining: boolean;
}

/** A member in the local view. */
export interface Member {
  readonly place: HostPlace;
  readonly incarnation?: Incarnation;
  readonly isLeaving: boolean;
  /** Age of the newest announcement in ms; Infinity if there is none. */
  readonly wordAgeMs: Millis;
}

/** Kinds of control message. */
export enum ControlKind {
  /** The sender's announcement and digest, and a few announcements of others. */
  Hello = "hello",
  /** All keys with their revisions in force. */
  Index = "index",
  /** Requests documents by key. */
  Fetch = "fetch",
  Documents = "documents",
}

/** Control messages between daemons. */
export type ControlMessage =
  | {
    kind: ControlKind.Hello;
    word: MemberAnnouncement;
    digest: string;
    /** True requests a Hello in return. */
    wantsReply: boolean;
    words: readonly MemberAnnouncement[];
  }
  | { kind: ControlKind.Index; revisions: readonly DocumentRevision[] }
  | { kind: ControlKind.Fetch; keys: readonly string[] }
  | { kind: ControlKind.Documents; documents: readonly ConfigDocument[] };

/** A control message and its recipient. */
export interface ControlSend {
  readonly to: HostId;
  readonly msg: ControlMessage;
}
