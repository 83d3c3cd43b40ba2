/** Asks guards what became of attempts that they gave no word on. */

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

/** Settlements of one gateway. */
export interface Settling {
  /** Asks later, unless the attempt ends before. */
  schedule(
    id: string,
    attempt: Attempt,
    when: { delayMs: Millis },
  ): void;
  /** The action that asks now. */
  ask(request: PendingRequest, attempt: Attempt): GatewayAction;
}

/** Creates the settlements of a gateway. */
export function createSettling(
  host: CoreHost,
  { counters, wakes }: { counters: Counters; wakes: WakeQueue<string> },
): Settling {
  return { schedule, ask };

  function schedule(
    id: string,
    attempt: Attempt,
    { delayMs }: { delayMs: Millis },
  ): void {
    attempt.settleAt = host.now() + delayMs;
    wakes.add(attempt.settleAt, id);
  }

  function ask(request: PendingRequest, attempt: Attempt): GatewayAction {
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
