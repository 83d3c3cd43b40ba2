/** Decides whether a gateway may retry or hedge a request. */

import type { AccountBudgets } from "./account_budgets.ts";
import { isAtMostOnce, isInDoubt } from "./attempts.ts";
import type { DiagnosticName } from "./diagnostics.ts";
import type {
  GatewayOptions,
  PendingRequest,
  RetryCharge,
} from "./gateway_types.ts";
import { findObstacle, hasUntriedHost } from "./retry_rules.ts";
import type { CoreHost } from "./types.ts";

/** HTTP status from which a response counts as a failure of its upstream. */
export const FIRST_FAILURE_STATUS = 500;

/**
 * Cost of repeating a request that has run, in retries. Load pattern
 * "calls fail": the repeated run makes its calls again, which count as repeats
 * at the services that it calls, and are what failed.
 */
const REPEATED_RUN_COST = 3;

/** Decides on retries and hedges. */
export interface RetryPolicy {
  /** Reason against a retry, if any; else acquires it from the budget, unless it needs none. */
  findObstacle(request: PendingRequest): DiagnosticName | "last" | undefined;
  /** Maximum number of attempts that may involve an upstream. */
  getMaxRuns(request: PendingRequest): number;
  tryAcquireRetry(request: PendingRequest): boolean;
  tryAcquireHedge(request: PendingRequest): boolean;
  /** Acquires an attempt that may repeat a run beside an open one, with the cost of its calls. */
  tryReserveRepeatedRun(request: PendingRequest): RetryCharge | undefined;
  /** True if a retry is to replace a failure response; acquires it from the budget. */
  mayReplaceResponse(request: PendingRequest, status: number): boolean;
}

/** Creates the retry policy of a gateway. */
export function createRetryPolicy(
  host: CoreHost,
  options: GatewayOptions,
  { budgets }: { budgets: AccountBudgets },
): RetryPolicy {
  return {
    findObstacle: (request) => findObstacleOf(request),
    getMaxRuns,
    tryAcquireRetry,
    tryAcquireHedge,
    tryReserveRepeatedRun,
    mayReplaceResponse,
  };

  function findObstacleOf(
    request: PendingRequest,
    hasRun = request.attempts.some(isInDoubt),
  ): DiagnosticName | "last" | undefined {
    const candidates = options.getCandidates(request.arrival.service);
    return findObstacle(request, {
      now: host.now(),
      maxRuns: getMaxRuns(request),
      hasUntriedHost: hasUntriedHost(request, candidates),
      tryAcquireRetry: () =>
        tryAcquire(request, hasRun ? REPEATED_RUN_COST : 1),
    });
  }

  function getMaxRuns({ arrival }: PendingRequest): number {
    return Math.min(arrival.maxRuns ?? Infinity, options.maxAttempts);
  }

  function tryAcquireRetry(request: PendingRequest): boolean {
    return tryAcquire(request, 1);
  }

  function tryAcquire({ arrival }: PendingRequest, cost: number): boolean {
    return options.retryAllowance?.tryAcquire(arrival.service, cost) ??
      budgets.tryAcquireRetry(arrival.account);
  }

  function tryAcquireHedge(request: PendingRequest): boolean {
    return budgets.tryAcquireHedge(request.arrival.account) &&
      (options.retryAllowance === undefined || tryAcquireRetry(request));
  }

  function tryReserveRepeatedRun(
    request: PendingRequest,
  ): RetryCharge | undefined {
    const { service } = request.arrival;
    const allowance = options.retryAllowance;
    if (allowance?.tryReserve !== undefined) {
      return allowance.tryReserve(service, REPEATED_RUN_COST);
    }
    const isAcquired = tryAcquire(request, REPEATED_RUN_COST);
    return isAcquired ? { refund: () => {} } : undefined;
  }

  function mayReplaceResponse(
    request: PendingRequest,
    status: number,
  ): boolean {
    const isRetryable = options.retriesFailureResponses === true &&
      status >= FIRST_FAILURE_STATUS && !isAtMostOnce(request.arrival);
    return isRetryable && findObstacleOf(request, true) === undefined;
  }
}
