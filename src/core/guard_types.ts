/** Settings of a guard and what it offers, apart from the code that uses them. */

import type { Counters } from "./counters.ts";
import type {
  AccountName,
  GuardAction,
  GuardMessage,
  HostId,
  Incarnation,
  LoadReport,
  Millis,
  ServiceName,
} from "./types.ts";

/** What an upstream says of itself, read beside it. */
export interface UpstreamView {
  /** Requests that it can run at once without slowing down. */
  getUsableSlots(): number;
  /** As above for short work, which may use some of the spare slots, too. */
  getShortWorkSlots(): number;
  /** How many times longer than usual work takes now. */
  getSlowdown(): number;
  /** As above between the slow spells. */
  getBaseSlowdown(): number;
  /** The incarnation that answered last, or undefined while none is known. */
  getInstance(): string | undefined;
  /** Expected time until work is worth starting, in ms; 0 for now. */
  getHoldMs(): Millis;
}

/** Settings of a guard. */
export interface GuardOptions {
  readonly self: HostId;
  readonly service: ServiceName;
  readonly incarnation: Incarnation;
  readonly slots: number;
  readonly queueCapacity: number;
  /** How long a grant waits for its run, in ms. */
  readonly grantTtlMs: Millis;
  readonly keyCapacity: number;
  getWeight(account: AccountName): number;
  readonly isFirstComeFirstServed?: boolean;
  /** What the upstream says of itself; absent where it says nothing. */
  readonly upstream?: UpstreamView;
  /** False admits requests that can't finish in time, as a baseline. */
  readonly refusesEarly?: boolean;
}

/** A guard. */
export interface Guard {
  handle(msg: GuardMessage): GuardAction[];
  /** Issues keys ahead of use; none while draining. */
  issueKeys(account: AccountName, count: number): string[];
  getReport(): LoadReport;
  getNextWake(): Millis | undefined;
  isDraining(): boolean;
  /** Requests queued, granted or running. */
  getOpenCount(): number;
  getKeyHorizon(): number;
  readonly counters: Counters;
}
