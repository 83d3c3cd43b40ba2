/**
 * Plans the next attempt of a request: which host, on what terms, or why none.
 * Carrying out and explaining a decision use the same plan. The preview for an
 * explanation changes no state.
 */

import { getLastAttempt, isBodyUnsent, mustReserve } from "./attempts.ts";
import type { AttemptCost } from "./attempt_cost.ts";
import type { Chooser } from "./choice.ts";
import type { DiagnosticName } from "./diagnostics.ts";
import type { DecisionTrace } from "./exclusions.ts";
import type { GatewayOptions, PendingRequest } from "./gateway_types.ts";
import type { KnownNotices } from "./known_notices.ts";
import type { LoadTable } from "./load_table.ts";
import {
  createPlacement,
  type Placement,
  type PlacementTarget,
} from "./placement.ts";
import { mayTryNextHost } from "./refused_attempts.ts";
import type { ResponseSizes } from "./response_sizes.ts";
import {
  type Candidate,
  type CoreHost,
  GatewayActionKind,
  type Millis,
} from "./types.ts";
import type { UsableHosts } from "./usable_hosts.ts";

/** What plans depend on. */
export interface PlanBasis {
  readonly options: GatewayOptions;
  readonly chooser: Chooser;
  readonly loads: LoadTable;
  readonly notices: KnownNotices;
  readonly responseSizes: ResponseSizes;
  readonly usableHosts: UsableHosts;
  readonly attemptCost: AttemptCost;
}

/** An attempt that is to be sent. */
export interface PlannedAttempt extends PlacementTarget {
  readonly kind: GatewayActionKind.Reserve | GatewayActionKind.Submit;
  /** Longest wait of a non-queueing attempt at its guard, in ms. */
  readonly maxWaitMs: Millis;
  /** Limit that the upstream has stated, in requests per second. */
  readonly limitPerS?: number;
}

/** Why no attempt can be sent. */
export interface PlannedRefusal {
  readonly refusal: DiagnosticName;
  /** Delay after which a retry may succeed, in ms, if a guard stated one. */
  readonly retryAfterMs?: Millis | undefined;
}

/** Plans attempts. */
export interface AttemptPlanner {
  readonly placement: Placement;
  getCandidates(request: PendingRequest): readonly Candidate[];
  plan(request: PendingRequest): PlannedAttempt | PlannedRefusal;
  /** True if another host may be asked after the last attempt involved no upstream. */
  mayAskAnother(request: PendingRequest): boolean;
}

/** Random numbers of a preview, and what collects its reasons. */
export interface PlanPreview {
  random(): number;
  readonly trace: DecisionTrace;
}

/** Creates a planner; with a preview, one that explains and changes no state. */
export function createAttemptPlanner(
  host: CoreHost,
  basis: PlanBasis,
  preview?: PlanPreview,
): AttemptPlanner {
  const { options, notices, responseSizes, usableHosts } = basis;
  const loads = preview === undefined
    ? basis.loads
    : basis.loads.without(preview.trace.forgotten);
  const placement = createPlacement(host, {
    failureDomain: options.chooser.failureDomain,
    maxNonQueueingAttempts: options.maxNonQueueingAttempts ?? 0,
    chooser: preview === undefined
      ? basis.chooser
      : basis.chooser.preview({ ...preview, loads }),
    loads,
    notices,
    responseSizes,
    attemptCost: basis.attemptCost,
    trace: preview?.trace,
  });
  return { placement, getCandidates, plan, mayAskAnother };

  function getCandidates({ arrival }: PendingRequest): readonly Candidate[] {
    if (preview === undefined) {
      const listed = options.getCandidates(arrival.service);
      return notices.filter(usableHosts.filter(listed));
    }
    const { trace } = preview;
    const listed = (options.previewCandidates ?? options.getCandidates)(
      arrival.service,
      trace,
    );
    return notices.filter(usableHosts.preview(listed, trace), trace);
  }

  function plan(request: PendingRequest): PlannedAttempt | PlannedRefusal {
    const target = placement.tryPlace(request, getCandidates(request));
    if (target === undefined) return planRefusal(request);
    const limitPerS = notices.tryGetLimit(target.candidate);
    return {
      ...target,
      kind: mustReserve(request.arrival)
        ? GatewayActionKind.Reserve
        : GatewayActionKind.Submit,
      maxWaitMs: target.mayQueue ? 0 : getMaxWaitMs(request),
      ...(limitPerS !== undefined && { limitPerS }),
    };
  }

  function planRefusal(request: PendingRequest): PlannedRefusal {
    const isOverLimit = getLastAttempt(request)?.isOverLimit === true;
    return isOverLimit
      ? {
        refusal: "over_upstream_limit",
        retryAfterMs: request.lastVerdict?.retryAfterMs,
      }
      : { refusal: "no_upstream" };
  }

  function getMaxWaitMs({ arrival }: PendingRequest): Millis {
    return basis.attemptCost.getMaxWaitMs(arrival.service, arrival.objectiveMs);
  }

  function mayAskAnother(request: PendingRequest): boolean {
    // What may have run is a matter of retries, also where only draining hosts are left.
    if (getLastAttempt(request)?.neverReachedUpstream !== true) return false;
    // A body that was streamed to a guard with a revoked grant is used up.
    const hasBody = request.arrival.replayable || isBodyUnsent(request);
    return hasBody && host.now() < request.deadline &&
      (mayTryNextHost(request) ||
        placement.hasAnotherQueue(request, getCandidates(request)) ||
        placement.hasLastChoice(request, getCandidates(request)));
  }
}
