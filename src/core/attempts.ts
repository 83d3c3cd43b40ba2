/** State of a request's attempts, and the verdict that follows from it. */

import { type DiagnosticName, Diagnostics } from "./diagnostics.ts";
import {
  type Attempt,
  AttemptPhase,
  type PendingRequest,
} from "./gateway_types.ts";
import {
  type Arrival,
  type Candidate,
  Execution,
  type GatewayAction,
  GatewayActionKind,
  type Millis,
  Repeatability,
  type Ticket,
  type Verdict,
} from "./types.ts";

/** True for requests that reserve a slot first: at-most-once ones, streamed bodies and those with a key. */
export function mustReserve(arrival: Arrival): boolean {
  return isAtMostOnce(arrival) || !arrival.replayable ||
    arrival.key !== undefined;
}

/** True if the request must not be executed more than once. */
export function isAtMostOnce(arrival: Arrival): boolean {
  return arrival.repeatability === Repeatability.AtMostOnce;
}

/** True if the request reserves first and Run was sent for none of its attempts. */
export function isBodyUnsent(request: PendingRequest): boolean {
  return mustReserve(request.arrival) &&
    request.attempts.every((attempt) => !attempt.wasDispatched);
}

/** True while a response may still arrive. */
export function isOpen(attempt: Attempt): boolean {
  return attempt.phase === AttemptPhase.Reserving ||
    attempt.phase === AttemptPhase.Sent;
}

/** True unless the attempt ended before its upstream was involved. */
export function hasReachedUpstream(attempt: Attempt): boolean {
  return attempt.neverReachedUpstream !== true;
}

/** The newest attempt, without extra ones that were refused: these change nothing for the others. */
export function getLastAttempt(
  { attempts }: PendingRequest,
): Attempt | undefined {
  return attempts.findLast((a) => !a.isExtra || hasReachedUpstream(a));
}

/** True if the end of an attempt decides nothing, as it is an extra one and another is open or it was refused. */
function isIncidental(request: PendingRequest, attempt: Attempt): boolean {
  return attempt.isExtra === true &&
    (!hasReachedUpstream(attempt) || request.attempts.some(isOpen));
}

/** True if the attempt ended without proof that it did not run. */
export function isInDoubt(attempt: Attempt): boolean {
  return attempt.phase === AttemptPhase.InDoubt;
}

/** Ends an attempt without a verdict of its guard. */
export function endWithoutVerdict(
  request: PendingRequest,
  attempt: Attempt,
  how: { name: DiagnosticName; mayHaveRun: boolean },
): void {
  const endsInDoubt = how.mayHaveRun && attempt.phase === AttemptPhase.Sent;
  attempt.phase = endsInDoubt ? AttemptPhase.InDoubt : AttemptPhase.NotRun;
  if (isIncidental(request, attempt)) return;
  request.lastVerdict = {
    execution: endsInDoubt ? Execution.MayHaveRun : Execution.NotRun,
    diagnostic: Diagnostics[how.name],
  };
}

/** Ends an attempt whose response is not awaited. */
export function endCancelled(attempt: Attempt): void {
  attempt.phase = attempt.phase === AttemptPhase.Reserving
    ? AttemptPhase.NotRun
    : AttemptPhase.InDoubt;
}

/** Ends an attempt with the verdict of its guard. */
export function endWithVerdict(
  request: PendingRequest,
  attempt: Attempt,
  verdict: Verdict,
): void {
  attempt.phase = verdict.execution === Execution.NotRun
    ? AttemptPhase.NotRun
    : AttemptPhase.InDoubt;
  if (isIncidental(request, attempt)) return;
  request.lastVerdict = verdict;
}

/** NotRun requires proof for each attempt; with a key, it requires the verdict of the key's home. */
function getExecution(request: PendingRequest): Execution {
  const { arrival, attempts, lastVerdict } = request;
  if (lastVerdict?.execution === Execution.Ran) return Execution.Ran;
  if (attempts.some(isInDoubt)) return Execution.MayHaveRun;
  if (arrival.key === undefined) return Execution.NotRun;
  const isVerdictOfHome = lastVerdict !== undefined &&
    lastVerdict.diagnostic !== Diagnostics.home_unreachable;
  return isVerdictOfHome ? lastVerdict.execution : Execution.MayHaveRun;
}

