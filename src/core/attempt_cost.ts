/**
 * Learns how long it takes, by service, to find a host that starts a request at
 * once: the round trip of a non-queueing attempt, divided by the share of these
 * attempts that a guard accepts.
 *
 * Load pattern "full hosts and slow daemons": daemons with a quarter of a core
 * take 10 to 25 ms to refuse a request, and at most half of the attempts are
 * accepted at the peak of the load. A slot that becomes free within that time
 * is reached sooner by waiting for it.
 *
 * Load pattern "short calls and slow hosts": a call with an objective of 100 ms
 * has used up its share for asking after one refusal by a host in a slow period,
 * and would queue although most other hosts can start it at once. It asks
 * another host while it still meets its objective after the usual cost of
 * finding one; where most attempts are refused, that cost is too high.
 */

import type { CoreHost, Millis, ServiceName } from "./types.ts";

/** Weight of the newest attempt; the estimates cover about the last twenty. */
const SMOOTHING = 0.05;
/** Attempts before the estimate is used. */
const MIN_ATTEMPTS = 10;
/** Smallest share of accepted attempts that is assumed; below it a request waits elsewhere anyway. */
const MIN_ACCEPTED_SHARE = 0.2;
/** Longest wait as a share of the objective. */
const MAX_OBJECTIVE_SHARE = 1 / 4;

/** Outcome of a non-queueing attempt. */
export interface AttemptOutcome {
  /** When it was sent, in ms. */
  readonly sentAt: Millis;
  readonly isAccepted: boolean;
}

/** Cost of non-queueing attempts of one gateway. */
export interface AttemptCost {
  record(service: ServiceName, outcome: AttemptOutcome): void;
  /** Time that a request may wait at a host instead of trying another one, in whole ms. */
  getMaxWaitMs(service: ServiceName, objectiveMs: Millis | undefined): Millis;
  /** True if a request still meets its objective after finding another host; false if the cost is unknown. */
  hasTimeToAsk(service: ServiceName, request: AskingRequest): boolean;
}

/** Times of a request that was refused by a guard. */
export interface AskingRequest {
  /** Time since its arrival, in ms. */
  readonly tookMs: Millis;
  /** Expected time of the work itself, in ms. */
  readonly workMs: Millis;
  readonly objectiveMs: Millis;
}

interface Estimate {
  count: number;
  roundTripMs: Millis;
  acceptedShare: number;
}

/** Creates estimates without attempts. */
export function createAttemptCost(host: Pick<CoreHost, "now">): AttemptCost {
  const estimates = new Map<ServiceName, Estimate>();
  return { record, getMaxWaitMs, hasTimeToAsk };

  function record(
    service: ServiceName,
    { sentAt, isAccepted }: AttemptOutcome,
  ): void {
    const it = estimates.get(service) ??
      { count: 0, roundTripMs: 0, acceptedShare: 0 };
    estimates.set(service, it);
    it.count += 1;
    const weight = Math.max(SMOOTHING, 1 / it.count);
    it.acceptedShare += weight * ((isAccepted ? 1 : 0) - it.acceptedShare);
    it.roundTripMs += weight * (host.now() - sentAt - it.roundTripMs);
  }

  function getMaxWaitMs(
    service: ServiceName,
    objectiveMs: Millis | undefined,
  ): Millis {
    const costMs = getExpectedMs(service);
    if (costMs === Infinity) return 0;
    const limitMs = (objectiveMs ?? Infinity) * MAX_OBJECTIVE_SHARE;
    return Math.max(0, Math.floor(Math.min(costMs, limitMs)));
  }

  function hasTimeToAsk(
    service: ServiceName,
    { tookMs, workMs, objectiveMs }: AskingRequest,
  ): boolean {
    return tookMs + getExpectedMs(service) + workMs <= objectiveMs;
  }

  /** Expected time to find a host that starts a request at once, in ms; Infinity if unknown. */
  function getExpectedMs(service: ServiceName): Millis {
    const it = estimates.get(service);
    if (it === undefined || it.count < MIN_ATTEMPTS) return Infinity;
    return it.roundTripMs / Math.max(it.acceptedShare, MIN_ACCEPTED_SHARE);
  }
}
