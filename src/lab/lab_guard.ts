/** Guard side of a lab daemon: drives the real guard in front of a simulated upstream. */

import { Buffer } from "node:buffer";
import { Diagnostics } from "../core/diagnostics.ts";
import { createGuard } from "../core/guard.ts";
import type { Guard, GuardOptions } from "../core/guard_types.ts";
import {
  type CoreHost,
  Execution,
  type GuardAction,
  GuardActionKind,
  type GuardMessage,
  GuardMessageKind,
  type Incarnation,
  type Millis,
  type OfKind,
  Repeatability,
  type UpstreamNotice,
} from "../core/types.ts";
import { formatGuardMessage, formatReply } from "./format.ts";
import type { NodePort } from "./node.ts";
import type { LabCall, LabPayload, LabReply, ReplyAddress } from "./types.ts";

const MAX_RETRIES = 3;

/** A request that the local upstream executes. */
export interface LabWork {
  readonly ticket: string;
  readonly call: LabCall;
  readonly key: string;
  readonly isAtMostOnce: boolean;
  /** Incarnation of the daemon that took the call. */
  readonly gateway: Incarnation;
  readonly startedAt: Millis;
  readonly deadline: Millis;
  /** Retries left for the calls that this request makes in turn. */
  readonly retriesLeft: number;
  isCancelled: boolean;
}

/** The guard of a lab daemon and the events it handles. */
export interface LabGuard {
  readonly guard: Guard;
  receiveRequest(payload: OfKind<LabPayload, "ask">): void;
  /** Handles the upstream's response to a request and what it states about the upstream. */
  finishWork(work: LabWork, status: number, notice: UpstreamNotice): void;
  /** Handles a request that ended without a result; a refusal states something about the upstream. */
  failWork(work: LabWork, execution: Execution, notice?: UpstreamNotice): void;
  drain(): void;
}

/** A request of a gateway until its final reply. */
interface PendingRequest {
  readonly replyTo: ReplyAddress;
  readonly call: LabCall;
  readonly isSettlement: boolean;
  readonly deadline: Millis;
  key: string;
  work?: LabWork;
}

