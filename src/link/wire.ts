/**
 * How requests travel between daemons: HTTP/1.1 with these headers. Heads,
 * verdicts and reports are JSON of fixed shape, checked where they arrive.
 */

import { Err, Ok, type Result } from "../settings/results.ts";
import { z } from "zod";
import { tryGetDiagnostic } from "../core/diagnostics.ts";
import {
  Execution,
  type LoadReport,
  Repeatability,
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
  VerdictJson = "vanillarock-verdict-json",
  /** Digest of the sender's revisions in force. */
  Revisions = "vanillarock-revisions",
  From = "vanillarock-from",
  /** Towards callers. */
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

/** What a message on a peer link asks of the guard. */
export enum Step {
  Reserve = "reserve",
  Run = "run",
  Submit = "submit",
  Release = "release",
  Settle = "settle",
  Keys = "keys",
  Ping = "ping",
}

const headSchema = z.object({
  account: z.string().min(1),
  service: z.string(),
  repeatability: z.enum(Repeatability),
  key: z.string().optional(),
  fingerprint: z.string(),
  timeoutMs: z.number().min(0),
});

const verdictSchema = z.object({
  execution: z.enum(Execution),
  reason: z.string(),
  retryAfterMs: z.number().min(0).optional(),
});

const reportSchema = z.object({
  host: z.string(),
  incarnation: z.string(),
  sequence: z.int().min(0),
  slots: z.int().min(1),
  inFlight: z.int().min(0),
  queued: z.int().min(0),
  serviceMs: z.number().min(0),
  draining: z.boolean(),
  ageMs: z.number().min(0),
});

/** Encodes a request's head. */
export function encodeHead(head: RequestHead): string {
  return JSON.stringify(head);
}

/** Decodes a request's head, or says what is wrong with it. */
export function decodeHead(text: string): Result<RequestHead, string> {
  return decode(text, headSchema) as Result<RequestHead, string>;
}

/** Encodes a verdict; its diagnostic travels as the reason. */
export function encodeVerdict(verdict: Verdict): string {
  const { execution, diagnostic, retryAfterMs } = verdict;
  return JSON.stringify({
    execution,
    reason: diagnostic.reason,
    retryAfterMs,
  });
}

/** Decodes a verdict, or says what is wrong with it. */
export function decodeVerdict(text: string): Result<Verdict, string> {
  const decoded = decode(text, verdictSchema);
  if (decoded.err) return decoded;
  const { execution, reason, retryAfterMs } = decoded.val;
  const diagnostic = tryGetDiagnostic(reason);
  if (diagnostic === undefined) return new Err(`unknown reason ${reason}`);
  return new Ok(
    retryAfterMs === undefined
      ? { execution, diagnostic }
      : { execution, diagnostic, retryAfterMs },
  );
}

/** Encodes a load report, rounded to what the choice needs. */
export function encodeReport(report: LoadReport): string {
  return JSON.stringify({
    ...report,
    serviceMs: Math.round(report.serviceMs * 100) / 100,
    ageMs: Math.round(report.ageMs),
  });
}

/** Decodes a load report, or says what is wrong with it. */
export function decodeReport(text: string): Result<LoadReport, string> {
  return decode(text, reportSchema);
}

function decode<S extends z.ZodType>(
  text: string,
  schema: S,
): Result<z.output<S>, string> {
  let parsed: unknown;
  try {
    parsed = JSON.parse(text);
  } catch {
    return new Err("not JSON");
  }
  const checked = schema.safeParse(parsed);
  if (checked.success) return new Ok(checked.data);
  const issue = checked.error.issues[0]!;
  return new Err(`${issue.path.join(".")}: ${issue.message}`);
}
