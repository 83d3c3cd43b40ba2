/**
 * Types shared by the core: requests, verdicts, load reports, and the messages
 * and actions of gateways and guards. A gateway sends the requests of callers
 * to hosts; the guard of a host admits them to its upstream. Both are driven by
 * code that does the I/O.
 */

import type { Diagnostic } from "./diagnostics.ts";
import type { UpstreamStart } from "./upstream_start.ts";

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

/** Services that the core requires from its environment. */
export interface CoreHost {
  /** Monotonic time in ms. */
  now(): Millis;
  /** Uniformly distributed number in [0, 1). */
  random(): number;
  /** Returns a source of the numbers that `random` will return next; it draws none of them. */
  previewRandom?(): () => number;
  /** Keyed digest of the text, stable for the life of this process. */
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

/** Final outcome of a request that got no response, or of an attempt. */
export interface Verdict {
  readonly execution: Execution;
  readonly diagnostic: Diagnostic;
  /** Delay after which a retry may succeed, in ms. */
  readonly retryAfterMs?: Millis;
  /** Names the end of the upstream that ran the request, alike for all requests that it ran. */
  readonly end?: string;
  /** Incarnation of the guard's upstream, if the refused request named another one of the same service. */
  readonly currentInstance?: string;
}

/** Metadata of a request, which a guard receives before the body. */
export interface RequestHead {
  readonly account: AccountName;
  readonly service: ServiceName;
  readonly repeatability: Repeatability;
  /** Idempotency key, if the request repeats an earlier one. */
  readonly key?: string;
  /** Digest of method and path; a key is valid for one fingerprint only. */
  readonly fingerprint: string;
  /** Time left for the request, in ms. */
  readonly timeoutMs: Millis;
  /** Time left to meet the latency objective, in ms. */
  readonly objectiveMs?: Millis;
  /** Rank among the requests of a service; 0 is the most urgent. */
  readonly priority?: number;
  /** Name of the route; its requests have similar service times. */
  readonly route?: string;
  /** False if the request is to be started within `maxWaitMs` or refused, not queued for longer. */
  readonly mayQueue?: boolean;
  /** Longest wait of a request that may not queue, in ms; 0 by default. */
  readonly maxWaitMs?: Millis;
  /** True if all hosts of the service are draining, as far as the gateway knows. */
  readonly isLastChoice?: boolean;
  /** True for a caller that has come back after an earlier try, as far as its daemon can tell. */
  readonly isReturned?: boolean;
  /** Incarnation of the upstream that the request is meant for. */
  readonly instance?: string;
  /** Limit of that incarnation as the gateway knows it, in requests per second. */
  readonly limitPerS?: number;
  /** Start time of the incarnation that stated the limit as Unix time in ms, if known. */
  readonly bornAt?: number;
}

/** A response small enough to be stored with its key. */
export interface KeptResponse {
  readonly status: number;
  readonly contentType: string;
  /** Base64, at most MAX_KEPT_RESPONSE_BYTES when decoded. */
  readonly body: string;
  /** Headers of the upstream's response, if callers receive them unchanged. */
  readonly headers?: Readonly<Record<string, string | string[]>>;
}

/** What an upstream states about itself in its responses. */
export interface UpstreamNotice {
  /** Incarnation that states it. */
  readonly instance: string;
  /** Its start time as Unix time in ms, if its guard knows it. */
  readonly bornAt?: number;
  /** True if it is about to leave and must get no more requests. */
  readonly isLeaving: boolean;
  /** Requests per second that it accepts from all hosts together, if it states a limit. */
  readonly limitPerS?: number;
}

/** The statements of one response. */
export interface ResponseNotice {
  /** Requests per second that the upstream accepts from all hosts together. */
  readonly limitPerS?: number;
  readonly isLeaving: boolean;
  /** True if the response states any limit that is in force. */
  readonly isComplete: boolean;
}

/** Where a response came from. */
export interface NoticeSource {
  /** Incarnation that responded. */
  readonly instance: string;
  /** Time at which its request was sent, in ms. */
  readonly sentAt: Millis;
}

/** Load of an upstream as measured by its guard; sent with every guard message. */
export interface LoadReport {
  readonly host: HostId;
  readonly incarnation: Incarnation;
  /** Increases with every report of one incarnation. */
  readonly sequence: number;
  /** Maximum number of concurrent requests at the upstream. */
  readonly slots: number;
  readonly inFlight: number;
  readonly queued: number;
  /** Mean service time at the upstream, in ms. */
  readonly serviceMs: Millis;
  readonly draining: boolean;
  /** Age of the guard, in ms. */
  readonly ageMs: Millis;
  /** Current service time divided by the usual one. */
  readonly slowdown?: number;
  /** Share of the upstream's recent responses that were failures, if there were any. */
  readonly failureShare?: number;
  /** What the upstream states about itself, if anything. */
  readonly notice?: UpstreamNotice;
  /** Time until another request may start, in ms, if the upstream has a limit or is in a slow period. */
  readonly startsInMs?: Millis;
  /** Recent ends of the upstream that interrupted runs whose gateways had given up, if any. */
  readonly ends?: readonly ReportedEnd[];
}

/** An end of an upstream, and hashes of the tickets of the runs without a receiver that it interrupted. */
export interface ReportedEnd {
  readonly end: string;
  readonly hashes: readonly number[];
}

/** A host that may serve a service, as known to this daemon. */
export interface Candidate {
  readonly host: HostId;
  readonly failureDomain: FailureDomainName;
  /** Incarnation of its upstream, if the list names one. */
  readonly instance?: string;
  /** Start time of that incarnation as Unix time in ms, if the list states it. */
  readonly bornAt?: number;
}

/** The members of a message union that carry a kind. */
export type OfKind<M extends { kind: unknown }, K> = M extends unknown
  ? K extends M["kind"] ? M : never
  : never;

// Guard

/** Kinds of messages to a guard. */
export enum GuardMessageKind {
  Reserve = "reserve",
  Submit = "submit",
  Run = "run",
  Release = "release",
  Cancel = "cancel",
  /** Queries the outcome of a key's request; if it has not run, it is sealed and never will. */
  Settle = "settle",
  UpstreamResponded = "upstream-answered",
  UpstreamFailed = "upstream-failed",
  Drain = "drain",
  /** A response of the upstream states something about the upstream, or nothing. */
  Noticed = "noticed",
  /** The list names another start of the upstream. */
  UpstreamListed = "upstream-listed",
  /** The upstream refuses connections: it has ended. */
  UpstreamEnded = "upstream-ended",
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
    kind: GuardMessageKind.UpstreamResponded;
    ticket: Ticket;
    status: number;
    kept?: KeptResponse;
  }
  | {
    kind: GuardMessageKind.UpstreamFailed;
    ticket: Ticket;
    execution: Execution;
    diagnostic: Diagnostic;
    /** Names the end of the upstream, if it ended. */
    end?: string;
  }
  | {
    kind: GuardMessageKind.Drain;
    /** Time at which the daemon stops, in ms; until then it is a last choice. Absent if it is none. */
    stopsAt?: Millis;
  }
  | {
    kind: GuardMessageKind.Noticed;
    notice: ResponseNotice;
    source: NoticeSource;
  }
  | { kind: GuardMessageKind.UpstreamListed; start: UpstreamStart }
  | {
    kind: GuardMessageKind.UpstreamEnded;
    /** Names the end, if it is known to have interrupted a request. */
    end?: string;
    /** The incarnation that runs since, if it is what shows the end. */
    next?: string;
  }
  | { kind: GuardMessageKind.Tick };

/** Kinds of actions that a guard requests from its driver. */
export enum GuardActionKind {
  /** Offers a slot to a reserved ticket; Run with the grant starts it. */
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
    /** The refused grant, if the ticket had one. */
    grant?: string;
  }
  | { kind: GuardActionKind.Replay; ticket: Ticket; response: KeptResponse }
  | { kind: GuardActionKind.CancelUpstream; ticket: Ticket };

// Gateway

/** Kinds of messages to a gateway. */
export enum GatewayMessageKind {
  Arrived = "arrived",
  Granted = "granted",
  /** A guard received a submitted request and has not refused it. */
  Accepted = "accepted",
  Refused = "refused",
  ResponseReceived = "answered",
  Completed = "completed",
  LinkFailed = "link-failed",
  Settled = "settled",
  CallerGone = "caller-gone",
  /** The daemon ends now: no open request can be answered later. */
  Stopping = "stopping",
  Tick = "tick",
}

/** A request as received by a gateway. */
export interface Arrival {
  readonly id: string;
  readonly account: AccountName;
  readonly service: ServiceName;
  readonly repeatability: Repeatability;
  readonly key?: string;
  /** Time left for the request, in ms. */
  readonly timeoutMs: Millis;
  /** False for a streamed body, which can be sent only once. */
  readonly replayable: boolean;
  /** Retries left for the whole call tree. */
  readonly retriesLeft: number;
  /** Maximum number of upstreams for the request; the gateway's limit applies as well. */
  readonly maxRuns?: number;
  /** Time left to meet the latency objective, in ms. */
  readonly objectiveMs?: Millis;
  /** True if the caller has come back after an earlier try, as far as can be told. */
  readonly isReturned?: boolean;
  /** Rank among the requests of a service; 0 is the most urgent. */
  readonly priority?: number;
  /** Name of the route; its requests have similar service times. */
  readonly route?: string;
  /** Size of the request's body in bytes, if known. */
  readonly bodyBytes?: number;
  /**
   * Digest of what identifies the request when it comes again: method, path and
   * body; undefined while a streamed body isn't whole.
   */
  signature?(): string | undefined;
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
    /** The refused grant; once Run was sent, refusals of other grants are ignored. */
    grant?: string;
  }
  | {
    kind: GatewayMessageKind.ResponseReceived;
    id: string;
    attempt: number;
    /** Ticket named in the response; one that isn't the attempt's own is not delivered. */
    ticket: Ticket;
    /** HTTP status; 500 and above counts as a failure of the upstream. */
    status: number;
  }
  | { kind: GatewayMessageKind.Accepted; id: string; attempt: number }
  | {
    kind: GatewayMessageKind.Completed;
    id: string;
    /** Size of the response's body, if it was a success and delivered whole. */
    responseBytes?: number;
  }
  | {
    /** A guard's report on a key; no verdict if the guard can't be reached. */
    kind: GatewayMessageKind.Settled;
    id: string;
    attempt: number;
    verdict: Verdict | undefined;
  }
  | {
    kind: GatewayMessageKind.LinkFailed;
    id: string;
    attempt: number;
    /** False if the link proves that nothing was transferred. */
    mayHaveArrived: boolean;
  }
  | { kind: GatewayMessageKind.CallerGone; id: string }
  | { kind: GatewayMessageKind.Stopping }
  | { kind: GatewayMessageKind.Tick };

/** Kinds of actions that a gateway requests from its driver. */
export enum GatewayActionKind {
  Reserve = "reserve",
  Submit = "submit",
  Run = "run",
  Release = "release",
  Cancel = "cancel",
  /** Queries the outcome of the attempt at its guard over a new connection. */
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
    /** False if the guard is to start the request within `maxWaitMs` or refuse it. */
    mayQueue?: boolean;
    maxWaitMs?: Millis;
    /** True if all hosts of the service are draining. */
    isLastChoice?: boolean;
    instance?: string;
    /** Limit that the upstream has stated, in requests per second. */
    limitPerS?: number;
    /** Start time of the instance that stated it as Unix time in ms, if known. */
    bornAt?: number;
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
    /** True if the guard did not reply in time, so that the link is suspected. */
    isUnresponsive?: boolean;
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
