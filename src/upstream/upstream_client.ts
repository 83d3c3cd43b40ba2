/** Client of the local upstream; a failure states whether the request may have run. */

import { Buffer } from "node:buffer";
import {
  type IncomingHttpHeaders,
  type IncomingMessage,
  request as httpRequest,
} from "node:http";
import { Readable } from "node:stream";
import { type Diagnostic, Diagnostics } from "../core/diagnostics.ts";
import {
  Execution,
  type Millis,
  type NoticeSource,
  type ResponseNotice,
} from "../core/types.ts";
import type { Clock } from "../daemon/clock.ts";
import type { ForwardRequest, StreamedResponse } from "../link/types.ts";
import { splitAddress } from "../link/address.ts";
import { getHeader } from "../link/http_headers.ts";
import { Header } from "../link/wire.ts";
import { createUpstreamConnections } from "./upstream_connections.ts";
import {
  ResponseClass,
  type UpstreamCall,
  type UpstreamLoad,
  type UpstreamProtocol,
} from "./upstream_protocol.ts";

/** Timeout for connecting to the local upstream, in ms. */
const CONNECT_TIMEOUT_MS = 1_000;
/** Responses up to this size, or without a stated one, are buffered until complete. */
const MAX_BUFFERED_RESPONSE_BYTES = 1_048_576;

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
  /** Receives the load that responses report. */
  onLoad?(load: UpstreamLoad): void;
  /** Receives what a response states about the upstream itself, or that it states nothing. */
  onNotice?(notice: ResponseNotice, source: NoticeSource): void;
}

/** Sends requests to one upstream. */
export interface UpstreamClient {
  send(request: ForwardRequest, call: UpstreamCall): Promise<UpstreamResult>;
  close(): Promise<void>;
}

/** Creates a client with a pool of connections. */
export function createUpstreamClient(
  options: UpstreamClientOptions,
): UpstreamClient {
  const { protocol } = options;
  const { host, port } = splitAddress(options.address);
  const connections = createUpstreamConnections(
    options.clock,
    options.connections,
  );
  return { send, close: () => Promise.resolve(connections.close()) };

  async function send(
    request: ForwardRequest,
    call: UpstreamCall,
  ): Promise<UpstreamResult> {
    const sentAt = options.clock.now();
    try {
      const res = await sendRequest(request, call);
      const response = {
        status: res.statusCode!,
        headers: res.headers,
        body: res,
      };
      return await handleResponse(request, response, { call, sentAt });
    } catch (error) {
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
  ): Promise<IncomingMessage> {
    return new Promise((resolve, reject) => {
      const { method, path, body, signal } = request;
      const headers = protocol.createHeaders(request, call);
      const req = httpRequest({
        agent: connections.getPool(call.isAtMostOnce),
        host,
        port,
        method,
        path,
        headers,
      });
      let isSent = false;
      const connecting = setTimeout(() => {
        req.destroy(
          new ConnectError("timed out while connecting to the upstream"),
        );
      }, CONNECT_TIMEOUT_MS);
      req.once("socket", (socket) => {
        if (socket.connecting) socket.once("connect", markSent);
        else markSent();
      });
      let response: IncomingMessage | undefined;
      req.once("response", (res) => {
        response = res;
        resolve(res);
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

  async function handleResponse(
    request: ForwardRequest,
    response: StreamedResponse,
    sent: { call: UpstreamCall; sentAt: Millis },
  ): Promise<UpstreamResult> {
    const load = protocol.readLoad(response.headers);
    if (load !== undefined) options.onLoad?.(load);
    const responseClass = protocol.classify(request, response);
    reportNotice(response, responseClass, sent);
    if (responseClass !== ResponseClass.Valid) {
      return discard(response, responseClass);
    }
    return protocol.buffersResponses
      ? await bufferResponse(response)
      : { response };
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

/** Classes of responses with all headers of the upstream; others may lack some. */
const COMPLETE_CLASSES = new Set([
  ResponseClass.Valid,
  ResponseClass.NotExecuted,
]);

/** The connection was not established, so nothing was sent. */
class ConnectError extends Error {}

/** The request was cancelled by this daemon. */
class AbortError extends Error {}

function isConnectionReset(error: Error): boolean {
  return (error as { code?: string }).code === "ECONNRESET";
}

/** Buffers a body until complete, unless it is large, so that truncation is detected. */
async function bufferResponse(
  response: StreamedResponse,
): Promise<UpstreamResult> {
  const length = Number(getHeader(response.headers, "content-length") ?? 0);
  if (length > MAX_BUFFERED_RESPONSE_BYTES) return { response };
  const chunks: Buffer[] = [];
  for await (const chunk of response.body) chunks.push(chunk as Buffer);
  const bodyBytes = Buffer.concat(chunks);
  const body = new Readable({ read: () => {} });
  body.push(bodyBytes);
  body.push(null);
  const headers = { ...response.headers };
  // The end of the connection does not prove that the body is complete.
  if (isUnframed(response.headers)) headers[Header.Unframed] = "1";
  else headers["content-length"] = String(bodyBytes.length);
  return {
    response: { status: response.status, headers, body, isComplete: true },
  };
}

function isUnframed(headers: IncomingHttpHeaders): boolean {
  return headers["content-length"] === undefined &&
    headers["transfer-encoding"] === undefined;
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

/** Classes after which the connection stays usable; after others it is closed. */
const KEEPS_CONNECTION_OPEN = new Set([
  ResponseClass.NotExecuted,
  ResponseClass.WrongInstance,
]);

function discard(
  { status, body }: StreamedResponse,
  responseClass: Exclude<ResponseClass, ResponseClass.Valid>,
): UpstreamResult {
  body.on("error", ignoreAbort);
  if (KEEPS_CONNECTION_OPEN.has(responseClass)) body.resume();
  else body.destroy();
  const message = `status ${status}, response classified as ${responseClass}`;
  return { failure: { ...FAILURES[responseClass], message } };
}

/** The body is discarded, so its error is of no interest. */
function ignoreAbort(): void {}

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
    diagnostic: error instanceof AbortError
      ? Diagnostics.upstream_timeout
      : Diagnostics.upstream_lost,
    message,
  };
}
