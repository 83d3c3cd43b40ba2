/** Passes attempts of other daemons, which come in frames, to the local guard. */

import type { Socket } from "node:net";
import { EventEmitter } from "node:events";
import type { Readable } from "node:stream";
import { type Diagnostic, Diagnostics } from "../core/diagnostics.ts";
import { Execution } from "../core/types.ts";
import {
  decodeRequestFrame,
  type ReplyFrameHead,
  type RequestFrameHead,
} from "../link/frame_heads.ts";
import {
  createFrameReader,
  encodeFrame,
  encodePartPrefix,
  type Frame,
  FrameKind,
  MAX_FRAME_BODY_BYTES,
} from "../link/frames.ts";
import { getForwardHeaders } from "../link/http_headers.ts";
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

/** Settings of the server. */
export interface FrameServerOptions {
  readonly guard: GuardTask;
  onMalformed(diagnostic: Diagnostic, message: string): void;
  /** Called for an exception of a handler, whose sender gets an answer or a cut. */
  onHandlerFailure(error: Error): void;
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
  /** Sends the last frame. */
  finish(frame: Buffer): void;
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
  let isDraining = false;
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
        onAccepted: () => void exchange.socket.write(ACCEPTED),
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
      for (const socket of connections.keys()) socket.destroy();
    },
  };

  function accept(socket: Socket, first: Buffer): void {
    connections.set(socket, announceEnd);
    /** Signal of the exchange in progress. */
    let openSignal: EventEmitter | undefined;
    let isEndAnnounced = false;
    const reader = createFrameReader(receive);
    socket.setTimeout(IDLE_MS, () => {
      if (isEndAnnounced) socket.destroy();
      else announceEnd();
    });
    socket.on("error", () => {});
    socket.on("end", () => socket.destroy());
    socket.once("close", () => {
      connections.delete(socket);
      openSignal?.emit("abort");
    });
    socket.on("data", read);
    if (isDraining) announceEnd();
    read(first);

    /** Closing at once would leave a request on its way here in doubt. */
    function announceEnd(): void {
      if (openSignal !== undefined || isEndAnnounced) return;
      isEndAnnounced = true;
      socket.end(CLOSING);
      socket.setTimeout(CLOSING_MS);
    }

    function read(chunk: Buffer): void {
      if (isEndAnnounced || reader.read(chunk)) return;
      reportMalformed("bytes that are no frames");
      socket.destroy();
    }

    function receive(frame: Frame): void {
      const head = frame.kind === FrameKind.Request
        ? decodeRequestFrame(frame.head)
        : undefined;
      if (head === undefined || openSignal !== undefined) {
        reportMalformed("a frame that is no request, or within an exchange");
        return void socket.destroy();
      }
      const signal = new EventEmitter();
      const end = options.trackExchange();
      let isFinished = false;
      openSignal = signal;
      signal.once("abort", end);
      const exchange = { socket, head, body: frame.body, signal, finish };
      void runHandler(() => serve(exchange), (error) => {
        options.onHandlerFailure(error);
        socket.destroy();
      });

      function finish(last: Buffer): void {
        if (isFinished || socket.destroyed) return;
        isFinished = true;
        // The next request may arrive before the callback of the write.
        openSignal = undefined;
        socket.write(last, end);
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
    const { socket, head: { ticket } } = exchange;
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
        return finish(exchange, { verdict, ...(grant && { grant }) });
      }
      case ReplyKind.Failed:
        return void socket.destroy();
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
    exchange.socket.write(encodeFrame(FrameKind.Reply, text));
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
function sendParts({ socket, finish }: Exchange, body: Readable): void {
  const onDrain = () => body.resume();
  const onClose = () => body.destroy();
  socket.on("drain", onDrain);
  socket.once("close", onClose);
  body.on("error", () => socket.destroy());
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
    if (!body.readableEnded) socket.destroy();
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
