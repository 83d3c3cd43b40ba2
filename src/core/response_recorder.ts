/** Records the responses of upstreams in counters, load table and budgets. */

import type { AccountBudgets } from "./account_budgets.ts";
import type { Counters } from "./counters.ts";
import type { Attempt, PendingRequest } from "./gateway_types.ts";
import type { LoadTable } from "./load_table.ts";
import { FIRST_FAILURE_STATUS } from "./retry_policy.ts";
import type { CoreHost } from "./types.ts";

/** Records responses. */
export interface ResponseRecorder {
  record(request: PendingRequest, attempt: Attempt, status: number): void;
}

/** Where responses are recorded. */
export interface ResponseRecorderContext {
  readonly counters: Counters;
  readonly loads: LoadTable;
  readonly budgets: AccountBudgets;
}

/** Creates the recorder of a gateway. */
export function createResponseRecorder(
  host: CoreHost,
  { counters, loads, budgets }: ResponseRecorderContext,
): ResponseRecorder {
  return { record };

  function record(
    request: PendingRequest,
    attempt: Attempt,
    status: number,
  ): void {
    const { account, service } = request.arrival;
    counters.add("answered");
    if (attempt.isHedge) counters.add("hedge_won");
    if (status >= FIRST_FAILURE_STATUS) {
      counters.add("answered_failure");
      loads.recordEnd(attempt.host);
      loads.recordResult(attempt.host, false);
      return;
    }
    const latencyMs = host.now() - attempt.sentAt;
    loads.recordEnd(attempt.host, latencyMs);
    loads.recordResult(attempt.host, true);
    budgets.recordSuccess(account, service, latencyMs);
  }
}
