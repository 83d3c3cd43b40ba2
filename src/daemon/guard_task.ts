/**
 * Runs the guard of the local upstream and owns the connections to that
 * upstream. The local gateway uses the task as its link; other daemons reach it
 * through the peer server.
 */

import { Buffer } from "node:buffer";
import { EventEmitter } from "node:events";
import { PassThrough, type Readable } from "node:stream";
import { createGuard } from "../core/guard.ts";
import type { Guard, GuardOptions } from "../core/guard_types.ts";
import {
  type CoreHost,
  Execution,
  type GuardAction,
  GuardActionKind,
  type GuardMessage,
  GuardMessageKind,
  type KeptResponse,
  type Millis,
  type NoticeSource,
  type OfKind,
  Repeatability,
  type RequestHead,
  type ResponseNotice,
  type Ticket,
  type Verdict,
} from "../core/types.ts";
import { type Diagnostic, Diagnostics } from "../core/diagnostics.ts";
import { FIRST_FAILURE_STATUS } from "../core/retry_policy.ts";
import {
  type ForwardRequest,
  type GuardLink,
  type GuardReply,
  ReplyKind,
  type StreamedResponse,
} from "../link/types.ts";
import { getForwardHeaders, getHeader } from "../link/http_headers.ts";
import { ResponseCutError } from "../upstream/response_errors.ts";
import type {
  UpstreamClient,
  UpstreamFailure,
} from "../upstream/upstream_client.ts";
import type { UpstreamStart } from "../core/upstream_start.ts";
import type { Clock } from "./clock.ts";
import { OpenPhase, type OpenRequest } from "./graceful_stop.ts";
import { logHandlerFailure, runHandler } from "./handler_failure.ts";
import type { Logger } from "./logger.ts";
import type { UpstreamEnds } from "./upstream_ends.ts";
import { createWaker } from "./waker.ts";

/** Largest response body that is stored with an idempotency key, in bytes. */
const MAX_KEPT_RESPONSE_BYTES = 16_384;
const DRAIN_POLL_MS = 20;
/** Time before the end of that of a run that was given up at which the upstream is looked at, in ms. */
const LINGERING_CHECK_MS = 200;

/** Settings of the task. */
export interface GuardTaskOptions {
  readonly guard: GuardOptions;
  readonly host: CoreHost;
  readonly upstream: UpstreamClient;
  readonly logger: Logger;
  /** Called for a timer that fires 50 ms or more too late; with that time in ms. */
  onLate?(lateMs: Millis): void;
  /** Awaited before admission of a request that may start, to update the upstream's load. */
  readonly beforeAdmission?: BeforeAdmission;
  /** Awaited before a grant is used, if a reading of the upstream is due; undefined if none is. */
  beforeRun?(): Promise<void> | undefined;
  /** Awaited before a request is passed on to the upstream, so that a close that arrived with it is known. */
  waitForSockets?(): Promise<void>;
  /** Tells ends of the upstream from lost responses; without it, none is recognized. */
  readonly ends?: UpstreamEnds;
  /** Called after each message to the guard. */
  afterMessage?(): void;
  /** Called for each response of the upstream. */
  onUpstreamResponse?(timing: UpstreamTiming): void;
}

/** What came of the time that a request was in a slot of the upstream. */
export enum SlotUse {
  InTime = "in-time",
  /** The response came after the request's objective. */
  Late = "late",
  Failed = "failed",
}

/** Timing of a request at this host. */
export interface UpstreamTiming {
  readonly route: string | undefined;
  /** True for a caller that had come back, as far as its daemon could tell. */
  readonly isReturned: boolean;
  readonly use: SlotUse;
  /** From the guard's receipt of the request to its start, in ms. */
  readonly waitedMs: Millis;
  /** From its start to the upstream's response, in ms. */
  readonly tookMs: Millis;
}

/** Resolves when admission of a request may be decided. */
export type BeforeAdmission = () => Promise<void>;

