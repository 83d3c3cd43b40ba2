/** Tells what became of one request from the log lines of many hosts. */

import { tryGetDiagnostic } from "../core/diagnostics.ts";

/** One line of a log. */
export interface LogLine {
  readonly time: string;
  readonly event: string;
  /** All other fields, in the order of the line. */
  readonly fields: ReadonlyMap<string, string>;
}

/** What became of a request. */
export interface Story {
  readonly lines: readonly LogLine[];
  /** The final word and why; undefined where no line of the request was found. */
  readonly cause?: string;
  /** Lines that could not be read, by their number from 1. */
  readonly unreadable: readonly number[];
}

const PAIR = /([\w.]+)=("(?:[^"\\]|\\.)*"|\S*)/g;
/** Events that end a request at the host that took it. */
const FINAL_EVENTS = new Set(["answered", "refused", "caller_gone"]);

/** Reads a line; undefined where it is not one of ours. */
export function tryParseLine(text: string): LogLine | undefined {
  const fields = new Map<string, string>();
  for (const [, name, value] of text.matchAll(PAIR)) {
    fields.set(name!, unquote(value!));
  }
  const time = fields.get("time");
  const event = fields.get("event");
  if (time === undefined || event === undefined) return undefined;
  for (const name of ["time", "event", "level"]) fields.delete(name);
  return { time, event, fields };
}

/** Finds the lines of a request, in order of time, and names the cause. */
export function tellStory(texts: Iterable<string>, id: string): Story {
  const lines: LogLine[] = [];
  const unreadable: number[] = [];
  let number = 0;
  for (const text of texts) {
    number += 1;
    if (text.trim() === "") continue;
    const line = tryParseLine(text);
    if (line === undefined) unreadable.push(number);
    else if (line.fields.get("req") === id) lines.push(line);
  }
  // Clocks of two hosts differ a little; lines of one host keep their order.
  lines.sort((a, b) => a.time < b.time ? -1 : a.time > b.time ? 1 : 0);
  const cause = tryNameCause(lines);
  return { lines, unreadable, ...(cause !== undefined && { cause }) };
}

/** A line for people. */
export function formatLine({ time, event, fields }: LogLine): string {
  const rest = [...fields].filter(([name]) => name !== "req")
    .map(([name, value]) => `${name}=${value}`);
  return [time, event, ...rest].join(" ");
}

function tryNameCause(lines: readonly LogLine[]): string | undefined {
  const first = lines[0];
  if (first === undefined) return undefined;
  const final = lines.findLast(({ event }) => FINAL_EVENTS.has(event));
  if (final === undefined) {
    const host = first.fields.get("host");
    return `no final line: host ${host} ended or lost its lines meanwhile`;
  }
  if (final.event === "caller_gone") return "the caller left before the answer";
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
    (where === undefined ? "" : ` (last heard from ${where}: ` +
      `${failure!.fields.get("reason")})`);
}

function unquote(value: string): string {
  if (!value.startsWith('"')) return value;
  try {
    return JSON.parse(value) as string;
  } catch {
    // A line that was cut off in a quoted value: what is there is shown.
    return value;
  }
}
