/** Requests held by a guard. */

import { type KeyRecord, KeyState } from "./key_table.ts";
import type { AccountName, Millis, RequestHead, Ticket } from "./types.ts";

/** State of a request at a guard. */
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
  /** True for a reservation, which gets a grant; false for a submission, which starts directly. */
  readonly isReservation: boolean;
  readonly deadline: Millis;
  /** Latest start at which a queued request can still finish in time, in ms. */
  readonly latestStart: Millis;
  /** Rank in the queue; 0 is the most urgent. */
  readonly rank: number;
  /** Latest start at which the response still meets the request's objective, in ms. */
  readonly startBy: Millis;
  /**
   * Latest start that still serves the caller well, in ms: `startBy`, but for
   * short work its latest start, as the running requests that make such calls
   * fail without it.
   */
  readonly usefulUntil: Millis;
  state: EntryState;
  grant?: string;
  grantExpires?: Millis;
  /** Time at which its grant was counted against the limit of a cold upstream, in ms; absent if it was not. */
  countedAt?: Millis;
  startedAt?: Millis;
  /** Slowdown of the upstream when the request started. */
  startSlowdown?: number;
  /** Requests that ran at the upstream when this one started, including itself. */
  startRunning?: number;
  /** When the entry of a finished request is removed, in ms. */
  forgetAt?: Millis;
  record?: KeyRecord;
  isCancelled?: boolean;
}

/** True while the request is queued or granted, that is, neither running nor finished. */
export function isWaiting(entry: Entry): boolean {
  return entry.state === EntryState.Queued ||
    entry.state === EntryState.Granted;
}

/** Returns the queued or granted request that holds the key, if any. */
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
