/**
 * Vocabulary of the core: requests, verdicts, keys, load reports and the
 * messages that pass between gateway, guard and whoever drives them.
 */

import type { Diagnostic } from "./diagnostics.ts";

/** Milliseconds; monotonic when used as a point in time. */
export type Millis = number;
/** Name of a host, unique in the fleet. */
export type HostId = string;
/** Name of a client account. */
export type AccountName = string;
/** Name of a service. */
export type ServiceName = string;
/** Identity of one run of a process; never used twice. */
export type Incarnation = string;
/** Name of a failure domain. */
export type FailureDomainName = string;
/** Identity of one attempt: gateway incarnation, request and attempt number. */
export type Ticket = string;

/** What the core asks of its surroundings. */
export interface CoreHost {
  /** Monotonic time in ms. */
  now(): Millis;
  /** A uniform number in [0, 1). */
  random(): number;
  /** A keyed digest of the text, stable for the life of this process. */
  sign(text: string): string;
}

/** Whether a request may have run at an upstream. */
export enum Execution {
  NotRun = "not-run",
  MayHaveRun = "may-have-run",
  Ran = "ran",
}

/** Whether a request may be executed more than once. */
export enum Repeatability {
  Idempotent = "idempotent",
  AtMostOnce = "at-most-once",
}

/** The final word on a request that got no answer, or on an attempt. */
export interface Verdict {
  readonly execution: Execution;
  readonly diagnostic: Diagnostic;
  /** When asking again may help, in ms from now. */
  readonly retryAfterMs?: Millis;
}

/** What a guard learns of a request before its body. */
export interface RequestHead {
  readonly account: AccountName;
  readonly service: ServiceName;
  readonly repeatability: Repeatability;
  /** Idempotency key as text, for a request that was asked before. */
  readonly key?: string;
  /** Digest of method and path; a key serves one fingerprint. */
  readonly fingerprint: string;
  /** Time left for the request, in ms. */
  readonly timeoutMs: Millis;
  /** Time left within which an answer has its full value, in ms. */
  readonly objectiveMs?: Millis;
  /** Rank among the requests of a service; 0 is the most urgent. */
  readonly priority?: number;
  /** Name of the route, whose requests take similar time. */
  readonly route?: string;
  /** False asks for a start at once or a refusal. */
  readonly mayQueue?: boolean;
  /** The incarnation of the upstream that is meant. */
  readonly instance?: string;
}

/** An answer small enough to be kept beside its key. */
export interface KeptAnswer {
  readonly status: number;
  readonly contentType: string;
  /** Base64, at most KEPT_ANSWER_BYTES when decoded. */
  readonly body: string;
  /** Headers of the upstream, where callers get them as they were. */
  readonly headers?: Readonly<Record<string, string | string[]>>;
}

/** Load of an upstream as its guard sees it; rides on every guard message. */
export interface LoadReport {
  readonly host: HostId;
  readonly incarnation: Incarnation;
  /** Rises with every report of one incarnation. */
  readonly sequence: number;
  readonly slots: number;
  readonly inFlight: number;
  readonly queued: number;
  /** Mean time at the upstream, in ms. */
  readonly serviceMs: Millis;
  readonly draining: boolean;
  /** Age of the process in ms, for the warm-up ramp. */
  readonly ageMs: Millis;
  /** How many times longer than usual work takes there now. */
  readonly slowdown?: number;
}

/** A host that may serve a service, as the local view has it. */
export interface Candidate {
  readonly host: HostId;
  readonly failureDomain: FailureDomainName;
  /** The incarnation of its upstream, where the list names one. */
  readonly instance?: string;
}

/** The members of a message union that carry a kind. */
export type OfKind<M extends { kind: unknown }, K> = M extends unknown
  ? K extends M["kind"] ? M : never
  : never;

// Guard

/** Kinds of message that a guard takes. */
export enum GuardMessageKind {
  Reserve = "reserve",
  Submit = "submit",
  Run = "run",
  Release = "release",
  Cancel = "cancel",
  /** Asks what became of a key, and seals it where it has not run. */
  Settle = "settle",
  UpstreamAnswered = "upstream-answered",
  UpstreamFailed = "upstream-failed",
  Drain = "drain",
  Tick = "tick",
}

/** Messages to a guard. */
export type GuardMessage =
  | {
    kind: GuardMessageKind.Reserve | GuardMessageKind.Submit;
    ticket: Ticket;
    head: RequestHead;
  }
  | { kind: GuardMessageKind.Run; ticket: Ticket; grant: string }
  | {
    kind: GuardMessageKind.Release | GuardMessageKind.Cancel;
    ticket: Ticket;
  }
  | {
    kind: GuardMessageKind.Settle;
    ticket: Ticket;
    account: AccountName;
    key: string;
  }
  | {
    kind: GuardMessageKind.UpstreamAnswered;
    ticket: Ticket;
    status: number;
    kept?: KeptAnswer;
  }
  | {
    kind: GuardMessageKind.UpstreamFailed;
    ticket: Ticket;
    execution: Execution;
    diagnostic: Diagnostic;
  }
  | { kind: GuardMessageKind.Drain | GuardMessageKind.Tick };

