/** Settings and state of a gateway, apart from the code that uses them. */

import type { ChooserOptions } from "./choice.ts";
import type { Counters } from "./counters.ts";
import type { LoadEntry } from "./load_book.ts";
import type { NoteBelief } from "./usable_hosts.ts";
import type {
  AccountName,
  Arrival,
  Candidate,
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

/** What an account's settings say of retries and hedges. */
export interface AccountLimits {
  /** Retries allowed per successful request. */
  readonly retryBudget: number;
  /** Hedges allowed per request; 0 switches them off. */
  readonly hedgeBudget: number;
  /** Percentile of recent latency after which a hedge is sent. */
  readonly hedgePercentile: number;
}

/** Settings of a gateway. */
export interface GatewayOptions {
  readonly self: HostId;
  readonly incarnation: Incarnation;
  readonly chooser: ChooserOptions;
  /** Attempts per request at most, hedges included. */
  readonly maxAttempts: number;
  /** Longest wait for a guard's word on a reservation, in ms. */
  readonly reserveTimeoutMs: Millis;
  /** Silence after which a link is doubted, in ms. */
  readonly silenceMs: Millis;
  /** False retries without a budget, as a baseline. */
  readonly hasRetryBudget?: boolean;
  /** Live candidates of a service, from membership. */
  getCandidates(service: ServiceName): readonly Candidate[];
  getLimits(account: AccountName): AccountLimits;
  /** Guards that are asked for a start at once before a request queues; 0 queues at the first. */
  readonly maxAsks?: number;
  /** Replaces the accounts' retry budgets. */
  readonly retryAllowance?: RetryAllowance;
  /** Hears what the gateway comes to believe of hosts. */
  readonly onBelief?: NoteBelief;
  /** True sends an idempotent request again after an upstream's own failure. */
  readonly retriesFailures?: boolean;
}

/** Sends beyond the first of a request that this gateway may still make. */
export interface RetryAllowance {
  noteRequest(service: ServiceName): void;
  /** Takes one send to a further upstream where the window allows it. */
  tryTake(service: ServiceName): boolean;
}

/** Why a request would go where it goes. */
export interface Explanation {
  readonly host: HostId;
  readonly expectedMs: Millis;
  /** Share of recent attempts without a good answer. */
  readonly failureShare: number;
  readonly reportAgeMs: Millis;
  readonly inFlight: number;
  readonly queued: number;
}

/** A gateway. */
export interface Gateway {
  handle(msg: GatewayMessage): GatewayAction[];
  takeReport(report: LoadReport): void;
  getNextWake(): Millis | undefined;
  getOpenCount(): number;
  getTicket(id: string, attempt: number): Ticket;
  explain(service: ServiceName): Explanation[];
  /** Hosts of a service whose newest report is older than the age, in ms. */
  getStaleHosts(service: ServiceName, ageMs: Millis): HostId[];
  /** What is known of a host's load. */
  getLoad(host: HostId): LoadEntry;
  forgetHost(host: HostId): void;
  readonly counters: Counters;
}

/** What a gateway does at each kind of message. */
export type GatewayHandlers = {
  [K in GatewayMessageKind]: (
    msg: OfKind<GatewayMessage, K>,
  ) => GatewayAction[];
};

/** Where an attempt stands. */
export enum AttemptPhase {
  /** Reserve sent; nothing can run. */
  Reserving,
  /** Sent such that it may run. */
  Sent,
  /** Its answer is being delivered. */
  Delivering,
  /** Ended, proved not to have run. */
  NotRun,
  /** Ended without proof. */
  InDoubt,
}

/** One try of a request at one host. */
export interface Attempt {
  readonly number: number;
  readonly host: HostId;
  /** The incarnation of the upstream that is meant. */
  readonly instance?: string;
  readonly sentAt: Millis;
  readonly isHedge: boolean;
  /** False where its guard was asked for a start at once. */
  readonly mayQueue: boolean;
  phase: AttemptPhase;
  /** When a reservation is given up, in ms. */
  reserveDeadline?: Millis;
  /** When a submitted attempt without a word of its guard is given up, in ms. */
  acceptDeadline?: Millis;
  /** The grant that the attempt was told to run with. */
  grant?: string;
  /** Key under which a granted attempt runs. */
  key?: string;
  wasToldToRun: boolean;
  /** When silence makes the gateway ask what became of the attempt, in ms. */
  settleAt?: Millis;
  settleTries: number;
  /** True where only asking again can bring the answer. */
  isLinkLost?: boolean;
  /** True where its guard turned it away before its upstream heard of it. */
  isTurnedAway?: boolean;
}

/** A request in a gateway. */
export interface PendingRequest {
  readonly arrival: Arrival;
  readonly deadline: Millis;
  readonly attempts: Attempt[];
  hedgeAt?: Millis;
  retriesLeft: number;
  lastVerdict?: Verdict;
  isDelivering: boolean;
}
