/**
 * Protocol between daemons: HTTP/1.1 with these headers. Request heads and
 * verdicts are JSON, load reports a compact text; all are validated on receipt.
 */

import { decodeJson } from "../settings/json.ts";
import { Err, Ok, type Result } from "../settings/results.ts";
import { z } from "zod";
import { type DiagnosticName, tryGetDiagnostic } from "../core/diagnostics.ts";
import {
  Execution,
  type HostId,
  type LoadReport,
  type Millis,
  Repeatability,
  type ReportedEnd,
  type RequestHead,
  type Verdict,
} from "../core/types.ts";

/** Headers between daemons, and between daemons and callers. */
export enum Header {
  Step = "vanillarock-step",
  Ticket = "vanillarock-ticket",
  Head = "vanillarock-head",
  Grant = "vanillarock-grant",
  Report = "vanillarock-report",
  /** What the sender's upstream states about itself; absent if it states nothing. */
  Notice = "vanillarock-notice",
  /** Start time of the upstream that states a notice, as Unix time in ms, if known; earlier versions don't read it. */
  NoticeBornAt = "vanillarock-notice-born-at",
  /** Time until the sender's upstream may start a request, in ms; absent if it may now. */
  StartsInMs = "vanillarock-starts-in-ms",
  /** Recent ends of the sender's upstream that interrupted runs which nobody waits for, as JSON; absent without any. */
  UpstreamEnds = "vanillarock-upstream-ends",
  VerdictJson = "vanillarock-verdict-json",
  /** Digest of the sender's revisions in force. */
  Revisions = "vanillarock-revisions",
  From = "vanillarock-from",
  /** Store revision after which changes are requested. */
  After = "vanillarock-after",
  /** Era of that revision. */
  Era = "vanillarock-era",
  /** Hostname in the caller's request. */
  Hostname = "vanillarock-hostname",
  // Sent to callers or received from them:
  Execution = "vanillarock-execution",
  Reason = "vanillarock-reason",
  Replayed = "vanillarock-replayed",
  Account = "vanillarock-account",
  TimeoutMs = "vanillarock-timeout-ms",
  RetriesLeft = "vanillarock-retries-left",
  RetryAfterMs = "vanillarock-retry-after-ms",
  Key = "idempotency-key",
  RequestId = "x-request-id",
  RetryAfter = "retry-after",
}

/** Operation that a message on a peer link requests of the guard. */
export enum Step {
  Reserve = "reserve",
  Run = "run",
  Submit = "submit",
  Release = "release",
  Settle = "settle",
  Keys = "keys",
  Ping = "ping",
  /** Subscribes to changes of the store. */
  Follow = "follow",
  /** Asks for the state of the store. */
  State = "state",
  /** Exchanges requests that are suspected to end upstreams. */
  Suspects = "suspects",
}

const headSchema = z.object({
  account: z.string().min(1),
  service: z.string(),
  repeatability: z.enum(Repeatability),
  key: z.string().optional(),
  fingerprint: z.string(),
  timeoutMs: z.number().min(0),
  objectiveMs: z.number().optional(),
  priority: z.number().optional(),
  route: z.string().optional(),
  mayQueue: z.boolean().optional(),
  maxWaitMs: z.number().min(0).optional(),
  isLastChoice: z.boolean().optional(),
  isReturned: z.boolean().optional(),
  instance: z.string().optional(),
  limitPerS: z.number().min(0).optional(),
  bornAt: z.number().optional(),
});

const verdictSchema = z.object({
  execution: z.enum(Execution),
  reason: z.string(),
  /** A more specific reason that earlier versions don't know. */
  detail: z.string().optional(),
  retryAfterMs: z.number().min(0).optional(),
  currentInstance: z.string().min(1).optional(),
  end: z.string().min(1).optional(),
});

/**
 * Reasons that earlier versions don't know, with one that they treat alike: they
 * would take a verdict with an unknown reason for one that may have run.
 */
const REASON_BEFORE: ReadonlyMap<string, DiagnosticName> = new Map([
  ["domain_evacuated", "draining"],
  ["called_service_full", "no_room_now"],
  ["objective_missed", "deadline_too_short"],
  ["upstream_ended", "upstream_lost"],
]);

/** Fields of a load report in their order on the wire. */
const REPORT_PATTERN =
  /^([0-9a-f]{8}) (\d+) (\d+) (\d+) (\d+) (\d+) ([01]) (\d+)(?: (\d+))?(?: f(\d+))?$/;
/** Instance, leaving, and with a limit: requests per second and ms until the next turn. */
const NOTICE_PATTERN = /^(\S+) ([01])(?: (\d+(?:\.\d+)?) (\d+))?$/;
/** Service times are sent in tenths of a ms. */
const SERVICE_TIME_SCALE = 10;
/** Slowdowns are sent in hundredths. */
const SLOWDOWN_SCALE = 100;
/** Ages are sent in tenths of a second. */
const AGE_UNIT_MS = 100;
/** Number of trailing digits of the incarnation that a report carries. */
const INCARNATION_SUFFIX_LENGTH = 8;
/** Failure shares are sent in hundredths. */
const FAILURE_SCALE = 100;
/** Group of REPORT_PATTERN with the slowdown. */
const SLOWDOWN_GROUP = 9;
/** Group of REPORT_PATTERN with the failure share. */
const FAILURE_GROUP = 10;

/** Encodes a request's head. */
export function encodeHead(head: RequestHead): string {
  return JSON.stringify(head);
}

/** Decodes a request's head, or returns what is wrong with it. */
export function decodeHead(text: string): Result<RequestHead, string> {
  return decodeJson(text, headSchema) as Result<RequestHead, string>;
}