/** Runs a guard until it is closed. */
export interface GuardTask extends GuardLink {
  readonly guard: Guard;
  /** Starts queued requests that may start now. */
  wake(): void;
  /** Records what a response states about the upstream itself. */
  recordNotice(notice: ResponseNotice, source: NoticeSource): void;
  /** Records that the list names another start of the upstream. */
  recordListed(start: UpstreamStart): void;
  /** Records that the upstream refuses connections. */
  recordEnded(): void;
  /** Requests that wait for the upstream or its response, or whose response isn't passed on whole. */
  getOpen(): readonly OpenRequest[];
  /**
   * Refuses new requests, except as the last choice those that end before
   * `stopsAt` (ms by the core's clock); resolves once none is open.
   */
  drain(stopsAt?: Millis): Promise<void>;
}

/** An attempt that the guard has not finished. */
interface TicketState {
  resolve: ((reply: GuardReply) => void) | undefined;
  head?: RequestHead;
  receivedAt?: Millis;
  /** Time by the task's clock at which the request times out, in ms. */
  deadline?: Millis;
  forward?: ForwardRequest;
  /** True once the sender has cancelled the request to forward. */
  isAborted?: boolean;
  signal?: EventEmitter;
}

/** A failure, and the time from the start of the request until then if it was passed on, in ms. */
type AttemptFailure = UpstreamFailure & { readonly tookMs?: Millis };

type ActionHandlers = {
  [K in GuardActionKind]: (action: OfKind<GuardAction, K>) => void;
};

