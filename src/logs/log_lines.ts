/** Lines of the log as they are written, read back. */

/** One line of a log. */
export interface LogLine {
  readonly time: string;
  readonly event: string;
  /** All other fields, in the order of the line. */
  readonly fields: ReadonlyMap<string, string>;
}

const PAIR = /([\w.]+)=("(?:[^"\\]|\\.)*"|\S*)/g;

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

/** A line for people. */
export function formatLine({ time, event, fields }: LogLine): string {
  const rest = [...fields].filter(([name]) => name !== "req")
    .map(([name, value]) => `${name}=${value}`);
  return [time, event, ...rest].join(" ");
}

/** Splits texts into lines that can be read and the numbers of the others. */
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

/** Orders by time; lines of one host keep their order. */
export function compareTimes(a: LogLine, b: LogLine): number {
  return a.time < b.time ? -1 : a.time > b.time ? 1 : 0;
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
