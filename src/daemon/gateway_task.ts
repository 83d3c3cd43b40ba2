/**
 * Runs the gateway: carries out its actions over links to the guards and
 * reports the outcome of each action back to it.
 */

import type { Buffer } from "node:buffer";
import { EventEmitter } from "node:events";
import type { Readable } from "node:stream";
import { createGateway } from "../core/gateway.ts";
import type { ExtraEnd, ExtraStart } from "../core/extra_types.ts";
import type { Gateway, GatewayOptions } from "../core/gateway_types.ts";
import {
  type Arrival,
  type CoreHost,
  Execution,
  type GatewayAction,
  GatewayActionKind,
  type GatewayMessage,
  GatewayMessageKind,
  type HostId,
  type KeptResponse,
  type Millis,
  type OfKind,
  type RequestHead,
  type Ticket,
  type Verdict,
} from "../core/types.ts";
import {
  type ForwardRequest,
  type GetLink,
  type GuardReply,
  ReplyKind,
  type StreamedResponse,
} from "../link/types.ts";
import { Header } from "../link/wire.ts";
import { watchAnswer } from "./answer_watch.ts";
import type { Clock } from "./clock.ts";
import { OpenPhase, type OpenRequest } from "./graceful_stop.ts";
import { logHandlerFailure, runHandler } from "./handler_failure.ts";
import type { LogFields, Logger } from "./logger.ts";
import { createWaker } from "./waker.ts";

/** A request as the callers' server passes it on. */
export interface GatewayRequest {
  readonly arrival: Arrival;
  readonly fingerprint: string;
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  readonly headers: Record<string, string | string[]>;
  readonly body: Readable | Buffer | null;
  /** True if the caller's connection has ended, which may show before `abandon` is called. */
  isCallerGone?(): boolean;
}

/** What a caller gets: a response to stream, a kept response, or a verdict. */
export type GatewayOutcome =
  | { readonly response: StreamedResponse; readonly key?: string }
  | { readonly replay: KeptResponse; readonly key?: string }
  | { readonly verdict: Verdict; readonly key?: string };

/** Timing of a request that got a response, up to the head of the response. */
export interface Delivery {
  readonly route: string | undefined;
  /** The host that sent the response. */
  readonly host: HostId;
  /** From arrival to the start of the attempt that got the response, in ms. */
  readonly placingMs: Millis;
  /** From the start of the attempt to the head of its response, in ms. */
  readonly attemptMs: Millis;
}

/** Settings of the task. */
export interface GatewayTaskOptions {
  readonly gateway: GatewayOptions;
  readonly host: CoreHost;
  readonly getLink: GetLink;
  readonly logger: Logger;
  /** Called for a timer that fires 50 ms or more too late; with that time in ms. */
  onLate?(lateMs: Millis): void;
  /** Awaited before a request is sent to another host's guard, so that a close that arrived with it is known. */
  waitForSockets?(): Promise<void>;
  /** Called for each response that is delivered to a caller. */
  onDelivered?(delivery: Delivery): void;
  /** Called when an extra attempt has ended. */
  onExtraEnded?(end: ExtraEnd): void;
  /** True forwards callers' headers unchanged, for upstreams with their own protocol. */
  readonly isTransparent?: boolean;
}

/** Runs a gateway until it is closed. */
export interface GatewayTask {
  readonly gateway: Gateway;
  /** Resolves to the outcome of a request; never rejects. */
  serve(request: GatewayRequest): Promise<GatewayOutcome>;
  /**
   * Reports that writing the response to the caller has ended; with the size of
   * its body in bytes if it is a success that was written whole.
   */
  complete(id: string, responseBytes?: number): void;
  /** Reports that the caller has disconnected; open attempts are cancelled. */
  abandon(id: string): void;
  /** Requests that `complete` or `abandon` has not ended. */
  getOpen(): readonly OpenRequest[];
  /** Ends open requests with a verdict, as the process is about to exit; none whose response is being delivered. */
  endAll(): void;
  close(): void;
}

/** Input and output of one attempt. */
interface AttemptIo {
  readonly signal: EventEmitter;
  readonly host: HostId;
  readonly startedAt: Millis;
  isCancelled?: boolean;
  key?: string;
  response?: StreamedResponse;
  replay?: KeptResponse;
}

