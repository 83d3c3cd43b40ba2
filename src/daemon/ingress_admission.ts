/** Decides which callers' requests the gateway of a store daemon gets, and on what terms. */

import { type DiagnosticName, Diagnostics } from "../core/diagnostics.ts";
import { limitRetryAfter } from "../core/retry_after.ts";
import {
  pickService,
  RouteMatch,
  type RouteTable,
} from "../core/route_table.ts";
import type { PrefixRoute } from "../core/routing_types.ts";
import {
  type Arrival,
  type CoreHost,
  Execution,
  type Millis,
  Repeatability,
  type Verdict,
} from "../core/types.ts";
import type { LateRequest } from "../core/stop_plan.ts";

/** Account of all callers; the deployment does not distinguish client accounts. */
const SINGLE_ACCOUNT = "all";
/** Retries of one request; the shared retry budget is the tighter limit. */
const MAX_RETRIES = 3;

/** What the admission depends on. */
export interface IngressAdmissionOptions {
  /** Routes in force, or undefined before the first configuration. */
  getRoutes(): RouteTable | undefined;
  /** Reason to refuse every new request, or undefined. */
  getRefusalReason?(): DiagnosticName | undefined;
  /** False for a request that a stopping daemon would probably not answer; all may be taken by default. */
  mayTake?(req: LateRequest): boolean;
  /** Time until a stopping daemon may serve again, in ms, once it is started. */
  tryGetReturnMs?(): Millis | undefined;
}

/** What is known of a request before its body is read. */
export interface IngressFacts {
  readonly hostname: string;
  /** Path and query. */
  readonly url: string;
  readonly bodyBytes: number;
  /** The caller's timeout, in ms, if it sent one. */
  readonly timeoutMs?: Millis | undefined;
  /** True if the body is coded in another way than in chunks. */
  readonly hasUnknownCoding?: boolean;
}

/** A request that the gateway gets, or the reason why it doesn't. */
export type IngressAdmission =
  | { readonly route: PrefixRoute; readonly routes: RouteTable }
  | { readonly refusal: DiagnosticName };

/** Decides whether the gateway gets a request. */
export function admitIngress(
  { hostname, url, bodyBytes, timeoutMs, hasUnknownCoding }: IngressFacts,
  options: IngressAdmissionOptions,
): IngressAdmission {
  if (hasUnknownCoding) return { refusal: "unknown_transfer_coding" };
  const refusal = options.getRefusalReason?.();
  if (refusal !== undefined) return { refusal };
  const routes = options.getRoutes();
  if (routes === undefined) return { refusal: "not_ready" };
  const route = routes.tryMatch(hostname, url.split("?")[0]!);
  if (route === undefined) return { refusal: "unknown_route" };
  if (route === RouteMatch.Unreadable) return { refusal: "route_unreadable" };
  if (bodyBytes > routes.config.limits.maxBodyBytes) {
    return { refusal: "body_too_large" };
  }
  return mayTakeNow(route, timeoutMs, options)
    ? { route, routes }
    : { refusal: "stopping" };
}

/** False if the daemon stops and would probably not answer a request of the route. */
export function mayTakeNow(
  route: PrefixRoute,
  timeoutMs: Millis | undefined,
  { mayTake }: Pick<IngressAdmissionOptions, "mayTake">,
): boolean {
  return mayTake === undefined || mayTake({
    route: route.name,
    timeoutMs: Math.min(timeoutMs ?? Infinity, route.timeoutMs),
    isAtMostOnce: route.repeatability === Repeatability.AtMostOnce,
  });
}

/** Terms of a request beside its route. */
export interface IngressTerms {
  readonly id: string;
  /** The caller's timeout, in ms, if it sent one. */
  readonly timeoutMs?: Millis | undefined;
  /** Time since the request arrived, in ms. */
  readonly spentMs: Millis;
  /** Time for which its caller had waited before, in ms; 0 for a first try. */
  readonly waitedBeforeMs?: Millis;
  /** True if the body is kept for a retry. */
  readonly replayable: boolean;
  readonly bodyBytes: number;
  readonly signature?: () => string | undefined;
}

/** Creates the arrival of an admitted request; draws its service. */
export function createIngressArrival(
  host: Pick<CoreHost, "random">,
  route: PrefixRoute,
  {
    id,
    spentMs,
    waitedBeforeMs = 0,
    replayable,
    bodyBytes,
    signature,
    ...terms
  }: IngressTerms,
): Arrival {
  const requestedMs = terms.timeoutMs ?? route.timeoutMs;
  const timeoutMs = Math.min(requestedMs, route.timeoutMs) - spentMs;
  return {
    id,
    account: SINGLE_ACCOUNT,
    service: pickService(route.parts, host),
    repeatability: route.repeatability,
    timeoutMs: Math.max(1, timeoutMs),
    replayable,
    retriesLeft: MAX_RETRIES,
    maxRuns: route.maxRuns,
    // The objective counts from the caller's first try.
    objectiveMs: route.objectiveMs - spentMs - waitedBeforeMs,
    priority: route.priority,
    route: route.name,
    bodyBytes,
    ...(waitedBeforeMs > 0 && { isReturned: true }),
    ...(signature && { signature }),
  };
}

/** Adds when to come back to the refusal of a daemon that stops; other verdicts stay. */
export function addReturn(
  verdict: Verdict,
  { tryGetReturnMs }: Pick<IngressAdmissionOptions, "tryGetReturnMs">,
): Verdict {
  const isStopping = verdict.diagnostic === Diagnostics.stopping;
  const retryAfterMs = isStopping ? tryGetReturnMs?.() : undefined;
  return retryAfterMs === undefined ? verdict : { ...verdict, retryAfterMs };
}

/** Time until capacity is expected, limited to what the caller can wait, in ms; undefined if a retry is not safe. */
export function computeRetryAfter(
  host: Pick<CoreHost, "random">,
  verdict: Verdict,
  sent?: {
    readonly arrival: Pick<Arrival, "timeoutMs">;
    readonly tookMs: Millis;
  },
): Millis | undefined {
  if (verdict.execution !== Execution.NotRun) return undefined;
  if (sent === undefined) return verdict.retryAfterMs;
  const leftMs = sent.arrival.timeoutMs - sent.tookMs;
  const expectedMs = verdict.retryAfterMs;
  return Math.round(limitRetryAfter(host, { expectedMs, leftMs }));
}
