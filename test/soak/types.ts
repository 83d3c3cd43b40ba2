/**
 * Faults of the soak, the recorded history and the guarantees that are checked
 * on it.
 */

/** Kinds of fault, injected from outside the daemons. */
export enum FaultKind {
  /** Messages from other daemons and the replies are delayed. */
  PeersSlow = "peers-slow",
  /** Connections from other daemons are reset. */
  PeersReset = "peers-reset",
  /** Bytes between this daemon and those that connect to it are dropped. */
  PeersUnresponsive = "peers-silent",
  /** Messages from other daemons arrive, the replies are dropped. */
  PeersDropReplies = "peers-deaf",
  StoreUnresponsive = "store-cut",
  StoreReset = "store-reset",
  /** The store responds 503 to every daemon. */
  StoreBusy = "store-busy",
  /** The store drops its history. */
  StoreCompacted = "store-compacted",
  /** The daemon's process is paused and resumed. */
  Paused = "paused",
  Killed = "killed",
  /** The daemon gets SIGTERM and is restarted after its exit. */
  Stopped = "stopped",
  Reloaded = "reloaded",
  /** The upstream is listed as draining, then replaced by a new instance. */
  Drained = "drained",
  /** The upstream resets its connections and restarts as a new instance. */
  UpstreamCrashed = "upstream-crashed",
  /** The upstream fails in a way that `strength` selects. */
  UpstreamFaulty = "upstream-spoilt",
  UpstreamSlow = "upstream-slow",
  /** The upstream resets connections that were idle. */
  UpstreamResetsIdle = "upstream-forgetful",
  /** A configuration is published. */
  Published = "published",
  /** The store is away for a moment and comes back from an older copy. */
  StoreRolledBack = "store-rolled-back",
  /** The upstream states a limit on its requests in its responses. */
  UpstreamLimited = "upstream-limited",
  /** The upstream states in its responses that it is leaving, then is replaced. */
  UpstreamLeaving = "upstream-leaving",
  /** The host's failure domain is evacuated; its upstreams return cold, restarted or not. */
  Evacuated = "evacuated",
  /** The upstream becomes cold while it runs. */
  UpstreamCold = "upstream-cold",
  /** A configuration with an unreadable row is published. */
  PublishedUnreadable = "published-unreadable",
  /** The upstream sends bytes without end, in a way that `strength` selects. */
  UpstreamEndless = "upstream-endless",
  /** A request that ends each upstream that runs it comes again and again, at all hosts in turn. */
  FatalRequest = "fatal-request",
}

/** One fault of a plan. */
export interface Fault {
  /** Time from the start of the load, in ms. */
  readonly at: number;
  readonly durationMs: number;
  readonly kind: FaultKind;
  readonly host: number;
  /** From 0 to 1; the meaning depends on the kind. */
  readonly strength: number;
}

/** Kinds of request, by their route. */
export enum CallKind {
  Read = "read",
  Order = "order",
  Photo = "photo",
}

/** Routes that only one version has. */
export enum VersionRoute {
  Added = "added",
  /** Its row can't be read; the prefix of another route is shorter and matches too. */
  Unreadable = "unreadable",
}

/** A published configuration. */
export interface Publication {
  readonly version: number;
  readonly at: number;
  readonly isDegraded: boolean;
}

/** A request as observed by its caller; times are monotonic, in ms. */
export interface CallRecord {
  readonly id: string;
  readonly kind: CallKind;
  readonly host: number;
  readonly sentAt: number;
  readonly timeoutMs: number;
  readonly body: string;
  endedAt?: number;
  status?: number;
  text?: string;
  isSigned?: boolean;
  /** Error that ended the request without a response. */
  error?: string;
  /** True if its caller ended it itself, after its timeout. */
  hasGivenUp?: boolean;
  /** Instance of the upstream that responded. */
  instance?: string;
  /** Version of which it requested a route. */
  readonly version?: number;
  /** The route of that version that it requested, if so. */
  readonly route?: VersionRoute;
  /** True if the response states a limit of that upstream. */
  statesLimit?: boolean;
  /** True if the response states that the upstream is leaving. */
  statesLeaving?: boolean;
  /** True if it shared its connection with others, sent without waiting for answers. */
  readonly isPiped?: boolean;
  /** Id of the request that the response names, if it names one. */
  answeredId?: string;
}

/** Bytes that a caller received while no request of its connection waited. */
export interface StrayRecord {
  readonly host: number;
  readonly bytes: string;
}

/** A run as observed by its upstream. */
export interface RunRecord {
  readonly id: string;
  readonly instance: string;
  readonly at: number;
  readonly body: string;
}

/** An injected fault with its time. */
export interface InjectedFault {
  readonly kind: FaultKind;
  readonly host: number;
  readonly from: number;
  readonly until: number;
}

/** The time at which the store listed an upstream as draining. */
export interface Departure {
  readonly instance: string;
  readonly at: number;
}

