/** Types of the lab, which runs the real core in a simulated environment and virtual time. */

import type { ChoicePolicy } from "../core/choice.ts";
import type {
  ControlMessage,
  MemberAnnouncement,
} from "../core/config_types.ts";
import type { AccountLimits } from "../core/gateway_types.ts";
import type {
  AccountName,
  Execution,
  GuardMessage,
  HostId,
  Incarnation,
  LoadReport,
  Millis,
  Repeatability,
  ServiceName,
  Ticket,
  UpstreamNotice,
  Verdict,
} from "../core/types.ts";

/** A host of the lab: a daemon and its upstream. */
export interface LabHost {
  readonly host: HostId;
  readonly service: ServiceName;
  readonly failureDomain: string;
  readonly slots: number;
  /** Mean service time, in ms. */
  readonly serviceMs: Millis;
}

/** Policy of a run; each part can be disabled on its own. */
export interface LabPolicy {
  readonly choice: ChoicePolicy;
  readonly hasRetryBudget: boolean;
  readonly isFair: boolean;
  readonly refusesEarly: boolean;
  readonly prefersOwnDomain: boolean;
  /** Hedges allowed per request. */
  readonly hedgeBudget: number;
  /** True attaches load reports to replies; false gets them by probes only. */
  readonly piggybacks: boolean;
  /** Probes per second that each gateway sends to each host. */
  readonly probesPerSecond: number;
}

/** Options of a lab. */
export interface LabOptions {
  readonly seed: number;
  readonly hosts: readonly LabHost[];
  readonly policy: LabPolicy;
  readonly latency: LabLatency;
  readonly limits?: Partial<AccountLimits>;
  readonly queueCapacity?: number;
  readonly keyCapacity?: number;
  getWeight?(account: AccountName): number;
  /** Receives one line of the trace for each message, decision and verdict. */
  record?(line: string): void;
  /**
   * True runs gossip rounds and adds configuration digests to replies; not
   * needed if only requests are examined.
   */
  readonly spreads?: boolean;
}

/** One-way latencies, in ms. */
export interface LabLatency {
  readonly sameDomainMs: Millis;
  readonly crossDomainMs: Millis;
  readonly callerMs: Millis;
}

/** A call as its caller sends it. */
export interface LabCall {
  /** Id of the call; sending an operation again makes a new call. */
  readonly id: string;
  /** Id of the operation that the caller wants to be executed once. */
  readonly operation: string;
  readonly account: AccountName;
  readonly service: ServiceName;
  readonly repeatability: Repeatability;
  readonly timeoutMs: Millis;
  readonly key?: string;
  readonly replayable?: boolean;
  readonly retriesLeft?: number;
  /** Services called downstream: the upstream calls the first, which calls the next. */
  readonly chain?: readonly ServiceName[];
}

/** Outcome of a call. */
export interface LabOutcome {
  readonly call: LabCall;
  /** Execution that the response stated; "unknown" if the connection to the daemon failed. */
  readonly execution: Execution | "unknown";
  readonly reason: string;
  /** Id of the call that the returned response stems from, if there is a response. */
  readonly responseCallId?: string;
  readonly status?: number;
  readonly key?: string;
  readonly retryAfterMs?: Millis;
  /** What the response states about the upstream that sent it. */
  readonly notice?: UpstreamNotice;
  readonly latencyMs: Millis;
}

/** An execution recorded at an upstream; the guarantees are checked against these. */
export interface LabExecution {
  readonly call: string;
  readonly operation: string;
  readonly key: string;
  readonly host: HostId;
  readonly at: Millis;
  readonly isAtMostOnce: boolean;
  /** Incarnation of the upstream. */
  readonly instance: string;
  /** Incarnation of the daemon that took the call. */
  readonly gateway: Incarnation;
  /** Time at which the host announced that it drains, if it did before this execution. */
  readonly drainingSince?: Millis;
}

/** Address of the attempt that a reply is for. */
export interface ReplyAddress {
  readonly host: HostId;
  readonly incarnation: Incarnation;
  readonly id: string;
  readonly attempt: number;
}

/** A guard's reply to a gateway. */
export type LabReply =
  | { kind: "granted"; grant: string; key: string }
  | { kind: "refused"; verdict: Verdict; grant?: string }
  | { kind: "answer"; status: number; call: string; notice?: UpstreamNotice };

/** Payload of a message between hosts. */
export type LabPayload =
  | {
    kind: "ask";
    msg: GuardMessage;
    /** Missing if the call has ended. */
    call?: LabCall;
    key?: string;
    replyTo: ReplyAddress;
  }
  | {
    kind: "reply";
    from: HostId;
    to: ReplyAddress;
    ticket: Ticket;
    reply: LabReply;
    /** True for the reply to a settlement. */
    isSettlement: boolean;
    report?: LoadReport;
    digest?: string;
  }
  | { kind: "control"; word: MemberAnnouncement; msg: ControlMessage };

/** A message with its addresses and how it is sent. */
export interface LabEnvelope {
  readonly from: HostId;
  readonly to: HostId;
  readonly payload: LabPayload;
  /** True uses a new connection, which an unresponsive link does not affect. */
  readonly onNewConnection?: boolean;
  /** True for a duplicate made by the network or a message delayed by retransmission. */
  readonly isRepeated?: boolean;
}
