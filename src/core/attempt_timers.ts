/** Timers of attempts: for due replies of guards, and for hedges. */

import type { AccountBudgets } from "./account_budgets.ts";
import { isAtMostOnce } from "./attempts.ts";
import type {
  Attempt,
  GatewayOptions,
  PendingRequest,
} from "./gateway_types.ts";
import type { LoadTable } from "./load_table.ts";
import { countRuns } from "./refused_attempts.ts";
import type { Arrival, CoreHost, Millis } from "./types.ts";
import type { WakeQueue } from "./wake_queue.ts";

/** Minimum delay of a hedge, in ms. */
const MIN_HEDGE_DELAY_MS = 2;
/** Hedge delay in mean service times, used if no percentile of recent latencies is available. */
const EARLY_HEDGE_FACTOR = 3;

/** Timers of a gateway's attempts. */
export interface AttemptTimers {
  /** Sets the time by which the guard must reply to a reservation. */
  scheduleReserve(request: PendingRequest, attempt: Attempt): void;
  /** Sets the time by which the guard must accept or refuse a submitted request. */
  scheduleAccept(request: PendingRequest, attempt: Attempt): void;
  /** Schedules a hedge of a first attempt: after the account's percentile of latency, at the latest once the link is suspected. */
  scheduleHedge(request: PendingRequest, attempt: Attempt): void;
  setHedgeAt(request: PendingRequest, at: Millis): void;
}

/** What the timers depend on. */
export interface AttemptTimersContext {
  readonly options: GatewayOptions;
  readonly wakes: WakeQueue<string>;
  readonly budgets: AccountBudgets;
  readonly loads: LoadTable;
}

/** Creates the timers. */
export function createAttemptTimers(
  host: CoreHost,
  { options, wakes, budgets, loads }: AttemptTimersContext,
): AttemptTimers {
  const usesNonQueueing = (options.maxNonQueueingAttempts ?? 0) > 0;
  return { scheduleReserve, scheduleAccept, scheduleHedge, setHedgeAt };

  function scheduleReserve(request: PendingRequest, attempt: Attempt): void {
    // A queued reservation gets its grant only when a slot is free.
    const mayWait = usesNonQueueing && attempt.mayQueue;
    const at = mayWait ? request.deadline : Math.min(
      host.now() + options.reserveTimeoutMs + (attempt.maxWaitMs ?? 0),
      request.deadline,
    );
    attempt.reserveDeadline = at;
    wakes.add(at, request.arrival.id);
  }

  function scheduleAccept(request: PendingRequest, attempt: Attempt): void {
    const at = host.now() + options.reserveTimeoutMs;
    if (!usesNonQueueing || at >= request.deadline) return;
    attempt.acceptDeadline = at;
    wakes.add(at, request.arrival.id);
  }

  function scheduleHedge(request: PendingRequest, attempt: Attempt): void {
    const { arrival } = request;
    const isAllowed = !isAtMostOnce(arrival) && arrival.replayable &&
      countRuns(request) === 1;
    if (!isAllowed) return;
    const usesExtraAttempts = (options.extraWork?.share ?? 0) > 0;
    const usualMs = usesExtraAttempts
      ? Infinity
      : getUsualHedgeMs(arrival, attempt);
    const delayMs = Math.min(usualMs, options.suspectAfterMs);
    setHedgeAt(request, host.now() + Math.max(delayMs, MIN_HEDGE_DELAY_MS));
  }

  function getUsualHedgeMs(
    { account, service }: Arrival,
    attempt: Attempt,
  ): Millis {
    return budgets.tryGetHedgeDelay(account, service) ??
      EARLY_HEDGE_FACTOR * loads.getServiceMs(attempt.host);
  }

  function setHedgeAt(request: PendingRequest, at: Millis): void {
    request.hedgeAt = at;
    wakes.add(at, request.arrival.id);
  }
}
