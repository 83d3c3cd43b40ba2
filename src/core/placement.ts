/**
 * Where the next attempt of a request goes, and whether it may wait there.
 *
 * Reports are older than the load they describe, so a gateway asks: a few
 * guards in turn for a start at once, its own failure domain first, then the
 * best of them for a place in its queue. Asking costs a round trip between
 * daemons; nothing reaches an upstream.
 */

import type { Chooser } from "./choice.ts";
import { Diagnostics } from "./diagnostics.ts";
import type { Attempt, PendingRequest } from "./gateway_types.ts";
import { tryParseKey } from "./key_book.ts";
import type { LoadBook } from "./load_book.ts";
import { SLOW_FACTOR } from "./slow_spells.ts";
import type {
  Candidate,
  CoreHost,
  FailureDomainName,
  Verdict,
} from "./types.ts";

/** Attempts of one request that guards may turn away, asks included. */
const MAX_TURNED_AWAY = 8;
/**
 * Part of its objective that a request may spend on asks. Load pattern "slow
 * asks": daemons under load take 20 to 90 ms to turn away a call whose work
 * takes 30 ms; within an objective of 150 ms it then asks one guard.
 */
const ASKING_SHARE = 1 / 8;
/** Bodies from this size on stay in their failure domain where they can, in bytes. */
const LARGE_BODY_BYTES = 16_384;

/** Age up to which a report of draining is believed, in ms; asking costs little. */
const DRAINING_BELIEF_MS = 2_000;

/** Age up to which a report stands for an answer, in ms; a third of a slow spell. */
const REPORT_BELIEF_MS = 50;

/** Refusals by which a guard says that its upstream never heard of the request. */
const TURNED_AWAY = new Set([
  Diagnostics.no_room_now,
  Diagnostics.draining,
  Diagnostics.queue_full,
  Diagnostics.deadline_too_short,
  Diagnostics.deadline_in_queue,
  Diagnostics.over_fair_share,
  Diagnostics.wrong_host,
  Diagnostics.instance_replaced,
  Diagnostics.grant_expired,
]);

/** Refusals for another reason than load. */
const MOVED = new Set([
  Diagnostics.draining,
  Diagnostics.wrong_host,
  Diagnostics.instance_replaced,
  Diagnostics.grant_expired,
  Diagnostics.link_lost,
  Diagnostics.reserve_timeout,
]);

/** A candidate, and whether the request may wait in its queue. */
export interface Placed {
  readonly candidate: Candidate;
  readonly mayQueue: boolean;
}

/** Places requests. */
export interface Placement {
  tryPlace(
    request: PendingRequest,
    candidates: readonly Candidate[],
  ): Placed | undefined;
}

/** Settings of a placement. */
export interface PlacementOptions {
  readonly failureDomain: FailureDomainName;
  /** Guards that are asked for a start at once before a request queues. */
  readonly maxAsks: number;
  readonly chooser: Chooser;
  readonly loads: LoadBook;
}

/** True where a guard turned a request away before its upstream heard of it. */
export function isTurnedAway({ diagnostic }: Verdict): boolean {
  return TURNED_AWAY.has(diagnostic);
}

/** Attempts of a request that an upstream may have heard of. */
export function countRuns(request: PendingRequest): number {
  return request.attempts.filter((a) => a.isTurnedAway !== true).length;
}

/** True where a request that was turned away may still ask another guard. */
export function mayAskOn(request: PendingRequest): boolean {
  const last = request.attempts.at(-1);
  if (last?.isTurnedAway !== true) return false;
  const turnedAway = request.attempts.filter((a) => a.isTurnedAway).length;
  if (turnedAway >= MAX_TURNED_AWAY) return false;
  return !last.mayQueue || hasMoved(request.lastVerdict);
}

/** True where the refusal says nothing of the room at other upstreams. */
function hasMoved(verdict: Verdict | undefined): boolean {
  return verdict !== undefined && MOVED.has(verdict.diagnostic);
}

