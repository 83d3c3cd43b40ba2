/**
 * What a daemon tells operators about a request that it would get now: how the
 * request would be served or refused, and why.
 */

import { type DiagnosticName, Diagnostics } from "../core/diagnostics.ts";
import type {
  DecisionExplanation,
  ExplainedAttempt,
  ExplainedCandidate,
} from "../core/explain_types.ts";
import type { RoutePart } from "../core/routing_types.ts";
import {
  Execution,
  type HostId,
  type Millis,
  type Repeatability,
  type ServiceName,
  type Verdict,
} from "../core/types.ts";

/** A request to be explained; it is not sent. */
export interface ExplainQuery {
  readonly account?: string;
  readonly hostname?: string;
  readonly method: string;
  readonly path: string;
  readonly bodyBytes: number;
  /** Time left as the caller states it, in ms, if it does. */
  readonly timeoutMs?: Millis;
}

/** Outcomes of the first decision on a request. */
export enum ExplainedOutcome {
  Sent = "sent",
  Refused = "refused",
}

/** A refusal as the caller would get it. */
export interface ExplainedRefusal {
  readonly reason: string;
  readonly message: string;
  readonly status: number;
  readonly execution: Execution;
  /** Delay that the caller would be told, in ms, if any. */
  readonly retryAfterMs?: Millis;
}

/** How a request would be served, as far as it is known before the gateway's decision. */
export interface RequestProperties {
  /** Name or path of the route. */
  readonly route: string;
  readonly service: ServiceName;
  /** The route's services by weight, if it has several. */
  readonly parts?: readonly RoutePart[];
  readonly repeatability: Repeatability;
  /** Time left, in ms: the caller's, limited by the route's. */
  readonly timeoutMs: Millis;
  /** Latency objective, in ms. */
  readonly objectiveMs?: Millis;
  /** True if the body is kept, so that another attempt can send it again. */
  readonly isBodyKept: boolean;
}

/** The explanation of a request. */
export interface RequestExplanation extends Partial<RequestProperties> {
  /** The host whose daemon was asked. */
  readonly host: HostId;
  readonly request: ExplainQuery;
  /** Versions of the configuration in force. */
  readonly versions: Readonly<Record<string, number>>;
  readonly outcome: ExplainedOutcome;
  /** Present if the request would be refused. */
  readonly refusal?: ExplainedRefusal;
  readonly attempts: readonly ExplainedAttempt[];
  readonly candidates: readonly ExplainedCandidate[];
}

/** What the parts of a daemon contribute to an explanation. */
export interface ExplanationParts {
  readonly host: HostId;
  readonly request: ExplainQuery;
  readonly versions: Readonly<Record<string, number>>;
  /** Absent if the request would be refused before they are known. */
  readonly properties?: RequestProperties | undefined;
  /** The refusal, or what the gateway would decide. */
  readonly decision: DecisionExplanation | Verdict;
  /** The refusal as the caller gets it. */
  describeRefusal(verdict: Verdict): { status: number; retryAfterMs?: Millis };
}

/** Puts the parts of an explanation together. */
export function createExplanation(
  { host, request, versions, properties, decision, describeRefusal }:
    ExplanationParts,
): RequestExplanation {
  const { verdict, attempts, candidates } = "diagnostic" in decision
    ? { verdict: decision, attempts: [], candidates: [] }
    : decision;
  return {
    host,
    request,
    versions,
    ...properties,
    outcome: verdict === undefined
      ? ExplainedOutcome.Sent
      : ExplainedOutcome.Refused,
    ...(verdict !== undefined && {
      refusal: {
        reason: verdict.diagnostic.reason,
        message: verdict.diagnostic.text,
        execution: verdict.execution,
        ...describeRefusal(verdict),
      },
    }),
    attempts,
    candidates,
  };
}

/** The verdict on a request that is refused before the gateway gets it. */
export function createRefusal(
  name: DiagnosticName,
  retryAfterMs?: Millis,
): Verdict {
  return {
    execution: Execution.NotRun,
    diagnostic: Diagnostics[name],
    ...(retryAfterMs !== undefined && { retryAfterMs }),
  };
}

/** Reads a query's parameters; returns a message if one is missing or invalid. */
export function readExplainQuery(
  params: Readonly<Record<string, string | undefined>>,
): ExplainQuery | string {
  const { account, hostname, method = "GET", path = "" } = params;
  const { bodyBytes = "0", timeoutMs } = params;
  if (!path.startsWith("/")) return "path has to start with /";
  if (!/^[A-Z]{1,20}$/.test(method)) return "method has to be in capitals";
  if (!/^\d{1,15}$/.test(bodyBytes)) {
    return "bodyBytes has to be a whole number";
  }
  if (timeoutMs !== undefined && !/^[1-9]\d{0,8}$/.test(timeoutMs)) {
    return "timeoutMs has to be a whole number above 0";
  }
  return {
    ...(account && { account }),
    ...(hostname && { hostname }),
    method,
    path,
    bodyBytes: Number(bodyBytes),
    ...(timeoutMs !== undefined && { timeoutMs: Number(timeoutMs) }),
  };
}
