/**
 * A link to the guard of another host that sends attempts in frames. Large
 * request bodies, and all that is no attempt, go over HTTP; so does everything
 * while the peer knows no frames.
 */

import { Buffer } from "node:buffer";
import { performance } from "node:perf_hooks";
import { Readable } from "node:stream";
import type { IncomingHttpHeaders } from "node:http";
import { Diagnostics } from "../core/diagnostics.ts";
import type { RateLimit } from "../core/rate_limit.ts";
import { hashTicket } from "../core/ticket_hash.ts";
import {
  Execution,
  type Millis,
  type RequestHead,
  type Ticket,
} from "../core/types.ts";
import {
  decodeReplyFrame,
  type ReplyFrameHead,
  type RequestFrameHead,
} from "./frame_heads.ts";
import {
  createFramePool,
  type ExchangeFailure,
  type FrameExchange,
} from "./frame_pool.ts";
import { encodeFrame, type Frame, FrameKind } from "./frames.ts";
import {
  CONNECT_TIMEOUT_MS,
  createHttpLink,
  type HttpLinkOptions,
} from "./http_link.ts";
import {
  createReplyMetadata,
  decodeReplay,
  type ReplyMetadata,
} from "./reply_metadata.ts";
import {
  createPieceLimits,
  type PieceLimits,
  weighPiece,
} from "./small_pieces.ts";
import { MAX_READ_BYTES } from "./small_reads.ts";
import { createSmallResponse } from "./small_response.ts";
import {
  type ForwardRequest,
  type GuardLink,
  type GuardReply,
  ReplyKind,
  type StreamedResponse,
} from "./types.ts";
import { Step } from "./wire.ts";

/** Largest request body that is sent in a frame, in bytes; the receiver holds it in memory. */
const MAX_REQUEST_BODY_BYTES = 16_384;
/**
 * Longest wait for a free connection, as a share of the request's time. Those in
 * use may carry responses that their callers read slowly; the rest of the time is
 * for another host, or for the caller's own retry.
 */
const MAX_WAIT_SHARE = 1 / 2;
/** The same for the use of a grant, in ms; grants are valid for a second. */
const MAX_RUN_WAIT_MS = 500;
/** Time for which a peer that knew no frames gets none, in ms. */
const HTTP_PEER_MS = 60_000;

/** Settings of a link. */
export interface FrameLinkOptions extends HttpLinkOptions {
  /** Called for each connection that is opened for frames. */
  onConnect?(): void;
  /** Called for each connection that is closed as its peer was silent within an exchange. */
  onSilent?(): void;
  /** Limits of small parts; some of its own by default. */
  readonly pieces?: PieceLimits;
}

