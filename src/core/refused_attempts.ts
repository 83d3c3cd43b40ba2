/** What a request's attempts that involved no upstream tell about asking other hosts. */

import { getLastAttempt, hasReachedUpstream } from "./attempts.ts";
import { Diagnostics } from "./diagnostics.ts";
import type { Attempt, PendingRequest } from "./gateway_types.ts";
import type { Verdict } from "./types.ts";

/**
 * Attempts of one request that may end before an upstream is involved, including
 * non-queueing ones. As many more may name outdated incarnations.
 */
const MAX_REFUSED_ATTEMPTS = 8;

/** Refusals of a guard before its upstream was involved. */
const GUARD_REFUSALS = new Set([
  Diagnostics.no_room_now,
  Diagnostics.called_service_full,
  Diagnostics.objective_missed,
  Diagnostics.over_upstream_limit,
  Diagnostics.upstream_leaving,
  Diagnostics.draining,
  Diagnostics.domain_evacuated,
  Diagnostics.not_ready,
  Diagnostics.queue_full,
  Diagnostics.deadline_too_short,
  Diagnostics.deadline_in_queue,
  Diagnostics.over_fair_share,
  Diagnostics.wrong_host,
  Diagnostics.instance_replaced,
  Diagnostics.grant_expired,
]);

/** Reasons for the end of an attempt that don't depend on load. */
const NOT_LOAD_RELATED = new Set([
  Diagnostics.over_upstream_limit,
  Diagnostics.upstream_leaving,
  Diagnostics.draining,
  Diagnostics.domain_evacuated,
  Diagnostics.not_ready,
  Diagnostics.wrong_host,
  Diagnostics.instance_replaced,
  Diagnostics.grant_expired,
  Diagnostics.link_lost,
  Diagnostics.reserve_timeout,
]);

/** True if a guard refused a request before its upstream was involved. */
export function isGuardRefusal({ diagnostic }: Verdict): boolean {
  return GUARD_REFUSALS.has(diagnostic);
}

/** Number of attempts that may have involved an upstream. */
export function countRuns(request: PendingRequest): number {
  return request.attempts.filter(hasReachedUpstream).length;
}

/** True if a request whose last attempt involved no upstream may try another host. */
export function mayTryNextHost(request: PendingRequest): boolean {
  const last = getLastAttempt(request);
  if (last?.neverReachedUpstream !== true) return false;
  if (hasManyRefusals(request)) return false;
  return !last.mayQueue || isNotLoadRelated(request.lastVerdict);
}

/** True once so many attempts were refused that no other host is asked. */
export function hasManyRefusals({ attempts }: PendingRequest): boolean {
  const refused = attempts.filter(isPlainRefusal);
  const outdatedCount = refused.filter((a) => a.isOutdated).length;
  const mostCount = Math.max(outdatedCount, refused.length - outdatedCount);
  return mostCount >= MAX_REFUSED_ATTEMPTS;
}

/** True for an attempt that ended before its upstream was involved and was no extra one. */
export function isPlainRefusal(attempt: Attempt): boolean {
  return !hasReachedUpstream(attempt) && !attempt.isExtra;
}

/** True if the verdict doesn't tell whether other upstreams have capacity. */
function isNotLoadRelated(verdict: Verdict | undefined): boolean {
  return verdict !== undefined && NOT_LOAD_RELATED.has(verdict.diagnostic);
}

/** Hosts that have refused to queue the request under the incarnation that they have. */
export function getAskedQueues({ attempts }: PendingRequest): Set<string> {
  return getHosts(
    attempts.filter((a) => a.mayQueue && isPlainRefusal(a) && !a.isOutdated),
  );
}

/** Hosts of these attempts. */
export function getHosts(attempts: readonly Attempt[]): Set<string> {
  return new Set(attempts.map((a) => a.host));
}
