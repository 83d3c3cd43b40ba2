/** A link carries requests to one guard, in this process or in another. */

import type { EventEmitter } from "node:events";
import type { IncomingHttpHeaders } from "node:http";
import type { Buffer } from "node:buffer";
import type { Readable } from "node:stream";
import type {
  AccountName,
  HostId,
  KeptAnswer,
  RequestHead,
  Ticket,
  Verdict,
} from "../core/types.ts";

/** A request as it is forwarded. */
export interface ForwardRequest {
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string | string[]>>;
  readonly body: Readable | Buffer | null;
  /** Emits "abort" where the request is cancelled; lighter than an AbortSignal. */
  readonly signal: EventEmitter;
}

/** Kinds of reply of a guard. */
export enum ReplyKind {
  Granted = "granted",
  Refused = "refused",
  Replay = "replay",
  Answer = "answer",
  Failed = "failed",
}

/** An answer on its way from the upstream. */
export interface StreamedAnswer {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: Readable;
  /** True where the whole body has arrived already. */
  readonly isWhole?: boolean;
}

/** What came of a message to a guard. */
export type GuardReply =
  | { kind: ReplyKind.Granted; grant: string; key: string }
  | { kind: ReplyKind.Refused; verdict: Verdict; grant?: string }
  | { kind: ReplyKind.Replay; ticket: Ticket; answer: KeptAnswer }
  | { kind: ReplyKind.Answer; ticket: Ticket; answer: StreamedAnswer }
  | { kind: ReplyKind.Failed; mayHaveArrived: boolean; message: string };

/** A link to one guard. Every method resolves; none rejects. */
export interface GuardLink {
  reserve(ticket: Ticket, head: RequestHead): Promise<GuardReply>;
  run(
    ticket: Ticket,
    grant: string,
    options: { forward: ForwardRequest },
  ): Promise<GuardReply>;
  /** `onAccepted` hears once where the guard has not refused at once. */
  submit(
    ticket: Ticket,
    head: RequestHead,
    options: { forward: ForwardRequest; onAccepted?: () => void },
  ): Promise<GuardReply>;
  /** Ends an attempt that was not told to run. */
  release(ticket: Ticket): void;
  /** Asks what became of a key, over a new connection. */
  settle(
    ticket: Ticket,
    query: { account: AccountName; key: string },
  ): Promise<GuardReply>;
  /** Keys issued ahead of use; empty where the guard gives none. */
  issueKeys(account: AccountName, count: number): Promise<string[]>;
  /** Replaces the connections of a link that fell silent. */
  replace(): void;
  /** Asks for a load report over the network; resolves to its size in bytes. */
  probe(): Promise<number>;
  close(): Promise<void>;
}

/** Finds the link to a host. */
export type GetLink = (host: HostId) => GuardLink | undefined;