/** Creates a guard and the task that runs it. */
export function createGuardTask(
  clock: Clock,
  options: GuardTaskOptions,
): GuardTask {
  const { upstream, logger } = options;
  const guard = createGuard(options.host, options.guard);
  const tickets = new Map<Ticket, TicketState>();
  /** When a request was last passed on to the upstream, in ms. */
  let lastSentAt: Millis = -Infinity;
  /** When it last answered one, in ms. */
  let lastAnsweredAt: Millis = -Infinity;
  let lingeringCheck: NodeJS.Timeout | undefined;
  const waker = createWaker(clock, {
    getNextWake: guard.getNextWake,
    tick: () => dispatch({ kind: GuardMessageKind.Tick }),
    onLate: options.onLate,
  });
  const handlers: ActionHandlers = {
    [GuardActionKind.Grant]: ({ ticket, grant, key }) => {
      sendReply(ticket, { kind: ReplyKind.Granted, grant, key });
    },
    [GuardActionKind.Refuse]: ({ kind: _, ticket, ...refusal }) => {
      logRefusal(ticket, refusal.verdict);
      sendReply(ticket, { kind: ReplyKind.Refused, ...refusal });
      tickets.delete(ticket);
    },
    [GuardActionKind.Replay]: ({ ticket, response }) => {
      sendReply(ticket, { kind: ReplyKind.Replay, ticket, response });
      tickets.delete(ticket);
    },
    [GuardActionKind.Start]: ({ ticket }) =>
      void runHandler(
        () => startUpstream(ticket),
        (error) => failStart(ticket, error),
      ),
    [GuardActionKind.CancelUpstream]: ({ ticket }) => {
      tickets.get(ticket)?.signal?.emit("abort");
    },
  };
  return {
    guard,
    reserve,
    run,
    submit,
    release,
    settle,
    issueKeys: (account, count) =>
      Promise.resolve(guard.issueKeys(account, count)),
    replaceConnections: () => {},
    probe: () => Promise.resolve(0),
    wake: () => dispatch({ kind: GuardMessageKind.Tick }),
    recordNotice,
    recordListed: (start) => {
      dispatch({ kind: GuardMessageKind.UpstreamListed, start });
      const { instance } = start;
      if (options.ends === undefined || !guard.hasLingering(instance)) return;
      recordEnd(options.ends.recordEnd(lastSentAt), instance);
    },
    recordEnded: () => {
      dispatch({ kind: GuardMessageKind.UpstreamEnded });
      checkLingering();
    },
    getOpen,
    drain,
    close,
  };

  /** Logs the statements if they change what is known. */
  function recordNotice(notice: ResponseNotice, source: NoticeSource): void {
    const before = guard.getNotice();
    dispatch({ kind: GuardMessageKind.Noticed, notice, source });
    const known = guard.getNotice();
    const isChanged = known?.limitPerS !== before?.limitPerS ||
      known?.isLeaving !== before?.isLeaving;
    if (!isChanged) return;
    logger.info("upstream_noticed", {
      instance: source.instance,
      limitPerS: known?.limitPerS,
      isLeaving: known?.isLeaving ?? false,
    });
  }

  function logRefusal(ticket: Ticket, verdict: Verdict): void {
    const { inFlight, queued, slowdown, slots } = guard.getReport();
    logger.info("guard_refused", {
      req: getRequestId(ticket),
      ticket,
      reason: verdict.diagnostic.reason,
      execution: verdict.execution,
      inFlight,
      queued,
      slots,
      slowdown,
      limitPerS: guard.getNotice()?.limitPerS,
    });
  }

  function dispatch(msg: GuardMessage): void {
    for (const action of guard.handle(msg)) {
      (handlers[action.kind] as (a: GuardAction) => void)(action);
    }
    waker.update();
    options.afterMessage?.();
  }

  async function reserve(
    ticket: Ticket,
    head: RequestHead,
  ): Promise<GuardReply> {
    await prepareAdmission(head);
    return request(ticket, { kind: GuardMessageKind.Reserve, ticket, head });
  }

  /** A reading of the upstream costs it a health check; one that changes no decision is not made. */
  async function prepareAdmission(head: RequestHead): Promise<void> {
    if (guard.mayStart(head)) await options.beforeAdmission?.();
  }

  function run(
    ticket: Ticket,
    grant: string,
    { forward }: { forward: ForwardRequest },
  ): Promise<GuardReply> {
    const state = openTicket(ticket, forward);
    if (state === undefined) {
      return Promise.resolve({ ...createGrantUsedReply(), grant });
    }
    const use = () =>
      request(ticket, { kind: GuardMessageKind.Run, ticket, grant });
    return options.beforeRun?.()?.then(use) ?? use();
  }

  async function submit(
    ticket: Ticket,
    head: RequestHead,
    { forward, onAccepted }: {
      forward: ForwardRequest;
      onAccepted?: () => void;
    },
  ): Promise<GuardReply> {
    const state = openTicket(ticket, forward);
    if (state === undefined) return createGrantUsedReply();
    await prepareAdmission(head);
    // The guard doesn't know the ticket yet, so that a cancel means nothing to it.
    if (state.isAborted) {
      tickets.delete(ticket);
      return createRefusal(Execution.NotRun, Diagnostics.cancelled);
    }
    const reply = request(ticket, {
      kind: GuardMessageKind.Submit,
      ticket,
      head,
    });
    if (state.resolve !== undefined) onAccepted?.();
    return await reply;
  }

  function release(ticket: Ticket): void {
    dispatch({ kind: GuardMessageKind.Release, ticket });
    sendReply(ticket, createRefusal(Execution.NotRun, Diagnostics.cancelled));
    tickets.delete(ticket);
  }

  function settle(
    ticket: Ticket,
    query: { account: string; key: string },
  ): Promise<GuardReply> {
    return request(ticket, { kind: GuardMessageKind.Settle, ticket, ...query });
  }

  /** Passes a message to the guard; resolves to the reply for its ticket. */
  function request(ticket: Ticket, msg: GuardMessage): Promise<GuardReply> {
    const state = tickets.get(ticket) ?? { resolve: undefined };
    tickets.set(ticket, state);
    if ("head" in msg) {
      state.head = msg.head;
      state.receivedAt = clock.now();
      state.deadline = clock.now() + msg.head.timeoutMs;
    }
    return new Promise((resolve) => {
      state.resolve = resolve;
      dispatch(msg);
    });
  }

  /** Returns false if nobody waits for a reply. */
  function sendReply(ticket: Ticket, reply: GuardReply): boolean {
    const state = tickets.get(ticket);
    if (state?.resolve === undefined) return false;
    state.resolve(reply);
    state.resolve = undefined;
    return true;
  }

  /** An unused response is read only if its outcome is recorded with a key. */
  function sendResponse(
    ticket: Ticket,
    response: StreamedResponse,
    { isRecorded }: { isRecorded: boolean },
  ): void {
    const kind = ReplyKind.Response as const;
    if (sendReply(ticket, { kind, ticket, response })) return;
    if (isRecorded) response.body.resume();
    else response.body.destroy();
  }

  /** Stores the request to forward; undefined if the ticket already has one. */
  function openTicket(
    ticket: Ticket,
    forward: ForwardRequest,
  ): TicketState | undefined {
    const state = tickets.get(ticket) ?? { resolve: undefined };
    if (state.forward !== undefined) return undefined;
    state.forward = forward;
    tickets.set(ticket, state);
    forward.signal.once("abort", () => {
      state.isAborted = true;
      dispatch({ kind: GuardMessageKind.Cancel, ticket });
    });
    return state;
  }

  async function startUpstream(ticket: Ticket): Promise<void> {
    const state = tickets.get(ticket)!;
    const signal = new EventEmitter();
    state.signal = signal;
    const forward = { ...state.forward!, signal };
    const instance = state.head?.instance;
    const isAtMostOnce = state.head?.repeatability === Repeatability.AtMostOnce;
    const startedAt = clock.now();
    const { inFlight, queued, slowdown } = guard.getReport();
    if (options.waitForSockets !== undefined) {
      await options.waitForSockets();
      const isOverdue = clock.now() >= state.deadline!;
      const isCancelled = state.isAborted || forward.isSenderGone?.();
      if (isCancelled || isOverdue) return endUnsent(ticket, { isOverdue });
    }
    const sentAt = clock.now();
    lastSentAt = sentAt;
    const result = await upstream.send(forward, {
      timeoutMs: Math.max(1, Math.floor(state.deadline! - clock.now())),
      isAtMostOnce,
      ...(instance !== undefined && { instance }),
    });
    if ("failure" in result) {
      const tookMs = clock.now() - startedAt;
      return await onLoss(ticket, { ...result.failure, tookMs }, sentAt);
    }
    lastAnsweredAt = clock.now();
    const { response } = result;
    const tookMs = clock.now() - startedAt;
    const waitedMs = startedAt - state.receivedAt!;
    const { route, isReturned = false } = state.head ?? {};
    const use = getSlotUse(state, response.status);
    options.onUpstreamResponse?.({
      route,
      isReturned,
      use,
      waitedMs,
      tookMs,
    });
    logger.info("upstream_answered", {
      req: getRequestId(ticket),
      ticket,
      status: response.status,
      route,
      use,
      isReturned: isReturned || undefined,
      tookMs: Math.round(tookMs),
      waitedMs: Math.round(waitedMs),
      slowdown,
      inFlight,
      queued,
    });
    const isRecorded = isAtMostOnce;
    if (response.bytes !== undefined) {
      sendReply(ticket, { kind: ReplyKind.Response, ticket, response });
      const kept = isRecorded
        ? createKept(response, response.bytes)
        : undefined;
      return finishResponse(ticket, response.status, kept);
    }
    const body = isAtMostOnce ? recordBody(ticket, response) : response.body;
    if (response.isComplete && !isAtMostOnce) {
      sendResponse(ticket, response, { isRecorded });
      return finishResponse(ticket, response.status);
    }
    const { status } = response;
    watchBodyEnd(ticket, response.body, { status, isRecorded });
    sendResponse(ticket, { ...response, body }, { isRecorded });
  }

  function getSlotUse(
    { head, receivedAt }: TicketState,
    status: number,
  ): SlotUse {
    if (status >= FIRST_FAILURE_STATUS) return SlotUse.Failed;
    const objectiveMs = head?.objectiveMs ?? Infinity;
    const isInTime = clock.now() - receivedAt! <= objectiveMs;
    return isInTime ? SlotUse.InTime : SlotUse.Late;
  }

  function failStart(ticket: Ticket, error: Error): void {
    const req = getRequestId(ticket);
    logHandlerFailure(logger, error, { handler: "guard", req });
    const failure = {
      execution: Execution.MayHaveRun,
      diagnostic: Diagnostics.handler_failed,
    };
    sendReply(ticket, { kind: ReplyKind.Refused, verdict: failure });
    onUpstreamFailure(ticket, { ...failure, message: error.message });
  }

  /** Ends a request that is not to be started once the sockets were read. */
  function endUnsent(
    ticket: Ticket,
    { isOverdue }: { isOverdue: boolean },
  ): void {
    onUpstreamFailure(ticket, {
      execution: Execution.NotRun,
      diagnostic: isOverdue
        ? Diagnostics.upstream_timeout
        : Diagnostics.cancelled,
      message: "its sender has left or its time has passed; not sent",
    });
  }

  async function onLoss(
    ticket: Ticket,
    failure: AttemptFailure,
    sentAt: Millis,
  ): Promise<void> {
    const end = failure.diagnostic === Diagnostics.upstream_lost
      ? await options.ends?.tryGetEnd(sentAt)
      : undefined;
    if (failure.diagnostic === Diagnostics.upstream_unreachable) {
      checkLingering();
    }
    if (end === undefined) return onUpstreamFailure(ticket, failure);
    recordEnd(end);
    const diagnostic = Diagnostics.upstream_ended;
    onUpstreamFailure(ticket, { ...failure, diagnostic }, end);
  }

  /**
   * Before the time of runs that were given up has passed, looks whether the
   * upstream has ended, unless its answers to others show that it hasn't.
   */
  function scheduleLingeringCheck(minWaitMs: Millis = 0): void {
    const until = guard.getLingeringUntil();
    if (until === undefined || lingeringCheck !== undefined) return;
    const leftMs = until - options.host.now() - LINGERING_CHECK_MS;
    lingeringCheck = setTimeout(() => {
      lingeringCheck = undefined;
      const isAlive = clock.now() - lastAnsweredAt < LINGERING_CHECK_MS;
      if (!isAlive) checkLingering();
      scheduleLingeringCheck(LINGERING_CHECK_MS);
    }, Math.max(minWaitMs, leftMs)).unref();
  }

  function checkLingering(): void {
    void runHandler(findEndOfLingering, (error) => {
      logHandlerFailure(logger, error, { handler: "guard", req: undefined });
    });
  }

  /** Runs that were given up may be all that the end interrupted. */
  async function findEndOfLingering(): Promise<void> {
    if (!guard.hasLingering()) return;
    const end = await options.ends?.tryGetEnd(lastSentAt);
    if (end !== undefined) recordEnd(end);
  }

  function recordEnd(end: string, next?: string): void {
    const before = guard.getEnds();
    dispatch({
      kind: GuardMessageKind.UpstreamEnded,
      end,
      ...(next !== undefined && { next }),
    });
    const ends = guard.getEnds();
    const interrupted = ends.find((it) => it.end === end);
    if (ends === before || interrupted === undefined) return;
    logger.info("given_up_interrupted", {
      end,
      reqs: interrupted.tickets.map(getRequestId).join(","),
    });
  }

  function onUpstreamFailure(
    ticket: Ticket,
    failure: AttemptFailure,
    end?: string,
  ): void {
    const { execution, diagnostic, message, tookMs } = failure;
    logger.info("upstream_failed", {
      req: getRequestId(ticket),
      ticket,
      execution,
      reason: diagnostic.reason,
      message,
      end,
      tookMs: tookMs === undefined ? undefined : Math.round(tookMs),
    });
    const kind = GuardMessageKind.UpstreamFailed;
    const known = end === undefined ? {} : { end };
    dispatch({ kind, ticket, execution, diagnostic, ...known });
    tickets.delete(ticket);
    if (options.ends !== undefined) scheduleLingeringCheck();
  }

  function watchBodyEnd(
    ticket: Ticket,
    body: Readable,
    { status, isRecorded }: { status: number; isRecorded: boolean },
  ): void {
    let isEnded = false;
    let error: Error | undefined;
    body.once("end", () => {
      isEnded = true;
      if (isRecorded) return;
      finishResponse(ticket, status);
    });
    body.on("error", (cause) => error ??= cause);
    body.once("close", () => {
      if (isEnded) return;
      onUpstreamFailure(ticket, {
        execution: Execution.MayHaveRun,
        ...describeCut(error),
      });
    });
  }

  function finishResponse(
    ticket: Ticket,
    status: number,
    kept?: KeptResponse,
  ): void {
    const kind = GuardMessageKind.UpstreamResponded;
    dispatch({ kind, ticket, status, ...(kept && { kept }) });
    tickets.delete(ticket);
  }

  /** Streams a body through and stores a copy of a small one with its key. */
  function recordBody(ticket: Ticket, response: StreamedResponse): Readable {
    const chunks: Buffer[] = [];
    let size = 0;
    const copy = new PassThrough({
      transform(chunk: Buffer, _encoding, done) {
        size += chunk.length;
        if (size <= MAX_KEPT_RESPONSE_BYTES) chunks.push(chunk);
        done(null, chunk);
      },
      flush(done) {
        finishResponse(ticket, response.status, getKept());
        done();
      },
    });
    response.body.on("error", (error) => copy.destroy(error));
    copy.on("close", () => response.body.destroy());
    copy.on("error", () => {});
    return response.body.pipe(copy);

    function getKept(): KeptResponse | undefined {
      return size > MAX_KEPT_RESPONSE_BYTES
        ? undefined
        : createKept(response, Buffer.concat(chunks));
    }
  }

  function getOpen(): OpenRequest[] {
    const open: OpenRequest[] = [];
    for (const [ticket, { head, receivedAt, signal, resolve }] of tickets) {
      if (receivedAt === undefined) continue;
      open.push({
        req: getRequestId(ticket),
        route: head?.route,
        phase: signal === undefined
          ? OpenPhase.Queued
          : resolve === undefined
          ? OpenPhase.Response
          : OpenPhase.Running,
        ageMs: clock.now() - receivedAt,
      });
    }
    return open;
  }

  async function drain(stopsAt?: Millis): Promise<void> {
    const kind = GuardMessageKind.Drain;
    dispatch(stopsAt === undefined ? { kind } : { kind, stopsAt });
    while (guard.getOpenCount() > 0) {
      await new Promise((resolve) => setTimeout(resolve, DRAIN_POLL_MS));
    }
  }

  async function close(): Promise<void> {
    waker.close();
    clearTimeout(lingeringCheck);
    await upstream.close();
  }
}

