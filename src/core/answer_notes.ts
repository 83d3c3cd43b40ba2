/** Records the responses of upstreams in counters, load table and budgets. */

import type { AccountBudgets } from "./account_budgets.ts";
import type { Counters } from "./counters.ts";
import type { Attempt, PendingRequest } from "./gateway_types.ts";
import type { LoadBook } from "./load_book.ts";
import { FIRST_FAILURE_STATUS } from "./retry_gate.ts";
import type { CoreHost } from "./types.ts";

/** Records responses. */
export interface AnswerNotes {
  note(request: PendingRequest, attempt: Attempt, status: number): void;
}

/** Where responses are recorded. */
export interface AnswerNotesContext {
  readonly counters: Counters;
  readonly loads: LoadBook;
  readonly budgets: AccountBudgets;
}

/** Creates the recorder of a gateway. */
export function createAnswerNotes(
  host: CoreHost,
  { counters, loads, budgets }: AnswerNotesContext,
): AnswerNotes {
  return { note };

  function note(
    request: PendingRequest,
    attempt: Attempt,
    status: number,
  ): void {
    const { account, service } = request.arrival;
    counters.add("answered");
    if (attempt.isHedge) counters.add("hedge_won");
    if (status >= FIRST_FAILURE_STATUS) {
      counters.add("answered_failure");
      loads.noteEnded(attempt.host);
      loads.noteResult(attempt.host, false);
      return;
    }
    const latencyMs = host.now() - attempt.sentAt;
    loads.noteEnded(attempt.host, latencyMs);
    loads.noteResult(attempt.host, true);
    budgets.noteSuccess(account, service, latencyMs);
  }
}
