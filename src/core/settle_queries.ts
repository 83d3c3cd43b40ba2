/** Settle queries, which request the outcome of an attempt from a guard that has not reported it. */

import type { Counters } from "./counters.ts";
import { Debug } from "./debug.ts";
import type { Attempt, PendingRequest } from "./gateway_types.ts";
import {
  type CoreHost,
  type GatewayAction,
  GatewayActionKind,
  type Millis,
} from "./types.ts";
import type { WakeQueue } from "./wake_queue.ts";

/** Settle queries of one gateway. */
export interface SettleQueries {
  /** Schedules a query, which is dropped if the attempt ends first. */
  schedule(
    id: string,
    attempt: Attempt,
    when: { delayMs: Millis },
  ): void;
  /** Creates the action that sends a query now. */
  createAction(request: PendingRequest, attempt: Attempt): GatewayAction;
}

/** Creates the settle queries of a gateway. */
export function createSettleQueries(
  host: CoreHost,
  { counters, wakes }: { counters: Counters; wakes: WakeQueue<string> },
): SettleQueries {
  return { schedule, createAction };

  function schedule(
    id: string,
    attempt: Attempt,
    { delayMs }: { delayMs: Millis },
  ): void {
    attempt.settleAt = host.now() + delayMs;
    wakes.add(attempt.settleAt, id);
  }

  function createAction(
    request: PendingRequest,
    attempt: Attempt,
  ): GatewayAction {
    delete attempt.settleAt;
    attempt.settleTries += 1;
    counters.add("settle_sent");
    return {
      kind: GatewayActionKind.Settle,
      id: request.arrival.id,
      attempt: attempt.number,
      to: attempt.host,
      key: Debug.checkDefined(attempt.key, "the key of a granted attempt"),
    };
  }
}
