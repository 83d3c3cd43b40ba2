/** A link to the guard of another host over HTTP/1.1 with keep-alive connections. */

import { performance } from "node:perf_hooks";
import { Client, type Dispatcher, Pool } from "undici";
import { z } from "zod";
import type {
  AccountName,
  HostId,
  LoadReport,
  RequestHead,
  Ticket,
} from "../core/types.ts";
import { MAX_STORE_BYTES } from "../core/change_log.ts";
import { readBounded } from "./bounded_body.ts";
import { isFinalStatus } from "./final_status.ts";
import { getHeader } from "./http_headers.ts";
import {
  CONNECT_TIMEOUT_CODE,
  createQuickConnector,
} from "./quick_connector.ts";
import { createSmallReads, MAX_READ_BYTES } from "./small_reads.ts";
import {
  type ForwardRequest,
  type GuardLink,
  type GuardReply,
  ReplyKind,
} from "./types.ts";
import { createReplyMetadata, decodeReplay } from "./reply_metadata.ts";
import { encodeHead, Header, Step } from "./wire.ts";

/**
 * Timeout of a new connection, in ms: some round trips between regions (70 ms),
 * and far below the second after which a lost first packet is sent again.
 */
export const CONNECT_TIMEOUT_MS = 150;
/** Timeout of a message whose reply waits for no upstream, in ms. */
const REPLY_TIMEOUT_MS = 1_000;
/** Timeout of an exchange of what is known, in ms; it is tried again. */
const EXCHANGE_TIMEOUT_MS = 500;
/** Interval at which unchanged revisions are sent again, in ms. */
const REVISIONS_RESEND_INTERVAL_MS = 1_000;
const KEEP_ALIVE_MS = 30_000;
/** Largest head of a peer's reply, in bytes: an upstream's largest head and as much for that of the peer. */
const MAX_REPLY_HEAD_BYTES = 32_768;

/** Largest body of a peer's reply that is read here, in bytes: a kept response in base64 with its head, or 1,000 keys. */
const MAX_REPLY_BYTES = 262_144;

/** Settings of a link. */
export interface HttpLinkOptions {
  /** IP address and port of the peer's data listener. */
  readonly address: string;
  readonly self: HostId;
  readonly peer: HostId;
  readonly connections: number;
  /** Digest of the revisions in force on this host. */
  getRevisions(): string;
  /** Receives the load report and the revisions of a reply's headers. */
  onReplyMetadata(heard: { report?: LoadReport; revisions?: string }): void;
  /** Receives malformed parts of replies and failures to close connections. */
  onLinkError(message: string): void;
}

type Response = Dispatcher.ResponseData;

