/** Summarizes a time range from the log lines of many hosts. */

import { compareTimes, type LogLine, parseLines } from "./log_lines.ts";

/** Events logged in one second. */
export interface OutageSecond {
  /** UTC, to the second. */
  readonly time: string;
  accepted: number;
  /** Upstream responses with a status below 500. */
  answered: number;
  /** Upstream responses with status 500 or above. */
  failed: number;
  /** Requests whose caller left. */
  gone: number;
  /** Refusals by reason. */
  readonly refused: Map<string, number>;
}

/** Summary of a time range. */
export interface Outage {
  readonly seconds: readonly OutageSecond[];
  /** Changes of hosts, their configuration, store connection and host status, by time. */
  readonly changes: readonly LogLine[];
  /** Numbers of the lines that could not be parsed, from 1. */
  readonly unreadable: readonly number[];
}

/** Length of a timestamp to the second, as in 2026-01-01T00:00:00. */
const SECOND_LENGTH = 19;
const FAILED_STATUS = 500;
const CHANGES =
  /^(starting|stopping|stopped|reloaded|reload_rejected|store_.*|source_lost|config_in_force|config_degraded|host_(silent|heard|replaced)|upstream_(draining|lapsed|restarted|gone))$/;

type Count = (second: OutageSecond, line: LogLine) => void;

const COUNTS: Record<string, Count> = {
  accepted: (second) => void (second.accepted += 1),
  answered: (second, { fields }) => {
    if (Number(fields.get("status")) < FAILED_STATUS) second.answered += 1;
    else second.failed += 1;
  },
  caller_gone: (second) => void (second.gone += 1),
  refused: ({ refused }, { fields }) => {
    const reason = fields.get("reason") ?? "unknown";
    refused.set(reason, (refused.get(reason) ?? 0) + 1);
  },
};

/** Summarizes the lines between two times, in UTC in the log's format. */
export function summarizeOutage(
  texts: Iterable<string>,
  { from = "", until = "\uffff" }: { from?: string; until?: string } = {},
): Outage {
  const { lines, unreadable } = parseLines(texts);
  const seconds = new Map<string, OutageSecond>();
  const changes: LogLine[] = [];
  for (const line of lines) {
    if (line.time < from || line.time > until) continue;
    if (CHANGES.test(line.event)) changes.push(line);
    COUNTS[line.event]?.(getSecond(line.time), line);
  }
  return {
    seconds: [...seconds.values()].sort((a, b) => a.time < b.time ? -1 : 1),
    changes: changes.sort(compareTimes),
    unreadable,
  };

  function getSecond(time: string): OutageSecond {
    const name = time.slice(0, SECOND_LENGTH);
    let second = seconds.get(name);
    if (second === undefined) {
      second = {
        time: name,
        accepted: 0,
        answered: 0,
        failed: 0,
        gone: 0,
        refused: new Map(),
      };
      seconds.set(name, second);
    }
    return second;
  }
}

/** Formats the counts of a second for display. */
export function formatSecond(second: OutageSecond): string {
  const { time, accepted, answered, failed, gone, refused } = second;
  const reasons = [...refused].sort((a, b) => b[1] - a[1])
    .map(([reason, count]) => `${reason}=${count}`);
  return [
    time,
    `accepted=${accepted}`,
    `answered=${answered}`,
    `failed=${failed}`,
    `gone=${gone}`,
    ...reasons,
  ].join(" ");
}
