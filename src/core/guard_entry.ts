/** Requests at a guard. */

import { type KeyRecord, KeyState } from "./key_book.ts";
import type { AccountName, Millis, RequestHead, Ticket } from "./types.ts";

/** Where a request stands at a guard. */
export enum EntryState {
  Queued,
  Granted,
  Running,
  Finished,
}

/** A request at a guard. */
export interface Entry {
  readonly ticket: Ticket;
  readonly account: AccountName;
  readonly head: RequestHead;
  readonly reserves: boolean;
  readonly deadline: Millis;
  /** After this a queued request can't end in time any more, in ms. */
  readonly lastStart: Millis;
  /** Rank in the queue; 0 is the most urgent. */
  readonly rank: number;
  /** Until when a start leads to an answer of full value, in ms. */
  readonly startBy: Millis;
  state: EntryState;
  grant?: string;
  grantExpires?: Millis;
  startedAt?: Millis;
  /** How many times longer than usual work took at its start. */
  startSlowdown?: number;
  /** When a finished request is forgotten, in ms. */
  forgetAt?: Millis;
  record?: KeyRecord;
  isCancelled?: boolean;
}

/** True while the request has not been handed over. */
export function isWaiting(entry: Entry): boolean {
  return entry.state === EntryState.Queued ||
    entry.state === EntryState.Granted;
}

/** The request that holds a key and has not been handed over, if any. */
export function findWaiting(
  entries: Iterable<Entry>,
  record: KeyRecord,
): Entry | undefined {
  const isHeld = record.state === KeyState.Queued ||
    record.state === KeyState.Granted;
  if (!isHeld) return undefined;
  for (const entry of entries) {
    if (entry.record === record && isWaiting(entry)) return entry;
  }
  return undefined;
}