/** A caller's request in progress and its attempts by number. */
interface Exchange {
  readonly request: GatewayRequest;
  readonly attempts: Map<number, AttemptIo>;
  readonly arrivedAt: Millis;
  readonly deadline: Millis;
  /** True once its response is passed on. */
  isDelivering?: boolean;
  resolve(outcome: GatewayOutcome): void;
}

type ActionHandlers = {
  [K in GatewayActionKind]: (action: OfKind<GatewayAction, K>) => void;
};

/** Creates a gateway and the task that runs it. */
export function createGatewayTask(
  clock: Clock,
  options: GatewayTaskOptions,
): GatewayTask {
  const { getLink, logger } = options;
  const { extraWork } = options.gateway;
  const gateway = createGateway(options.host, {
    ...options.gateway,
    ...(extraWork && {
      extraWork: {
        ...extraWork,
        onStarted: logExtraStart,
        onEnded: logExtraEnd,
      },
    }),
  });
  const exchanges = new Map<string, Exchange>();
  const waker = createWaker(clock, {
    getNextWake: gateway.getNextWake,
    tick: () => dispatch({ kind: GatewayMessageKind.Tick }),
    onLate: options.onLate,
  });
  const handlers: ActionHandlers = {
    [GatewayActionKind.Reserve]: (action) => exchangeWith(reserve, action),
    [GatewayActionKind.Submit]: (action) => exchangeWith(submit, action),
    [GatewayActionKind.Run]: (action) => exchangeWith(run, action),
    [GatewayActionKind.Settle]: (action) => exchangeWith(settle, action),
    [GatewayActionKind.Release]: release,
    [GatewayActionKind.Cancel]: ({ id, attempt }) => {
      const io = exchanges.get(id)?.attempts.get(attempt);
      if (io === undefined) return;
      io.isCancelled = true;
      io.signal.emit("abort");
    },
    [GatewayActionKind.Deliver]: deliver,
    [GatewayActionKind.Finish]: finish,
  };
  return {
    gateway,
    serve,
    complete: (id, responseBytes) =>
      endExchange(id, {
        kind: GatewayMessageKind.Completed,
        id,
        ...(responseBytes !== undefined && { responseBytes }),
      }),
    abandon: (id) =>
      endExchange(id, { kind: GatewayMessageKind.CallerGone, id }),
    getOpen,
    endAll: () => dispatch({ kind: GatewayMessageKind.Stopping }),
    close: waker.close,
  };

  function dispatch(msg: GatewayMessage): void {
    for (const action of gateway.handle(msg)) {
      logAction(action);
      (handlers[action.kind] as (a: GatewayAction) => void)(action);
    }
    waker.update();
  }

  /** Starts an exchange with a guard; one that throws counts as failed, and its request as in doubt. */
  function exchangeWith<A extends { id: string; attempt: number }>(
    send: (action: A) => Promise<void>,
    action: A,
  ): void {
    const { id, attempt } = action;
    void runHandler(() => send(action), (error) => {
      const req = getCallerId(id);
      logHandlerFailure(logger, error, { handler: "gateway", req });
      reportLinkFailure(id, attempt, true);
    });
  }

  /** Logs each action that addresses a host. */
  function logAction(action: GatewayAction): void {
    if (!("to" in action)) return;
    const { kind, id, attempt, to } = action;
    const isSend = kind === GatewayActionKind.Reserve ||
      kind === GatewayActionKind.Submit;
    logger.info(isSend ? "placed" : `attempt_${kind}`, {
      req: getCallerId(id),
      attempt,
      to,
      ...(isSend && {
        mayQueue: action.mayQueue ?? true,
        ...(action.isLastChoice && { isLastChoice: true }),
        leftMs: Math.round(action.timeoutMs),
        ...describeLoad(to),
      }),
    });
  }

  function logExtraStart(start: ExtraStart): void {
    logger.info("extra_attempt", {
      req: getCallerId(start.id),
      to: start.to,
      cause: start.cause,
      evidenceAgeMs: Math.round(start.evidenceAgeMs),
      afterMs: Math.round(start.afterMs),
    });
  }

  function logExtraEnd(end: ExtraEnd): void {
    logger.info("extra_attempt_ended", {
      req: getCallerId(end.id),
      cause: end.cause,
      hasWon: end.hasWon,
      wastedMs: Math.round(end.wastedMs),
      ...(end.savedMs !== undefined && { savedMs: Math.round(end.savedMs) }),
    });
    options.onExtraEnded?.(end);
  }

  /** The load report behind the choice of a host, and its age. */
  function describeLoad(to: HostId): LogFields {
    const { report, reportedAt } = gateway.getLoad(to);
    return report === undefined ? {} : {
      ageMs: Math.round(clock.now() - reportedAt),
      inFlight: report.inFlight,
      queued: report.queued,
      slowdown: report.slowdown,
      startsInMs: report.startsInMs,
    };
  }

  function serve(request: GatewayRequest): Promise<GatewayOutcome> {
    const { arrival } = request;
    return new Promise((resolve) => {
      const arrivedAt = clock.now();
      exchanges.set(arrival.id, {
        request,
        attempts: new Map(),
        arrivedAt,
        deadline: arrivedAt + arrival.timeoutMs,
        resolve,
      });
      dispatch({ kind: GatewayMessageKind.Arrived, arrival });
    });
  }

  function endExchange(id: string, msg: GatewayMessage): void {
    dispatch(msg);
    exchanges.delete(id);
  }

  function getOpen(): OpenRequest[] {
    return [...exchanges].map(([id, exchange]) => {
      const { attempts, arrivedAt, request, isDelivering } = exchange;
      const at = attempts.get(attempts.size)?.host;
      return {
        req: getCallerId(id),
        route: request.arrival.route,
        phase: isDelivering
          ? OpenPhase.Response
          : at === undefined
          ? OpenPhase.Placing
          : OpenPhase.AtHost,
        at,
        ageMs: clock.now() - arrivedAt,
      };
    });
  }

  async function reserve(
    action: OfKind<GatewayAction, GatewayActionKind.Reserve>,
  ): Promise<void> {
    const { id, attempt, to } = action;
    const exchange = open(action);
    const link = getLink(to);
    if (link === undefined) return reportLinkFailure(id, attempt, false);
    const ticket = gateway.getTicket(id, attempt);
    const head = createHead(exchange.request, action);
    const reply = await link.reserve(ticket, head);
    if (reply.kind !== ReplyKind.Granted) return onReply(id, attempt, reply);
    const { grant, key } = reply;
    dispatch({ kind: GatewayMessageKind.Granted, id, attempt, grant, key });
    if (!isRunSent(id, attempt)) link.release(ticket);
  }

  function isRunSent(id: string, attempt: number): boolean {
    return exchanges.get(id)?.attempts.get(attempt)?.key !== undefined;
  }

  async function run(
    action: OfKind<GatewayAction, GatewayActionKind.Run>,
  ): Promise<void> {
    const { id, attempt, to, grant } = action;
    const exchange = exchanges.get(id)!;
    const io = exchange.attempts.get(attempt)!;
    io.key = action.key;
    const link = getLink(to);
    if (link === undefined) return reportLinkFailure(id, attempt, false);
    const ticket = gateway.getTicket(id, attempt);
    const isWanted = isStillWanted(exchange, action);
    if (isWanted && !(await isWanted)) return link.release(ticket);
    const forward = createForward(exchange, io);
    onReply(id, attempt, await link.run(ticket, grant, { forward }));
  }

  async function submit(
    action: OfKind<GatewayAction, GatewayActionKind.Submit>,
  ): Promise<void> {
    const { id, attempt, to } = action;
    const exchange = open(action);
    const link = getLink(to);
    if (link === undefined) return reportLinkFailure(id, attempt, false);
    const isWanted = isStillWanted(exchange, action);
    if (isWanted && !(await isWanted)) return;
    const head = createHead(exchange.request, {
      ...action,
      timeoutMs: Math.max(0, exchange.deadline - clock.now()),
    });
    const forward = createForward(exchange, exchange.attempts.get(attempt)!);
    const ticket = gateway.getTicket(id, attempt);
    const onAccepted = () =>
      dispatch({ kind: GatewayMessageKind.Accepted, id, attempt });
    onReply(
      id,
      attempt,
      await link.submit(ticket, head, { forward, onAccepted }),
    );
  }

  /**
   * Resolves to whether an attempt is to be sent once the sockets were read;
   * otherwise its caller has left or its time has passed, and the gateway ends
   * it. Undefined for the local guard, whose task does the same.
   */
  function isStillWanted(
    exchange: Exchange,
    { attempt, to }: { attempt: number; to: HostId },
  ): Promise<boolean> | undefined {
    if (to === options.gateway.self) return undefined;
    return options.waitForSockets?.().then(() =>
      exchange.attempts.get(attempt)?.isCancelled !== true &&
      exchange.request.isCallerGone?.() !== true &&
      clock.now() < exchange.deadline
    );
  }

  async function settle(
    action: OfKind<GatewayAction, GatewayActionKind.Settle>,
  ): Promise<void> {
    const { id, attempt, to, key } = action;
    const account = exchanges.get(id)!.request.arrival.account;
    const link = getLink(to);
    const ticket = `${gateway.getTicket(id, attempt)}/settle-${clock.now()}`;
    const reply = await link?.settle(ticket, { account, key });
    if (reply?.kind === ReplyKind.Replay) return onReply(id, attempt, reply);
    const verdict = reply?.kind === ReplyKind.Refused
      ? reply.verdict
      : undefined;
    if (verdict !== undefined) link?.replaceConnections();
    dispatch({ kind: GatewayMessageKind.Settled, id, attempt, verdict });
  }

  function release(
    action: OfKind<GatewayAction, GatewayActionKind.Release>,
  ): void {
    const link = getLink(action.to);
    if (action.isUnresponsive) link?.replaceConnections();
    link?.release(gateway.getTicket(action.id, action.attempt));
  }

  /** Passes the guard's reply to an attempt on to the gateway. */
  function onReply(id: string, attempt: number, reply: GuardReply): void {
    switch (reply.kind) {
      case ReplyKind.Failed:
        logLinkFailure(id, attempt, reply);
        return reportLinkFailure(id, attempt, reply.mayHaveArrived);
      case ReplyKind.Refused:
        return dispatch({
          kind: GatewayMessageKind.Refused,
          id,
          attempt,
          verdict: reply.verdict,
          ...(reply.grant !== undefined && { grant: reply.grant }),
        });
      case ReplyKind.Replay:
        return onResponse(id, attempt, {
          ticket: reply.ticket,
          replay: reply.response,
        });
      case ReplyKind.Response:
        return onResponse(id, attempt, {
          ticket: reply.ticket,
          response: reply.response,
        });
      case ReplyKind.Granted:
        return reportLinkFailure(id, attempt, true);
    }
  }

  /** The links of attempts that were cancelled fail as a rule. */
  function logLinkFailure(
    id: string,
    attempt: number,
    { message, mayHaveArrived }: OfKind<GuardReply, ReplyKind.Failed>,
  ): void {
    const known = exchanges.get(id)?.attempts.get(attempt);
    const isAwaited = known !== undefined && known.isCancelled !== true;
    const fields = {
      req: getCallerId(id),
      attempt,
      to: known?.host,
      execution: mayHaveArrived ? Execution.MayHaveRun : Execution.NotRun,
      message,
    };
    if (isAwaited) logger.info("link_failed", fields);
    else logger.debug("link_failed", fields);
  }

  function onResponse(
    id: string,
    attempt: number,
    content: {
      ticket: Ticket;
      response?: StreamedResponse;
      replay?: KeptResponse;
    },
  ): void {
    const { ticket, ...io } = content;
    const known = exchanges.get(id)?.attempts.get(attempt);
    if (known !== undefined) Object.assign(known, io);
    const status = (io.response ?? io.replay)!.status;
    dispatch({
      kind: GatewayMessageKind.ResponseReceived,
      id,
      attempt,
      ticket,
      status,
    });
    const isDelivered = known !== undefined && known.response === undefined;
    if (!isDelivered) discardBody(io.response);
  }

  function reportLinkFailure(
    id: string,
    attempt: number,
    mayHaveArrived: boolean,
  ): void {
    dispatch({
      kind: GatewayMessageKind.LinkFailed,
      id,
      attempt,
      mayHaveArrived,
    });
  }

  function deliver(
    action: OfKind<GatewayAction, GatewayActionKind.Deliver>,
  ): void {
    const exchange = exchanges.get(action.id)!;
    const io = exchange.attempts.get(action.attempt)!;
    const key = io.key === undefined ? {} : { key: io.key };
    const { response, replay } = io;
    options.onDelivered?.({
      route: exchange.request.arrival.route,
      host: io.host,
      placingMs: io.startedAt - exchange.arrivedAt,
      attemptMs: clock.now() - io.startedAt,
    });
    delete io.response;
    exchange.isDelivering = true;
    if (response !== undefined && response.bytes === undefined) {
      watch(exchange, response, io.host);
    }
    if (response !== undefined) exchange.resolve({ response, ...key });
    else exchange.resolve({ replay: replay!, ...key });
  }

  /** From its head on the gateway has no time for the request. */
  function watch(
    { request, deadline }: Exchange,
    { body }: StreamedResponse,
    from: HostId,
  ): void {
    watchAnswer({
      clock,
      body,
      deadline,
      onSilent: (silentMs) => {
        gateway.counters.add("answer_silent");
        logger.warn("answer_silent", {
          req: getCallerId(request.arrival.id),
          from,
          silentMs: Math.round(silentMs),
        });
      },
    });
  }

  function finish(
    action: OfKind<GatewayAction, GatewayActionKind.Finish>,
  ): void {
    const exchange = exchanges.get(action.id);
    exchanges.delete(action.id);
    const last = exchange?.attempts.get(exchange.attempts.size);
    const key = last?.key === undefined ? {} : { key: last.key };
    exchange?.resolve({ verdict: action.verdict, ...key });
  }

  function open({ id, attempt, to }: SendAction): Exchange {
    const exchange = exchanges.get(id)!;
    exchange.attempts.set(attempt, {
      signal: new EventEmitter(),
      host: to,
      startedAt: clock.now(),
    });
    return exchange;
  }

  function createForward(exchange: Exchange, io: AttemptIo): ForwardRequest {
    const { request } = exchange;
    const leftMs = Math.max(1, Math.floor(exchange.deadline - clock.now()));
    const retriesLeft = request.arrival.retriesLeft -
      Math.max(0, exchange.attempts.size - 1);
    return {
      method: request.method,
      path: request.path,
      headers: options.isTransparent ? request.headers : {
        ...request.headers,
        [Header.RequestId]: request.arrival.id,
        [Header.TimeoutMs]: String(leftMs),
        [Header.RetriesLeft]: String(Math.max(0, retriesLeft)),
        ...(io.key !== undefined && { [Header.Key]: io.key }),
      },
      body: request.body,
      signal: io.signal,
      ...(request.isCallerGone && { isSenderGone: request.isCallerGone }),
    };
  }
}

