/** Passes callers' requests to the gateway and writes the responses. */

import { Buffer } from "node:buffer";
import { createHash } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Readable } from "node:stream";
import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import { type Context, Hono } from "hono";
import { v7 } from "uuid";
import type { AccountDirectory } from "../client_account/directory.ts";
import type { Counters } from "../core/counters.ts";
import { type DiagnosticName, Diagnostics } from "../core/diagnostics.ts";
import type { MemoryBudget } from "../core/memory_budget.ts";
import {
  Execution,
  type KeptResponse,
  Repeatability,
  type Verdict,
} from "../core/types.ts";
import { getForwardHeaders, getHeader } from "../link/http_headers.ts";
import type { GetLink, StreamedResponse } from "../link/types.ts";
import { streamBody } from "../link/stream_body.ts";
import { Header } from "../link/wire.ts";
import {
  admitCall,
  type CallerFacts,
  createCallerRefusal,
  getCallerRetryAfter,
  tryFindAccount,
} from "./caller_admission.ts";
import type { GatewayRequest, GatewayTask } from "./gateway_task.ts";
import { logHandlerFailure, runHandler } from "./handler_failure.ts";
import { getPlace, type HttpEnv } from "./http_server.ts";
import type { Logger } from "./logger.ts";
import { canBufferBody, hasUnknownCoding, readBody } from "./request_body.ts";
import { createSharedAnswers, statesItsEnd } from "./shared_answers.ts";
import { hasEnded } from "./unread_sockets.ts";

/** Largest request body that is buffered so that a retry can send it again, in bytes. */
export const MAX_BUFFERED_BODY_BYTES = 65_536;
const MAX_KEYS_AT_ONCE = 100;
const MS_PER_SECOND = 1_000;

/** Settings of the server. */
export interface CallerServerOptions {
  readonly task: GatewayTask;
  readonly accounts: AccountDirectory;
  readonly counters: Counters;
  readonly logger: Logger;
  readonly getLink: GetLink;
  /** Called for each request that got a response, with its latency in ms. */
  onResponse(service: string, latencyMs: number): void;
  /** Budget of the responses that are read whole before they are passed on. */
  readonly memory: MemoryBudget;
  /** Reason to refuse every new request, or undefined. */
  getRefusalReason(): DiagnosticName | undefined;
  now(): number;
}

interface CallerRequest {
  /** Unique; ends with the caller's own id if it sent one. */
  readonly id: string;
  readonly incoming: IncomingMessage;
  readonly outgoing: ServerResponse;
  /** True once the gateway knows how the request ended. */
  isOver?: boolean;
}

