/** Passes attempts of other daemons, which come in frames, to the local guard. */

import type { Socket } from "node:net";
import { EventEmitter } from "node:events";
import process from "node:process";
import type { Readable } from "node:stream";
import { type Diagnostic, Diagnostics } from "../core/diagnostics.ts";
import { hashTicket } from "../core/ticket_hash.ts";
import { Execution, type Ticket } from "../core/types.ts";
import {
  decodeRequestFrame,
  type ReplyFrameHead,
  type RequestFrameHead,
} from "../link/frame_heads.ts";
import {
  ALIVE,
  createFrameReader,
  encodeFrame,
  encodePartPrefix,
  type Frame,
  FrameKind,
  MAX_FRAME_BODY_BYTES,
} from "../link/frames.ts";
import { getForwardHeaders } from "../link/http_headers.ts";
import { createTicker } from "../link/signs_of_life.ts";
import {
  type ForwardRequest,
  type GuardReply,
  ReplyKind,
  type StreamedResponse,
} from "../link/types.ts";
import { encodeVerdict, Step } from "../link/wire.ts";
import type { GuardTask } from "./guard_task.ts";
import { runHandler } from "./handler_failure.ts";
import { createReportHeaders } from "./peer_server.ts";
import { hasEnded } from "./unread_sockets.ts";

/** Time after which a connection without an exchange is closed, in ms; longer than peers keep idle ones. */
const IDLE_MS = 75_000;

/** Time for a peer to close a connection whose end was announced to it, in ms. */
const CLOSING_MS = 1_000;

/** Who closes a connection. */
export enum CutBy {
  Peer = "peer",
  Daemon = "daemon",
}

/** An attempt whose connection has closed before its reply was sent. */
export interface CutExchange {
  readonly ticket: Ticket;
  /** IP address of its sender. */
  readonly peer: string | undefined;
  readonly by: CutBy;
  readonly reason: string;
}

/** Settings of the server. */
export interface FrameServerOptions {
  readonly guard: GuardTask;
  onMalformed(diagnostic: Diagnostic, message: string): void;
  /** Called for an exception of a handler, whose sender gets an answer or a cut. */
  onHandlerFailure(error: Error): void;
  onCut?(exchange: CutExchange): void;
  /** Called when an exchange begins; the result is called once its reply is sent or its connection has closed. */
  trackExchange(): () => void;
}

/** Serves connections that carry frames. */
export interface FrameServer {
  /** Takes over a connection from its first bytes on. */
  accept(socket: Socket, first: Buffer): void;
  /**
   * Reads no further requests. Tells so on each connection as soon as it carries
   * no exchange, so that a request on its way there is known not to run.
   */
  drain(): void;
  /** Number of connections. */
  countOpen(): number;
  /** Closes all connections, also those with exchanges in progress. */
  close(): void;
}

/** An exchange in progress. */
interface Exchange {
  readonly socket: Socket;
  readonly head: RequestFrameHead;
  readonly body: Buffer;
  /** Emits "abort" when the connection closes before the reply is sent. */
  readonly signal: EventEmitter;
  /** Sends a frame that isn't the last one. */
  send(frame: Buffer): void;
  /** Sends the last frame. */
  finish(frame: Buffer): void;
  /** Closes the connection, as there is no whole reply. */
  cut(reason: string): void;
}

type StepHandler = (exchange: Exchange) => Promise<GuardReply>;

const ACCEPTED = encodeFrame(FrameKind.Accepted);
const END = encodeFrame(FrameKind.End);
const CLOSING = encodeFrame(FrameKind.Closing);

