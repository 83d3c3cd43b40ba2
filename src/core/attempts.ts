/** Questions about the attempts of a request and what they prove. */

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

/** Protected requests and bodies that can be sent once only reserve first. */
export function isReserving(arrival: Arrival): boolean {
  return isProtected(arrival) || !arrival.replayable ||
    arrival.key !== undefined;
}

/** True where a second execution would be a fault. */
export function isProtected(arrival: Arrival): boolean {
  return arrival.repeatability === Repeatability.AtMostOnce;
}

/** A streamed body is still whole while no attempt was told to run. */
export function isBodyUnsent(request: PendingRequest): boolean {
  return isReserving(request.arrival) &&
    request.attempts.every((attempt) => !attempt.wasToldToRun);
}

/** True while an answer may still come. */
export function isOpen(attempt: Attempt): boolean {
  return attempt.phase === AttemptPhase.Reserving ||
    attempt.phase === AttemptPhase.Sent;
}

/** True where the attempt ended without proof that it did not run. */
export function isInDoubt(attempt: Attempt): boolean {
  return attempt.phase === AttemptPhase.InDoubt;
}

/** Ends an attempt that got no word from its guard. */
export function endUnanswered(
  request: PendingRequest,
  attempt: Attempt,
  how: { name: DiagnosticName; mayHaveRun: boolean },
): void {
  const isDoubtful = how.mayHaveRun && attempt.phase === AttemptPhase.Sent;
  attempt.phase = isDoubtful ? AttemptPhase.InDoubt : AttemptPhase.NotRun;
  request.lastVerdict = {
    execution: isDoubtful ? Execution.MayHaveRun : Execution.NotRun,
    diagnostic: Diagnostics[how.name],
  };
}

/** Ends an attempt that is not waited for any longer. */
export function endCancelled(attempt: Attempt): void {
  attempt.phase = attempt.phase === AttemptPhase.Reserving
    ? AttemptPhase.NotRun
    : AttemptPhase.InDoubt;
}

/** Ends an attempt by the word of its guard. */
export function endByVerdict(
  request: PendingRequest,
  attempt: Attempt,
  verdict: Verdict,
): void {
  attempt.phase = verdict.execution === Execution.NotRun
    ? AttemptPhase.NotRun
    : AttemptPhase.InDoubt;
  request.lastVerdict = verdict;
}

/** NotRun needs proof for every attempt; a key asked before needs its home's. */
function getExecution(request: PendingRequest): Execution {
  const { arrival, attempts, lastVerdict } = request;
  if (lastVerdict?.execution === Execution.Ran) return Execution.Ran;
  if (attempts.some(isInDoubt)) return Execution.MayHaveRun;
  if (arrival.key === undefined) return Execution.NotRun;
  const isHomesWord = lastVerdict !== undefined &&
    lastVerdict.diagnostic !== Diagnostics.home_unreachable;
  return isHomesWord ? lastVerdict.execution : Execution.MayHaveRun;
}

/** The final word on a request. */
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

/** What a lost attempt is called: with a key, only its home could have said. */
export function getLossName(
  request: PendingRequest,
  name: DiagnosticName,
): DiagnosticName {
  return request.arrival.key === undefined ? name : "home_unreachable";
}

/** The action that ends an open attempt at its guard. */
export function createEnding(
  request: PendingRequest,
  attempt: Attempt,
  how: { isSilent?: boolean } = {},
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

/** An answer names its attempt's ticket, or that of a settlement of it. */
export function isOwnTicket(named: Ticket, own: Ticket): boolean {
  return named === own || named.startsWith(`${own}/`);
}

/** True where the upstream itself, not its guard's queue, turned work away. */
export function isUpstreamsFault({ diagnostic }: Verdict): boolean {
  return diagnostic === Diagnostics.upstream_refused ||
    diagnostic === Diagnostics.upstream_unreachable ||
    diagnostic === Diagnostics.upstream_lost;
}

/** A request as it arrives. */
export function createPending(arrival: Arrival, now: Millis): PendingRequest {
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
  { host, instance }: Pick<Candidate, "host" | "instance">,
  how: { now: Millis; isHedge: boolean; mayQueue: boolean },
): Attempt {
  const reserves = isReserving(request.arrival);
  const attempt: Attempt = {
    number: request.attempts.length + 1,
    host,
    ...(instance !== undefined && { instance }),
    sentAt: how.now,
    isHedge: how.isHedge,
    mayQueue: how.mayQueue,
    phase: reserves ? AttemptPhase.Reserving : AttemptPhase.Sent,
    wasToldToRun: !reserves,
    settleTries: 0,
  };
  request.attempts.push(attempt);
  return attempt;
}

/** A reservation that its guard has not answered in time, if any. */
export function findSilentReservation(
  request: PendingRequest,
  now: Millis,
): Attempt | undefined {
  return request.attempts.find((a) =>
    a.phase === AttemptPhase.Reserving && now >= (a.reserveDeadline ?? Infinity)
  );
}

/** A submitted attempt that its guard has not taken in time, if any. */
export function findUnaccepted(
  request: PendingRequest,
  now: Millis,
): Attempt | undefined {
  return request.attempts.find((a) =>
    a.phase === AttemptPhase.Sent && now >= (a.acceptDeadline ?? Infinity)
  );
}

/** An attempt whose guard is to be asked what became of it, if any. */
export function findDoubted(
  request: PendingRequest,
  now: Millis,
): Attempt | undefined {
  return request.attempts.find((a) =>
    a.phase === AttemptPhase.Sent && now >= (a.settleAt ?? Infinity)
  );
}
