/** Vocabulary of the lab: small fakes around the real core in virtual time. */

import type { ChoicePolicy } from "../core/choice.ts";
import type { ControlMessage, MemberWord } from "../core/config_types.ts";
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
  Verdict,
} from "../core/types.ts";

/** A host of the lab. */
export interface LabHost {
  readonly host: HostId;
  readonly service: ServiceName;
  readonly failureDomain: string;
  readonly slots: number;
  /** Mean service time, in ms. */
  readonly serviceMs: Millis;
}

/** What the policy of a run consists of; each part can be taken out. */
export interface LabPolicy {
  readonly choice: ChoicePolicy;
  readonly hasRetryBudget: boolean;
  readonly isFair: boolean;
  readonly refusesEarly: boolean;
  readonly prefersOwnDomain: boolean;
  readonly hedgeBudget: number;
  /** Reports ride on replies; false learns by probes alone. */
  readonly piggybacks: boolean;
  /** Probes per second of each host. */
  readonly probesPerSecond: number;
}

/** Settings of a lab. */
export interface LabOptions {
  readonly seed: number;
  readonly hosts: readonly LabHost[];
  readonly policy: LabPolicy;
  readonly latency: LabLatency;
  readonly limits?: Partial<AccountLimits>;
  readonly queueCapacity?: number;
  readonly keyCapacity?: number;
  getWeight?(account: AccountName): number;
  /** Called with one line for each message, decision and verdict. */
  record?(line: string): void;
  /** Rounds of the spread; off where only requests matter. */
  readonly spreads?: boolean;
}

/** One-way times, in ms. */
export interface LabLatency {
  readonly sameDomainMs: Millis;
  readonly crossDomainMs: Millis;
  readonly callerMs: Millis;
}

/** What a caller asks. */
export interface LabCall {
  /** Identity of the call; the same operation asked again is another call. */
  readonly id: string;
  /** What the caller wants done once. */
  readonly operation: string;
  readonly account: AccountName;
  readonly service: ServiceName;
  readonly repeatability: Repeatability;
  readonly timeoutMs: Millis;
  readonly key?: string;
  readonly replayable?: boolean;
  readonly retriesLeft?: number;
  /** Services that the upstream calls in turn, nested. */
  readonly chain?: readonly ServiceName[];
}

/** What came of a call. */
export interface LabOutcome {
  readonly call: LabCall;
  readonly execution: Execution | "unknown";
  readonly reason: string;
  /** The call whose answer this is, for an answered one. */
  readonly answeredCall?: string;
  readonly status?: number;
  readonly key?: string;
  readonly retryAfterMs?: Millis;
  readonly latencyMs: Millis;
}

/** One execution at an upstream; the journal is the judge. */
export interface LabExecution {
  readonly call: string;
  readonly operation: string;
  readonly key: string;
  readonly host: HostId;
  readonly at: Millis;
  readonly isProtected: boolean;
  /** Time at which the host had announced that it drains, if so. */
  readonly drainingSince?: Millis;
}

/** Address of the attempt that a reply is for. */
export interface ReplyAddress {
  readonly host: HostId;
  readonly incarnation: Incarnation;
  readonly id: string;
  readonly attempt: number;
}

/** A guard's reply in the lab. */
export type LabReply =
  | { kind: "granted"; grant: string; key: string }
  | { kind: "refused"; verdict: Verdict; grant?: string }
  | { kind: "answer"; status: number; call: string };

/** What travels between hosts of the lab. */
export type LabPayload =
  | {
    kind: "ask";
    msg: GuardMessage;
    /** Left out where the call has ended. */
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
    /** True for the answer to a settlement. */
    isSettlement: boolean;
    report?: LoadReport;
    digest?: string;
  }
  | { kind: "control"; word: MemberWord; msg: ControlMessage };

/** A message and how it travels. */
export interface LabEnvelope {
  readonly from: HostId;
  readonly to: HostId;
  readonly payload: LabPayload;
  /** True opens a connection of its own, which a silent link does not touch. */
  readonly onNewConnection?: boolean;
  /** True for a copy that the network made, or one that it kept back. */
  readonly isRepeated?: boolean;
}
