/** Gateway side of a lab daemon: drives the real gateway and tracks its open calls. */

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

/** Longest wait for the reply to a settlement, in ms. */
const SETTLE_TIMEOUT_MS = 100;

/** The gateway of a lab daemon and the events it handles. */
export interface LabGateway {
  readonly gateway: Gateway;
  /** Starts a call; `done` gets its outcome, unless the daemon stops before. */
  call(call: LabCall, done: (outcome: LabOutcome) => void): void;
  receiveReply(payload: OfKind<LabPayload, "reply">): void;
  /** Handles the reset of all open connections to a peer. */
  onPeerReset(peer: HostId): void;
  /** Handles a message whose connection was refused by the peer. */
  onConnectionRefused(payload: OfKind<LabPayload, "ask">): void;
}

interface OpenCall {
  readonly call: LabCall;
  readonly startedAt: Millis;
  /** Hosts of the attempts that wait for a reply, by attempt. */
  readonly pendingAttempts: Map<number, HostId>;
  /** Idempotency keys by attempt. */
  readonly keys: Map<number, string>;
  readonly responses: Map<number, OfKind<LabReply, "answer">>;
  readonly pendingSettlements: Set<number>;
  done(outcome: LabOutcome): void;
}

/** Creates the gateway side of one incarnation of a daemon. */
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
    [GatewayActionKind.Reserve]: reserveOrSubmit,
    [GatewayActionKind.Submit]: reserveOrSubmit,
    [GatewayActionKind.Run]: run,
    [GatewayActionKind.Release]: releaseOrCancel,
    [GatewayActionKind.Cancel]: releaseOrCancel,
    [GatewayActionKind.Settle]: settle,
    [GatewayActionKind.Deliver]: deliver,
    [GatewayActionKind.Finish]: finish,
  };
  return {
    gateway,
    call,
    receiveReply,
    onPeerReset,
    onConnectionRefused,
  };

  function call(call: LabCall, done: (outcome: LabOutcome) => void): void {
    calls.set(call.id, {
      call,
      startedAt: port.loop.now(),
      pendingAttempts: new Map(),
      keys: new Map(),
      responses: new Map(),
      pendingSettlements: new Set(),
      done,
    });
    port.record(`${self} gateway takes ${call.id} for ${call.service}`);
    const { id, account, service, repeatability, key, timeoutMs } = call;
    dispatch({
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

  function dispatch(msg: GatewayMessage): void {
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
      dispatch({ kind: GatewayMessageKind.Tick });
    });
  }

  function reserveOrSubmit(
    action: OfKind<
      GatewayAction,
      GatewayActionKind.Reserve | GatewayActionKind.Submit
    >,
  ): void {
    const { id, attempt, timeoutMs, instance, limitPerS } = action;
    const { call, pendingAttempts } = calls.get(id)!;
    const { account, service, repeatability, key } = call;
    pendingAttempts.set(attempt, action.to);
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
        ...(instance !== undefined && { instance }),
        ...(limitPerS !== undefined && { limitPerS }),
      },
    });
  }

  function run(action: OfKind<GatewayAction, GatewayActionKind.Run>): void {
    const { id, attempt, grant, key, to } = action;
    const open = calls.get(id)!;
    open.keys.set(attempt, key);
    open.pendingAttempts.set(attempt, to);
    const ticket = gateway.getTicket(id, attempt);
    send(action, { kind: GuardMessageKind.Run, ticket, grant });
  }

  function releaseOrCancel(
    action: OfKind<
      GatewayAction,
      GatewayActionKind.Release | GatewayActionKind.Cancel
    >,
  ): void {
    const { id, attempt, to } = action;
    if (action.isUnresponsive) port.reconnect(self, to);
    calls.get(id)?.pendingAttempts.delete(attempt);
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
    open.pendingSettlements.add(attempt);
    send(action, { kind: GuardMessageKind.Settle, ticket, account, key }, {
      onNewConnection: true,
    });
    port.loop.schedule(now + SETTLE_TIMEOUT_MS, () => {
      if (options.isAlive()) endSettlement(id, attempt);
    });
  }

  /** Reports to the gateway that a settlement got no reply. */
  function endSettlement(id: string, attempt: number): void {
    const isPending = calls.get(id)?.pendingSettlements.delete(attempt) ??
      false;
    if (!isPending) return;
    const kind = GatewayMessageKind.Settled;
    dispatch({ kind, id, attempt, verdict: undefined });
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
    if (report !== undefined) gateway.receiveReport(report);
    if (to.incarnation !== incarnation) return;
    const open = calls.get(to.id);
    const { id, attempt } = to;
    port.record(`${self} gateway takes ${reply.kind} for ${id}/${attempt}`);
    if (open === undefined) return handleLateReply(payload);
    if (!isSettlement) open.pendingAttempts.delete(attempt);
    switch (reply.kind) {
      case "granted":
        return receiveGrant(payload, open);
      case "refused":
        if (isSettlement) open.pendingSettlements.delete(attempt);
        return receiveRefusal(payload, reply);
      case "answer":
        open.pendingSettlements.delete(attempt);
        open.responses.set(attempt, reply);
        return dispatch({
          kind: GatewayMessageKind.ResponseReceived,
          id,
          attempt,
          ticket: payload.ticket,
          status: reply.status,
        });
    }
  }

  function receiveRefusal(
    { to: { id, attempt }, isSettlement }: OfKind<LabPayload, "reply">,
    { verdict, grant }: OfKind<LabReply, "refused">,
  ): void {
    if (isSettlement) {
      return dispatch({
        kind: GatewayMessageKind.Settled,
        id,
        attempt,
        verdict,
      });
    }
    dispatch({
      kind: GatewayMessageKind.Refused,
      id,
      attempt,
      verdict,
      ...(grant !== undefined && { grant }),
    });
  }

  function receiveGrant(
    payload: OfKind<LabPayload, "reply">,
    open: OpenCall,
  ): void {
    const { id, attempt } = payload.to;
    const { grant, key } = payload.reply as OfKind<LabReply, "granted">;
    dispatch({ kind: GatewayMessageKind.Granted, id, attempt, grant, key });
    if (!open.keys.has(attempt)) handleLateReply(payload);
  }

  /** Releases a grant that arrives too late to be used; ignores other replies. */
  function handleLateReply(payload: OfKind<LabPayload, "reply">): void {
    const { to, reply, from } = payload;
    if (reply.kind !== "granted") return;
    releaseOrCancel({
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
    const response = open.responses.get(action.attempt)!;
    const key = open.keys.get(action.attempt) ?? open.call.key;
    reportOutcome(open, {
      execution: Execution.Ran,
      reason: "answered",
      responseCallId: response.call,
      status: response.status,
      ...(response.notice && { notice: response.notice }),
      ...(key !== undefined && { key }),
    });
    port.loop.schedule(port.loop.now(), () => {
      if (!options.isAlive()) return;
      dispatch({ kind: GatewayMessageKind.Completed, id: action.id });
    });
  }

  function finish(
    action: OfKind<GatewayAction, GatewayActionKind.Finish>,
  ): void {
    const { execution, diagnostic, retryAfterMs } = action.verdict;
    reportOutcome(calls.get(action.id)!, {
      execution,
      reason: diagnostic.reason,
      ...(retryAfterMs !== undefined && { retryAfterMs }),
    });
  }

  function reportOutcome(
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

  /**
   * A settlement counts as not replied to, so that the gateway repeats it. A run
   * uses the open connection of its reservation and so may have arrived.
   */
  function onConnectionRefused(
    { msg, replyTo }: OfKind<LabPayload, "ask">,
  ): void {
    const { id, attempt } = replyTo;
    if (msg.kind === GuardMessageKind.Settle) return endSettlement(id, attempt);
    if (!calls.get(id)?.pendingAttempts.delete(attempt)) return;
    const mayHaveArrived = msg.kind === GuardMessageKind.Run;
    const kind = GatewayMessageKind.LinkFailed;
    dispatch({ kind, id, attempt, mayHaveArrived });
  }

  function onPeerReset(peer: HostId): void {
    for (const [id, open] of [...calls]) {
      for (const [attempt, to] of [...open.pendingAttempts]) {
        if (to !== peer) continue;
        open.pendingAttempts.delete(attempt);
        const kind = GatewayMessageKind.LinkFailed;
        dispatch({ kind, id, attempt, mayHaveArrived: true });
      }
    }
  }
}