function createKept(response: StreamedResponse, body: Buffer): KeptResponse {
  return {
    status: response.status,
    contentType: getHeader(response.headers, "content-type") ?? "",
    body: body.toString("base64"),
    ...(response.isComplete &&
      { headers: getForwardHeaders(response.headers) }),
  };
}

/** The caller's own id of a request, as its ticket contains it. */
function getRequestId(ticket: Ticket): string {
  const name = ticket.split("/")[1] ?? "";
  return name.slice(name.indexOf(":") + 1);
}

/** Why a response ended early; without an error its receiver closed it, which is no failure of the upstream. */
function describeCut(
  error: Error | undefined,
): Omit<UpstreamFailure, "execution"> {
  if (error === undefined) {
    const message = "the receiver closed the response before its end";
    return { diagnostic: Diagnostics.caller_gone, message };
  }
  const { message } = error;
  return error instanceof ResponseCutError
    ? { diagnostic: error.diagnostic, message }
    : { diagnostic: Diagnostics.upstream_lost, message };
}

function createGrantUsedReply(): GuardReply {
  return createRefusal(Execution.MayHaveRun, Diagnostics.grant_used);
}

function createRefusal(
  execution: Execution,
  diagnostic: Diagnostic,
): GuardReply {
  return { kind: ReplyKind.Refused, verdict: { execution, diagnostic } };
}
