/** Decides whether a gateway may retry or hedge a request. */

import type { AccountBudgets } from "./account_budgets.ts";
import { isProtected } from "./attempts.ts";
import type { DiagnosticName } from "./diagnostics.ts";
import type { GatewayOptions, PendingRequest } from "./gateway_types.ts";
import { findObstacle, hasOtherHost } from "./retry_rules.ts";
import type { CoreHost } from "./types.ts";

/** HTTP status from which a response counts as a failure of its upstream. */
export const FIRST_FAILURE_STATUS = 500;

/** Decides on retries and hedges. */
export interface RetryGate {
  /** Reason against a retry, if any; else acquires a retry from the budget. */
  findObstacle(request: PendingRequest): DiagnosticName | "last" | undefined;
  /** Maximum number of upstreams that a request may be sent to. */
  getMaxRuns(request: PendingRequest): number;
  tryTakeRetry(request: PendingRequest): boolean;
  tryTakeHedge(request: PendingRequest): boolean;
  /** True if a failure response is to be replaced by a retry. */
  mayReplaceAnswer(request: PendingRequest, status: number): boolean;
}

/** Creates the retry policy of a gateway. */
export function createRetryGate(
  host: CoreHost,
  options: GatewayOptions,
  { budgets }: { budgets: AccountBudgets },
): RetryGate {
  return {
    findObstacle: findObstacleOf,
    getMaxRuns,
    tryTakeRetry,
    tryTakeHedge,
    mayReplaceAnswer,
  };

  function findObstacleOf(
    request: PendingRequest,
  ): DiagnosticName | "last" | undefined {
    const candidates = options.getCandidates(request.arrival.service);
    return findObstacle(request, {
      now: host.now(),
      maxAttempts: getMaxRuns(request),
      hasOtherHost: hasOtherHost(request, candidates),
      tryTakeRetry: () => tryTakeRetry(request),
    });
  }

  function getMaxRuns({ arrival }: PendingRequest): number {
    return Math.min(arrival.maxRuns ?? Infinity, options.maxAttempts);
  }

  function tryTakeRetry({ arrival }: PendingRequest): boolean {
    return options.retryAllowance?.tryTake(arrival.service) ??
      budgets.tryTakeRetry(arrival.account);
  }

  function tryTakeHedge(request: PendingRequest): boolean {
    return budgets.tryTakeHedge(request.arrival.account) &&
      (options.retryAllowance === undefined || tryTakeRetry(request));
  }

  function mayReplaceAnswer(request: PendingRequest, status: number): boolean {
    const isRetryable = options.retriesFailures === true &&
      status >= FIRST_FAILURE_STATUS && !isProtected(request.arrival);
    return isRetryable && findObstacleOf(request) === undefined;
  }
}
