/** Parses and formats log lines. */

/** One line of a log. */
export interface LogLine {
  readonly time: string;
  readonly event: string;
  /** All fields except time, event and level, in the order of the line. */
  readonly fields: ReadonlyMap<string, string>;
}

const PAIR = /([\w.]+)=("(?:[^"\\]|\\.)*"|\S*)/g;

/** Parses a line; undefined if it has no time or event. */
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

/** Formats a line for display. */
export function formatLine({ time, event, fields }: LogLine): string {
  const rest = [...fields].filter(([name]) => name !== "req")
    .map(([name, value]) => `${name}=${value}`);
  return [time, event, ...rest].join(" ");
}

/** Parses lines; also returns the numbers, from 1, of those that could not be parsed. */
export function parseLines(
  texts: Iterable<string>,
): { lines: LogLine[]; unreadable: number[] } {
  const lines: LogLine[] = [];
  const unreadable: number[] = [];
  let number = 0;
  for (const text of texts) {
    number += 1;
    if (text.trim() === "") continue;
    const line = tryParseLine(text);
    if (line === undefined) unreadable.push(number);
    else lines.push(line);
  }
  return { lines, unreadable };
}

/** Compares by time; a stable sort keeps the order of lines with equal times. */
export function compareTimes(a: LogLine, b: LogLine): number {
  return a.time < b.time ? -1 : a.time > b.time ? 1 : 0;
}

function unquote(value: string): string {
  if (!value.startsWith('"')) return value;
  try {
    return JSON.parse(value) as string;
  } catch {
    // The line was cut off within a quoted value: return the raw text.
    return value;
  }
}
