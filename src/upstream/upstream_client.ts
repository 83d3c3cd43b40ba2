/** Requests to the local upstream, and what their failures prove. */

import { Buffer } from "node:buffer";
import { Readable } from "node:stream";
import { Pool } from "undici";
import { type Diagnostic, Diagnostics } from "../core/diagnostics.ts";
import { Execution } from "../core/types.ts";
import type { ForwardRequest, StreamedAnswer } from "../link/types.ts";
import { getHeader } from "../link/http_headers.ts";
import {
  AnswerStanding,
  type UpstreamCall,
  type UpstreamLoad,
  type UpstreamProtocol,
} from "./upstream_protocol.ts";

const CONNECT_TIMEOUT_MS = 1_000;
/** Answers up to this size are held until they are whole, in bytes. */
const MAX_HELD_ANSWER_BYTES = 1_048_576;

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
  readonly protocol: UpstreamProtocol;
  /** Hears the load that answers state. */
  onLoad?(load: UpstreamLoad): void;
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
  const pool = new Pool(`http://${options.address}`, {
    connections: options.connections,
    pipelining: 1,
    connect: { timeout: CONNECT_TIMEOUT_MS },
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  return { send, close: () => pool.destroy() };

  async function send(
    request: ForwardRequest,
    call: UpstreamCall,
  ): Promise<UpstreamResult> {
    try {
      const res = await pool.request({
        method: request.method as "GET",
        path: request.path,
        headers: protocol.createHeaders(request, call),
        body: request.body,
        signal: request.signal,
      });
      return await take(request, {
        status: res.statusCode,
        headers: res.headers,
        body: res.body,
      });
    } catch (error) {
      return { failure: classify(error) };
    }
  }

  async function take(
    request: ForwardRequest,
    answer: StreamedAnswer,
  ): Promise<UpstreamResult> {
    const load = protocol.readLoad(answer.headers);
    if (load !== undefined) options.onLoad?.(load);
    const standing = protocol.judge(request, answer);
    if (standing !== AnswerStanding.Own) {
      return discard(answer, standing);
    }
    return protocol.checksWhole ? await hold(answer) : { answer };
  }
}

/** Reads a body of moderate size to its end, so that a cut one is noticed. */
async function hold(answer: StreamedAnswer): Promise<UpstreamResult> {
  const length = Number(getHeader(answer.headers, "content-length") ?? 0);
  if (length > MAX_HELD_ANSWER_BYTES) return { answer };
  const chunks: Buffer[] = [];
  for await (const chunk of answer.body) chunks.push(chunk as Buffer);
  const whole = Buffer.concat(chunks);
  const body = new Readable({ read: () => {} });
  body.push(whole);
  body.push(null);
  const headers = { ...answer.headers };
  if (length === 0) headers["content-length"] = String(whole.length);
  return { answer: { status: answer.status, headers, body, isWhole: true } };
}

const FAILURES: Record<
  Exclude<AnswerStanding, AnswerStanding.Own>,
  Omit<UpstreamFailure, "message">
> = {
  [AnswerStanding.NotExecuted]: {
    execution: Execution.NotRun,
    diagnostic: Diagnostics.upstream_refused,
  },
  [AnswerStanding.WrongInstance]: {
    execution: Execution.NotRun,
    diagnostic: Diagnostics.wrong_instance,
  },
  [AnswerStanding.Foreign]: {
    execution: Execution.MayHaveRun,
    diagnostic: Diagnostics.answer_mismatch,
  },
  [AnswerStanding.Garbled]: {
    execution: Execution.MayHaveRun,
    diagnostic: Diagnostics.answer_garbled,
  },
};

/** Statements that leave the connection in order; after others it is closed. */
const KEEPS_CONNECTION = new Set([
  AnswerStanding.NotExecuted,
  AnswerStanding.WrongInstance,
]);

function discard(
  { status, body }: StreamedAnswer,
  standing: Exclude<AnswerStanding, AnswerStanding.Own>,
): UpstreamResult {
  body.on("error", ignoreAbort);
  if (KEEPS_CONNECTION.has(standing)) body.resume();
  else body.destroy();
  const message = `status ${status}, answer ${standing}`;
  return { failure: { ...FAILURES[standing], message } };
}

/** The body is given up here; its error would only repeat that. */
function ignoreAbort(): void {}

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