/** Creates a server without connections. */
export function createFrameServer(options: FrameServerOptions): FrameServer {
  const { guard } = options;
  /** Connections, with what announces their end unless they carry an exchange. */
  const connections = new Map<Socket, () => void>();
  const ticker = createTicker();
  let isDraining = false;
  let isClosed = false;
  const steps: Partial<Record<Step, StepHandler>> = {
    [Step.Reserve]: ({ head: { ticket, head } }) =>
      head === undefined
        ? refuseMalformed("a reservation without a head")
        : guard.reserve(ticket, head),
    [Step.Submit]: (exchange) => {
      const { ticket, head } = exchange.head;
      if (head === undefined) {
        return refuseMalformed("a submission without a head");
      }
      return guard.submit(ticket, head, {
        forward: createForward(exchange),
        onAccepted: () => exchange.send(ACCEPTED),
      });
    },
    [Step.Run]: (exchange) => {
      const { ticket, grant } = exchange.head;
      if (grant === undefined) return refuseMalformed("run without grant");
      const forward = createForward(exchange);
      return guard.run(ticket, grant, { forward });
    },
    [Step.Release]: ({ head }) => {
      guard.release(head.ticket);
      return Promise.resolve(createNotRun(Diagnostics.cancelled));
    },
  };
  return {
    accept,
    drain: () => {
      isDraining = true;
      for (const announceEnd of connections.values()) announceEnd();
    },
    countOpen: () => connections.size,
    close: () => {
      isClosed = true;
      for (const socket of connections.keys()) socket.destroy();
    },
  };

  function accept(socket: Socket, first: Buffer): void {
    connections.set(socket, announceEnd);
    let open: Exchange | undefined;
    let isEndAnnounced = false;
    /** Why this daemon closes the connection. */
    let cutReason: string | undefined;
    /** True once the peer was told that this daemon sends signs of life. */
    let hasSentSigns = false;
    /** Bytes that were passed to the socket by the last tick. */
    let bytesWritten = 0;
    const peer = socket.remoteAddress;
    const reader = createFrameReader(receive);
    socket.setTimeout(IDLE_MS, () => {
      if (isEndAnnounced) socket.destroy();
      else if (open === undefined) announceEnd();
      // A gateway whose caller reads nothing has cut it before.
      else if (socket.writableLength > 0) cut("peer_silent");
    });
    socket.on("error", () => {});
    socket.on("end", () => socket.destroy());
    socket.once("close", () => {
      connections.delete(socket);
      ticker.remove(check);
      if (open === undefined) return;
      reportCut(open);
      open.signal.emit("abort");
    });
    socket.on("data", read);
    if (isDraining) announceEnd();
    read(first);

    /** Closing at once would leave a request on its way here in doubt. */
    function announceEnd(): void {
      if (open !== undefined || isEndAnnounced) return;
      isEndAnnounced = true;
      socket.end(CLOSING);
      socket.setTimeout(CLOSING_MS);
    }

    function read(chunk: Buffer): void {
      if (isEndAnnounced || reader.read(chunk)) return;
      reportMalformed("bytes that are no frames");
      cut("malformed");
    }

    function cut(reason: string): void {
      cutReason ??= reason;
      socket.destroy();
    }

    function reportCut({ head: { ticket } }: Exchange): void {
      const reason = cutReason ?? (isClosed ? "stopped" : undefined);
      options.onCut?.({
        ticket,
        peer,
        by: reason === undefined ? CutBy.Peer : CutBy.Daemon,
        reason: reason ?? "closed",
      });
    }

    /** Sends a sign of life if nothing else was sent. */
    function check(): void {
      const isDue = socket.writableLength === 0 &&
        socket.bytesWritten === bytesWritten;
      if (isDue) sendSign();
      bytesWritten = socket.bytesWritten;
    }

    function sendSign(): void {
      hasSentSigns = true;
      socket.write(ALIVE);
    }

    function receive(frame: Frame): void {
      const head = frame.kind === FrameKind.Request
        ? decodeRequestFrame(frame.head)
        : undefined;
      if (head === undefined || open !== undefined) {
        reportMalformed("a frame that is no request, or within an exchange");
        return cut("malformed");
      }
      const signal = new EventEmitter();
      const end = options.trackExchange();
      let isFinished = false;
      signal.once("abort", end);
      const { body } = frame;
      const exchange = { socket, head, body, signal, send, finish, cut };
      open = exchange;
      if (head.knowsSigns) {
        bytesWritten = socket.bytesWritten;
        ticker.add(check);
      }
      void runHandler(() => serve(exchange), (error) => {
        options.onHandlerFailure(error);
        cut("handler_failed");
      });

      function send(frame: Buffer): void {
        announceSigns();
        socket.write(frame);
      }

      /** From the first frame on its receiver knows that it may wait for signs. */
      function announceSigns(): void {
        if (!head!.knowsSigns || hasSentSigns) return;
        socket.cork();
        sendSign();
        process.nextTick(() => socket.uncork());
      }

      function finish(lastFrame: Buffer): void {
        if (isFinished || socket.destroyed) return;
        isFinished = true;
        // The next request may arrive before the callback of the write.
        open = undefined;
        ticker.remove(check);
        announceSigns();
        socket.write(lastFrame, (error) => {
          end();
          if (error) reportCut(exchange);
        });
        if (isDraining) announceEnd();
      }
    }
  }

  async function serve(exchange: Exchange): Promise<void> {
    const { socket, head } = exchange;
    const handler = steps[head.step];
    const reply =
      await (handler === undefined
        ? refuseMalformed(`step ${head.step}`)
        : answer(handler, exchange));
    if (socket.destroyed) return discardResponse(reply);
    sendReply(exchange, reply);
  }

  /** Whether the request of a handler that throws has run is not known. */
  async function answer(
    handler: StepHandler,
    exchange: Exchange,
  ): Promise<GuardReply> {
    let reply: GuardReply = createRefusal(
      Execution.MayHaveRun,
      Diagnostics.handler_failed,
    );
    await runHandler(
      async () => void (reply = await handler(exchange)),
      options.onHandlerFailure,
    );
    return reply;
  }

  function sendReply(exchange: Exchange, reply: GuardReply): void {
    const { ticket } = exchange.head;
    switch (reply.kind) {
      case ReplyKind.Granted: {
        const { grant, key } = reply;
        return finish(exchange, { ticket, grant, key });
      }
      case ReplyKind.Replay:
        return finish(exchange, { ticket, replay: reply.response });
      case ReplyKind.Refused: {
        const { grant } = reply;
        const verdict = encodeVerdict(reply.verdict);
        const of = hashTicket(ticket);
        return finish(exchange, { verdict, of, ...(grant && { grant }) });
      }
      case ReplyKind.Failed:
        return exchange.cut("failed");
      case ReplyKind.Response:
        return sendResponse(exchange, reply.response);
    }
  }

  function sendResponse(exchange: Exchange, response: StreamedResponse): void {
    const { status, bytes } = response;
    const head = {
      ticket: exchange.head.ticket,
      status,
      headers: getForwardHeaders(response.headers),
    };
    if (bytes !== undefined) return finish(exchange, head, bytes);
    const text = createReplyHead({ ...head, hasParts: true });
    exchange.send(encodeFrame(FrameKind.Reply, text));
    sendParts(exchange, response.body);
  }

  function finish(
    exchange: Exchange,
    head: Omit<ReplyFrameHead, "meta">,
    body?: Buffer,
  ): void {
    const text = createReplyHead(head);
    exchange.finish(encodeFrame(FrameKind.Reply, text, body));
  }

  function createReplyHead(head: Omit<ReplyFrameHead, "meta">): string {
    return JSON.stringify({ meta: createReportHeaders(guard), ...head });
  }

  function refuseMalformed(message: string): Promise<GuardReply> {
    reportMalformed(message);
    return Promise.resolve(createNotRun(Diagnostics.malformed_peer_message));
  }

  function reportMalformed(message: string): void {
    options.onMalformed(Diagnostics.malformed_peer_message, message);
  }
}