/** Creates the callers' application. */
export function createCallerApp(options: CallerServerOptions): Hono<HttpEnv> {
  const { task, accounts, counters, logger } = options;
  const shared = createSharedAnswers({
    clock: { now: options.now },
    memory: options.memory,
  });
  const app = new Hono<HttpEnv>();
  app.post("/-/keys", issueKeys);
  app.all("*", async (c) => {
    const { incoming, outgoing } = c.env;
    const id = getHeader(incoming.headers, Header.RequestId) ?? "";
    const req = { id: `${v7()}${id && `:${id}`}`, incoming, outgoing };
    await runHandler(async () => {
      const reason = await handle(req);
      if (reason !== undefined) refuse(req, reason);
    }, (error) => fail(req, error));
    return RESPONSE_ALREADY_SENT;
  });
  return app;

  /** Serves a request; returns the reason if it is refused before the gateway gets it. */
  async function handle(
    req: CallerRequest,
  ): Promise<DiagnosticName | undefined> {
    const admission = admitCall(readFacts(req), options);
    if ("refusal" in admission) return admission.refusal;
    const { arrival } = admission;
    const buffered = arrival.replayable
      ? await readBody(req.incoming)
      : undefined;
    if (buffered === "cut-off") return "body_cut_off";
    await serve(req, {
      arrival,
      fingerprint: arrival.repeatability === Repeatability.AtMostOnce
        ? getFingerprint(req.incoming)
        : "",
      method: req.incoming.method ?? "GET",
      path: req.incoming.url ?? "/",
      headers: getForwardHeaders(req.incoming.headers),
      body: arrival.replayable ? buffered ?? null : req.incoming,
      isCallerGone: () => hasEnded(req.incoming.socket),
    });
    return undefined;
  }

  async function serve(
    req: CallerRequest,
    request: GatewayRequest,
  ): Promise<void> {
    const { id } = req;
    const startedAt = options.now();
    let body: Readable | undefined;
    req.outgoing.once("close", () => {
      if (req.isOver) return;
      req.isOver = true;
      body?.destroy();
      task.abandon(id);
    });
    const outcome = await task.serve(request);
    const key = outcome.key ?? request.arrival.key;
    if ("verdict" in outcome) {
      req.isOver = true;
      writeVerdict(req, outcome.verdict, key);
      return;
    }
    options.onResponse(request.arrival.service, options.now() - startedAt);
    if ("replay" in outcome) return writeReplay(req, outcome.replay, key);
    const { response } = outcome;
    if (response.bytes === undefined) body = response.body;
    await respond(req, response, key);
  }

  /** Writes a response once it is its turn on the connection. */
  async function respond(
    req: CallerRequest,
    response: StreamedResponse,
    key: string | undefined,
  ): Promise<void> {
    const ready = await shared.prepare(getPlace(req.outgoing), response);
    if (req.isOver) return;
    if (!(ready instanceof Error)) return writeResponse(req, ready, key);
    logCut(req, ready);
    req.isOver = true;
    task.complete(req.id);
    writeVerdict(req, {
      execution: Execution.MayHaveRun,
      diagnostic: Diagnostics.answer_cut_short,
    }, key);
  }

  function logCut(req: CallerRequest, error: Error): void {
    counters.add("answer_cut_short");
    logger.warn("answer_cut_short", { req: req.id, message: error.message });
  }

  function writeResponse(
    req: CallerRequest,
    response: StreamedResponse,
    key: string | undefined,
  ): void {
    const { outgoing, id } = req;
    const place = getPlace(outgoing);
    if (!statesItsEnd(outgoing.req, response)) {
      place.delimitByClose(response.body);
    }
    if (!response.isComplete) place.holdOthers();
    outgoing.writeHead(response.status, {
      ...getForwardHeaders(response.headers),
      ...createHeaders(req, Execution.Ran, key),
    });
    streamBody(response.body, outgoing, (error) => {
      if (error) logCut(req, error);
      if (req.isOver) return;
      req.isOver = true;
      task.complete(id);
    });
  }

  function writeReplay(
    req: CallerRequest,
    replay: KeptResponse,
    key: string | undefined,
  ): void {
    req.outgoing.writeHead(replay.status, {
      "content-type": replay.contentType,
      [Header.Replayed]: "true",
      ...createHeaders(req, Execution.Ran, key),
    });
    req.outgoing.end(Buffer.from(replay.body, "base64"));
    req.isOver = true;
    task.complete(req.id);
  }

  function fail(req: CallerRequest, error: Error): void {
    counters.add("handler_failed");
    logHandlerFailure(logger, error, { handler: "callers", req: req.id });
    req.isOver = true;
    task.abandon(req.id);
    if (req.outgoing.headersSent) return void req.outgoing.destroy();
    writeVerdict(req, {
      execution: Execution.MayHaveRun,
      diagnostic: Diagnostics.handler_failed,
    });
  }

  function refuse(req: CallerRequest, name: DiagnosticName): void {
    counters.add(`refused_${name}`);
    writeVerdict(req, createCallerRefusal(name));
  }

  function writeVerdict(
    req: CallerRequest,
    verdict: Verdict,
    key?: string,
  ): void {
    const { execution, diagnostic } = verdict;
    const retryAfterMs = getCallerRetryAfter(verdict);
    const { outgoing, incoming } = req;
    logger.info("refused", {
      req: req.id,
      execution,
      reason: diagnostic.reason,
    });
    if (outgoing.destroyed) return;
    // As a header of its own, so that nothing more is passed on behind it.
    if (!incoming.complete) outgoing.setHeader("connection", "close");
    outgoing.writeHead(diagnostic.status, {
      "content-type": "application/json",
      [Header.Reason]: diagnostic.reason,
      ...createHeaders(req, execution, key),
      ...(retryAfterMs !== undefined && {
        [Header.RetryAfter]: String(Math.ceil(retryAfterMs / MS_PER_SECOND)),
        [Header.RetryAfterMs]: String(retryAfterMs),
      }),
    });
    outgoing.end(JSON.stringify({
      execution,
      code: diagnostic.code,
      reason: diagnostic.reason,
      message: diagnostic.text,
    }));
  }

  async function issueKeys(c: Context<HttpEnv>): Promise<Response> {
    const account = tryFindAccount(accounts, readTarget(c.env.incoming));
    if (account === undefined) {
      return c.json({ reason: "unknown_account" }, 404);
    }
    const service = c.req.query("service") ?? "";
    const count = Number(c.req.query("count") ?? 1);
    const isValid = account.account.services[service] !== undefined &&
      Number.isInteger(count) && count >= 1 && count <= MAX_KEYS_AT_ONCE;
    if (!isValid) {
      const message = `service must be one of ${
        Object.keys(account.account.services).join(", ")
      }; count from 1 to ${MAX_KEYS_AT_ONCE}`;
      return c.json({ reason: "malformed_request", message }, 400);
    }
    const keys = await requestKeys(account.name, service, { count });
    counters.add("keys_issued", keys.length);
    return keys.length > 0
      ? c.json({ keys })
      : c.json({ reason: "no_upstream" }, 503);
  }

  /** Requests keys from guards, in order of preference, until one issues some. */
  async function requestKeys(
    account: string,
    service: string,
    { count }: { count: number },
  ): Promise<string[]> {
    for (const host of task.gateway.rankHosts(service)) {
      const keys = await options.getLink(host)?.issueKeys(account, count) ?? [];
      if (keys.length > 0) return keys;
    }
    return [];
  }
}

