/**
 * Owns the guard of the local upstream and its connections. It is itself the
 * link that the local gateway uses; peers reach it through the peer server.
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
  type KeptAnswer,
  type Millis,
  type OfKind,
  Repeatability,
  type RequestHead,
  type Ticket,
  type Verdict,
} from "../core/types.ts";
import { type Diagnostic, Diagnostics } from "../core/diagnostics.ts";
import {
  type ForwardRequest,
  type GuardLink,
  type GuardReply,
  ReplyKind,
  type StreamedAnswer,
} from "../link/types.ts";
import { getForwardHeaders, getHeader } from "../link/http_headers.ts";
import type {
  UpstreamClient,
  UpstreamFailure,
} from "../upstream/upstream_client.ts";
import type { Clock } from "./clock.ts";
import type { Logger } from "./logger.ts";
import { createWaker } from "./waker.ts";

/** Largest body kept beside a key, in bytes. */
const KEPT_ANSWER_BYTES = 16_384;
const DRAIN_POLL_MS = 20;

/** Settings of the task. */
export interface GuardTaskOptions {
  readonly guard: GuardOptions;
  readonly host: CoreHost;
  readonly upstream: UpstreamClient;
  readonly logger: Logger;
  /** Gets a fresh reading of the upstream before a request is decided on. */
  readonly beforeAdmission?: BeforeAdmission;
  /** Hears of each answer of the upstream. */
  onUpstreamAnswered?(timing: UpstreamTiming): void;
}

/** How long a request took at this host. */
export interface UpstreamTiming {
  readonly route: string | undefined;
  /** Wait before its start, in ms. */
  readonly waitedMs: Millis;
  /** From its start to the upstream's answer, in ms. */
  readonly tookMs: Millis;
}

/** What the task may wait for before a request is decided on. */
export type BeforeAdmission = () => Promise<void>;

/** The guard as a task. */
export interface GuardTask extends GuardLink {
  readonly guard: Guard;
  /** Looks again at what may start. */
  wake(): void;
  /** Refuses new work and resolves once nothing is open. */
  drain(): Promise<void>;
}

interface Flow {
  resolve: ((reply: GuardReply) => void) | undefined;
  head?: RequestHead;
  askedAt?: Millis;
  /** When the time of the request is over, in ms. */
  deadline?: Millis;
  forward?: ForwardRequest;
  signal?: EventEmitter;
}

type ActionHandlers = {
  [K in GuardActionKind]: (action: OfKind<GuardAction, K>) => void;
};

