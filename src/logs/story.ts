/** Tells what became of one request from the log lines of many hosts. */

import { tryGetDiagnostic } from "../core/diagnostics.ts";
import { compareTimes, type LogLine, parseLines } from "./log_lines.ts";

/** What became of a request. */
export interface Story {
  readonly lines: readonly LogLine[];
  /** What happened to the hosts of the request meanwhile. */
  readonly context: readonly LogLine[];
  /** The final word and why; undefined where no line of the request was found. */
  readonly cause?: string;
  /** Lines that could not be read, by their number from 1. */
  readonly unreadable: readonly number[];
}

/** Events that end a request at the host that took it. */
const FINAL_EVENTS = new Set(["answered", "refused", "caller_gone"]);
/** Changes of a host's state or belief that may explain a request. */
const CONTEXT_EVENTS = new Set([
  "starting",
  "stopping",
  "stopped",
  "store_lost",
  "store_regained",
  "config_in_force",
  "host_silent",
  "host_heard",
  "host_replaced",
  "upstream_draining",
  "upstream_lapsed",
  "upstream_restarted",
  "upstream_gone",
]);
/** Time around a request in which such changes are shown, in ms. */
const CONTEXT_MS = 2_000;

/** Finds the lines of a request, in order of time, and names the cause. */
export function tellStory(texts: Iterable<string>, id: string): Story {
  const parsed = parseLines(texts);
  const lines = parsed.lines.filter((l) => l.fields.get("req") === id)
    // Clocks of two hosts differ a little.
    .sort(compareTimes);
  const cause = tryNameCause(lines);
  return {
    lines,
    context: findContext(parsed.lines, lines),
    unreadable: parsed.unreadable,
    ...(cause !== undefined && { cause }),
  };
}

/** Changes at the hosts of a request, and of the belief in them at its own. */
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

function tryNameCause(lines: readonly LogLine[]): string | undefined {
  const first = lines[0];
  if (first === undefined) return undefined;
  const final = lines.findLast(({ event }) => FINAL_EVENTS.has(event));
  const silent = tryNameSilent(lines);
  if (final === undefined) {
    const host = first.fields.get("host");
    return `no final line: host ${host} ended or lost its lines meanwhile`;
  }
  if (final.event === "caller_gone") {
    return `the caller left before the answer${silent}`;
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
    (where === undefined ? silent : ` (last heard from ${where}: ` +
      `${failure!.fields.get("reason")})`);
}

/** Names the host of the last attempt where it wrote nothing of the request. */
function tryNameSilent(lines: readonly LogLine[]): string {
  const last = findPlaced(lines).at(-1);
  const to = last?.fields.get("to");
  if (to === undefined || to === last!.fields.get("host")) return "";
  const wrote = lines.some((l) => l.fields.get("host") === to);
  return wrote ? "" : ` (no line of ${to} on attempt ` +
    `${last!.fields.get("attempt")}: lost, cut off, or its lines are missing)`;
}
