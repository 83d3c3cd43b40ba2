/** What an explanation of a gateway's decision states. */

import type { Exclusion } from "./exclusions.ts";
import type { FailureDomainName, HostId, Millis, Verdict } from "./types.ts";

/** A reason not to use a host for the first attempt. */
export interface ReasonAgainst {
  readonly reason: Exclusion;
  /** Time until the reason ends, in ms, if it ends at a known time. */
  readonly endsInMs?: Millis;
}

/** A host of the service as the decision sees it. */
export interface ExplainedCandidate {
  readonly host: HostId;
  readonly failureDomain: FailureDomainName;
  readonly instance?: string;
  /** Number of the attempt that it gets if the guards of all earlier ones refuse; absent if none. */
  readonly attempt?: number;
  /** Expected response time by which it was rated, in ms. */
  readonly expectedMs: Millis;
  /** Age of the load report behind all values below, in ms; null without a report. */
  readonly reportAgeMs: Millis | null;
  /** Slots that are free by the report and what was sent since; null without a report. */
  readonly freeSlots: number | null;
  readonly slots: number | null;
  readonly inFlight: number;
  readonly queued: number;
  /** Requests that this gateway sent since the report. */
  readonly sentSinceReport: number;
  /** Share of recent attempts that failed. */
  readonly failureShare: number;
  /** Current service time by the usual one. */
  readonly slowdown: number;
  /** Time until its upstream's limits allow a request, in ms. */
  readonly startsInMs: Millis;
  /** Limit that its upstream has stated, in requests per second. */
  readonly limitPerS?: number;
  /** In the order in which the decision found them; the host of the first attempt has some if it can't start at once. */
  readonly reasons: readonly ReasonAgainst[];
}

/** An attempt that would be sent if the guards of all earlier ones refuse for lack of room. */
export interface ExplainedAttempt {
  readonly attempt: number;
  readonly host: HostId;
  readonly instance?: string;
  /** True if a slot is reserved before the request is sent. */
  readonly reserves: boolean;
  /** False if the guard is to start it within `maxWaitMs` or refuse it. */
  readonly mayQueue: boolean;
  readonly maxWaitMs: Millis;
  readonly isLastChoice: boolean;
  /** Expected response time, in ms. */
  readonly expectedMs: Millis;
  /** False if the expected response time exceeds the time left, so that the guard may refuse it. */
  readonly isExpectedInTime: boolean;
}

/** What a gateway would decide on a request. */
export interface DecisionExplanation {
  /** Attempts in the order in which they would be sent; empty if the request would be refused. */
  readonly attempts: readonly ExplainedAttempt[];
  /** The refusal, if no attempt would be sent. */
  readonly verdict?: Verdict;
  /** Known hosts of the service: those of attempts, then the others by expected time. */
  readonly candidates: readonly ExplainedCandidate[];
}
