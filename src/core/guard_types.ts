/** Settings and interface of a guard, kept apart from its implementation. */

import type { InterruptedRuns } from "./lingering_runs.ts";
import type { CalledServices } from "./called_services.ts";
import type { ColdStarts } from "./cold_starts.ts";
import type { Counters } from "./counters.ts";
import type {
  AccountName,
  GuardAction,
  GuardMessage,
  HostId,
  Incarnation,
  LoadReport,
  Millis,
  RequestHead,
  ServiceName,
  UpstreamNotice,
} from "./types.ts";

/** State of an upstream, from the load that it reports to the daemon on its host. */
export interface UpstreamView {
  /** Requests that it may run concurrently, including a slot on trial. */
  getUsableSlots(): number;
  /** As above for short work, which may also use some of the spare slots. */
  getShortWorkSlots(): number;
  /** Requests that it can run concurrently without slowing down. */
  getKnownGoodSlots(): number;
  /**
   * Records that a request started; `running` is the number of requests then,
   * including itself.
   */
  recordStart(running: number): void;
  /** Records the service time of such a request as a multiple of the usual one. */
  recordServiceTime(running: number, ratio: number): void;
  /** Current service time as a multiple of the usual one. */
  getSlowdown(): number;
  /** As above, outside slow periods. */
  getBaseSlowdown(): number;
  /** The incarnation that the upstream last reported; undefined while none is known. */
  getInstance(): string | undefined;
  /** Time for which queued work should not be started, in ms; 0 to start at once. */
  getStartDelayMs(): Millis;
}

/** Reasons for which a guard starts nothing: its failure domain is evacuated, or it doesn't know yet whether it is. */
export type ClosedReason = "domain_evacuated" | "not_ready";

/** Settings of a guard. */
export interface GuardOptions {
  readonly self: HostId;
  readonly service: ServiceName;
  readonly incarnation: Incarnation;
  readonly slots: number;
  readonly queueCapacity: number;
  /** Time after which a grant that was not used expires, in ms. */
  readonly grantTtlMs: Millis;
  readonly keyCapacity: number;
  /** Time for which a leaving upstream still serves what no other host takes, in ms; 0 by default. */
  readonly leavingMs?: Millis;
  getWeight(account: AccountName): number;
  readonly isFirstComeFirstServed?: boolean;
  /** Why the upstream must get no request now, whatever the request; undefined if it may get some. */
  tryGetClosedReason?(): ClosedReason | undefined;
  /** Time since which an incarnation is listed as draining or has left the list, in ms; undefined if it is not. */
  tryGetListedLeavingSince?(instance: string): Millis | undefined;
  /** Time from which no other guard starts requests at the upstream, in ms; the guard's creation by default. */
  readonly aloneSince?: Millis;
  /** Whether the upstream is cold; absent if its requests are not limited then. */
  readonly coldStarts?: Pick<ColdStarts, "getState" | "tryGetBound">;
  /** Holds requests whose calls would be refused; used only with an upstream that reports its state. */
  readonly calledServices?: CalledServices;
  /** State of the upstream; absent if it reports none. */
  readonly upstream?: UpstreamView;
  /** False admits requests that can't finish in time, as a baseline for comparison. */
  readonly refusesEarly?: boolean;
}

/** Admission control in front of one upstream. */
export interface Guard {
  handle(msg: GuardMessage): GuardAction[];
  /** False if the request can't start now, however fast the upstream is. */
  mayStart(head: RequestHead): boolean;
  /** Issues idempotency keys in advance; returns none while draining. */
  issueKeys(account: AccountName, count: number): string[];
  getReport(): LoadReport;
  /** What the upstream states about itself, if anything. */
  getNotice(): UpstreamNotice | undefined;
  /** Time at which the next Tick is due, in ms; undefined if none is. */
  getNextWake(): Millis | undefined;
  isDraining(): boolean;
  /** Requests queued, granted or running. */
  getOpenCount(): number;
  /** Time until which all runs that were given up may be at the upstream, in ms; undefined without any. */
  getLingeringUntil(): Millis | undefined;
  /** True while a run that was given up may be at the upstream, leaving out those of an incarnation. */
  hasLingering(except?: string): boolean;
  /** Recent ends of the upstream that interrupted such runs. */
  getEnds(): readonly InterruptedRuns[];
  /** Highest sequence number of a key whose record was evicted. */
  getKeyHorizon(): number;
  readonly counters: Counters;
}
