/** Client of the local upstream; a failure states whether the request may have run. */

import { Buffer } from "node:buffer";
import {
  type ClientRequest,
  type IncomingMessage,
  request as httpRequest,
} from "node:http";
import { Readable } from "node:stream";
import { type Diagnostic, Diagnostics } from "../core/diagnostics.ts";
import type { MemoryBudget } from "../core/memory_budget.ts";
import {
  Execution,
  type Millis,
  type NoticeSource,
  type ResponseNotice,
} from "../core/types.ts";
import type { Clock } from "../daemon/clock.ts";
import type { ForwardRequest, StreamedResponse } from "../link/types.ts";
import { splitAddress } from "../link/address.ts";
import { isFinalStatus, mayHaveBody } from "../link/final_status.ts";
import { createSmallResponse } from "../link/small_response.ts";
import {
  AbortError,
  EndlessResponseError,
  isEndlessHead,
} from "./response_errors.ts";
import { createPieceLimits, type PieceLimits } from "../link/small_pieces.ts";
import { createChunkedBody } from "./chunked_body.ts";
import { createConnectionLimit } from "./connection_limit.ts";
import { failOnHiddenReset } from "./hidden_reset.ts";
import {
  createResponseReader,
  isUnframed,
  MAX_INFORMATIONAL_RESPONSES,
  MAX_RESPONSE_HEAD_BYTES,
} from "./response_reader.ts";
import { createUpstreamConnections } from "./upstream_connections.ts";
import {
  ResponseClass,
  type UpstreamCall,
  type UpstreamLoad,
  type UpstreamProtocol,
} from "./upstream_protocol.ts";

/** Timeout for connecting to the local upstream, in ms. */
const CONNECT_TIMEOUT_MS = 1_000;
/** Why the upstream gave no usable response. */
export interface UpstreamFailure {
  readonly execution: Execution;
  readonly diagnostic: Diagnostic;
  readonly message: string;
}

/** A response or a failure. */
export type UpstreamResult =
  | { readonly response: StreamedResponse }
  | { readonly failure: UpstreamFailure };

/** Settings of the client. */
export interface UpstreamClientOptions {
  /** IP address and port. */
  readonly address: string;
  readonly connections: number;
  readonly clock: Clock;
  readonly protocol: UpstreamProtocol;
  /** Budget of the responses that are buffered. */
  readonly memory: MemoryBudget;
  /** Connections that the upstream accepts as stated; undefined if nothing is stated. */
  tryGetMaxConnections?(): number | undefined;
  /** Requests that the upstream runs at once. */
  getSlots?(): number;
  /** Called when an idle connection is closed to make room for a new one. */
  onMadeRoom?(): void;
  /** Called when a reset of a new connection shows how many the upstream accepts. */
  onConnectionRefused?(): void;
  /** Limits of small chunks; some of its own by default. */
  readonly pieces?: PieceLimits;
  /** Called when a response, or what should be one, is cut as endless. */
  onEndless?(): void;
  /** Receives the load that responses report. */
  onLoad?(load: UpstreamLoad): void;
  /** Receives what a response states about the upstream itself, or that it states nothing. */
  onNotice?(notice: ResponseNotice, source: NoticeSource): void;
}

/** Sends requests to one upstream. */
export interface UpstreamClient {
  send(request: ForwardRequest, call: UpstreamCall): Promise<UpstreamResult>;
  /** Forgets what an earlier start of the upstream has shown of its limits. */
  forgetStart(): void;
  close(): Promise<void>;
}

