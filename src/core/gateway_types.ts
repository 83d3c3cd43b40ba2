/** Settings and state of a gateway. */

import type { ChooserOptions } from "./choice.ts";
import type { Counters } from "./counters.ts";
import type { CrashSuspects } from "./crash_suspects.ts";
import type { DecisionTrace } from "./exclusions.ts";
import type { DecisionExplanation } from "./explain_types.ts";
import type { ExtraCause, ExtraEnd, ExtraStart } from "./extra_types.ts";
import type { WorkReservation } from "./extra_work.ts";
import type { NoticeListener } from "./known_notices.ts";
import type { LoadEntry } from "./load_table.ts";
import type { HostStatusListener } from "./host_status.ts";
import type {
  AccountName,
  Arrival,
  Candidate,
  FailureDomainName,
  GatewayAction,
  GatewayMessage,
  GatewayMessageKind,
  HostId,
  Incarnation,
  LoadReport,
  Millis,
  OfKind,
  ServiceName,
  Ticket,
  Verdict,
} from "./types.ts";

/**
 * An account's limits on retries and hedges. A hedge is a second attempt that
 * is sent while the first one is still open, to cut tail latency.
 */
export interface AccountLimits {
  /** Retries allowed per successful request. */
  readonly retryBudget: number;
  /** Hedges allowed per request; 0 disables them. */
  readonly hedgeBudget: number;
  /** Percentile of recent latency after which a hedge is sent. */
  readonly hedgePercentile: number;
}

/** Settings of a gateway. */
export interface GatewayOptions {
  readonly self: HostId;
  readonly incarnation: Incarnation;
  readonly chooser: ChooserOptions;
  /**
   * Maximum number of attempts per request, including hedges. If non-queueing
   * attempts are enabled, those that never reach an upstream don't count.
   */
  readonly maxAttempts: number;
  /** Timeout for a guard's reply to a reservation or a submitted request, in ms. */
  readonly reserveTimeoutMs: Millis;
  /** Time without a reply after which a link is suspected, in ms. */
  readonly suspectAfterMs: Millis;
  /** False retries without the accounts' budgets, as a baseline for comparison. */
  readonly hasRetryBudget?: boolean;
  /** Live candidates of a service, from membership. */
  getCandidates(service: ServiceName): readonly Candidate[];
  /**
   * What `getCandidates` returns, without a change of any state; tells the trace
   * why other known hosts of the service are none. By default `getCandidates`.
   */
  previewCandidates?(
    service: ServiceName,
    trace: DecisionTrace,
  ): readonly Candidate[];
  getLimits(account: AccountName): AccountLimits;
  /** Hosts that get a non-queueing attempt before a request may queue; 0 queues at the first host. */
  readonly maxNonQueueingAttempts?: number;
  /** Replaces the accounts' retry budgets; a hedge then needs it as well as its account's hedge budget. */
  readonly retryAllowance?: RetryAllowance;
  /** Called when the status of a host changes. */
  readonly onHostStatus?: HostStatusListener;
  /** Time for which a leaving upstream still serves what no other host takes, in ms; 0 by default. */
  readonly leavingMs?: Millis;
  /** Called when an upstream's statements about itself change. */
  readonly onNotice?: NoticeListener;
  /** Enables extra attempts against the slowest responses, in place of hedges; needs non-queueing attempts. */
  readonly extraWork?: ExtraWorkOptions;
  /** Called for each request that ends without an upstream's response. */
  readonly onUnserved?: (arrival: Arrival, arrivedAt: Millis) => void;
  /** Called when a guard refuses a request because its failure domain is evacuated. */
  readonly onDomainRefused?: (failureDomain: FailureDomainName) => void;
  /** True if the list has named an incarnation, also if it has left since; by default, if none is listed. */
  wasListed?(instance: string): boolean;
  /** Start time of an incarnation as the list states it or last stated it. */
  tryGetBornAt?(instance: string): number | undefined;
  /** Requests that ended upstreams; absent if they are served like others. */
  readonly suspects?: Pick<
    CrashSuspects,
    "tryGetQuarantineMs" | "recordEnd" | "recordSuccess"
  >;
  /** True retries an idempotent request after a failure response of its upstream. */
  readonly retriesFailureResponses?: boolean;
}

/** Limit of extra attempts, and who is told of them. */
export interface ExtraWorkOptions {
  /** Extra work allowed as a share of the work of own requests; above 0. */
  readonly share: number;
  readonly onStarted?: (start: ExtraStart) => void;
  readonly onEnded?: (end: ExtraEnd) => void;
}

/** A retry that was acquired. */
export interface RetryCharge {
  /** Returns it, as the attempt involved no upstream. */
  refund(): void;
}

/** Retries and hedges that this gateway may still send to each service. */
export interface RetryAllowance {
  recordRequest(service: ServiceName): void;
  /**
   * Acquires one retry or hedge if the window allows it. It counts as `cost`
   * (by default 1) once the slack is used up.
   */
  tryAcquire(service: ServiceName, cost?: number): boolean;
  /** Acquires a retry that may be returned; without it, `tryAcquire` applies. */
  tryReserve?(service: ServiceName, cost: number): RetryCharge | undefined;
}