/** Kinds of action that a guard asks of its driver. */
export enum GuardActionKind {
  Grant = "grant",
  Start = "start",
  Refuse = "refuse",
  Replay = "replay",
  CancelUpstream = "cancel-upstream",
}

/** Actions of a guard. */
export type GuardAction =
  | {
    kind: GuardActionKind.Grant;
    ticket: Ticket;
    grant: string;
    key: string;
  }
  | { kind: GuardActionKind.Start; ticket: Ticket }
  | {
    kind: GuardActionKind.Refuse;
    ticket: Ticket;
    verdict: Verdict;
    /** The grant that is refused, where the ticket had one. */
    grant?: string;
  }
  | { kind: GuardActionKind.Replay; ticket: Ticket; answer: KeptAnswer }
  | { kind: GuardActionKind.CancelUpstream; ticket: Ticket };

// Gateway

/** Kinds of message that a gateway takes. */
export enum GatewayMessageKind {
  Arrived = "arrived",
  Granted = "granted",
  /** A guard took a submitted request and has not refused it. */
  Accepted = "accepted",
  Refused = "refused",
  Answered = "answered",
  Completed = "completed",
  LinkFailed = "link-failed",
  Settled = "settled",
  CallerGone = "caller-gone",
  Tick = "tick",
}

/** A request as it reaches a gateway. */
export interface Arrival {
  readonly id: string;
  readonly account: AccountName;
  readonly service: ServiceName;
  readonly repeatability: Repeatability;
  readonly key?: string;
  /** Time left for the request, in ms. */
  readonly timeoutMs: Millis;
  /** False for a streamed body, which can be sent once only. */
  readonly replayable: boolean;
  /** Retries that the whole call tree may still spend. */
  readonly retriesLeft: number;
  /** Upstreams that may be handed the request; the gateway's limit if absent. */
  readonly maxRuns?: number;
  /** Time left within which an answer has its full value, in ms. */
  readonly objectiveMs?: Millis;
  /** Rank among the requests of a service; 0 is the most urgent. */
  readonly priority?: number;
  /** Name of the route, whose requests take similar time. */
  readonly route?: string;
  /** Size of the request's body in bytes, where it is known. */
  readonly bodyBytes?: number;
}

/** Messages to a gateway. */
export type GatewayMessage =
  | { kind: GatewayMessageKind.Arrived; arrival: Arrival }
  | {
    kind: GatewayMessageKind.Granted;
    id: string;
    attempt: number;
    grant: string;
    key: string;
  }
  | {
    kind: GatewayMessageKind.Refused;
    id: string;
    attempt: number;
    verdict: Verdict;
    /** The grant that is refused; an attempt told to run hears no other. */
    grant?: string;
  }
  | {
    kind: GatewayMessageKind.Answered;
    id: string;
    attempt: number;
    /** Ticket that the answer names; another than the attempt's own is refused. */
    ticket: Ticket;
    /** HTTP status; 500 and above counts as a failure of the upstream. */
    status: number;
  }
  | { kind: GatewayMessageKind.Accepted; id: string; attempt: number }
  | { kind: GatewayMessageKind.Completed; id: string }
  | {
    /** A guard's word on a key; no verdict where the guard can't be reached. */
    kind: GatewayMessageKind.Settled;
    id: string;
    attempt: number;
    verdict: Verdict | undefined;
  }
  | {
    kind: GatewayMessageKind.LinkFailed;
    id: string;
    attempt: number;
    /** False where the link proves that nothing was handed over. */
    mayHaveArrived: boolean;
  }
  | { kind: GatewayMessageKind.CallerGone; id: string }
  | { kind: GatewayMessageKind.Tick };

/** Kinds of action that a gateway asks of its driver. */
export enum GatewayActionKind {
  Reserve = "reserve",
  Submit = "submit",
  Run = "run",
  Release = "release",
  Cancel = "cancel",
  /** Ask the guard over a new connection what became of the attempt. */
  Settle = "settle",
  Deliver = "deliver",
  Finish = "finish",
}

/** Actions of a gateway. */
export type GatewayAction =
  | {
    kind: GatewayActionKind.Reserve | GatewayActionKind.Submit;
    id: string;
    attempt: number;
    to: HostId;
    timeoutMs: Millis;
    /** False asks the guard for a start at once or a refusal. */
    mayQueue?: boolean;
    instance?: string;
  }
  | {
    kind: GatewayActionKind.Run;
    id: string;
    attempt: number;
    to: HostId;
    grant: string;
    key: string;
  }
  | {
    kind: GatewayActionKind.Release | GatewayActionKind.Cancel;
    id: string;
    attempt: number;
    to: HostId;
    /** True where the guard did not answer in time, so the link is doubted. */
    isSilent?: boolean;
  }
  | {
    kind: GatewayActionKind.Settle;
    id: string;
    attempt: number;
    to: HostId;
    key: string;
  }
  | { kind: GatewayActionKind.Deliver; id: string; attempt: number }
  | { kind: GatewayActionKind.Finish; id: string; verdict: Verdict };
