/** Requests to the local upstream, and what their failures prove. */

import type { Readable } from "node:stream";
import { Pool } from "undici";
import { type Diagnostic, Diagnostics } from "../core/diagnostics.ts";
import { Execution } from "../core/types.ts";
import type { ForwardRequest, StreamedAnswer } from "../link/types.ts";
import { getHeader } from "../link/http_headers.ts";
import { Header } from "../link/wire.ts";

const CONNECT_TIMEOUT_MS = 1_000;
const REFUSED_STATUS = 503;

/** Why an upstream gave no answer. */
export interface UpstreamFailure {
  readonly execution: Execution;
  readonly diagnostic: Diagnostic;
  readonly message: string;
}

/** An answer or a failure. */
export type UpstreamResult =
  | { readonly answer: StreamedAnswer }
  | { readonly failure: UpstreamFailure };

/** Settings of the client. */
export interface UpstreamClientOptions {
  /** IP address and port. */
  readonly address: string;
  readonly connections: number;
  /** True where a 503 of this upstream means that it did not start. */
  readonly refusesBeforeStart: boolean;
}

/** Sends requests to one upstream. */
export interface UpstreamClient {
  send(request: ForwardRequest): Promise<UpstreamResult>;
  close(): Promise<void>;
}

/** Creates a client with a pool of connections. */
export function createUpstreamClient(
  options: UpstreamClientOptions,
): UpstreamClient {
  const pool = new Pool(`http://${options.address}`, {
    connections: options.connections,
    pipelining: 1,
    connect: { timeout: CONNECT_TIMEOUT_MS },
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  return { send, close: () => pool.destroy() };

  async function send(request: ForwardRequest): Promise<UpstreamResult> {
    try {
      const res = await pool.request({
        method: request.method as "GET",
        path: request.path,
        headers: request.headers,
        body: request.body,
        signal: request.signal,
      });
      return judge(request, {
        status: res.statusCode,
        headers: res.headers,
        body: res.body,
      });
    } catch (error) {
      return { failure: classify(error) };
    }
  }

  function judge(
    request: ForwardRequest,
    answer: StreamedAnswer,
  ): UpstreamResult {
    const sentId = request.headers[Header.RequestId];
    const answeredId = getHeader(answer.headers, Header.RequestId);
    if (answeredId !== undefined && answeredId !== sentId) {
      return discard(answer.body, {
        execution: Execution.MayHaveRun,
        diagnostic: Diagnostics.answer_mismatch,
        message: `answer to ${answeredId}`,
      });
    }
    if (options.refusesBeforeStart && answer.status === REFUSED_STATUS) {
      return discard(answer.body, {
        execution: Execution.NotRun,
        diagnostic: Diagnostics.upstream_refused,
        message: "status 503",
      });
    }
    return { answer };
  }
}

function discard(body: Readable, failure: UpstreamFailure): UpstreamResult {
  body.on("error", () => {});
  body.resume();
  return { failure };
}

function classify(error: unknown): UpstreamFailure {
  const message = String(error);
  if (isBeforeSend(error)) {
    return {
      execution: Execution.NotRun,
      diagnostic: Diagnostics.upstream_unreachable,
      message,
    };
  }
  const isAbort = error instanceof Error && error.name === "AbortError";
  return {
    execution: Execution.MayHaveRun,
    diagnostic: isAbort
      ? Diagnostics.upstream_timeout
      : Diagnostics.upstream_lost,
    message,
  };
}

const BEFORE_SEND_CODES = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "EADDRNOTAVAIL",
  "UND_ERR_CONNECT_TIMEOUT",
]);

/** True for an error that proves that no byte of the request was sent. */
export function isBeforeSend(error: unknown): boolean {
  const code = (error as { code?: unknown } | null)?.code;
  return typeof code === "string" && BEFORE_SEND_CODES.has(code);
}