/** Creates the final verdict on a request. */
export function createVerdict(
  request: PendingRequest,
  name: DiagnosticName,
  { retryAfterMs }: { retryAfterMs: Millis },
): Verdict {
  return {
    execution: getExecution(request),
    diagnostic: Diagnostics[name],
    retryAfterMs: Math.ceil(retryAfterMs),
  };
}

/** Reason for the loss of an attempt. With a key the home is named, as no other host knows the outcome. */
export function getLossReason(
  request: PendingRequest,
  name: DiagnosticName,
): DiagnosticName {
  return request.arrival.key === undefined ? name : "home_unreachable";
}

/** Creates the action that ends an open attempt at its guard. */
export function createEndAction(
  request: PendingRequest,
  attempt: Attempt,
  how: { isUnresponsive?: boolean } = {},
): GatewayAction {
  return {
    kind: attempt.phase === AttemptPhase.Reserving
      ? GatewayActionKind.Release
      : GatewayActionKind.Cancel,
    id: request.arrival.id,
    attempt: attempt.number,
    to: attempt.host,
    ...how,
  };
}

/** True if a response names its attempt's ticket, or that of a settle query for it. */
export function isOwnTicket(named: Ticket, own: Ticket): boolean {
  return named === own || named.startsWith(`${own}/`);
}

/** True if the upstream itself failed or refused, not its guard. */
export function isUpstreamFailure({ diagnostic }: Verdict): boolean {
  return diagnostic === Diagnostics.upstream_refused ||
    diagnostic === Diagnostics.upstream_unreachable ||
    diagnostic === Diagnostics.upstream_lost ||
    diagnostic === Diagnostics.upstream_ended ||
    diagnostic === Diagnostics.response_too_large;
}

/** Creates the state of a request that has just arrived. */
export function createPendingRequest(
  arrival: Arrival,
  now: Millis,
): PendingRequest {
  return {
    arrival,
    deadline: now + arrival.timeoutMs,
    attempts: [],
    retriesLeft: arrival.retriesLeft,
    isDelivering: false,
  };
}

/** Adds an attempt at a host to a request. */
export function addAttempt(
  request: PendingRequest,
  { host, failureDomain, instance, bornAt }:
    & Pick<Candidate, "host" | "instance" | "bornAt">
    & Partial<Pick<Candidate, "failureDomain">>,
  how: {
    now: Millis;
    isHedge: boolean;
    mayQueue: boolean;
    maxWaitMs?: Millis;
    isLastChoice?: boolean;
    isExtra?: boolean;
  },
): Attempt {
  const reserves = mustReserve(request.arrival);
  const attempt: Attempt = {
    number: request.attempts.length + 1,
    host,
    ...(failureDomain !== undefined && { failureDomain }),
    ...(instance !== undefined && { instance }),
    ...(bornAt !== undefined && { bornAt }),
    sentAt: how.now,
    isHedge: how.isHedge,
    mayQueue: how.mayQueue,
    ...(how.maxWaitMs !== undefined && { maxWaitMs: how.maxWaitMs }),
    ...(how.isLastChoice && { isLastChoice: true }),
    ...(how.isExtra && { isExtra: true }),
    phase: reserves ? AttemptPhase.Reserving : AttemptPhase.Sent,
    wasDispatched: !reserves,
    settleTries: 0,
  };
  request.attempts.push(attempt);
  return attempt;
}

/** A reservation without a timely reply of its guard, if any. */
export function findTimedOutReservation(
  request: PendingRequest,
  now: Millis,
): Attempt | undefined {
  return request.attempts.find((a) =>
    a.phase === AttemptPhase.Reserving && now >= (a.reserveDeadline ?? Infinity)
  );
}

/** A submitted attempt that its guard has neither accepted nor refused in time, if any. */
export function findUnaccepted(
  request: PendingRequest,
  now: Millis,
): Attempt | undefined {
  return request.attempts.find((a) =>
    a.phase === AttemptPhase.Sent && now >= (a.acceptDeadline ?? Infinity)
  );
}

/** An attempt whose outcome is to be queried at its guard, if any. */
export function findAttemptToSettle(
  request: PendingRequest,
  now: Millis,
): Attempt | undefined {
  return request.attempts.find((a) =>
    a.phase === AttemptPhase.Sent && now >= (a.settleAt ?? Infinity)
  );
}