/** Creates a client with a pool of connections. */
export function createUpstreamClient(
  options: UpstreamClientOptions,
): UpstreamClient {
  const { protocol } = options;
  const { host, port } = splitAddress(options.address);
  const connections = createUpstreamConnections(options.clock, {
    maxSockets: options.connections,
    limit: createConnectionLimit(options.clock, {
      tryGetStated: () => options.tryGetMaxConnections?.(),
      getSlots: () => options.getSlots?.() ?? 0,
    }),
    onMadeRoom: () => options.onMadeRoom?.(),
    onRefused: () => options.onConnectionRefused?.(),
  });
  const reader = createResponseReader(options);
  const pieces = options.pieces ?? createPieceLimits(options.clock);
  return {
    send,
    forgetStart: connections.forgetStart,
    close: () => Promise.resolve(connections.close()),
  };

  async function send(
    request: ForwardRequest,
    call: UpstreamCall,
  ): Promise<UpstreamResult> {
    const sentAt = options.clock.now();
    try {
      const response = await sendRequest(request, call);
      return await handleResponse(request, response, { call, sentAt });
    } catch (error) {
      if (isEndlessHead(error)) options.onEndless?.();
      return { failure: toFailure(error) };
    }
  }

  /**
   * Uses node:http, which, unlike undici, distinguishes the end of a response
   * without a length from a reset of its connection.
   */
  function sendRequest(
    request: ForwardRequest,
    call: UpstreamCall,
  ): Promise<StreamedResponse> {
    return new Promise((resolve, reject) => {
      const { method, path, body, signal } = request;
      const headers = {
        ...protocol.createHeaders(request, call),
        ...createFraming(request),
      };
      const req = httpRequest({
        agent: connections.getPool(call.isAtMostOnce),
        host,
        port,
        method,
        path,
        headers,
        maxHeaderSize: MAX_RESPONSE_HEAD_BYTES,
      });
      let isSent = false;
      let informationalCount = 0;
      const connecting = setTimeout(() => {
        req.destroy(
          new ConnectError("timed out while connecting to the upstream"),
        );
      }, CONNECT_TIMEOUT_MS);
      req.once("socket", (socket) => {
        if (socket.connecting) socket.once("connect", markSent);
        else markSent();
      });
      req.on("information", () => {
        informationalCount += 1;
        if (informationalCount <= MAX_INFORMATIONAL_RESPONSES) return;
        req.destroy(
          new EndlessResponseError("informational responses without end"),
        );
      });
      let response: IncomingMessage | undefined;
      // Without a listener, an accepted upgrade would end in no event but the close.
      req.once("upgrade", (_res, socket) => {
        socket.destroy();
        reject(new MalformedResponseError("an upgrade that was not asked for"));
      });
      req.once("close", () => {
        clearTimeout(connecting);
        reject(new Error("closed before the response"));
      });
      req.once("response", (res) => {
        response = res;
        res.on("error", ignoreError);
        const { statusCode: status, headers } = res;
        resolve({ status: status!, headers, body: createBody(res, req) });
      });
      req.on("error", (error) => {
        clearTimeout(connecting);
        if (response === undefined && isConnectionReset(error) && req.socket) {
          connections.recordReset(req.socket);
        }
        // Without a length, Node.js would treat the reset as the end of the response.
        response?.destroy(error);
        reject(isSent ? error : new ConnectError(String(error)));
      });
      signal.once("abort", () => req.destroy(new AbortError()));
      if (body instanceof Readable) {
        body.once("error", (error) => req.destroy(error));
        body.pipe(req);
      } else {
        req.end(body ?? undefined);
      }

      function markSent(): void {
        isSent = true;
        clearTimeout(connecting);
      }
    });
  }

  /** A response to HEAD has no body, whatever its headers state. */
  function createBody(res: IncomingMessage, req: ClientRequest): Readable {
    if (req.method === "HEAD") return res;
    if (res.headers["transfer-encoding"] !== undefined) {
      return createChunkedBody(res, pieces.create());
    }
    const isEndedByClose = !req.shouldKeepAlive && isUnframed(res.headers);
    return isEndedByClose ? failOnHiddenReset(res) : res;
  }

  async function handleResponse(
    request: ForwardRequest,
    response: StreamedResponse,
    sent: { call: UpstreamCall; sentAt: Millis },
  ): Promise<UpstreamResult> {
    if (!isFinalStatus(response.status)) {
      return discard(response, ResponseClass.Malformed);
    }
    const load = protocol.readLoad(response.headers);
    if (load !== undefined) options.onLoad?.(load);
    const responseClass = protocol.classify(request, response);
    reportNotice(response, responseClass, sent);
    if (responseClass !== ResponseClass.Valid) {
      return discard(response, responseClass);
    }
    if (!mayHaveBody(request.method, response.status)) {
      return { response: endAtHead(response) };
    }
    return await reader.read(response);
  }

  function reportNotice(
    { headers }: StreamedResponse,
    responseClass: ResponseClass,
    { call, sentAt }: { call: UpstreamCall; sentAt: Millis },
  ): void {
    if (responseClass === ResponseClass.WrongInstance) return;
    const notice = protocol.readNotice(headers);
    const isComplete = notice.isComplete &&
      COMPLETE_CLASSES.has(responseClass);
    const source = { instance: call.instance ?? "", sentAt };
    options.onNotice?.({ ...notice, isComplete }, source);
  }
}

