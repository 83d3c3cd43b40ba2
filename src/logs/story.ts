/** Traces one request through the log lines of many hosts. */

import { tryGetDiagnostic } from "../core/diagnostics.ts";
import { compareTimes, type LogLine, parseLines } from "./log_lines.ts";

/** Log lines of a request and its outcome. */
export interface RequestTrace {
  readonly lines: readonly LogLine[];
  /** State changes of the request's hosts around its time. */
  readonly context: readonly LogLine[];
  /** Outcome and its cause; undefined if no line of the request was found. */
  readonly cause?: string;
  /** Numbers of the lines that could not be parsed, from 1. */
  readonly unreadable: readonly number[];
}

/** Events that end a request at the host that accepted it. */
const FINAL_EVENTS = new Set(["answered", "refused", "caller_gone"]);
/** Changes of a host or of its host status that may explain the outcome. */
const CONTEXT_EVENTS = new Set([
  "starting",
  "stopping",
  "stopped",
  "store_lost",
  "store_regained",
  "config_in_force",
  "config_degraded",
  "host_silent",
  "host_heard",
  "host_replaced",
  "upstream_draining",
  "upstream_lapsed",
  "upstream_restarted",
  "upstream_gone",
]);
/** Time before and after a request in which changes are included, in ms. */
const CONTEXT_MS = 2_000;

/** Finds the lines of a request, ordered by time, and describes its outcome. */
export function traceRequest(
  texts: Iterable<string>,
  id: string,
): RequestTrace {
  const parsed = parseLines(texts);
  const lines = parsed.lines.filter((l) => l.fields.get("req") === id)
    // Times are compared across hosts, whose clocks differ slightly.
    .sort(compareTimes);
  const cause = tryDescribeCause(lines);
  return {
    lines,
    context: findContext(parsed.lines, lines),
    unreadable: parsed.unreadable,
    ...(cause !== undefined && { cause }),
  };
}

/** Finds changes of the hosts that accepted or got the request, and changes of their host status at the accepting host. */
function findContext(
  all: readonly LogLine[],
  story: readonly LogLine[],
): LogLine[] {
  if (story.length === 0) return [];
  const from = Date.parse(story[0]!.time) - CONTEXT_MS;
  const until = Date.parse(story.at(-1)!.time) + CONTEXT_MS;
  const origin = findOrigin(story);
  const placed = findPlaced(story).map((l) => l.fields.get("to")!);
  return all.filter(({ time, event, fields }) => {
    if (!CONTEXT_EVENTS.has(event)) return false;
    const at = Date.parse(time);
    if (at < from || at > until) return false;
    const host = fields.get("host")!;
    const other = fields.get("address")?.split(":")[0] ?? fields.get("peer");
    if (other !== undefined) return host === origin && placed.includes(other);
    return host === origin || placed.includes(host);
  }).sort(compareTimes);
}

function findOrigin(story: readonly LogLine[]): string | undefined {
  return story.find((l) => l.event === "accepted")?.fields.get("host");
}

function findPlaced(story: readonly LogLine[]): LogLine[] {
  return story.filter((l) => l.event === "placed");
}

function tryDescribeCause(lines: readonly LogLine[]): string | undefined {
  const first = lines[0];
  if (first === undefined) return undefined;
  const final = lines.findLast(({ event }) => FINAL_EVENTS.has(event));
  const silent = describeMissingLines(lines);
  if (final === undefined) {
    const host = first.fields.get("host");
    return `no final line: host ${host} stopped or lost log lines in the meantime`;
  }
  if (final.event === "caller_gone") {
    return `the caller left before the response${silent}`;
  }
  if (final.event === "answered") {
    return `answered with status ${final.fields.get("status")}`;
  }
  const reason = final.fields.get("reason") ?? "unknown";
  const text = tryGetDiagnostic(reason)?.text ?? reason;
  const failure = lines.findLast(({ event }) =>
    event === "upstream_failed" || event === "guard_refused"
  );
  const where = failure?.fields.get("host");
  return `${final.fields.get("execution")}: ${text}` +
    (where === undefined ? silent : ` (last failure reported by ${where}: ` +
      `${failure!.fields.get("reason")})`);
}

/** Names the host of the last attempt if it logged no line of the request; else an empty string. */
function describeMissingLines(lines: readonly LogLine[]): string {
  const last = findPlaced(lines).at(-1);
  const to = last?.fields.get("to");
  if (to === undefined || to === last!.fields.get("host")) return "";
  const wrote = lines.some((l) => l.fields.get("host") === to);
  return wrote ? "" : ` (no line of ${to} on attempt ` +
    `${last!.fields.get("attempt")}: lost, cut off, or its lines are missing)`;
}
