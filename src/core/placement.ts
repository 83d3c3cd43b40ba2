/**
 * Selects the host of a request's next attempt, and whether it may queue there.
 *
 * Load reports are older than the load they describe. A gateway therefore sends
 * non-queueing attempts to a few hosts in turn, those in its own failure domain
 * first, and then queues at the best host. A refused attempt costs a round trip
 * between daemons and does not involve an upstream.
 */

import { getLastAttempt, isOpen } from "./attempts.ts";
import type { AttemptCost } from "./attempt_cost.ts";
import type { Chooser } from "./choice.ts";
import { type DecisionTrace, Exclusion, narrow } from "./exclusions.ts";
import type { PendingRequest } from "./gateway_types.ts";
import { tryParseKey } from "./key_table.ts";
import type { KnownNotices } from "./known_notices.ts";
import type { LoadTable } from "./load_table.ts";
import {
  getAskedQueues,
  getHosts,
  hasManyRefusals,
  isPlainRefusal,
} from "./refused_attempts.ts";
import type { ResponseSizes } from "./response_sizes.ts";
import { SLOW_FACTOR } from "./slow_periods.ts";
import type { Candidate, CoreHost, FailureDomainName } from "./types.ts";

/**
 * Share of its objective that a request may spend on non-queueing attempts.
 * Load pattern "slow refusals": daemons under load take 20 to 90 ms to refuse a call
 * whose work takes 30 ms. With an objective of 150 ms one refusal then uses up
 * the share, and the request queues.
 */
const NON_QUEUEING_SHARE = 1 / 8;
/** Hosts that may refuse to queue a request; each of them has said how long its queue is. */
const MAX_REFUSED_QUEUES = 2;
/** Share of failures beyond that of the best candidate up to which a host is used like the others. */
const MAX_EXTRA_FAILURE_SHARE = 0.25;
/** Draining hosts that a request is offered to at most: all hosts of a large service may drain at once. */
const MAX_LAST_CHOICES = 3;
/** Size from which a body stays in its failure domain if possible, in bytes. */
const LARGE_BODY_BYTES = 16_384;

/** Maximum age of a report of draining that rules out a host, in ms; short, as a refused attempt costs little. */
const DRAINING_REPORT_MAX_AGE_MS = 2_000;

/** Maximum age of a report that makes a non-queueing attempt needless, in ms; a third of a slow period. */
const LOAD_REPORT_MAX_AGE_MS = 50;

/**
 * As above for a report of queued requests, which are served first. Load pattern
 * "queues everywhere": hosts that had queued requests a quarter of a second ago
 * refuse two of three non-queueing attempts, and each request made four.
 */
const QUEUE_REPORT_MAX_AGE_MS = 250;

/** A candidate, and whether the request may queue there. */
export interface PlacementTarget {
  readonly candidate: Candidate;
  readonly mayQueue: boolean;
  /** True if all candidates are draining or their upstreams leaving. */
  readonly isLastChoice?: boolean;
}

/** Selects hosts for attempts. */
export interface Placement {
  tryPlace(
    request: PendingRequest,
    candidates: readonly Candidate[],
  ): PlacementTarget | undefined;
  /** Selects a host for an extra, non-queueing attempt that can start at once as far as known. */
  tryPlaceExtra(
    request: PendingRequest,
    candidates: readonly Candidate[],
  ): Candidate | undefined;
  /** True if the last host refused to queue the request, and another one is expected to serve it in time. */
  hasAnotherQueue(
    request: PendingRequest,
    candidates: readonly Candidate[],
  ): boolean;
  /** True if a draining host is to be asked, as no other took the request. */
  hasLastChoice(
    request: PendingRequest,
    candidates: readonly Candidate[],
  ): boolean;
}

/** Settings of a placement. */
export interface PlacementOptions {
  readonly failureDomain: FailureDomainName;
  /** Hosts that get a non-queueing attempt before a request may queue. */
  readonly maxNonQueueingAttempts: number;
  readonly chooser: Chooser;
  readonly loads: LoadTable;
  readonly notices: Pick<KnownNotices, "isLeaving">;
  readonly responseSizes: Pick<ResponseSizes, "isLarge">;
  /** Set if the decision is explained, not carried out. */
  readonly trace?: DecisionTrace | undefined;
  /** Cost of non-queueing attempts; unknown by default. */
  readonly attemptCost?: Pick<AttemptCost, "hasTimeToAsk">;
}

