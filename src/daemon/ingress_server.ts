/**
 * Serves the callers on this host: matches each request to a route and writes
 * its response. Responses on one connection are written in request order.
 */

import { Buffer } from "node:buffer";
import type {
  IncomingHttpHeaders,
  IncomingMessage,
  ServerResponse,
} from "node:http";
import { Readable } from "node:stream";
import { createCallerTimes } from "../core/caller_times.ts";
import type { Counters } from "../core/counters.ts";
import { type DiagnosticName, Diagnostics } from "../core/diagnostics.ts";
import type { MemoryBudget } from "../core/memory_budget.ts";
import {
  type Arrival,
  type CoreHost,
  Execution,
  type Millis,
  type ServiceName,
  type Verdict,
} from "../core/types.ts";
import { FIRST_FAILURE_STATUS } from "../core/retry_policy.ts";
import type { StreamedResponse } from "../link/types.ts";
import { sendBytes } from "../link/small_response.ts";
import { streamBody } from "../link/stream_body.ts";
import type { CallerHandler, Place } from "./caller_connections.ts";
import type { CallerDialect, CallerMetadata } from "./caller_dialect.ts";
import type { GatewayTask } from "./gateway_task.ts";
import { logHandlerFailure, runHandler } from "./handler_failure.ts";
import {
  addReturn,
  admitIngress,
  computeRetryAfter,
  createIngressArrival,
  type IngressAdmissionOptions,
  mayTakeNow,
} from "./ingress_admission.ts";
import type { Logger } from "./logger.ts";
import { createRefusal } from "./request_explanation.ts";
import {
  createSignature,
  createStreamedSignature,
  type StreamedSignature,
} from "./request_signature.ts";
import { createSharedAnswers, statesItsEnd } from "./shared_answers.ts";
import { hasEnded } from "./unread_sockets.ts";
import {
  BodyFailure,
  type BodyTerms,
  hasBody,
  hasUnknownCoding,
  isBodyFailure,
  receiveBody,
  type ReceivedBody,
} from "./request_body.ts";

/** Largest request body that is buffered so that a retry can send it again, in bytes. */
export const MAX_BUFFERED_BODY_BYTES = 524_288;
/** Statuses below this one are successes, whose sizes are learned. */
const FIRST_UNSUCCESSFUL_STATUS = 300;

/**
 * Time after which a response is cut whose caller reads nothing of it, in ms;
 * far above the time-outs of callers. It frees what is buffered for the response.
 */
const STALLED_CALLER_MS = 60_000;

/** Size of a response up to which a caller's connection takes it at once, in bytes. */
const MAX_SENT_AT_ONCE = 65_536;

/** Settings of the server. */
export interface IngressOptions extends IngressAdmissionOptions {
  readonly host: CoreHost;
  readonly task: GatewayTask;
  readonly dialect: CallerDialect;
  readonly counters: Counters;
  readonly logger: Logger;
  /** Budget of the request bodies that are kept for a retry. */
  readonly memory: MemoryBudget;
  /** Service that runs on this host; all callers here are part of it. */
  readonly origin: ServiceName;
  isStopping(): boolean;
  /** True if requests with this signature are refused now; none are by default. */
  isQuarantined?(signature: string): boolean;
  onResponse(arrival: Arrival, latencyMs: Millis): void;
  /**
   * Called with the time from a request to the last byte of its answer, in ms;
   * not for requests that are refused as not run.
   */
  onAnswered?(arrival: Arrival, tookMs: Millis): void;
}

const BODY_REFUSALS: Readonly<Record<BodyFailure, DiagnosticName>> = {
  [BodyFailure.CutOff]: "body_cut_off",
  [BodyFailure.Overdue]: "request_timeout",
  [BodyFailure.TooLarge]: "body_too_large",
};

interface CallerRequest {
  /** Unique in this process; ends with the caller's own id. */
  readonly id: string;
  readonly metadata: CallerMetadata;
  readonly incoming: IncomingMessage;
  readonly outgoing: ServerResponse;
  readonly place: Place;
  readonly arrivedAt: Millis;
  /** True once the gateway knows how the request ended. */
  isOver?: boolean;
  /** Its body, once it is received. */
  body?: ReceivedBody;
  /** Body of the response, once there is one. */
  response?: Readable;
}