/** A gateway: selects a host for each request and drives its attempts. */
export interface Gateway {
  handle(msg: GatewayMessage): GatewayAction[];
  receiveReport(report: LoadReport): void;
  /** Time at which the next Tick is due, in ms; undefined if none is. */
  getNextWake(): Millis | undefined;
  getOpenCount(): number;
  getTicket(id: string, attempt: number): Ticket;
  /**
   * Tells what would be decided on a request now; changes no state. `random`
   * returns the numbers that the decision would draw, by default the next ones.
   */
  explain(arrival: Arrival, random?: () => number): DecisionExplanation;
  /** Hosts of a service, those with the shortest expected response time first. */
  rankHosts(service: ServiceName): HostId[];
  /** Hosts of a service whose newest report is older than the age, in ms. */
  getStaleHosts(service: ServiceName, ageMs: Millis): HostId[];
  /** Load of a host as known to this gateway. */
  getLoad(host: HostId): LoadEntry;
  forgetHost(host: HostId): void;
  /** Extra work as a share of the work of own requests in the last window. */
  getExtraWorkShare(): number;
  readonly counters: Counters;
}

/** Handlers of a gateway by kind of message. */
export type GatewayHandlers = {
  [K in GatewayMessageKind]: (
    msg: OfKind<GatewayMessage, K>,
  ) => GatewayAction[];
};

/** State of an attempt. */
export enum AttemptPhase {
  /** A reservation was sent; nothing can run yet. */
  Reserving,
  /** Sent; it may run. */
  Sent,
  /** Its response is being delivered. */
  Delivering,
  /** Ended; proved not to have run. */
  NotRun,
  /** Ended without proof that it did not run. */
  InDoubt,
}

/** One try of a request at one host. */
export interface Attempt {
  readonly number: number;
  readonly host: HostId;
  readonly failureDomain?: FailureDomainName;
  /** Incarnation of the upstream that the attempt is meant for. */
  readonly instance?: string;
  /** Its start time as Unix time in ms, if the list states it. */
  readonly bornAt?: number;
  readonly sentAt: Millis;
  readonly isHedge: boolean;
  /** False for a non-queueing attempt. */
  readonly mayQueue: boolean;
  /** Longest wait of a non-queueing attempt at its guard, in ms; 0 by default. */
  readonly maxWaitMs?: Millis;
  /** True if all hosts of the service were draining when it was sent. */
  readonly isLastChoice?: boolean;
  /** True for an extra attempt against a slow response. */
  readonly isExtra?: boolean;
  phase: AttemptPhase;
  /** Time at which an unanswered reservation is abandoned, in ms. */
  reserveDeadline?: Millis;
  /** Time by which the guard must accept a submitted attempt, in ms; else its host counts as unresponsive. */
  acceptDeadline?: Millis;
  /** True once the guard has accepted a submitted attempt. */
  isAccepted?: boolean;
  /** Time in which this daemon was late while the attempt was open, in ms. */
  pausedMs?: Millis;
  /** Grant that was sent with Run. */
  grant?: string;
  /** Key under which a granted attempt runs. */
  key?: string;
  /** True once it was submitted or Run was sent. */
  wasDispatched: boolean;
  /** Time at which the gateway queries the outcome of the attempt, in ms. */
  settleAt?: Millis;
  /** Number of settle queries sent. */
  settleTries: number;
  /** True if the response is lost, so that only a settle query can tell the outcome. */
  isLinkLost?: boolean;
  /** True if it ended before its upstream was involved; set only with non-queueing attempts enabled. */
  neverReachedUpstream?: boolean;
  /** True if its guard refused it because of the upstream's limit on requests. */
  isOverLimit?: boolean;
  /** True if its guard refused it as meant for another incarnation and stated the current one. */
  isOutdated?: boolean;
}

/** An extra attempt that is open, as kept in its request. */
export interface ExtraState {
  readonly attempt: Attempt;
  /** The attempt that was open before. */
  readonly first: Attempt;
  readonly cause: ExtraCause;
  /** Expected remaining time of the first attempt at the start, in ms. */
  readonly predictedMs: Millis;
  readonly reservation: WorkReservation;
  readonly charge: RetryCharge | undefined;
  /** Time at which the reserved work is used up, in ms. */
  endAt: Millis;
}

/** A request that is open in a gateway. */
export interface PendingRequest {
  readonly arrival: Arrival;
  readonly deadline: Millis;
  readonly attempts: Attempt[];
  /** Time at which a hedge is due, or a retry if the link is suspected by then, in ms. */
  hedgeAt?: Millis;
  /** Time at which an extra attempt is considered, in ms. */
  extraAt?: Millis;
  /** The extra attempt that is open. */
  extra?: ExtraState;
  retriesLeft: number;
  lastVerdict?: Verdict;
  isDelivering: boolean;
}