/** Creates the guard side of one incarnation of a daemon. */
export function createLabGuard(
  port: NodePort,
  options: {
    host: CoreHost;
    guard: GuardOptions;
    piggybacks: boolean;
    isAlive(): boolean;
    getDigest(): string | undefined;
    execute(work: LabWork): void;
  },
): LabGuard {
  const { self } = options.guard;
  const guard = createGuard(options.host, options.guard);
  const requests = new Map<string, PendingRequest>();
  let wakeAt: Millis = Infinity;
  const actions: {
    [K in GuardActionKind]: (action: OfKind<GuardAction, K>) => void;
  } = {
    [GuardActionKind.Grant]: ({ ticket, grant, key }) => {
      const request = requests.get(ticket)!;
      request.key = key;
      reply(ticket, { kind: "granted", grant, key });
    },
    [GuardActionKind.Refuse]: ({ kind: _, ticket, ...refusal }) =>
      reply(ticket, { kind: "refused", ...refusal }),
    [GuardActionKind.Replay]: ({ ticket, response }) => {
      const call = Buffer.from(response.body, "base64").toString();
      reply(ticket, { kind: "answer", status: response.status, call });
    },
    [GuardActionKind.Start]: ({ ticket }) => start(ticket),
    [GuardActionKind.CancelUpstream]: ({ ticket }) => cancel(ticket),
  };
  return {
    guard,
    receiveRequest,
    finishWork,
    failWork,
    drain: () => dispatch({ kind: GuardMessageKind.Drain }),
  };

  function receiveRequest(payload: OfKind<LabPayload, "ask">): void {
    const { msg, call, replyTo, key } = payload;
    if (!("ticket" in msg)) return;
    const { id, attempt } = replyTo;
    port.record(
      `${self} guard takes ${formatGuardMessage(msg)} ${id}/${attempt}`,
    );
    if (call !== undefined && !requests.has(msg.ticket)) {
      const isSettlement = msg.kind === GuardMessageKind.Settle;
      const timeoutMs = "head" in msg ? msg.head.timeoutMs : 0;
      requests.set(msg.ticket, {
        replyTo,
        call,
        isSettlement,
        deadline: port.loop.now() + timeoutMs,
        key: key ?? "",
      });
    }
    dispatch(msg);
  }

  function dispatch(msg: GuardMessage): void {
    for (const action of guard.handle(msg)) {
      (actions[action.kind] as (a: GuardAction) => void)(action);
    }
    const next = guard.getNextWake();
    if (next === undefined || next >= wakeAt) return;
    wakeAt = next;
    port.loop.schedule(next, () => {
      if (wakeAt !== next || !options.isAlive()) return;
      wakeAt = Infinity;
      dispatch({ kind: GuardMessageKind.Tick });
    });
  }

  function start(ticket: string): void {
    const request = requests.get(ticket)!;
    const { call, key, deadline, replyTo } = request;
    request.work = {
      ticket,
      call,
      key,
      isAtMostOnce: call.repeatability === Repeatability.AtMostOnce,
      gateway: replyTo.incarnation,
      startedAt: port.loop.now(),
      deadline,
      retriesLeft: Math.max(
        0,
        (call.retriesLeft ?? MAX_RETRIES) - (replyTo.attempt - 1),
      ),
      isCancelled: false,
    };
    port.record(`${self} guard starts ${call.id}`);
    options.execute(request.work);
  }

  function cancel(ticket: string): void {
    const work = requests.get(ticket)?.work;
    if (work === undefined) return;
    failWork(work, Execution.MayHaveRun);
    work.isCancelled = true;
  }

  function finishWork(
    work: LabWork,
    status: number,
    notice: UpstreamNotice,
  ): void {
    if (work.isCancelled || !options.isAlive()) return;
    recordNotice(work, notice);
    const { ticket, call } = work;
    const body = Buffer.from(call.id).toString("base64");
    const kept = { status, contentType: "text/plain", body };
    dispatch({
      kind: GuardMessageKind.UpstreamResponded,
      ticket,
      status,
      ...(work.isAtMostOnce && { kept }),
    });
    reply(ticket, { kind: "answer", status, call: call.id, notice });
  }

  function recordNotice(
    { startedAt }: LabWork,
    { instance, ...notice }: UpstreamNotice,
  ): void {
    dispatch({
      kind: GuardMessageKind.Noticed,
      notice: { ...notice, isComplete: true },
      source: { instance, sentAt: startedAt },
    });
  }

  function failWork(
    work: LabWork,
    execution: Execution,
    notice?: UpstreamNotice,
  ): void {
    if (work.isCancelled || !options.isAlive()) return;
    if (notice !== undefined) recordNotice(work, notice);
    const isRefusal = execution === Execution.NotRun;
    dispatch({
      kind: GuardMessageKind.UpstreamFailed,
      ticket: work.ticket,
      execution,
      diagnostic: isRefusal
        ? Diagnostics.upstream_refused
        : Diagnostics.upstream_lost,
    });
  }

  function reply(ticket: string, reply: LabReply): void {
    const request = requests.get(ticket);
    if (request === undefined) return;
    if (reply.kind !== "granted") requests.delete(ticket);
    const { replyTo, isSettlement } = request;
    const { host, id, attempt } = replyTo;
    port.record(
      `${self} guard > ${host} ${formatReply(reply)} ${id}/${attempt}`,
    );
    const digest = options.getDigest();
    port.send({
      from: self,
      to: host,
      payload: {
        kind: "reply",
        from: self,
        to: replyTo,
        ticket,
        reply,
        isSettlement,
        ...(options.piggybacks && { report: guard.getReport() }),
        ...(digest !== undefined && { digest }),
      },
      onNewConnection: isSettlement,
    });
  }
}
