/** Which further sends of a request a gateway allows itself. */

import type { AccountBudgets } from "./account_budgets.ts";
import { isProtected } from "./attempts.ts";
import type { DiagnosticName } from "./diagnostics.ts";
import type { GatewayOptions, PendingRequest } from "./gateway_types.ts";
import { findObstacle, hasOtherHost } from "./retry_rules.ts";
import type { CoreHost } from "./types.ts";

/** HTTP status from which an answer counts as a failure of its upstream. */
export const FIRST_FAILURE_STATUS = 500;

/** Decides on further sends. */
export interface RetryGate {
  /** What forbids another attempt; takes its share of the budget where nothing does. */
  findObstacle(request: PendingRequest): DiagnosticName | "last" | undefined;
  /** Upstreams that a request may be handed to. */
  getMaxRuns(request: PendingRequest): number;
  tryTakeRetry(request: PendingRequest): boolean;
  tryTakeHedge(request: PendingRequest): boolean;
  /** True where an upstream's own failure is replaced by another try. */
  mayReplaceAnswer(request: PendingRequest, status: number): boolean;
}

/** Creates the gate of a gateway. */
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
    const isWorthIt = options.retriesFailures === true &&
      status >= FIRST_FAILURE_STATUS && !isProtected(request.arrival);
    return isWorthIt && findObstacleOf(request) === undefined;
  }
}