function readFacts({ id, incoming }: CallerRequest): CallerFacts {
  const { headers } = incoming;
  return {
    id,
    ...readTarget(incoming),
    method: incoming.method ?? "GET",
    url: incoming.url ?? "/",
    timeoutText: getHeader(headers, Header.TimeoutMs),
    keyText: getHeader(headers, Header.Key),
    retriesText: getHeader(headers, Header.RetriesLeft),
    bodyBytes: Number(headers["content-length"] ?? 0),
    isBufferable: canBufferBody(incoming, MAX_BUFFERED_BODY_BYTES),
    hasUnknownCoding: hasUnknownCoding(incoming),
  };
}

function readTarget(
  { headers }: IncomingMessage,
): Pick<CallerFacts, "accountName" | "hostname"> {
  return {
    accountName: getHeader(headers, Header.Account),
    hostname: (headers.host ?? "").replace(/:\d+$/, ""),
  };
}

function createHeaders(
  req: CallerRequest,
  execution: Execution,
  key: string | undefined,
): Record<string, string> {
  return {
    [Header.RequestId]: req.id,
    [Header.Execution]: execution,
    ...(key !== undefined && { [Header.Key]: key }),
  };
}

/** Binds a key to one method, path and, if the caller sends it, body digest. */
function getFingerprint(incoming: IncomingMessage): string {
  const digest = getHeader(incoming.headers, "content-digest") ?? "";
  return createHash("sha256")
    .update(`${incoming.method} ${incoming.url} ${digest}`)
    .digest("base64url");
}