/** Encodes a verdict, with its diagnostic as the reason. */
export function encodeVerdict(verdict: Verdict): string {
  const { execution, diagnostic, retryAfterMs, currentInstance, end } = verdict;
  const { reason } = diagnostic;
  const known = REASON_BEFORE.get(reason);
  return JSON.stringify({
    execution,
    ...(known === undefined ? { reason } : { reason: known, detail: reason }),
    retryAfterMs,
    currentInstance,
    end,
  });
}

/** Decodes a verdict, or returns what is wrong with it. */
export function decodeVerdict(text: string): Result<Verdict, string> {
  const decoded = decodeJson(text, verdictSchema);
  if (decoded.err) return decoded;
  const { execution, reason, detail, retryAfterMs, currentInstance, end } =
    decoded.val;
  const diagnostic = tryGetDiagnostic(detail ?? "") ?? tryGetDiagnostic(reason);
  if (diagnostic === undefined) return new Err(`unknown reason ${reason}`);
  return new Ok({
    execution,
    diagnostic,
    ...(retryAfterMs !== undefined && { retryAfterMs }),
    ...(currentInstance !== undefined && { currentInstance }),
    ...(end !== undefined && { end }),
  });
}

/**
 * Encodes a load report in about 30 bytes, since every reply carries one. Omits
 * the host, which the link knows, and all but the end of the incarnation, which
 * suffices to detect a change.
 */
export function encodeReport(report: LoadReport): string {
  return [
    report.incarnation.slice(-INCARNATION_SUFFIX_LENGTH),
    report.sequence,
    report.slots,
    report.inFlight,
    report.queued,
    Math.round(report.serviceMs * SERVICE_TIME_SCALE),
    report.draining ? 1 : 0,
    Math.round(report.ageMs / AGE_UNIT_MS),
    ...(report.slowdown === undefined
      ? []
      : [Math.round(report.slowdown * SLOWDOWN_SCALE)]),
    ...(report.failureShare === undefined
      ? []
      : [`f${Math.round(report.failureShare * FAILURE_SCALE)}`]),
  ].join(" ");
}

/** Decodes the load report of a host, or returns what is wrong with it. */
export function decodeReport(
  text: string,
  host: HostId,
): Result<LoadReport, string> {
  const match = REPORT_PATTERN.exec(text);
  if (match === null) return new Err("not a load report");
  const [sequence, slots, inFlight, queued, service, draining, age] = match
    .slice(2, SLOWDOWN_GROUP).map(Number) as [
      number,
      number,
      number,
      number,
      number,
      number,
      number,
    ];
  const slowdown = match[SLOWDOWN_GROUP];
  const failureShare = match[FAILURE_GROUP];
  if (slots === 0) return new Err("load report states 0 slots");
  return new Ok({
    host,
    incarnation: match[1]!,
    sequence,
    slots,
    inFlight,
    queued,
    serviceMs: service / SERVICE_TIME_SCALE,
    draining: draining === 1,
    ageMs: age * AGE_UNIT_MS,
    ...(slowdown !== undefined &&
      { slowdown: Number(slowdown) / SLOWDOWN_SCALE }),
    ...(failureShare !== undefined &&
      { failureShare: Number(failureShare) / FAILURE_SCALE }),
  });
}

/** Encodes what the upstream of a report states about itself; undefined if it states nothing. */
export function encodeNotice(
  { notice, startsInMs = 0 }: LoadReport,
): string | undefined {
  if (notice === undefined) return undefined;
  const { instance, isLeaving, limitPerS } = notice;
  const limit = limitPerS === undefined
    ? []
    : [limitPerS, Math.ceil(startsInMs)];
  return [instance, isLeaving ? 1 : 0, ...limit].join(" ");
}

/** Decodes the part of a load report that a notice contains, or returns what is wrong with it. */
export function decodeNotice(
  text: string,
): Result<Pick<LoadReport, "notice" | "startsInMs">, string> {
  const match = NOTICE_PATTERN.exec(text);
  if (match === null) return new Err("not a notice");
  const [, instance, leaving, limit, startsInMs] = match;
  return new Ok({
    notice: {
      instance: instance!,
      isLeaving: leaving === "1",
      ...(limit !== undefined && { limitPerS: Number(limit) }),
    },
    ...(startsInMs !== undefined && { startsInMs: Number(startsInMs) }),
  });
}

/** Encodes the start time of the upstream that states a notice; undefined if it is not known. */
export function encodeBornAt({ notice }: LoadReport): string | undefined {
  return notice?.bornAt === undefined ? undefined : String(notice.bornAt);
}

/** Decodes such a time; undefined if it can't be read. */
export function decodeBornAt(text: string): number | undefined {
  return /^-?\d{1,16}$/.test(text) ? Number(text) : undefined;
}

/** Encodes the time until the upstream of a report may start a request; undefined if it may now, or a notice states it. */
export function encodeStartsIn(
  { notice, startsInMs = 0 }: LoadReport,
): string | undefined {
  if (notice?.limitPerS !== undefined || startsInMs <= 0) return undefined;
  return String(Math.ceil(startsInMs));
}

/** Decodes such a time; undefined if it can't be read. */
export function decodeStartsIn(text: string): Millis | undefined {
  return /^\d{1,9}$/.test(text) ? Number(text) : undefined;
}

/** Encodes the ends that a report tells of; undefined without any. */
export function encodeEnds({ ends }: LoadReport): string | undefined {
  return ends && JSON.stringify(ends);
}

const endsSchema = z.array(
  z.object({ end: z.string(), hashes: z.array(z.number()) }),
);

/** Decodes such ends, or returns what is wrong with them. */
export function decodeEnds(
  text: string,
): Result<readonly ReportedEnd[], string> {
  return decodeJson(text, endsSchema);
}
