/** Whether a request may be tried again, and what forbids it. */

import { isBodyUnsent, isInDoubt, isProtected } from "./attempts.ts";
import { type DiagnosticName, Diagnostics } from "./diagnostics.ts";
import type { PendingRequest } from "./gateway_types.ts";
import { countRuns } from "./placement.ts";
import type { Candidate, Millis } from "./types.ts";

/** What the rules depend on beside the request. */
export interface RetryContext {
  readonly now: Millis;
  readonly maxAttempts: number;
  /** True where an upstream is left that was not tried. */
  readonly hasOtherHost: boolean;
  tryTakeRetry(): boolean;
}

/** What forbids another attempt; "last" stands for the last verdict's reason. */
export function findObstacle(
  request: PendingRequest,
  context: RetryContext,
): DiagnosticName | "last" | undefined {
  const { arrival, attempts } = request;
  if (arrival.key !== undefined) return "last";
  if (isProtected(arrival) && attempts.some(isInDoubt)) return "last";
  if (!arrival.replayable && !isBodyUnsent(request)) return "last";
  if (context.now >= request.deadline) return "deadline_passed";
  if (attempts.at(-1)?.isTurnedAway) return "last";
  const isSpent = countRuns(request) >= context.maxAttempts ||
    request.retriesLeft <= 0;
  if (isSpent || !context.hasOtherHost) return "last";
  // A guard that drains turned the request away before its upstream heard of it.
  if (request.lastVerdict?.diagnostic === Diagnostics.draining) {
    return undefined;
  }
  return context.tryTakeRetry() ? undefined : "retry_budget_empty";
}

/** True where some candidate has not been tried. */
export function hasOtherHost(
  request: PendingRequest,
  candidates: readonly Candidate[],
): boolean {
  const tried = new Set(request.attempts.map((a) => a.host));
  return candidates.some((c) => !tried.has(c.host));
}
