/** Logs: one line of key=value pairs for each event. */

import { Writable } from "node:stream";
import bunyan from "bunyan";

const LEVEL_NAMES: Readonly<Record<number, string>> = {
  10: "trace",
  20: "debug",
  30: "info",
  40: "warn",
  50: "error",
  60: "fatal",
};
const OMITTED = new Set(["v", "pid", "hostname", "name", "level", "msg"]);

/** Fields of an event; undefined ones are left out. */
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

/** Creates a logger for a host; events below the level are left out. */
export function createLogger(
  options: { host: string; level: bunyan.LogLevelString; out: Writable },
): Logger {
  const logger = bunyan.createLogger({
    name: "vanillarock",
    host: options.host,
    streams: [{
      type: "raw",
      level: options.level,
      stream: createLineStream(options.out),
    }],
  });
  return {
    debug: (event, fields) => logger.debug(fields ?? {}, event),
    info: (event, fields) => logger.info(fields ?? {}, event),
    warn: (event, fields) => logger.warn(fields ?? {}, event),
    error: (event, fields) => logger.error(fields ?? {}, event),
  };
}

/** One record as a line of key=value pairs. */
export function formatRecord(record: Record<string, unknown>): string {
  const time = record["time"] instanceof Date
    ? record["time"].toISOString()
    : String(record["time"]);
  const pairs = [
    `time=${time}`,
    `level=${LEVEL_NAMES[Number(record["level"])] ?? record["level"]}`,
    `event=${quote(String(record["msg"]))}`,
  ];
  for (const [key, value] of Object.entries(record)) {
    if (OMITTED.has(key) || key === "time" || value === undefined) continue;
    pairs.push(`${key}=${quote(String(value))}`);
  }
  return pairs.join(" ");
}

function createLineStream(out: Writable): Writable {
  return new Writable({
    objectMode: true,
    write(record, _encoding, done) {
      out.write(`${formatRecord(record)}\n`);
      done();
    },
  });
}

function quote(text: string): string {
  return /^[^\s"=]+$/u.test(text) ? text : JSON.stringify(text);
}