/** Creates a placement. */
export function createPlacement(
  host: Pick<CoreHost, "now">,
  options: PlacementOptions,
): Placement {
  const { chooser, loads, notices, responseSizes, trace } = options;
  return { tryPlace, tryPlaceExtra, hasAnotherQueue, hasLastChoice };

  function tryPlace(
    request: PendingRequest,
    candidates: readonly Candidate[],
  ): PlacementTarget | undefined {
    if (request.arrival.key !== undefined) return placeAtKeyHome(request);
    if (hasLastChoice(request, candidates)) {
      return placeAtDraining(request, candidates);
    }
    const live = narrow(candidates, findDrainExclusion, trace);
    if (live.length === 0) return undefined;
    const used = getHosts(
      request.attempts.filter((a) => !a.neverReachedUpstream),
    );
    const hasUnused = live.some((c) => !used.has(c.host));
    const pool = hasUnused ? excludeHosts(live, used) : live;
    return tryPlaceNonQueueing(request, pool) ?? placeInQueue(request, pool);
  }

  /**
   * Load pattern "short spells and long queues": reports are older than the load
   * they describe, so that the host which seems best refuses a request that
   * others would still serve in time. Its refusal carries a new report.
   */
  function hasAnotherQueue(
    request: PendingRequest,
    candidates: readonly Candidate[],
  ): boolean {
    const { key, objectiveMs, timeoutMs } = request.arrival;
    const last = getLastAttempt(request);
    const isRefused = key === undefined && last?.mayQueue === true &&
      last.isLastChoice !== true && isPlainRefusal(last);
    if (!isRefused || hasManyRefusals(request)) return false;
    const asked = getAskedQueues(request);
    if (asked.size >= MAX_REFUSED_QUEUES) return false;
    const tookMs = host.now() - (request.deadline - timeoutMs);
    const leftMs = (objectiveMs ?? timeoutMs) - tookMs;
    return candidates.some((c) =>
      !asked.has(c.host) && !isDraining(c) &&
      chooser.getExpectedMs(c) <= leftMs
    );
  }

  /** A request with a key goes to the key's home, which alone knows its outcome. */
  function placeAtKeyHome(
    { arrival }: PendingRequest,
  ): PlacementTarget | undefined {
    const home = tryParseKey(arrival.key ?? "")?.home;
    if (home === undefined) return undefined;
    return { candidate: { host: home, failureDomain: "" }, mayQueue: true };
  }

  /**
   * Load pattern "a roll of stops": daemons that stop one after the other
   * overlap until few hosts of a service or none are not draining, although the
   * upstreams of all live. Where no other host takes a request, a few draining
   * ones are asked once each, as the last choice.
   */
  function hasLastChoice(
    request: PendingRequest,
    candidates: readonly Candidate[],
  ): boolean {
    const mayGoAnywhere = request.arrival.key === undefined;
    if (!mayGoAnywhere || request.attempts.some(isOpen)) return false;
    const last = getLastAttempt(request);
    const isRefused = last?.neverReachedUpstream === true && last.mayQueue &&
      last.isOutdated !== true;
    return (isRefused || candidates.every(isDraining)) &&
      getLastChoices(request, candidates).length > 0;
  }

  function getLastChoices(
    request: PendingRequest,
    candidates: readonly Candidate[],
  ): readonly Candidate[] {
    const asked = getHosts(request.attempts.filter((a) => a.isLastChoice));
    if (asked.size >= MAX_LAST_CHOICES) return [];
    return candidates.filter((c) => isDraining(c) && !asked.has(c.host));
  }

  function placeAtDraining(
    request: PendingRequest,
    candidates: readonly Candidate[],
  ): PlacementTarget | undefined {
    // Why they are last choices, for an explanation.
    if (trace !== undefined) narrow(candidates, findDrainExclusion, trace);
    const last = new Set(getLastChoices(request, candidates));
    const candidate = tryChoose(
      narrow(
        candidates,
        (c) => last.has(c) ? undefined : Exclusion.NotLastChoice,
        trace,
      ),
    );
    return candidate && { candidate, mayQueue: true, isLastChoice: true };
  }

  /** Selects a host for a non-queueing attempt, in the own failure domain first. */
  function tryPlaceNonQueueing(
    request: PendingRequest,
    pool: readonly Candidate[],
  ): PlacementTarget | undefined {
    const refused = request.attempts.filter(isPlainRefusal);
    const triedHosts = getHosts(refused.filter((a) => !a.isOutdated));
    if (
      getHosts(refused).size >= options.maxNonQueueingAttempts ||
      (isNonQueueingTimeSpent(request) && !hasTimeToAsk(request, pool))
    ) {
      return undefined;
    }
    const candidate = tryChooseStartable(request, pool, triedHosts);
    return candidate && { candidate, mayQueue: false };
  }

  function tryPlaceExtra(
    request: PendingRequest,
    candidates: readonly Candidate[],
  ): Candidate | undefined {
    const live = narrow(candidates, findDrainExclusion, trace);
    return tryChooseStartable(request, live, getHosts(request.attempts));
  }

  function tryChooseStartable(
    request: PendingRequest,
    pool: readonly Candidate[],
    triedHosts: ReadonlySet<string>,
  ): Candidate | undefined {
    const untried = excludeHosts(pool, triedHosts);
    const slowLimit = SLOW_FACTOR * getLeastSlowdown(pool);
    const open = filterSound(
      narrow(untried, (c) => findStartObstacle(c, slowLimit), trace),
    );
    const confirmed = open.find((c) => isConfirmed(request, c));
    if (confirmed) {
      narrow(
        open,
        (c) => c === confirmed ? undefined : Exclusion.NotConfirmed,
        trace,
      );
      return confirmed;
    }
    const staysNear = open.some(isInOwnDomain) || staysInDomain(request, pool);
    return tryChoose(staysNear ? filterOwnDomain(open) : open);
  }

  /**
   * True if the guard of the host has just stated its incarnation. After a power
   * loss a request would otherwise learn those of many hosts before it runs.
   */
  function isConfirmed(
    request: PendingRequest,
    { host }: Candidate,
  ): boolean {
    const last = getLastAttempt(request);
    return last?.isOutdated === true && last.host === host;
  }

  /** After a guard has stated its incarnation, only hosts whose guards have. */
  function filterStated(
    request: PendingRequest,
    pool: readonly Candidate[],
  ): readonly Candidate[] {
    if (getLastAttempt(request)?.isOutdated !== true) return pool;
    const refused = request.attempts.filter(isPlainRefusal);
    const stated = getHosts(refused.filter((a) => a.isOutdated));
    if (!pool.some((c) => stated.has(c.host))) return pool;
    return narrow(
      pool,
      (c) => stated.has(c.host) ? undefined : Exclusion.NotConfirmed,
      trace,
    );
  }

  /**
   * The candidates that fail hardly more often than the best one. Load pattern
   * "fast failures": a failing upstream always has room, so that without this
   * the callers of its failure domain would all be sent there first.
   */
  function filterSound(
    candidates: readonly Candidate[],
  ): readonly Candidate[] {
    const getShare = (c: Candidate) => loads.getFailureShare(loads.get(c.host));
    const limit = Math.min(...candidates.map(getShare)) +
      MAX_EXTRA_FAILURE_SHARE;
    return narrow(
      candidates,
      (c) => getShare(c) <= limit ? undefined : Exclusion.Failing,
      trace,
    );
  }

  function isNonQueueingTimeSpent(
    { arrival, deadline }: PendingRequest,
  ): boolean {
    const tookMs = host.now() - (deadline - arrival.timeoutMs);
    return tookMs > (arrival.objectiveMs ?? Infinity) * NON_QUEUEING_SHARE;
  }

  /** True if the request still meets its objective after finding another host. */
  function hasTimeToAsk(
    { arrival, deadline }: PendingRequest,
    pool: readonly Candidate[],
  ): boolean {
    const { service, objectiveMs = Infinity, timeoutMs } = arrival;
    const tookMs = host.now() - (deadline - timeoutMs);
    const workMs = Math.min(...pool.map((c) => loads.getServiceMs(c.host)));
    return options.attemptCost?.hasTimeToAsk(service, {
      tookMs,
      workMs,
      objectiveMs,
    }) ?? false;
  }

  /** Slowdown of the fastest candidate by recent reports; after a start of the whole fleet all are slow. */
  function getLeastSlowdown(pool: readonly Candidate[]): number {
    const recent = pool.map((c) => loads.get(c.host))
      .filter((entry) => loads.getAge(entry) <= QUEUE_REPORT_MAX_AGE_MS)
      .map(({ report }) => Math.max(1, report?.slowdown ?? 1));
    return recent.length === 0 ? 1 : Math.min(...recent);
  }

  /** Why a host can't start a request at once by a recent report, if so. */
  function findStartObstacle(
    { host }: Candidate,
    slowLimit: number,
  ): Exclusion | undefined {
    const entry = loads.get(host);
    const { report } = entry;
    const isSlow = (report?.slowdown ?? 1) >= slowLimit;
    if (loads.getTurnMs(entry) > 0) {
      if (isSlow) return Exclusion.SlowPeriod;
      const hasLimit = report?.notice?.limitPerS !== undefined;
      return hasLimit ? Exclusion.OverLimit : Exclusion.Cold;
    }
    const ageMs = loads.getAge(entry);
    if (report === undefined || ageMs > QUEUE_REPORT_MAX_AGE_MS) {
      return undefined;
    }
    if (report.queued > 0 && !isSlow) return Exclusion.Queueing;
    if (ageMs > LOAD_REPORT_MAX_AGE_MS) return undefined;
    if (isSlow) return Exclusion.SlowPeriod;
    const isFull = report.inFlight + entry.sentSinceReport >= report.slots;
    return isFull ? Exclusion.NoFreeSlot : undefined;
  }

  function placeInQueue(
    request: PendingRequest,
    pool: readonly Candidate[],
  ): PlacementTarget | undefined {
    const overLimit = getHosts(
      request.attempts.filter((a) => a.isOverLimit && a.mayQueue),
    );
    const asked = getAskedQueues(request);
    const open = narrow(filterStated(request, pool), ({ host }) => {
      if (overLimit.has(host)) return Exclusion.OverLimit;
      return asked.has(host) ? Exclusion.Asked : undefined;
    }, trace);
    const candidate = tryChoose(
      staysInDomain(request, open) ? filterOwnDomain(open) : open,
    );
    return candidate && { candidate, mayQueue: true };
  }

  /**
   * A request with a large body or, as learned for its route, large responses
   * leaves its failure domain only if no host there meets the objective.
   */
  function staysInDomain(
    request: PendingRequest,
    pool: readonly Candidate[],
  ): boolean {
    const { bodyBytes, objectiveMs, route } = request.arrival;
    const isLarge = (bodyBytes ?? 0) >= LARGE_BODY_BYTES ||
      responseSizes.isLarge(route);
    if (!isLarge || objectiveMs === undefined) return false;
    return pool.some((c) =>
      isInOwnDomain(c) && chooser.getExpectedMs(c) < objectiveMs
    );
  }

  /** With non-queueing attempts only a recent report counts: the host may have restarted. */
  function findDrainExclusion(candidate: Candidate): Exclusion | undefined {
    if (notices.isLeaving(candidate)) return Exclusion.UpstreamLeaving;
    const entry = loads.get(candidate.host);
    if (entry.report?.draining !== true) return undefined;
    const isCurrent = options.maxNonQueueingAttempts === 0 ||
      loads.getAge(entry) < DRAINING_REPORT_MAX_AGE_MS;
    return isCurrent ? Exclusion.Draining : undefined;
  }

  function isDraining(candidate: Candidate): boolean {
    return findDrainExclusion(candidate) !== undefined;
  }

  function tryChoose(pool: readonly Candidate[]): Candidate | undefined {
    const host = chooser.tryChoose(pool);
    return pool.find((c) => c.host === host);
  }

  function excludeHosts(
    pool: readonly Candidate[],
    hosts: ReadonlySet<string>,
  ): Candidate[] {
    return narrow(
      pool,
      (c) => hosts.has(c.host) ? Exclusion.Asked : undefined,
      trace,
    );
  }

  function filterOwnDomain(pool: readonly Candidate[]): Candidate[] {
    return narrow(
      pool,
      (c) => isInOwnDomain(c) ? undefined : Exclusion.OtherDomain,
      trace,
    );
  }

  function isInOwnDomain(candidate: Candidate): boolean {
    return candidate.failureDomain === options.failureDomain;
  }
}
