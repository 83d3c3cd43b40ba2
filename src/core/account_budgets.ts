/** Budgets of each client account at one gateway: retries, hedges, hedge delay. */

import type { AccountLimits } from "./gateway_types.ts";
import { createLatencyWindow, type LatencyWindow } from "./latency_window.ts";
import { createTokenBucket, type TokenBucket } from "./token_bucket.ts";
import type { AccountName, CoreHost, Millis, ServiceName } from "./types.ts";

/** Maximum number of retries in a burst. */
const RETRY_BURST = 10;
/** Retries that an account gains per second, so that one with few successes can still retry. */
const RETRY_REFILL_PER_SECOND = 1;
/** Maximum number of hedges in a burst. */
const HEDGE_BURST = 5;

/** Budgets by account. */
export interface AccountBudgets {
  recordRequest(account: AccountName): void;
  recordSuccess(
    account: AccountName,
    service: ServiceName,
    latencyMs: Millis,
  ): void;
  tryAcquireRetry(account: AccountName): boolean;
  tryAcquireHedge(account: AccountName): boolean;
  /** Delay before a hedge in ms; undefined if hedges are disabled or too few latencies are recorded. */
  tryGetHedgeDelay(
    account: AccountName,
    service: ServiceName,
  ): Millis | undefined;
}

/** Settings of the budgets. */
export interface AccountBudgetOptions {
  readonly hasRetryBudget?: boolean;
  getLimits(account: AccountName): AccountLimits;
}

interface Budget {
  retries: TokenBucket;
  hedges: TokenBucket;
}

/** Creates budgets that fill as requests arrive and succeed. */
export function createAccountBudgets(
  host: CoreHost,
  options: AccountBudgetOptions,
): AccountBudgets {
  const budgets = new Map<AccountName, Budget>();
  const windows = new Map<ServiceName, LatencyWindow>();
  return {
    recordRequest,
    recordSuccess,
    tryAcquireRetry,
    tryAcquireHedge: (account) => getBudget(account).hedges.tryAcquire(),
    tryGetHedgeDelay,
  };

  function recordRequest(account: AccountName): void {
    getBudget(account).hedges.add(options.getLimits(account).hedgeBudget);
  }

  function recordSuccess(
    account: AccountName,
    service: ServiceName,
    latencyMs: Millis,
  ): void {
    getBudget(account).retries.add(options.getLimits(account).retryBudget);
    getWindow(service).record(latencyMs);
  }

  function tryAcquireRetry(account: AccountName): boolean {
    if (options.hasRetryBudget === false) return true;
    return getBudget(account).retries.tryAcquire();
  }

  function tryGetHedgeDelay(
    account: AccountName,
    service: ServiceName,
  ): Millis | undefined {
    const limits = options.getLimits(account);
    if (limits.hedgeBudget <= 0) return undefined;
    return getWindow(service).tryGetPercentile(limits.hedgePercentile);
  }

  function getBudget(account: AccountName): Budget {
    let budget = budgets.get(account);
    if (budget === undefined) {
      budget = {
        retries: createTokenBucket(host, {
          capacity: RETRY_BURST,
          perSecond: RETRY_REFILL_PER_SECOND,
        }),
        hedges: createTokenBucket(host, {
          capacity: HEDGE_BURST,
          perSecond: 0,
          isEmptyAtStart: true,
        }),
      };
      budgets.set(account, budget);
    }
    return budget;
  }

  function getWindow(service: ServiceName): LatencyWindow {
    let window = windows.get(service);
    if (window === undefined) {
      window = createLatencyWindow(host);
      windows.set(service, window);
    }
    return window;
  }
}