/**
 * A response without a body, which may state the length of one that another
 * request would get. Bytes behind the head end the connection, not the response.
 */
function endAtHead(
  { status, headers, body }: StreamedResponse,
): StreamedResponse {
  body.resume();
  return createSmallResponse({ status, headers }, Buffer.alloc(0));
}

/**
 * Headers that delimit the request's body. Node.js frames a body by itself only
 * for methods that usually have one; for GET, HEAD, DELETE, OPTIONS and TRACE it
 * would send the bytes as they are, which an upstream takes for a request.
 */
function createFraming(
  { body, headers }: ForwardRequest,
): Record<string, string> {
  if (body === null) return {};
  if (Buffer.isBuffer(body)) return { "content-length": String(body.length) };
  return headers["content-length"] === undefined
    ? { "transfer-encoding": "chunked" }
    : {};
}

/** Classes of responses with all headers of the upstream; others may lack some. */
const COMPLETE_CLASSES = new Set([
  ResponseClass.Valid,
  ResponseClass.NotExecuted,
]);

/** The connection was not established, so nothing was sent. */
class ConnectError extends Error {}

/** The upstream sent something that is no response to a request. */
class MalformedResponseError extends Error {}

function isConnectionReset(error: Error): boolean {
  return (error as { code?: string }).code === "ECONNRESET";
}

const FAILURES: Record<
  Exclude<ResponseClass, ResponseClass.Valid>,
  Omit<UpstreamFailure, "message">
> = {
  [ResponseClass.NotExecuted]: {
    execution: Execution.NotRun,
    diagnostic: Diagnostics.upstream_refused,
  },
  [ResponseClass.WrongInstance]: {
    execution: Execution.NotRun,
    diagnostic: Diagnostics.wrong_instance,
  },
  [ResponseClass.Mismatched]: {
    execution: Execution.MayHaveRun,
    diagnostic: Diagnostics.answer_mismatch,
  },
  [ResponseClass.Malformed]: {
    execution: Execution.MayHaveRun,
    diagnostic: Diagnostics.answer_garbled,
  },
};

/**
 * Closes the connection of a response that is not passed on: a faulty upstream
 * may write a refusal once more, which would count for a later attempt of the
 * same request there.
 */
function discard(
  { status, body }: StreamedResponse,
  responseClass: Exclude<ResponseClass, ResponseClass.Valid>,
): UpstreamResult {
  body.on("error", ignoreError);
  body.destroy();
  const message = `status ${status}, response classified as ${responseClass}`;
  return { failure: { ...FAILURES[responseClass], message } };
}

/** Errors of a body matter only to those who read it. */
function ignoreError(): void {}

function toFailure(error: unknown): UpstreamFailure {
  const message = String(error);
  if (error instanceof ConnectError) {
    return {
      execution: Execution.NotRun,
      diagnostic: Diagnostics.upstream_unreachable,
      message,
    };
  }
  return {
    execution: Execution.MayHaveRun,
    diagnostic: getCause(error),
    message,
  };
}

function getCause(error: unknown): Diagnostic {
  if (error instanceof AbortError) return Diagnostics.upstream_timeout;
  if (error instanceof MalformedResponseError) {
    return Diagnostics.answer_garbled;
  }
  return isEndlessHead(error)
    ? Diagnostics.response_too_large
    : Diagnostics.upstream_lost;
}
