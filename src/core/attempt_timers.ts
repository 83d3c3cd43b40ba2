/** When a gateway looks at an attempt again: silence of guards, hedges. */

import type { AccountBudgets } from "./account_budgets.ts";
import { isProtected } from "./attempts.ts";
import type {
  Attempt,
  GatewayOptions,
  PendingRequest,
} from "./gateway_types.ts";
import type { LoadBook } from "./load_book.ts";
import { countRuns } from "./placement.ts";
import type { CoreHost, Millis } from "./types.ts";
import type { WakeQueue } from "./wake_queue.ts";

/** A hedge is never sent sooner, in ms. */
const MIN_HEDGE_DELAY_MS = 2;
/** Hedge delay in mean service times, while too few latencies are known. */
const EARLY_HEDGE_FACTOR = 3;

/** Timers of a gateway's attempts. */
export interface AttemptTimers {
  /** A guard that is asked for a reservation has to answer by then. */
  scheduleReserve(request: PendingRequest, attempt: Attempt): void;
  /** A guard that got a request has to take or refuse it by then. */
  scheduleAccept(request: PendingRequest, attempt: Attempt): void;
  /** A hedge goes out after the account's percentile, or after silence. */
  scheduleHedge(request: PendingRequest, attempt: Attempt): void;
  setHedgeAt(request: PendingRequest, at: Millis): void;
}

/** What the timers go by. */
export interface AttemptTimersContext {
  readonly options: GatewayOptions;
  readonly wakes: WakeQueue<string>;
  readonly budgets: AccountBudgets;
  readonly loads: LoadBook;
}

/** Creates the timers. */
export function createAttemptTimers(
  host: CoreHost,
  { options, wakes, budgets, loads }: AttemptTimersContext,
): AttemptTimers {
  const asksFirst = (options.maxAsks ?? 0) > 0;
  return { scheduleReserve, scheduleAccept, scheduleHedge, setHedgeAt };

  function scheduleReserve(request: PendingRequest, attempt: Attempt): void {
    const waits = asksFirst && attempt.mayQueue;
    const at = waits
      ? request.deadline
      : Math.min(host.now() + options.reserveTimeoutMs, request.deadline);
    attempt.reserveDeadline = at;
    wakes.add(at, request.arrival.id);
  }

  function scheduleAccept(request: PendingRequest, attempt: Attempt): void {
    const at = host.now() + options.reserveTimeoutMs;
    if (!asksFirst || at >= request.deadline) return;
    attempt.acceptDeadline = at;
    wakes.add(at, request.arrival.id);
  }

  function scheduleHedge(request: PendingRequest, attempt: Attempt): void {
    const { arrival } = request;
    const isAllowed = !isProtected(arrival) && arrival.replayable &&
      countRuns(request) === 1;
    if (!isAllowed) return;
    const usual = budgets.tryGetHedgeDelay(arrival.account, arrival.service) ??
      EARLY_HEDGE_FACTOR * loads.getServiceMs(attempt.host);
    const delay = Math.min(usual, options.silenceMs);
    setHedgeAt(request, host.now() + Math.max(delay, MIN_HEDGE_DELAY_MS));
  }

  function setHedgeAt(request: PendingRequest, at: Millis): void {
    request.hedgeAt = at;
    wakes.add(at, request.arrival.id);
  }
}