/** Creates a placement. */
export function createPlacement(
  host: Pick<CoreHost, "now">,
  options: PlacementOptions,
): Placement {
  const { chooser, loads } = options;
  return { tryPlace };

  function tryPlace(
    request: PendingRequest,
    candidates: readonly Candidate[],
  ): Placed | undefined {
    if (request.arrival.key !== undefined) return placeAtHome(request);
    const live = candidates.filter((c) => !isDraining(c));
    if (live.length === 0) return undefined;
    const used = getHosts(request.attempts.filter((a) => !a.isTurnedAway));
    const unused = live.filter((c) => !used.has(c.host));
    const pool = unused.length > 0 ? unused : live;
    return tryAsk(request, pool) ?? queueAtBest(request, pool);
  }

  /** Only its home knows what became of a request that was asked before. */
  function placeAtHome({ arrival }: PendingRequest): Placed | undefined {
    const home = tryParseKey(arrival.key ?? "")?.home;
    if (home === undefined) return undefined;
    return { candidate: { host: home, failureDomain: "" }, mayQueue: true };
  }

  /** The next guard to ask, the own failure domain's first. */
  function tryAsk(
    request: PendingRequest,
    pool: readonly Candidate[],
  ): Placed | undefined {
    const asked = getHosts(request.attempts.filter((a) => a.isTurnedAway));
    if (asked.size >= options.maxAsks || hasAskedLong(request)) {
      return undefined;
    }
    const open = pool.filter((c) => !asked.has(c.host) && mayStartNow(c));
    const near = open.filter(isNear);
    const next = near.length > 0 || staysNear(request, pool) ? near : open;
    const candidate = tryChoose(next);
    return candidate && { candidate, mayQueue: false };
  }

  function hasAskedLong({ arrival, deadline }: PendingRequest): boolean {
    const tookMs = host.now() - (deadline - arrival.timeoutMs);
    return tookMs > (arrival.objectiveMs ?? Infinity) * ASKING_SHARE;
  }

  /** False where a report of just now says that nothing starts at once there. */
  function mayStartNow({ host }: Candidate): boolean {
    const entry = loads.get(host);
    const { report } = entry;
    if (report === undefined || loads.getAge(entry) > REPORT_BELIEF_MS) {
      return true;
    }
    const isSlow = (report.slowdown ?? 1) >= SLOW_FACTOR;
    const isFull = report.inFlight + entry.sentSinceReport >= report.slots;
    return !isSlow && !isFull && report.queued === 0;
  }

  function queueAtBest(
    request: PendingRequest,
    pool: readonly Candidate[],
  ): Placed | undefined {
    const near = pool.filter(isNear);
    const candidate = tryChoose(staysNear(request, pool) ? near : pool);
    return candidate && { candidate, mayQueue: true };
  }

  /** A large body crosses failure domains only where its own can't be in time. */
  function staysNear(
    request: PendingRequest,
    pool: readonly Candidate[],
  ): boolean {
    const { bodyBytes, objectiveMs } = request.arrival;
    if ((bodyBytes ?? 0) < LARGE_BODY_BYTES || objectiveMs === undefined) {
      return false;
    }
    return pool.some((c) =>
      isNear(c) && chooser.getExpectedMs(c) < objectiveMs
    );
  }

  /** A host that drained may be back; only a young report rules it out. */
  function isDraining({ host }: Candidate): boolean {
    const entry = loads.get(host);
    if (entry.report?.draining !== true) return false;
    return options.maxAsks === 0 || loads.getAge(entry) < DRAINING_BELIEF_MS;
  }

  function tryChoose(pool: readonly Candidate[]): Candidate | undefined {
    const host = chooser.tryChoose(pool);
    return pool.find((c) => c.host === host);
  }

  function isNear(candidate: Candidate): boolean {
    return candidate.failureDomain === options.failureDomain;
  }
}

function getHosts(attempts: readonly Attempt[]): Set<string> {
  return new Set(attempts.map((a) => a.host));
}