function createForward(
  { socket, head, body, signal }: Exchange,
): ForwardRequest {
  return {
    method: head.method ?? "GET",
    path: head.path ?? "/",
    headers: getForwardHeaders(head.headers ?? {}),
    body: body.length > 0 ? body : null,
    signal,
    isSenderGone: () => hasEnded(socket),
  };
}

/** Sends a body with back-pressure; a cut closes the connection before the end. */
function sendParts(
  { socket, finish, cut }: Exchange,
  body: Readable,
): void {
  const onDrain = () => body.resume();
  const onClose = () => body.destroy();
  socket.on("drain", onDrain);
  socket.once("close", onClose);
  body.on("error", () => cut("response_cut"));
  body.on("data", (chunk: Buffer) => {
    for (let at = 0; at < chunk.length; at += MAX_FRAME_BODY_BYTES) {
      const part = chunk.subarray(at, at + MAX_FRAME_BODY_BYTES);
      socket.cork();
      socket.write(encodePartPrefix(part.length));
      if (!socket.write(part)) body.pause();
      socket.uncork();
    }
  });
  body.once("end", () => finish(END));
  body.once("close", () => {
    socket.off("drain", onDrain).off("close", onClose);
    if (!body.readableEnded) cut("response_cut");
  });
}

function createNotRun(diagnostic: Diagnostic): GuardReply {
  return createRefusal(Execution.NotRun, diagnostic);
}

function createRefusal(
  execution: Execution,
  diagnostic: Diagnostic,
): GuardReply {
  return { kind: ReplyKind.Refused, verdict: { execution, diagnostic } };
}

function discardResponse(reply: GuardReply): void {
  if (reply.kind !== ReplyKind.Response) return;
  if (reply.response.bytes !== undefined) return;
  reply.response.body.on("error", () => {});
  reply.response.body.destroy();
}
