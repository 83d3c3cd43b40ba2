/** What the fault soak does and what it notes for its judge. */

/** Kinds of fault, injected from outside the daemons. */
export enum FaultKind {
  /** Messages between daemons are late. */
  PeersSlow = "peers-slow",
  PeersReset = "peers-reset",
  PeersSilent = "peers-silent",
  /** Messages arrive, their replies do not. */
  PeersDeaf = "peers-deaf",
  StoreCut = "store-cut",
  StoreReset = "store-reset",
  /** The store refuses every daemon. */
  StoreBusy = "store-busy",
  /** The store drops its history. */
  StoreCompacted = "store-compacted",
  /** The daemon's process stands still and goes on. */
  Paused = "paused",
  Killed = "killed",
  /** The daemon gets SIGTERM and starts again once it is gone. */
  Stopped = "stopped",
  Reloaded = "reloaded",
  /** The upstream says that it leaves, and comes back as a new incarnation. */
  Drained = "drained",
  /** The upstream loses its connections and comes back as a new incarnation. */
  UpstreamCrashed = "upstream-crashed",
  UpstreamSpoilt = "upstream-spoilt",
  UpstreamSlow = "upstream-slow",
  UpstreamForgetful = "upstream-forgetful",
  /** Operators publish a configuration. */
  Published = "published",
}

/** One fault of a plan. */
export interface Fault {
  /** Time from the start of the load, in ms. */
  readonly at: number;
  readonly forMs: number;
  readonly kind: FaultKind;
  readonly host: number;
  /** From 0 to 1; what it means depends on the kind. */
  readonly strength: number;
}

/** Kinds of request, by their route. */
export enum CallKind {
  Read = "read",
  Order = "order",
  Photo = "photo",
}

/** One request as its caller saw it; times are steady, in ms. */
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
  /** What ended the connection without an answer. */
  error?: string;
}

/** One run as its upstream saw it. */
export interface RunRecord {
  readonly id: string;
  readonly instance: string;
  readonly at: number;
  readonly body: string;
}

/** A fault as it was injected. */
export interface Injected {
  readonly kind: FaultKind;
  readonly host: number;
  readonly from: number;
  readonly until: number;
}

/** An upstream whose leaving the store acknowledged. */
export interface Leaving {
  readonly instance: string;
  readonly at: number;
}

/** A process that ended without having been told to. */
export interface OwnEnd {
  readonly host: number;
  readonly at: number;
  readonly lines: readonly string[];
}

/** A daemon at the end, when all faults were over. */
export interface FinalState {
  readonly host: number;
  /** Status of a request on the newest route. */
  readonly newestRoute: number;
  /** Status of a request on a route of an older version only. */
  readonly droppedRoute: number;
  /** Statuses of some reads. */
  readonly reads: readonly number[];
}

/** Everything that the judge sees. */
export interface History {
  readonly calls: readonly CallRecord[];
  readonly runs: readonly RunRecord[];
  readonly arrivals: number;
  readonly injected: readonly Injected[];
  readonly leavings: readonly Leaving[];
  readonly ownEnds: readonly OwnEnd[];
  readonly finals: readonly FinalState[];
}

/** Promises that are checked. */
export enum Promised {
  OwnAnswer = "a success is the upstream's own, whole answer to that request",
  RunsOnce = "an order runs once at most",
  RefusedNeverRuns = "a refusal means that the request has not run",
  OnlyAsked = "an upstream runs only what was asked, unchanged",
  InTime = "a request gets its final answer in time",
  ServesWhileStopping = "a stopping daemon cuts off no request that runs",
  LeftAlone = "an upstream that left gets no more requests",
  ChangesHold = "the newest configuration is in force everywhere",
  Recovers = "after the faults requests are served again",
  StaysUp = "no daemon ends by itself",
  RetriesBounded = "retries stay within the shared budget",
}

/** A broken promise. */
export interface Violation {
  readonly promise: Promised;
  readonly detail: string;
}