/** Creates a link; connections are opened on demand. */
export function createFrameLink(options: FrameLinkOptions): GuardLink {
  const { address, onConnect, onSilent } = options;
  const frames = createFramePool({
    address,
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
    maxConnections: options.connections,
    ...(onConnect && { onConnect }),
    onSilent: () => {
      onSilent?.();
      // What was opened before may be silent, too.
      replaceConnections();
    },
  });
  const metadata = createReplyMetadata(options);
  const pieces = options.pieces ?? createPieceLimits(performance);
  let http: GuardLink | undefined;
  let httpUntil = -Infinity;
  return {
    reserve,
    run,
    submit,
    release,
    settle: (ticket, query) => getHttp().settle(ticket, query),
    issueKeys: (account, count) => getHttp().issueKeys(account, count),
    replaceConnections,
    exchangeSuspects: (body) =>
      getHttp().exchangeSuspects?.(body) ?? Promise.resolve(undefined),
    readState: (after) =>
      getHttp().readState?.(after) ?? Promise.resolve(undefined),
    probe: () => getHttp().probe(),
    close: async () => {
      frames.close();
      await http?.close();
    },
  };

  function replaceConnections(): void {
    frames.replaceConnections();
    http?.replaceConnections();
  }

  function getHttp(): GuardLink {
    return http ??= createHttpLink(options);
  }

  function reserve(ticket: Ticket, head: RequestHead): Promise<GuardReply> {
    return exchange(
      { step: Step.Reserve, ticket, head },
      { sendOverHttp: () => getHttp().reserve(ticket, head) },
    );
  }

  /** A run that failed is in doubt unless nothing was sent. */
  function run(
    ticket: Ticket,
    grant: string,
    io: { forward: ForwardRequest },
  ): Promise<GuardReply> {
    const { forward } = io;
    return exchange({ step: Step.Run, ticket, grant }, {
      forward,
      sendOverHttp: () => getHttp().run(ticket, grant, io),
    });
  }

  function submit(
    ticket: Ticket,
    head: RequestHead,
    io: { forward: ForwardRequest; onAccepted?: () => void },
  ): Promise<GuardReply> {
    const { forward, onAccepted } = io;
    return exchange({ step: Step.Submit, ticket, head }, {
      forward,
      ...(onAccepted && { onAccepted }),
      sendOverHttp: () => getHttp().submit(ticket, head, io),
    });
  }

  function release(ticket: Ticket): void {
    void exchange({ step: Step.Release, ticket }, {
      sendOverHttp: () => {
        getHttp().release(ticket);
        return Promise.resolve(toFailure("a release has no reply", false));
      },
    });
  }

  function exchange(
    head: RequestFrameHead,
    io: ExchangeIo,
  ): Promise<GuardReply> {
    const { forward } = io;
    const body = forward?.body ?? null;
    const isSmall = body === null ||
      (Buffer.isBuffer(body) && body.length <= MAX_REQUEST_BODY_BYTES);
    if (!isSmall || performance.now() < httpUntil) return io.sendOverHttp();
    const text = JSON.stringify(
      forward === undefined ? { ...head, knowsSigns: true } : {
        ...head,
        knowsSigns: true,
        method: forward.method,
        path: forward.path,
        headers: forward.headers,
      },
    );
    const frame = encodeFrame(
      FrameKind.Request,
      text,
      body === null ? undefined : body,
    );
    return new Promise((resolve) => {
      const reader = createReplyReader({
        ticket: head.ticket,
        metadata,
        pieces,
        onLinkError: (message) => options.onLinkError(message),
        resolve,
      });
      let isAccepted = false;
      const sent = frames.send(frame, {
        onFrame: (received) => {
          if (received.kind !== FrameKind.Accepted || isAccepted) {
            return reader.read(received, sent);
          }
          isAccepted = true;
          io.onAccepted?.();
          return false;
        },
        onFailure: (failure) => {
          if (failure.isBusy) return resolve(createBusyRefusal(head));
          if (!failure.isHttpPeer) return reader.fail(failure);
          httpUntil = performance.now() + HTTP_PEER_MS;
          void io.sendOverHttp().then(resolve);
        },
      }, getMaxWait(head));
      forward?.signal.once("abort", sent.cancel);
    });
  }
}

/** What an exchange needs beside the head of its request. */
interface ExchangeIo {
  readonly forward?: ForwardRequest;
  onAccepted?(): void;
  sendOverHttp(): Promise<GuardReply>;
}

/** A release waits without a limit, as the guard has to get it. */
function getMaxWait({ step, head }: RequestFrameHead): Millis | undefined {
  if (head !== undefined) return head.timeoutMs * MAX_WAIT_SHARE;
  return step === Step.Run ? MAX_RUN_WAIT_MS : undefined;
}

/** The request was not sent, and the peer is not silent. */
function createBusyRefusal({ grant }: RequestFrameHead): GuardReply {
  return {
    kind: ReplyKind.Refused,
    verdict: {
      execution: Execution.NotRun,
      diagnostic: Diagnostics.no_room_now,
    },
    ...(grant !== undefined && { grant }),
  };
}

/** Reads the frames of one reply. */
interface ReplyReader {
  /** Returns true for the last frame. */
  read(frame: Frame, from: FrameExchange): boolean;
  fail(failure: ExchangeFailure): void;
}

