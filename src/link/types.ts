/** A link sends requests to one guard, in this process or in another. */

import type { EventEmitter } from "node:events";
import type { IncomingHttpHeaders } from "node:http";
import type { Buffer } from "node:buffer";
import type { Readable } from "node:stream";
import type {
  AccountName,
  HostId,
  KeptResponse,
  RequestHead,
  Ticket,
  Verdict,
} from "../core/types.ts";

/** A request to be forwarded. */
export interface ForwardRequest {
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string | string[]>>;
  readonly body: Readable | Buffer | null;
  /** Emits "abort" when the request is cancelled; cheaper than an AbortSignal. */
  readonly signal: EventEmitter;
  /** True if the sender's connection has ended, which may show before "abort" is emitted. */
  isSenderGone?(): boolean;
}

/** Kinds of a guard's reply. */
export enum ReplyKind {
  Granted = "granted",
  Refused = "refused",
  Replay = "replay",
  Response = "answer",
  Failed = "failed",
}

/** A response that is being received from the upstream. */
export interface StreamedResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: Readable;
  /** True if the whole body has been received already. */
  readonly isComplete?: boolean;
  /** The whole body, if it is small; `body` is not used then. */
  readonly bytes?: Buffer;
}

/** Outcome of a message to a guard. */
export type GuardReply =
  | { kind: ReplyKind.Granted; grant: string; key: string }
  | { kind: ReplyKind.Refused; verdict: Verdict; grant?: string }
  | { kind: ReplyKind.Replay; ticket: Ticket; response: KeptResponse }
  | { kind: ReplyKind.Response; ticket: Ticket; response: StreamedResponse }
  | { kind: ReplyKind.Failed; mayHaveArrived: boolean; message: string };

/** A link to one guard. Its promises resolve on failure as well; none rejects. */
export interface GuardLink {
  reserve(ticket: Ticket, head: RequestHead): Promise<GuardReply>;
  run(
    ticket: Ticket,
    grant: string,
    options: { forward: ForwardRequest },
  ): Promise<GuardReply>;
  /** `onAccepted` is called once unless the guard replies immediately. */
  submit(
    ticket: Ticket,
    head: RequestHead,
    options: { forward: ForwardRequest; onAccepted?: () => void },
  ): Promise<GuardReply>;
  /** Ends an attempt for which no run was requested. */
  release(ticket: Ticket): void;
  /**
   * Queries the outcome of a key, over a new connection. The guard seals the key
   * if its request has not run.
   */
  settle(
    ticket: Ticket,
    query: { account: AccountName; key: string },
  ): Promise<GuardReply>;
  /** Returns keys issued in advance; empty if the guard issues none. */
  issueKeys(account: AccountName, count: number): Promise<string[]>;
  /** Replaces the connections of an unresponsive link. */
  replaceConnections(): void;
  /** Exchanges suspects, encoded; resolves to those of the other daemon, undefined on failure. */
  exchangeSuspects?(body: string): Promise<string | undefined>;
  /** Asks for the state of the store after a position, both encoded; undefined on failure, empty if nothing is new. */
  readState?(after: string): Promise<string | undefined>;
  /** Requests a load report; resolves to the size of the reply in bytes, 0 on failure. */
  probe(): Promise<number>;
  close(): Promise<void>;
}

/** Looks up the link to a host. */
export type GetLink = (host: HostId) => GuardLink | undefined;