/** Creates the handler of the callers' listener. */
export function createIngressHandler(options: IngressOptions): CallerHandler {
  const { host, task, dialect, counters, logger } = options;
  const shared = createSharedAnswers({ clock: host, memory: options.memory });
  const callerTimes = createCallerTimes(host);
  let count = 0;
  return (incoming, outgoing, place) => {
    count += 1;
    const metadata = dialect.read(incoming.headers);
    const id = `${count.toString(36)}:${metadata.id ?? ""}`;
    const arrivedAt = place.readAt;
    place.id = metadata.id;
    const req: CallerRequest = {
      id,
      metadata,
      incoming,
      outgoing,
      place,
      arrivedAt,
    };
    incoming.on("error", (error) => logRequestCutOff(req, error));
    void runHandler(() => handle(req), (error) => fail(req, error));
  };

  /** Whether the request ran is not known. */
  function fail(req: CallerRequest, error: Error): void {
    const { outgoing, metadata, id } = req;
    counters.add("handler_failed");
    logHandlerFailure(logger, error, {
      handler: "ingress",
      req: metadata.id,
    });
    req.isOver = true;
    req.body?.release();
    req.response?.destroy();
    task.abandon(id);
    if (outgoing.headersSent) return req.place.cut("handler_failed");
    void writeVerdict(req, {
      execution: Execution.MayHaveRun,
      diagnostic: Diagnostics.handler_failed,
    });
  }

  async function handle(req: CallerRequest): Promise<void> {
    const { incoming } = req;
    if (incoming.headers.host === undefined && incoming.httpVersion === "1.1") {
      return refuse(req, "malformed_request");
    }
    const bodyBytes = Number(incoming.headers["content-length"] ?? 0);
    const admission = admitIngress({
      hostname: (incoming.headers.host ?? "").replace(/:\d+$/, ""),
      url: incoming.url ?? "/",
      bodyBytes,
      timeoutMs: req.metadata.timeoutMs,
      hasUnknownCoding: hasUnknownCoding(incoming),
    }, options);
    if ("refusal" in admission) return refuse(req, admission.refusal);
    const { route, routes } = admission;
    const { metadata } = req;
    const timeoutMs = Math.min(
      metadata.timeoutMs ?? Infinity,
      route.timeoutMs,
    );
    const { body, getSignature } = await receive(req, {
      maxBytes: routes.config.limits.maxBodyBytes,
      timeoutMs: timeoutMs - (host.now() - req.arrivedAt),
    });
    if (isBodyFailure(body)) return refuse(req, BODY_REFUSALS[body]);
    // The daemon may have begun to stop while the body arrived.
    if (!mayTakeNow(route, metadata.timeoutMs, options)) {
      return refuse(req, "stopping");
    }
    // It may have waited for the requests before it, or for its body.
    const spentMs = host.now() - req.arrivedAt;
    if (spentMs > timeoutMs) {
      return refuse(req, "deadline_in_queue");
    }
    const waitedBeforeMs = metadata.timeoutMs === undefined
      ? 0
      : callerTimes.recordArrival(route.name, metadata.timeoutMs);
    const arrival = createIngressArrival(host, route, {
      id: req.id,
      timeoutMs: metadata.timeoutMs,
      spentMs,
      waitedBeforeMs,
      replayable: !(body instanceof Readable),
      bodyBytes: Buffer.isBuffer(body) ? body.length : bodyBytes,
      signature: getSignature,
    });
    logger.info("accepted", {
      req: metadata.id,
      route: route.name,
      service: arrival.service,
      version: routes.config.version,
      leftMs: Math.round(arrival.timeoutMs),
      statedMs: metadata.timeoutMs,
      waitedBeforeMs: waitedBeforeMs > 0
        ? Math.round(waitedBeforeMs)
        : undefined,
      bytes: arrival.bodyBytes,
    });
    await serve(req, arrival, body);
  }

  /** Resolves once the body is there or is to be streamed. */
  async function receive(
    req: CallerRequest,
    terms: Pick<BodyTerms, "maxBytes" | "timeoutMs">,
  ) {
    const { incoming } = req;
    let streamed: StreamedSignature | undefined;
    req.body = receiveBody(incoming, {
      ...terms,
      memory: options.memory,
      maxKeptBytes: MAX_BUFFERED_BODY_BYTES,
      onStreamed: (piece) => {
        streamed ??= createStreamedSignature(incoming);
        streamed.update(piece);
      },
      mayEnd: () => {
        streamed?.finish();
        const signature = streamed?.get();
        return signature === undefined || !options.isQuarantined?.(signature);
      },
    });
    const body = await req.body.content;
    const getSignature = body === null || Buffer.isBuffer(body)
      ? createSignature(incoming, body)
      : () => streamed?.get();
    return { body, getSignature };
  }

  async function serve(
    req: CallerRequest,
    arrival: Arrival,
    body: Buffer | Readable | null,
  ): Promise<void> {
    const { incoming, outgoing } = req;
    if (incoming.socket.destroyed) {
      req.body?.release();
      return logCallerGone(req);
    }
    outgoing.once("close", () => {
      if (req.isOver) return;
      callerTimes.recordUnserved(arrival.route!);
      abandon(req);
    });
    const outcome = await task.serve({
      arrival,
      fingerprint: "",
      method: incoming.method ?? "GET",
      path: incoming.url ?? "/",
      headers: dialect.createForwardHeaders(incoming.headers, options.origin),
      body,
      isCallerGone: () => hasEnded(incoming.socket),
    });
    if ("verdict" in outcome) {
      req.isOver = true;
      await writeVerdict(req, outcome.verdict, arrival);
    } else if ("response" in outcome) {
      await respond(req, arrival, outcome.response);
    } else {
      const { status, headers = {}, body } = outcome.replay;
      await respond(req, arrival, {
        status,
        headers: { ...headers } as IncomingHttpHeaders,
        body: Readable.from([Buffer.from(body, "base64")]),
      });
    }
  }

  /** The connection closed before the answer was written whole. */
  function abandon(req: CallerRequest): void {
    req.isOver = true;
    logger.info("caller_gone", { req: getCallerId(req.id) });
    task.abandon(req.id);
    req.body?.release();
    req.response?.destroy();
  }

  /** Writes a response once it is its turn on the connection. */
  async function respond(
    req: CallerRequest,
    arrival: Arrival,
    response: StreamedResponse,
  ): Promise<void> {
    const { place, id } = req;
    if (response.bytes === undefined) req.response = response.body;
    const tookMs = host.now() - req.arrivedAt;
    options.onResponse(arrival, tookMs);
    if (response.status >= FIRST_FAILURE_STATUS) {
      callerTimes.recordUnserved(arrival.route!);
    }
    logger.info("answered", {
      req: req.metadata.id,
      service: arrival.service,
      status: response.status,
      tookMs: Math.round(tookMs),
    });
    const isAlone = place.isFirst() && place.isNewest();
    const ready = isAlone && statesItsEnd(req.incoming, response)
      ? response
      : await shared.prepare(place, response);
    if (req.isOver) return;
    if (!(ready instanceof Error)) return writeResponse(req, arrival, ready);
    logCut(req, ready);
    req.isOver = true;
    task.complete(id);
    await writeVerdict(req, {
      execution: Execution.MayHaveRun,
      diagnostic: Diagnostics.answer_cut_short,
    }, arrival);
  }

  function writeResponse(
    req: CallerRequest,
    arrival: Arrival,
    response: StreamedResponse,
  ): void {
    const { outgoing, incoming, id } = req;
    const { status, bytes } = response;
    const { headers } = response;
    if (statesItsEnd(incoming, response)) req.place.prepareHead();
    else req.place.delimitByClose(response.body);
    if (bytes === undefined) req.response = response.body;
    if (!response.isComplete) req.place.holdOthers();
    outgoing.writeHead(status, dialect.createResponseHeaders(headers));
    if (bytes !== undefined) {
      return sendBytes(bytes, outgoing, (error) => end(error, bytes.length));
    }
    const { body } = response;
    const getSize = measureBody(response);
    if (Number(headers["content-length"] ?? Infinity) > MAX_SENT_AT_ONCE) {
      outgoing.setTimeout(
        STALLED_CALLER_MS,
        () => req.place.cut("caller_stalled"),
      );
    }
    streamBody(
      body,
      outgoing,
      (error) => end(error, error === undefined ? getSize() : 0),
    );

    function end(error: Error | undefined, bodyBytes: number): void {
      if (error) logCut(req, error);
      else options.onAnswered?.(arrival, host.now() - req.arrivedAt);
      if (req.isOver) return;
      req.isOver = true;
      if (error) req.place.cut("answer_cut");
      req.body?.release();
      const isWhole = error === undefined && incoming.method !== "HEAD" &&
        status < FIRST_UNSUCCESSFUL_STATUS;
      task.complete(id, isWhole ? bodyBytes : undefined);
    }
  }

  function refuse(
    req: CallerRequest,
    name: DiagnosticName,
  ): Promise<void> {
    counters.add(`refused_${name}`);
    return writeVerdict(req, createRefusal(name));
  }

  async function writeVerdict(
    req: CallerRequest,
    verdict: Verdict,
    arrival?: Arrival,
  ): Promise<void> {
    const { outgoing, incoming, metadata } = req;
    req.body?.release();
    const tookMs = host.now() - req.arrivedAt;
    if (arrival?.route !== undefined) callerTimes.recordUnserved(arrival.route);
    if (arrival !== undefined && verdict.execution !== Execution.NotRun) {
      options.onAnswered?.(arrival, tookMs);
    }
    const stated = addReturn(verdict, options);
    const isTimed = arrival !== undefined || stated.retryAfterMs !== undefined;
    const timeoutMs = arrival?.timeoutMs ?? metadata.timeoutMs ?? Infinity;
    const sent = isTimed ? { arrival: { timeoutMs }, tookMs } : undefined;
    const retryAfterMs = computeRetryAfter(host, stated, sent);
    logger.info("refused", {
      req: metadata.id,
      service: arrival?.service,
      execution: verdict.execution,
      reason: verdict.diagnostic.reason,
      tookMs: Math.round(tookMs),
      retryAfterMs,
      // Leads to the lines about the upstreams that ended.
      signature: verdict.diagnostic === Diagnostics.request_quarantined
        ? arrival?.signature?.()
        : undefined,
    });
    if (!req.place.isFirst()) await req.place.whenFirst();
    if (outgoing.destroyed) return;
    const { status, headers } = dialect.createVerdictHead(
      { ...verdict, ...(retryAfterMs !== undefined && { retryAfterMs }) },
      metadata.id,
    );
    const isUnread = hasBody(incoming) && !incoming.complete;
    req.place.prepareHead(isUnread);
    outgoing.writeHead(status, { ...headers, "content-length": "0" });
    outgoing.end();
    if (isUnread) incoming.resume();
  }

  function logCut(req: CallerRequest, error: Error): void {
    counters.add("answer_cut_short");
    logger.warn("answer_cut_short", {
      req: req.metadata.id,
      message: error.message,
    });
  }

  function logCallerGone(req: CallerRequest): void {
    counters.add("caller_gone_early");
    logger.info("caller_gone", { req: req.metadata.id });
  }

  function logRequestCutOff(req: CallerRequest, error: Error): void {
    counters.add("request_cut_off");
    logger.debug("request_cut_off", {
      req: req.metadata.id,
      message: error.message,
    });
  }
}

/** Returns a function that tells the size of the body once it has ended, in bytes. */
function measureBody({ headers, body }: StreamedResponse): () => number {
  const stated = headers["content-length"];
  if (stated !== undefined) return () => Number(stated);
  let size = 0;
  body.on("data", (chunk: Buffer) => size += chunk.length);
  return () => size;
}

function getCallerId(id: string): string {
  return id.slice(id.indexOf(":") + 1);
}