function createReplyReader(options: {
  readonly ticket: Ticket;
  readonly metadata: ReplyMetadata;
  readonly pieces: PieceLimits;
  onLinkError(message: string): void;
  resolve(reply: GuardReply): void;
}): ReplyReader {
  const { metadata, resolve } = options;
  let parts: Parts | undefined;
  return { read, fail };

  function read(frame: Frame, from: FrameExchange): boolean {
    if (parts !== undefined) return readPart(parts, frame, from);
    const reply = frame.kind === FrameKind.Reply
      ? decodeReplyFrame(frame.head)
      : undefined;
    if (reply === undefined) {
      options.onLinkError(`malformed reply in a frame of kind ${frame.kind}`);
      from.cancel();
      return false;
    }
    // The reply to an earlier request tells nothing about this one.
    if (!isReplyTo(reply, options.ticket)) {
      options.onLinkError("a reply to another request");
      from.cancel();
      return false;
    }
    metadata.report(reply.meta);
    if (reply.hasParts && reply.status !== undefined) {
      parts = createParts(from, options.pieces.create());
      resolve(createResponse(reply, { ...getHead(reply), body: parts.body }));
      return false;
    }
    resolve(toReply(reply, frame.body));
    return true;
  }

  function readPart(
    { add, end }: Parts,
    { kind, body: bytes }: Frame,
    from: FrameExchange,
  ): boolean {
    if (kind === FrameKind.End) {
      end();
      return true;
    }
    if (kind === FrameKind.Part) add(bytes);
    else from.cancel();
    return false;
  }

  function toReply(reply: ReplyFrameHead, body: Buffer): GuardReply {
    const { verdict, grant, key = "", ticket = "", replay } = reply;
    if (verdict !== undefined) return metadata.decodeRefusal(verdict, grant);
    if (replay !== undefined) {
      const response = tryDecodeReplay(replay);
      return response === undefined
        ? toFailure("a malformed replay", true)
        : { kind: ReplyKind.Replay, ticket, response };
    }
    if (grant !== undefined) return { kind: ReplyKind.Granted, grant, key };
    if (reply.status === undefined) {
      return toFailure("a reply without a status", true);
    }
    return createResponse(reply, createSmallResponse(getHead(reply), body));
  }

  function fail({ wasSent, message }: ExchangeFailure): void {
    if (parts === undefined) return resolve(toFailure(message, wasSent));
    parts.body.destroy(new Error(message));
  }
}

/** The body of a reply in parts. */
interface Parts {
  /** Destroying it before its end closes the connection. */
  readonly body: Readable;
  add(part: Buffer): void;
  end(): void;
}

/** Passes on in one piece what one read returned, and reads small parts at a bounded rate. */
function createParts(from: FrameExchange, smallParts: RateLimit): Parts {
  let pieces: Buffer[] = [];
  let isWanted = true;
  let holdTimer: NodeJS.Timeout | undefined;
  const body = new Readable({
    highWaterMark: MAX_READ_BYTES,
    read,
    destroy(error, done) {
      clearTimeout(holdTimer);
      pieces = [];
      if (!this.readableEnded) from.cancel();
      done(error);
    },
  });
  return { body, add, end };

  function read(): void {
    isWanted = true;
    if (holdTimer === undefined) from.resume();
  }

  function add(part: Buffer): void {
    smallParts.add(weighPiece(part));
    if (pieces.push(part) === 1) queueMicrotask(flush);
  }

  function flush(): void {
    if (pieces.length === 0 || body.destroyed) return;
    const piece = pieces.length === 1 ? pieces[0]! : Buffer.concat(pieces);
    pieces = [];
    isWanted = body.push(piece);
    const waitMs = smallParts.getWaitMs();
    if (waitMs > 0 && holdTimer === undefined) {
      holdTimer = setTimeout(release, waitMs);
    }
    if (!isWanted || holdTimer !== undefined) from.pause();
  }

  function release(): void {
    holdTimer = undefined;
    if (isWanted) from.resume();
  }

  function end(): void {
    flush();
    clearTimeout(holdTimer);
    body.push(null);
  }
}

/** Refusals of earlier versions name no request. */
function isReplyTo({ ticket, of }: ReplyFrameHead, own: Ticket): boolean {
  return ticket === undefined
    ? of === undefined || of === hashTicket(own)
    : ticket === own;
}

function getHead({ status = 0, headers = {} }: ReplyFrameHead) {
  return { status, headers: headers as IncomingHttpHeaders };
}

function createResponse(
  { ticket = "" }: ReplyFrameHead,
  response: StreamedResponse,
): GuardReply {
  return { kind: ReplyKind.Response, ticket, response };
}

function tryDecodeReplay(value: unknown) {
  try {
    return decodeReplay(value);
  } catch {
    return undefined;
  }
}

function toFailure(message: string, mayHaveArrived: boolean): GuardReply {
  return { kind: ReplyKind.Failed, mayHaveArrived, message };
}