/** Creates the task. */
export function createGuardTask(
  clock: Clock,
  options: GuardTaskOptions,
): GuardTask {
  const { upstream, logger } = options;
  const guard = createGuard(options.host, options.guard);
  const flows = new Map<Ticket, Flow>();
  const waker = createWaker(clock, {
    getNextWake: guard.getNextWake,
    tick: () => tell({ kind: GuardMessageKind.Tick }),
  });
  const handlers: ActionHandlers = {
    [GuardActionKind.Grant]: ({ ticket, grant, key }) => {
      sendReply(ticket, { kind: ReplyKind.Granted, grant, key });
    },
    [GuardActionKind.Refuse]: ({ kind: _, ticket, ...refusal }) => {
      noteRefusal(ticket, refusal.verdict);
      sendReply(ticket, { kind: ReplyKind.Refused, ...refusal });
      flows.delete(ticket);
    },
    [GuardActionKind.Replay]: ({ ticket, answer }) => {
      sendReply(ticket, { kind: ReplyKind.Replay, ticket, answer });
      flows.delete(ticket);
    },
    [GuardActionKind.Start]: ({ ticket }) => void startUpstream(ticket),
    [GuardActionKind.CancelUpstream]: ({ ticket }) => {
      flows.get(ticket)?.signal?.emit("abort");
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
    replace: () => {},
    probe: () => Promise.resolve(0),
    wake: () => tell({ kind: GuardMessageKind.Tick }),
    drain,
    close,
  };

  function noteRefusal(ticket: Ticket, verdict: Verdict): void {
    const { inFlight, queued, slowdown, slots } = guard.getReport();
    logger.info("guard_refused", {
      req: getRequestName(ticket),
      ticket,
      reason: verdict.diagnostic.reason,
      execution: verdict.execution,
      inFlight,
      queued,
      slots,
      slowdown,
    });
  }

  function tell(msg: GuardMessage): void {
    for (const action of guard.handle(msg)) {
      (handlers[action.kind] as (a: GuardAction) => void)(action);
    }
    waker.update();
  }

  async function reserve(
    ticket: Ticket,
    head: RequestHead,
  ): Promise<GuardReply> {
    await options.beforeAdmission?.();
    return ask(ticket, { kind: GuardMessageKind.Reserve, ticket, head });
  }

  function run(
    ticket: Ticket,
    grant: string,
    { forward }: { forward: ForwardRequest },
  ): Promise<GuardReply> {
    const flow = openFlow(ticket, forward);
    if (flow === undefined) {
      return Promise.resolve({ ...createUsedReply(), grant });
    }
    return ask(ticket, { kind: GuardMessageKind.Run, ticket, grant });
  }

  async function submit(
    ticket: Ticket,
    head: RequestHead,
    { forward, onAccepted }: {
      forward: ForwardRequest;
      onAccepted?: () => void;
    },
  ): Promise<GuardReply> {
    await options.beforeAdmission?.();
    const flow = openFlow(ticket, forward);
    if (flow === undefined) return createUsedReply();
    const reply = ask(ticket, { kind: GuardMessageKind.Submit, ticket, head });
    if (flow.resolve !== undefined) onAccepted?.();
    return await reply;
  }

  function release(ticket: Ticket): void {
    tell({ kind: GuardMessageKind.Release, ticket });
    sendReply(ticket, createReply(Execution.NotRun, Diagnostics.cancelled));
    flows.delete(ticket);
  }

  function settle(
    ticket: Ticket,
    question: { account: string; key: string },
  ): Promise<GuardReply> {
    return ask(ticket, { kind: GuardMessageKind.Settle, ticket, ...question });
  }

  /** Sends a message and waits for the reply to its ticket. */
  function ask(ticket: Ticket, msg: GuardMessage): Promise<GuardReply> {
    const flow = flows.get(ticket) ?? { resolve: undefined };
    flows.set(ticket, flow);
    if ("head" in msg) {
      flow.head = msg.head;
      flow.askedAt = clock.now();
      flow.deadline = clock.now() + msg.head.timeoutMs;
    }
    return new Promise((resolve) => {
      flow.resolve = resolve;
      tell(msg);
    });
  }

  function sendReply(ticket: Ticket, answer: GuardReply): void {
    const flow = flows.get(ticket);
    flow?.resolve?.(answer);
    if (flow !== undefined) flow.resolve = undefined;
  }

  /** Notes what to forward; undefined where the ticket was told to run before. */
  function openFlow(ticket: Ticket, forward: ForwardRequest): Flow | undefined {
    const flow = flows.get(ticket) ?? { resolve: undefined };
    if (flow.forward !== undefined) return undefined;
    flow.forward = forward;
    flows.set(ticket, flow);
    forward.signal.once("abort", () => {
      tell({ kind: GuardMessageKind.Cancel, ticket });
    });
    return flow;
  }

  async function startUpstream(ticket: Ticket): Promise<void> {
    const flow = flows.get(ticket)!;
    const signal = new EventEmitter();
    flow.signal = signal;
    const forward = { ...flow.forward!, signal };
    const instance = flow.head?.instance;
    const isProtected = flow.head?.repeatability === Repeatability.AtMostOnce;
    const startedAt = clock.now();
    const { inFlight, queued, slowdown } = guard.getReport();
    const result = await upstream.send(forward, {
      timeoutMs: Math.max(1, Math.floor(flow.deadline! - clock.now())),
      isProtected,
      ...(instance !== undefined && { instance }),
    });
    if ("failure" in result) return failUpstream(ticket, result.failure);
    const { answer } = result;
    const tookMs = clock.now() - startedAt;
    const waitedMs = startedAt - flow.askedAt!;
    options.onUpstreamAnswered?.({ route: flow.head?.route, waitedMs, tookMs });
    logger.info("upstream_answered", {
      req: getRequestName(ticket),
      ticket,
      status: answer.status,
      tookMs: Math.round(tookMs),
      waitedMs: Math.round(waitedMs),
      slowdown,
      inFlight,
      queued,
    });
    const body = isProtected ? record(ticket, answer) : answer.body;
    const reply = { kind: ReplyKind.Answer as const, ticket };
    if (answer.isWhole && !isProtected) {
      sendReply(ticket, { ...reply, answer });
      return finishAnswer(ticket, answer.status);
    }
    watchEnd(ticket, answer.body, {
      status: answer.status,
      isKept: isProtected,
    });
    sendReply(ticket, { ...reply, answer: { ...answer, body } });
  }

  function failUpstream(ticket: Ticket, failure: UpstreamFailure): void {
    const { execution, diagnostic, message } = failure;
    logger.info("upstream_failed", {
      req: getRequestName(ticket),
      ticket,
      execution,
      reason: diagnostic.reason,
      message,
    });
    const kind = GuardMessageKind.UpstreamFailed;
    tell({ kind, ticket, execution, diagnostic });
    flows.delete(ticket);
  }

  function watchEnd(
    ticket: Ticket,
    body: Readable,
    { status, isKept }: { status: number; isKept: boolean },
  ): void {
    let isEnded = false;
    body.once("end", () => {
      isEnded = true;
      if (isKept) return;
      finishAnswer(ticket, status);
    });
    body.once("error", () => {});
    body.once("close", () => {
      if (isEnded) return;
      failUpstream(ticket, {
        execution: Execution.MayHaveRun,
        diagnostic: Diagnostics.upstream_lost,
        message: "the answer's body ended early",
      });
    });
  }

  function finishAnswer(
    ticket: Ticket,
    status: number,
    kept?: KeptAnswer,
  ): void {
    const kind = GuardMessageKind.UpstreamAnswered;
    tell({ kind, ticket, status, ...(kept && { kept }) });
    flows.delete(ticket);
  }

  /** Passes a body on and keeps a copy of a small one beside its key. */
  function record(ticket: Ticket, answer: StreamedAnswer): Readable {
    const chunks: Buffer[] = [];
    let size = 0;
    const copy = new PassThrough({
      transform(chunk: Buffer, _encoding, done) {
        size += chunk.length;
        if (size <= KEPT_ANSWER_BYTES) chunks.push(chunk);
        done(null, chunk);
      },
      flush(done) {
        finishAnswer(ticket, answer.status, getKept());
        done();
      },
    });
    answer.body.on("error", (error) => copy.destroy(error));
    copy.on("close", () => answer.body.destroy());
    copy.on("error", () => {});
    return answer.body.pipe(copy);

    function getKept(): KeptAnswer | undefined {
      if (size > KEPT_ANSWER_BYTES) return undefined;
      return {
        status: answer.status,
        contentType: getHeader(answer.headers, "content-type") ?? "",
        body: Buffer.concat(chunks).toString("base64"),
        ...(answer.isWhole && { headers: getForwardHeaders(answer.headers) }),
      };
    }
  }

  async function drain(): Promise<void> {
    tell({ kind: GuardMessageKind.Drain });
    while (guard.getOpenCount() > 0) {
      await new Promise((resolve) => setTimeout(resolve, DRAIN_POLL_MS));
    }
  }

  async function close(): Promise<void> {
    waker.close();
    await upstream.close();
  }
}

/** The caller's own id of a request, which ends its name in a ticket. */
function getRequestName(ticket: Ticket): string {
  const name = ticket.split("/")[1] ?? "";
  return name.slice(name.indexOf(":") + 1);
}

function createUsedReply(): GuardReply {
  return createReply(Execution.MayHaveRun, Diagnostics.grant_used);
}

function createReply(execution: Execution, diagnostic: Diagnostic): GuardReply {
  return { kind: ReplyKind.Refused, verdict: { execution, diagnostic } };
}
