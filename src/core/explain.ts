/**
 * Explains what a gateway would decide on a request now. The decision code
 * itself plans the attempts, and reports its reasons as it drops candidates.
 * Nothing is sent, and no state changes.
 */

import {
  addAttempt,
  createPendingRequest,
  createVerdict,
  endWithVerdict,
} from "./attempts.ts";
import {
  createAttemptPlanner,
  type PlanBasis,
  type PlannedAttempt,
  type PlannedRefusal,
} from "./attempt_plan.ts";
import { Diagnostics } from "./diagnostics.ts";
import type { DecisionTrace, Exclusion } from "./exclusions.ts";
import type {
  DecisionExplanation,
  ExplainedAttempt,
  ExplainedCandidate,
  ReasonAgainst,
} from "./explain_types.ts";
import type { PendingRequest } from "./gateway_types.ts";
import { chooseRetryAfter } from "./retry_after.ts";
import {
  type Arrival,
  type Candidate,
  type CoreHost,
  Execution,
  GatewayActionKind,
  type HostId,
  type Millis,
  type Verdict,
} from "./types.ts";

/** What an explanation depends on. */
export interface ExplainOptions {
  readonly host: CoreHost;
  readonly basis: PlanBasis;
  /** Returns the numbers that the decision would draw. */
  random(): number;
}

/** What a trace of one attempt has collected of a host. */
interface Seen {
  candidate: Candidate;
  reasons: ReasonAgainst[];
  expectedMs?: Millis;
}

/** Explains the decision on a request that would arrive now. */
export function explainDecision(
  arrival: Arrival,
  { host, basis, random }: ExplainOptions,
): DecisionExplanation {
  let seen = new Map<string, Seen>();
  const forgotten = new Set<HostId>();
  const trace: DecisionTrace = {
    exclude: (
      candidate: Candidate,
      reason: Exclusion,
      endsInMs?: Millis,
    ): void => {
      const { reasons } = see(candidate);
      // A later check of the same attempt may repeat an earlier one.
      if (reasons.some((r) => r.reason === reason)) return;
      reasons.push({ reason, ...(endsInMs !== undefined && { endsInMs }) });
    },
    rate: (candidate: Candidate, expectedMs: Millis): void => {
      see(candidate).expectedMs = expectedMs;
    },
    forget: (id) => void forgotten.add(id),
    forgotten,
  };
  const loads = basis.loads.without(forgotten);
  const chooser = basis.chooser.preview({ random, trace, loads });
  const planner = createAttemptPlanner(host, basis, { random, trace });
  const request = createPendingRequest(arrival, host.now());
  const usable = new Set(planner.getCandidates(request).map(getKey));
  const first = planner.plan(request);
  if (!("refusal" in first)) see(first.candidate);
  const firstSeen = seen;
  if ("refusal" in first) {
    return {
      attempts: [],
      verdict: refuse(request, first),
      candidates: explainCandidates([]),
    };
  }
  const attempts: ExplainedAttempt[] = [];
  let plan: PlannedAttempt | PlannedRefusal = first;
  while (!("refusal" in plan)) {
    attempts.push(explainAttempt(plan));
    assumeRefusal(plan);
    if (!planner.mayAskAnother(request)) break;
    seen = new Map();
    plan = planner.plan(request);
  }
  return { attempts, candidates: explainCandidates(attempts) };

  function see(candidate: Candidate): Seen {
    const key = getKey(candidate);
    let it = seen.get(key);
    if (it === undefined) {
      it = { candidate, reasons: [] };
      seen.set(key, it);
    }
    return it;
  }

  function refuse(
    request: PendingRequest,
    { refusal, retryAfterMs }: PlannedRefusal,
  ): Verdict {
    return createVerdict(request, refusal, {
      retryAfterMs: chooseRetryAfter({ random }, retryAfterMs),
    });
  }

  function explainAttempt(plan: PlannedAttempt): ExplainedAttempt {
    const { candidate, isLastChoice = false } = plan;
    const expectedMs = getExpectedMs(see(candidate));
    return {
      attempt: attempts.length + 1,
      host: candidate.host,
      ...(candidate.instance !== undefined && { instance: candidate.instance }),
      reserves: plan.kind === GatewayActionKind.Reserve,
      mayQueue: plan.mayQueue,
      maxWaitMs: plan.maxWaitMs,
      isLastChoice,
      expectedMs,
      isExpectedInTime: expectedMs <= arrival.timeoutMs,
    };
  }

  /** Ends an attempt as if its guard refused it for lack of room, at once. */
  function assumeRefusal(plan: PlannedAttempt): void {
    const attempt = addAttempt(request, plan.candidate, {
      ...plan,
      now: host.now(),
      isHedge: false,
    });
    attempt.neverReachedUpstream =
      (basis.options.maxNonQueueingAttempts ?? 0) > 0;
    endWithVerdict(request, attempt, {
      execution: Execution.NotRun,
      diagnostic: plan.mayQueue
        ? Diagnostics.deadline_too_short
        : Diagnostics.no_room_now,
    });
  }

  function explainCandidates(
    attempts: readonly ExplainedAttempt[],
  ): ExplainedCandidate[] {
    const getRank = (c: ExplainedCandidate): number => {
      if (c.attempt !== undefined) return c.attempt;
      return usable.has(getKey(c)) ? attempts.length + 1 : attempts.length + 2;
    };
    return [...firstSeen.values()]
      .map((it) => {
        const key = getKey(it.candidate);
        const first = attempts.find((a) => getKey(a) === key);
        return explainCandidate(it, first?.attempt);
      })
      .sort((a, b) => getRank(a) - getRank(b) || a.expectedMs - b.expectedMs);
  }

  function explainCandidate(
    it: Seen,
    attempt: number | undefined,
  ): ExplainedCandidate {
    const { candidate, reasons } = it;
    const entry = loads.get(candidate.host);
    const { report, sentSinceReport } = entry;
    const limitPerS = basis.notices.tryGetLimit(candidate);
    return {
      ...candidate,
      ...(attempt !== undefined && { attempt }),
      expectedMs: getExpectedMs(it),
      reportAgeMs: report === undefined ? null : loads.getAge(entry),
      freeSlots: report === undefined
        ? null
        : Math.max(0, report.slots - report.inFlight - sentSinceReport),
      slots: report?.slots ?? null,
      inFlight: report?.inFlight ?? 0,
      queued: report?.queued ?? 0,
      sentSinceReport,
      failureShare: loads.getFailureShare(entry),
      slowdown: report?.slowdown ?? 1,
      startsInMs: loads.getTurnMs(entry),
      ...(limitPerS !== undefined && { limitPerS }),
      reasons,
    };
  }

  function getExpectedMs({ candidate, expectedMs }: Seen): Millis {
    return expectedMs ?? chooser.getExpectedMs(candidate);
  }
}

/** Tells the incarnations at one host apart. */
function getKey(
  { host, instance = "" }: Pick<Candidate, "host" | "instance">,
): string {
  return `${host} ${instance}`;
}
