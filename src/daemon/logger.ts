/** Logs one line of key=value pairs for each event. */

import type { Writable } from "node:stream";
import bunyan from "bunyan";
import type { LineBudget } from "../core/line_budget.ts";

/** Time between reports of omitted lines, in ms. */
const OMITTED_REPORT_MS = 1_000;

const LEVEL_NAMES: Readonly<Record<number, string>> = {
  10: "trace",
  20: "debug",
  30: "info",
  40: "warn",
  50: "error",
  60: "fatal",
};
/** Fields of a bunyan record that are not written as they are. */
const RESERVED = new Set([
  "v",
  "pid",
  "hostname",
  "name",
  "level",
  "msg",
  "time",
]);

/** Fields of an event; undefined ones are not written. */
export type LogFields = Record<
  string,
  string | number | boolean | undefined
>;

/** Writes events. */
export interface Logger {
  debug(event: string, fields?: LogFields): void;
  info(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  error(event: string, fields?: LogFields): void;
}

/** Settings of a logger. */
export interface LoggerOptions {
  readonly host: string;
  readonly level: bunyan.LogLevelString;
  readonly out: { write(line: string): unknown };
}

/** Creates a logger for a host; events below the level are not written. */
export function createLogger(options: LoggerOptions): Logger {
  const logger = bunyan.createLogger({
    name: "vanillarock",
    host: options.host,
    streams: [{
      type: "raw",
      level: options.level,
      stream: createLineStream(options.out) as Writable,
    }],
  });
  return {
    debug: (event, fields) => logger.debug(fields ?? {}, event),
    info: (event, fields) => logger.info(fields ?? {}, event),
    warn: (event, fields) => logger.warn(fields ?? {}, event),
    error: (event, fields) => logger.error(fields ?? {}, event),
  };
}

/** Formats a bunyan record as a line of key=value pairs. */
export function formatRecord(record: Record<string, unknown>): string {
  const time = record["time"] instanceof Date
    ? record["time"].toISOString()
    : String(record["time"]);
  const level = LEVEL_NAMES[Number(record["level"])] ?? record["level"];
  let line = `time=${time} level=${level} event=${
    quote(String(record["msg"]))
  }`;
  for (const key in record) {
    const value = record[key];
    if (value === undefined || RESERVED.has(key)) continue;
    line += ` ${key}=${
      typeof value === "number" ? value : quote(String(value))
    }`;
  }
  return line;
}

/**
 * Creates a logger that limits the rate of info lines about requests; all other
 * lines are written. Reports the number of omitted lines once a second.
 */
export function createRateLimitedLogger(
  logger: Logger,
  options: { budget: LineBudget; takeDropped(): number },
): Logger & { close(): void } {
  const timer = setInterval(reportOmitted, OMITTED_REPORT_MS);
  timer.unref();
  return {
    debug: logger.debug,
    info: (event, fields) => {
      const id = fields?.["req"];
      const isWritten = typeof id !== "string" || options.budget.mayWrite(id);
      if (isWritten) logger.info(event, fields);
    },
    warn: logger.warn,
    error: logger.error,
    close: () => clearInterval(timer),
  };

  function reportOmitted(): void {
    const omitted = options.budget.takeOmitted();
    const dropped = options.takeDropped();
    if (omitted + dropped > 0) {
      logger.warn("lines_omitted", { omitted, dropped });
    }
  }
}

/** Of a stream, bunyan only calls `write`. */
function createLineStream(
  out: LoggerOptions["out"],
): { write(record: Record<string, unknown>): void } {
  return { write: (record) => void out.write(`${formatRecord(record)}\n`) };
}

function quote(text: string): string {
  return /^[^\s"=]+$/u.test(text) ? text : JSON.stringify(text);
}
