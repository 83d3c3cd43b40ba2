/** Whether a request may be retried, and if not, why. */

import {
  getLastAttempt,
  isAtMostOnce,
  isBodyUnsent,
  isInDoubt,
} from "./attempts.ts";
import { type DiagnosticName, Diagnostics } from "./diagnostics.ts";
import type { PendingRequest } from "./gateway_types.ts";
import { countRuns } from "./refused_attempts.ts";
import type { Candidate, Millis, Verdict } from "./types.ts";

/** Conditions of a retry that the request itself doesn't hold. */
export interface RetryContext {
  readonly now: Millis;
  /** Maximum number of attempts that may involve an upstream. */
  readonly maxRuns: number;
  /** True if there is a host that has not been tried. */
  readonly hasUntriedHost: boolean;
  tryAcquireRetry(): boolean;
}

/** Reason against a retry, if any; "last" stands for the reason of the last verdict. */
export function findObstacle(
  request: PendingRequest,
  context: RetryContext,
): DiagnosticName | "last" | undefined {
  const { arrival, attempts } = request;
  if (isTimeout(request.lastVerdict)) return "deadline_passed";
  if (arrival.key !== undefined) return "last";
  if (isAtMostOnce(arrival) && attempts.some(isInDoubt)) return "last";
  if (!arrival.replayable && !isBodyUnsent(request)) return "last";
  if (context.now >= request.deadline) return "deadline_passed";
  if (getLastAttempt(request)?.neverReachedUpstream) return "last";
  const isExhausted = countRuns(request) >= context.maxRuns ||
    request.retriesLeft <= 0;
  if (isExhausted || !context.hasUntriedHost) return "last";
  // Such a guard refused before its upstream was involved, so no budget is needed.
  if (isDraining(request.lastVerdict)) return undefined;
  return context.tryAcquireRetry() ? undefined : "retry_budget_empty";
}

/**
 * True if a guard cancelled the run at the request's deadline. Its verdict
 * precedes the gateway's own timer if the gateway was held up, and by up to 1 ms
 * otherwise, as the guard gets the time left in whole milliseconds.
 */
function isTimeout(verdict: Verdict | undefined): boolean {
  return verdict?.diagnostic === Diagnostics.upstream_timeout;
}

function isDraining(verdict: Verdict | undefined): boolean {
  return verdict?.diagnostic === Diagnostics.draining ||
    verdict?.diagnostic === Diagnostics.upstream_leaving;
}

/** True if some candidate has not been tried. */
export function hasUntriedHost(
  request: PendingRequest,
  candidates: readonly Candidate[],
): boolean {
  const tried = new Set(request.attempts.map((a) => a.host));
  return candidates.some((c) => !tried.has(c.host));
}
