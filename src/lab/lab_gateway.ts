/** The gateway side of a lab daemon: the real gateway and what it waits for. */

import { createGateway } from "../core/gateway.ts";
import type { Gateway, GatewayOptions } from "../core/gateway_types.ts";
import {
  type CoreHost,
  Execution,
  type GatewayAction,
  GatewayActionKind,
  type GatewayMessage,
  GatewayMessageKind,
  type GuardMessage,
  GuardMessageKind,
  type HostId,
  type Millis,
  type OfKind,
} from "../core/types.ts";
import { formatGuardMessage } from "./format.ts";
import type { NodePort } from "./node.ts";
import type { LabCall, LabOutcome, LabPayload, LabReply } from "./types.ts";

/** How long the answer to a settlement is waited for, in ms. */
const SETTLE_TIMEOUT_MS = 100;

/** The gateway side. */
export interface LabGateway {
  readonly gateway: Gateway;
  call(call: LabCall, done: (outcome: LabOutcome) => void): void;
  receiveReply(payload: OfKind<LabPayload, "reply">): void;
  /** The open connections to a peer ended. */
  onPeerReset(peer: HostId): void;
  /** A peer refused the connection for a message. */
  onRefused(payload: OfKind<LabPayload, "ask">): void;
}

interface OpenCall {
  readonly call: LabCall;
  readonly startedAt: Millis;
  /** Attempts whose connection waits for a reply, and where. */
  readonly waiting: Map<number, HostId>;
  readonly keys: Map<number, string>;
  readonly answers: Map<number, OfKind<LabReply, "answer">>;
  readonly settling: Set<number>;
  done(outcome: LabOutcome): void;
}