type SendAction = OfKind<
  GatewayAction,
  GatewayActionKind.Reserve | GatewayActionKind.Submit
>;

function createHead(request: GatewayRequest, action: SendAction): RequestHead {
  const { account, service, repeatability, key, priority, route, isReturned } =
    request.arrival;
  const { timeoutMs, mayQueue, maxWaitMs, isLastChoice } = action;
  const { instance, limitPerS, bornAt } = action;
  const spentMs = request.arrival.timeoutMs - timeoutMs;
  const objectiveMs = request.arrival.objectiveMs;
  return {
    account,
    service,
    repeatability,
    ...(key !== undefined && { key }),
    fingerprint: request.fingerprint,
    // Whole milliseconds keep the head short.
    timeoutMs: Math.floor(timeoutMs),
    ...(objectiveMs !== undefined &&
      { objectiveMs: Math.floor(objectiveMs - spentMs) }),
    ...(priority !== undefined && { priority }),
    ...(route !== undefined && { route }),
    ...(mayQueue !== undefined && { mayQueue }),
    ...(maxWaitMs !== undefined && { maxWaitMs }),
    ...(isLastChoice && { isLastChoice }),
    ...(isReturned && { isReturned }),
    ...(instance !== undefined && { instance }),
    ...(limitPerS !== undefined && { limitPerS }),
    ...(bornAt !== undefined && { bornAt }),
  };
}

/** The caller's id of an attempt, from a request's id. */
function getCallerId(id: string): string {
  return id.slice(id.indexOf(":") + 1);
}

function discardBody(response: StreamedResponse | undefined): void {
  if (response === undefined || response.bytes !== undefined) return;
  response.body.on("error", () => {});
  response.body.destroy();
}