/** Creates a link; connections are opened on demand. */
export function createHttpLink(options: HttpLinkOptions): GuardLink {
  const origin = `http://${options.address}`;
  const smallReads = createSmallReads();
  const metadata = createReplyMetadata(options);
  let pool = createPool();
  let lastRevisions = { revisions: "", at: -Infinity };
  return {
    reserve,
    run,
    submit,
    release,
    settle,
    issueKeys,
    replaceConnections: replacePool,
    exchangeSuspects: (body) => exchange(Step.Suspects, body),
    readState: (after) => exchange(Step.State, after),
    probe,
    close: () => pool.destroy(),
  };

  function createPool(): Pool {
    return new Pool(origin, {
      connections: options.connections,
      pipelining: 1,
      connect: createQuickConnector({
        timeoutMs: CONNECT_TIMEOUT_MS,
        ...smallReads,
      }),
      keepAliveTimeout: KEEP_ALIVE_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
      maxHeaderSize: MAX_REPLY_HEAD_BYTES,
    });
  }

  function reserve(ticket: Ticket, head: RequestHead): Promise<GuardReply> {
    return requestReply(pool, Step.Reserve, {
      [Header.Ticket]: ticket,
      [Header.Head]: encodeHead(head),
    }, { signal: AbortSignal.timeout(Math.max(1, head.timeoutMs)) });
  }

  async function settle(
    ticket: Ticket,
    query: { account: AccountName; key: string },
  ): Promise<GuardReply> {
    const client = new Client(origin, {
      connect: createQuickConnector({ timeoutMs: REPLY_TIMEOUT_MS }),
    });
    const reply = await requestReply(client, Step.Settle, {
      [Header.Ticket]: ticket,
      [Header.Account]: query.account,
      [Header.Key]: query.key,
    }, { signal: AbortSignal.timeout(REPLY_TIMEOUT_MS) });
    void client.close();
    return reply;
  }

  function release(ticket: Ticket): void {
    void requestReply(pool, Step.Release, { [Header.Ticket]: ticket }, {
      signal: AbortSignal.timeout(REPLY_TIMEOUT_MS),
    });
  }

  /** A run that failed is always in doubt: the pool may have sent it on another connection before. */
  async function run(
    ticket: Ticket,
    grant: string,
    { forward }: { forward: ForwardRequest },
  ): Promise<GuardReply> {
    const reply = await forwardRequest(forward, Step.Run, {
      [Header.Ticket]: ticket,
      [Header.Grant]: grant,
    });
    return reply.kind === ReplyKind.Failed
      ? { ...reply, mayHaveArrived: true }
      : reply;
  }

  function submit(
    ticket: Ticket,
    head: RequestHead,
    request: { forward: ForwardRequest; onAccepted?: () => void },
  ): Promise<GuardReply> {
    return forwardRequest(request.forward, Step.Submit, {
      [Header.Ticket]: ticket,
      [Header.Head]: encodeHead(head),
    }, request.onAccepted);
  }

  async function issueKeys(
    account: AccountName,
    count: number,
  ): Promise<string[]> {
    try {
      const res = await call(pool, Step.Keys, {
        [Header.Account]: account,
        "vanillarock-count": String(count),
      }, { signal: AbortSignal.timeout(REPLY_TIMEOUT_MS) });
      return z.array(z.string()).parse(JSON.parse(await readText(res)));
    } catch {
      return [];
    }
  }

  async function exchange(
    step: Step,
    body: string,
  ): Promise<string | undefined> {
    try {
      // The timeouts of undici may fire a second late.
      const signal = AbortSignal.timeout(EXCHANGE_TIMEOUT_MS);
      const res = await call(pool, step, {}, { body, signal });
      const text = await readText(res, MAX_STORE_BYTES);
      return res.statusCode === 200 ? text : undefined;
    } catch {
      return undefined;
    }
  }

  async function probe(): Promise<number> {
    try {
      const signal = AbortSignal.timeout(REPLY_TIMEOUT_MS);
      const res = await call(pool, Step.Ping, {}, { signal });
      const text = await readText(res);
      return text.length + JSON.stringify(res.headers).length;
    } catch {
      return 0;
    }
  }

  /** New requests use new connections; requests in flight finish on the old ones. */
  function replacePool(): void {
    const old = pool;
    pool = createPool();
    old.close().catch((error: Error) =>
      options.onLinkError(`can't close replaced connections: ${error.message}`)
    );
  }

  async function requestReply(
    dispatcher: Dispatcher,
    step: Step,
    headers: Record<string, string>,
    content: Pick<Dispatcher.RequestOptions, "signal"> = {},
  ): Promise<GuardReply> {
    try {
      const res = await call(dispatcher, step, headers, content);
      return await parseReply(res);
    } catch (error) {
      return toFailure(error);
    }
  }

  function call(
    dispatcher: Dispatcher,
    step: Step,
    headers: Record<string, string>,
    content: Pick<Dispatcher.RequestOptions, "body" | "signal"> = {},
  ): Promise<Response> {
    return dispatcher.request({
      method: "POST",
      path: "/",
      headers: { ...createHeaders(step), ...headers },
      ...content,
    });
  }

  async function forwardRequest(
    forward: ForwardRequest,
    step: Step,
    headers: Record<string, string>,
    onInfo?: () => void,
  ): Promise<GuardReply> {
    try {
      const res = await pool.request({
        method: forward.method as "GET",
        path: forward.path,
        headers: { ...forward.headers, ...createHeaders(step), ...headers },
        body: forward.body,
        signal: forward.signal,
        highWaterMark: MAX_READ_BYTES,
        ...(onInfo !== undefined && { onInfo }),
      });
      return await parseReply(res);
    } catch (error) {
      return toFailure(error);
    }
  }

  /** Includes the digest of revisions when it changed, and once per interval. */
  function createHeaders(step: Step): Record<string, string> {
    const revisions = options.getRevisions();
    const now = performance.now();
    const isRecentlySent = revisions === lastRevisions.revisions &&
      now - lastRevisions.at < REVISIONS_RESEND_INTERVAL_MS;
    if (isRecentlySent) return { [Header.Step]: step };
    lastRevisions = { revisions, at: now };
    return {
      [Header.Step]: step,
      [Header.From]: options.self,
      [Header.Revisions]: revisions,
    };
  }

  async function parseReply(res: Response): Promise<GuardReply> {
    metadata.report(res.headers);
    const verdictText = getHeader(res.headers, Header.VerdictJson);
    if (verdictText !== undefined) {
      await res.body.dump();
      const grant = getHeader(res.headers, Header.Grant);
      return metadata.decodeRefusal(verdictText, grant);
    }
    if (!isFinalStatus(res.statusCode)) {
      res.body.on("error", () => {}).destroy();
      throw new Error(`a reply of status ${res.statusCode}`);
    }
    const ticket = getHeader(res.headers, Header.Ticket) ?? "";
    if (getHeader(res.headers, Header.Replayed) !== undefined) {
      const response = decodeReplay(JSON.parse(await readText(res)));
      return { kind: ReplyKind.Replay, ticket, response };
    }
    const grant = getHeader(res.headers, Header.Grant);
    if (grant !== undefined) {
      await res.body.dump();
      const key = getHeader(res.headers, Header.Key) ?? "";
      return { kind: ReplyKind.Granted, grant, key };
    }
    const response = {
      status: res.statusCode,
      headers: res.headers,
      body: res.body,
    };
    return { kind: ReplyKind.Response, ticket, response };
  }
}

/** Reads a reply whose content is used here; rejects if it is too large. */
async function readText(
  { body }: Response,
  maxBytes = MAX_REPLY_BYTES,
): Promise<string> {
  return (await readBounded(body, { maxBytes })).toString();
}

function toFailure(error: unknown): GuardReply {
  return {
    kind: ReplyKind.Failed,
    mayHaveArrived: !isBeforeSend(error),
    message: String(error),
  };
}

const BEFORE_SEND_CODES = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "EADDRNOTAVAIL",
  CONNECT_TIMEOUT_CODE,
]);

/** True if the error proves that no byte of the request was sent. */
function isBeforeSend(error: unknown): boolean {
  const code = (error as { code?: unknown } | null)?.code;
  return typeof code === "string" && BEFORE_SEND_CODES.has(code);
}