/** Creates the gateway side of one run of a daemon. */
export function createLabGateway(
  port: NodePort,
  options: { host: CoreHost; gateway: GatewayOptions; isAlive(): boolean },
): LabGateway {
  const { self, incarnation } = options.gateway;
  const gateway = createGateway(options.host, options.gateway);
  const calls = new Map<string, OpenCall>();
  let wakeAt: Millis = Infinity;
  const actions: {
    [K in GatewayActionKind]: (action: OfKind<GatewayAction, K>) => void;
  } = {
    [GatewayActionKind.Reserve]: ask,
    [GatewayActionKind.Submit]: ask,
    [GatewayActionKind.Run]: run,
    [GatewayActionKind.Release]: end,
    [GatewayActionKind.Cancel]: end,
    [GatewayActionKind.Settle]: settle,
    [GatewayActionKind.Deliver]: deliver,
    [GatewayActionKind.Finish]: finish,
  };
  return { gateway, call, receiveReply, onPeerReset, onRefused };

  function call(call: LabCall, done: (outcome: LabOutcome) => void): void {
    calls.set(call.id, {
      call,
      startedAt: port.loop.now(),
      waiting: new Map(),
      keys: new Map(),
      answers: new Map(),
      settling: new Set(),
      done,
    });
    port.record(`${self} gateway takes ${call.id} for ${call.service}`);
    const { id, account, service, repeatability, key, timeoutMs } = call;
    tell({
      kind: GatewayMessageKind.Arrived,
      arrival: {
        id,
        account,
        service,
        repeatability,
        ...(key !== undefined && { key }),
        timeoutMs,
        replayable: call.replayable ?? true,
        retriesLeft: call.retriesLeft ?? 3,
      },
    });
  }

  function tell(msg: GatewayMessage): void {
    for (const action of gateway.handle(msg)) {
      (actions[action.kind] as (a: GatewayAction) => void)(action);
    }
    scheduleWake();
  }

  function scheduleWake(): void {
    const next = gateway.getNextWake();
    if (next === undefined || next >= wakeAt) return;
    wakeAt = next;
    port.loop.schedule(next, () => {
      if (wakeAt !== next || !options.isAlive()) return;
      wakeAt = Infinity;
      tell({ kind: GatewayMessageKind.Tick });
    });
  }

  function ask(
    action: OfKind<
      GatewayAction,
      GatewayActionKind.Reserve | GatewayActionKind.Submit
    >,
  ): void {
    const { id, attempt, timeoutMs } = action;
    const { call, waiting } = calls.get(id)!;
    const { account, service, repeatability, key } = call;
    waiting.set(attempt, action.to);
    const kind = action.kind === GatewayActionKind.Reserve
      ? GuardMessageKind.Reserve
      : GuardMessageKind.Submit;
    send(action, {
      kind,
      ticket: gateway.getTicket(id, attempt),
      head: {
        account,
        service,
        repeatability,
        ...(key !== undefined && { key }),
        fingerprint: call.operation,
        timeoutMs,
      },
    });
  }

  function run(action: OfKind<GatewayAction, GatewayActionKind.Run>): void {
    const { id, attempt, grant, key, to } = action;
    const open = calls.get(id)!;
    open.keys.set(attempt, key);
    open.waiting.set(attempt, to);
    const ticket = gateway.getTicket(id, attempt);
    send(action, { kind: GuardMessageKind.Run, ticket, grant });
  }

  function end(
    action: OfKind<
      GatewayAction,
      GatewayActionKind.Release | GatewayActionKind.Cancel
    >,
  ): void {
    const { id, attempt, to } = action;
    if (action.isSilent) port.replaceLink(self, to);
    calls.get(id)?.waiting.delete(attempt);
    const kind = action.kind === GatewayActionKind.Release
      ? GuardMessageKind.Release
      : GuardMessageKind.Cancel;
    send(action, { kind, ticket: gateway.getTicket(id, attempt) });
  }

  function settle(
    action: OfKind<GatewayAction, GatewayActionKind.Settle>,
  ): void {
    const { id, attempt, key } = action;
    const open = calls.get(id)!;
    const now = port.loop.now();
    const ticket = `${gateway.getTicket(id, attempt)}/settle-${now}`;
    const { account } = open.call;
    open.settling.add(attempt);
    send(action, { kind: GuardMessageKind.Settle, ticket, account, key }, {
      onNewConnection: true,
    });
    port.loop.schedule(now + SETTLE_TIMEOUT_MS, () => {
      if (options.isAlive()) endSettlement(id, attempt);
    });
  }

  /** Tells the gateway that a settlement got no word. */
  function endSettlement(id: string, attempt: number): void {
    const isWaiting = calls.get(id)?.settling.delete(attempt) ?? false;
    if (!isWaiting) return;
    const kind = GatewayMessageKind.Settled;
    tell({ kind, id, attempt, verdict: undefined });
  }

  function send(
    action: { id: string; attempt: number; to: HostId },
    msg: GuardMessage,
    how: { onNewConnection?: boolean } = {},
  ): void {
    const { id, attempt, to } = action;
    const open = calls.get(id);
    const name = formatGuardMessage(msg);
    port.record(`${self} gateway > ${to} ${name} ${id}/${attempt}`);
    const key = open?.keys.get(attempt);
    port.send({
      from: self,
      to,
      payload: {
        kind: "ask",
        msg,
        ...(open !== undefined && { call: open.call }),
        ...(key !== undefined && { key }),
        replyTo: { host: self, incarnation, id, attempt },
      },
      ...how,
    });
  }

  function receiveReply(payload: OfKind<LabPayload, "reply">): void {
    const { to, reply, isSettlement, report } = payload;
    if (report !== undefined) gateway.takeReport(report);
    if (to.incarnation !== incarnation) return;
    const open = calls.get(to.id);
    const { id, attempt } = to;
    port.record(`${self} gateway takes ${reply.kind} for ${id}/${attempt}`);
    if (open === undefined) return dropLate(payload);
    if (!isSettlement) open.waiting.delete(attempt);
    switch (reply.kind) {
      case "granted":
        return takeGrant(payload, open);
      case "refused":
        if (isSettlement) open.settling.delete(attempt);
        return takeRefusal(payload, reply);
      case "answer":
        open.settling.delete(attempt);
        open.answers.set(attempt, reply);
        return tell({
          kind: GatewayMessageKind.Answered,
          id,
          attempt,
          ticket: payload.ticket,
          status: reply.status,
        });
    }
  }

  function takeRefusal(
    { to: { id, attempt }, isSettlement }: OfKind<LabPayload, "reply">,
    { verdict, grant }: OfKind<LabReply, "refused">,
  ): void {
    if (isSettlement) {
      return tell({ kind: GatewayMessageKind.Settled, id, attempt, verdict });
    }
    tell({
      kind: GatewayMessageKind.Refused,
      id,
      attempt,
      verdict,
      ...(grant !== undefined && { grant }),
    });
  }

  function takeGrant(
    payload: OfKind<LabPayload, "reply">,
    open: OpenCall,
  ): void {
    const { id, attempt } = payload.to;
    const { grant, key } = payload.reply as OfKind<LabReply, "granted">;
    tell({ kind: GatewayMessageKind.Granted, id, attempt, grant, key });
    if (!open.keys.has(attempt)) dropLate(payload);
  }

  /** A grant that nobody uses is given back; anything else is dropped. */
  function dropLate(payload: OfKind<LabPayload, "reply">): void {
    const { to, reply, from } = payload;
    if (reply.kind !== "granted") return;
    end({
      kind: GatewayActionKind.Release,
      id: to.id,
      attempt: to.attempt,
      to: from,
    });
  }

  function deliver(
    action: OfKind<GatewayAction, GatewayActionKind.Deliver>,
  ): void {
    const open = calls.get(action.id)!;
    const answer = open.answers.get(action.attempt)!;
    const key = open.keys.get(action.attempt) ?? open.call.key;
    conclude(open, {
      execution: Execution.Ran,
      reason: "answered",
      answeredCall: answer.call,
      status: answer.status,
      ...(key !== undefined && { key }),
    });
    port.loop.schedule(port.loop.now(), () => {
      if (!options.isAlive()) return;
      tell({ kind: GatewayMessageKind.Completed, id: action.id });
    });
  }

  function finish(
    action: OfKind<GatewayAction, GatewayActionKind.Finish>,
  ): void {
    const { execution, diagnostic, retryAfterMs } = action.verdict;
    conclude(calls.get(action.id)!, {
      execution,
      reason: diagnostic.reason,
      ...(retryAfterMs !== undefined && { retryAfterMs }),
    });
  }

  function conclude(
    open: OpenCall,
    result: Omit<LabOutcome, "call" | "latencyMs">,
  ): void {
    const { call, startedAt } = open;
    const { execution, reason } = result;
    calls.delete(call.id);
    port.record(`${self} gateway ends ${call.id}: ${execution} ${reason}`);
    const latencyMs = port.loop.now() - startedAt;
    open.done({ call, latencyMs, ...result });
  }

  /** A settlement asks anew; a run goes over the connection of its reservation. */
  function onRefused({ msg, replyTo }: OfKind<LabPayload, "ask">): void {
    const { id, attempt } = replyTo;
    if (msg.kind === GuardMessageKind.Settle) return endSettlement(id, attempt);
    if (!calls.get(id)?.waiting.delete(attempt)) return;
    const mayHaveArrived = msg.kind === GuardMessageKind.Run;
    const kind = GatewayMessageKind.LinkFailed;
    tell({ kind, id, attempt, mayHaveArrived });
  }

  function onPeerReset(peer: HostId): void {
    for (const [id, open] of [...calls]) {
      for (const [attempt, to] of [...open.waiting]) {
        if (to !== peer) continue;
        open.waiting.delete(attempt);
        const kind = GatewayMessageKind.LinkFailed;
        tell({ kind, id, attempt, mayHaveArrived: true });
      }
    }
  }
}