/** A request that reached an upstream, whether it ran or not. */
export interface ArrivalRecord {
  readonly id: string;
  readonly instance: string;
  readonly at: number;
  /** Failure domain of the upstream. */
  readonly zone?: string;
  /** True if the upstream answered 421. */
  readonly isMisdirected?: boolean;
}

/** A span in which the store had the key of an evacuation. */
export interface Evacuation {
  readonly zone: string;
  readonly from: number;
  until: number;
}

/** A span in which an upstream was cold. */
export interface ColdSpan {
  readonly instance: string;
  readonly from: number;
  until: number;
}

/** A span in which the upstream of a host stated a limit. */
export interface LimitSpan {
  readonly instance: string;
  readonly limitPerS: number;
  readonly from: number;
  until: number;
}

/** A span in which the process of callers, upstreams and store was held up. */
export interface HeldUpSpan {
  readonly from: number;
  readonly until: number;
}

/** A span within which a thread of a daemon was ready to run and got no processor, by the kernel's count. */
export interface StarvedSpan extends HeldUpSpan {
  readonly host: number;
  /** Part of the span, in ms. */
  readonly waitedMs: number;
}

/** Most resident memory that a daemon had, in bytes. */
export interface PeakMemory {
  readonly host: number;
  readonly bytes: number;
}

/** The exit of a process that no fault ended. */
export interface UnexpectedExit {
  readonly host: number;
  readonly at: number;
  readonly lines: readonly string[];
}

/** State of a daemon after the end of all faults. */
export interface FinalState {
  readonly host: number;
  readonly from: number;
  readonly until: number;
  /** Status of a request on the newest route. */
  readonly newestRoute: number;
  /** Status of a request on a route that only the previous version had. */
  readonly droppedRoute: number;
  /** Status of a request on the unreadable route of the newest version. */
  readonly unreadableRoute: number;
  /** Statuses of some reads. */
  readonly reads: readonly number[];
}

/** All observations of a run. */
export interface History {
  readonly calls: readonly CallRecord[];
  readonly strays: readonly StrayRecord[];
  readonly runs: readonly RunRecord[];
  readonly arrivals: readonly ArrivalRecord[];
  readonly limits: readonly LimitSpan[];
  readonly injected: readonly InjectedFault[];
  readonly departures: readonly Departure[];
  readonly evacuations: readonly Evacuation[];
  readonly coldSpans: readonly ColdSpan[];
  readonly publications: readonly Publication[];
  /** Requests that end each upstream that runs them. */
  readonly fatalCalls: readonly CallRecord[];
  /** Times at which upstreams ended under them, in ms. */
  readonly ends: readonly number[];
  /** Instances with a response without end whose connection is open after all faults. */
  readonly endlessOpen: readonly string[];
  readonly heldUp: readonly HeldUpSpan[];
  readonly starved: readonly StarvedSpan[];
  readonly peakMemory: readonly PeakMemory[];
  readonly unexpectedExits: readonly UnexpectedExit[];
  readonly finals: readonly FinalState[];
}

/** Guarantees that are checked. */
export enum Guarantee {
  OwnResponse = "a success is the upstream's own, whole answer to that request",
  RunsOnce = "an order runs once at most",
  RefusedNeverRuns = "a refusal means that the request has not run",
  RunsUnchanged = "an upstream runs only what was asked, unchanged",
  InTime = "a request gets its final answer in time",
  ServesWhileStopping = "a stopping daemon cuts off no request that runs",
  AnswersInOrder =
    "a connection carries the answers to its requests in their order, and nothing else",
  NothingAfterDeparture = "an upstream that left gets no more requests",
  ConfigInForce = "the newest configuration is in force everywhere",
  Recovers = "after the faults requests are served again",
  StaysUp = "no daemon ends by itself",
  RetriesBounded = "retries stay within the shared budget",
  LimitKept = "an upstream gets no more than the limit that it states",
  NothingAfterLeaving =
    "an upstream gets no request from a host that passed on that it is leaving",
  NothingWhileEvacuated =
    "an evacuated failure domain gets no request from a daemon that reaches the store",
  UnreadableRefused =
    "a route that can't be read is refused, not served by another",
  VersionsAdvance = "a daemon never goes back to an earlier configuration",
  EndlessClosed = "the connection of a response without end is closed",
  MemoryBounded = "a daemon's memory stays within its limit",
  FatalBounded =
    "a request that has ended three upstreams reaches few more from hosts without a fault",
  ColdBoundKept = "a cold upstream gets no more than the bound in any second",
}

/** A violation of a guarantee. */
export interface Violation {
  readonly guarantee: Guarantee;
  readonly detail: string;
}

/** The result of all checks. */
export interface Verdict {
  readonly violations: readonly Violation[];
  /** Violations of bounds in time that may be due to the soak's own process or the machine. */
  readonly unjudged: readonly Violation[];
}
