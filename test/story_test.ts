/** Finds the cause of a request's outcome from log lines alone. */

import { expect, test } from "vitest";
import { formatRecord } from "../src/daemon/logger.ts";
import { tryParseLine } from "../src/logs/log_lines.ts";
import { formatSecond, summarizeOutage } from "../src/logs/outage.ts";
import { traceRequest } from "../src/logs/story.ts";

const LINES = [
  "time=2026-01-01T00:00:00.010Z level=info event=placed host=a req=r1 attempt=1 to=b mayQueue=false",
  "time=2026-01-01T00:00:00.012Z level=info event=guard_refused host=b req=r1 reason=no_room_now execution=not-run inFlight=9 slots=9",
  "time=2026-01-01T00:00:00.001Z level=info event=accepted host=a req=r1 route=reads",
  "time=2026-01-01T00:00:00.020Z level=info event=refused host=a req=r1 execution=not-run reason=deadline_too_short",
  "time=2026-01-01T00:00:00.005Z level=info event=accepted host=a req=r2 route=reads",
  "not a line",
];

test("a refused request names the host that refused it and the reason", () => {
  const { lines, cause, unreadable } = traceRequest(LINES, "r1");
  expect(lines.map((l) => l.event)).toEqual([
    "accepted",
    "placed",
    "guard_refused",
    "refused",
  ]);
  expect(cause).toBe(
    "not-run: the expected wait exceeds the time left " +
      "(last failure reported by b: no_room_now)",
  );
  expect(unreadable).toEqual([6]);
});

test("a request without a final line is reported as such, an unknown one has no story", () => {
  expect(traceRequest(LINES, "r2").cause).toContain("no final line: host a");
  expect(traceRequest(LINES, "r3")).toMatchObject({ lines: [] });
  expect(traceRequest(LINES, "r3").cause).toBeUndefined();
});

test("what the logger writes is read back", () => {
  const text = formatRecord({
    time: new Date(0),
    level: 30,
    msg: "store_lost",
    host: "a",
    message: 'Error: "no" = way',
  });
  expect(tryParseLine(text)?.fields.get("message")).toBe('Error: "no" = way');
});

const UNRESPONSIVE_HOST_LINES = [
  "time=2026-01-01T00:00:00.001Z level=info event=accepted host=a req=r4 route=reads",
  "time=2026-01-01T00:00:00.002Z level=info event=placed host=a req=r4 attempt=1 to=b",
  "time=2026-01-01T00:00:00.800Z level=info event=caller_gone host=a req=r4",
  "time=2026-01-01T00:00:01.500Z level=info event=upstream_gone host=a instance=i address=b:80",
  "time=2026-01-01T00:00:01.600Z level=info event=starting host=b incarnation=2",
  "time=2026-01-01T00:00:01.700Z level=info event=starting host=c incarnation=2",
  "time=2026-01-01T00:00:09.000Z level=info event=starting host=b incarnation=3",
];

test("a host that wrote nothing is named, with what became of it", () => {
  const { cause, context } = traceRequest(UNRESPONSIVE_HOST_LINES, "r4");
  expect(cause).toContain("no line of b on attempt 1");
  expect(context.map((l) => `${l.event} ${l.fields.get("host")}`)).toEqual([
    "upstream_gone a",
    "starting b",
  ]);
});

test("an outage is summed up by second, refusals by reason", () => {
  const { seconds, changes, unreadable } = summarizeOutage([
    ...LINES,
    ...UNRESPONSIVE_HOST_LINES,
  ]);
  expect(seconds.map(formatSecond)).toEqual([
    "2026-01-01T00:00:00 accepted=3 answered=0 failed=0 gone=1 " +
    "deadline_too_short=1",
  ]);
  expect(changes).toHaveLength(4);
  expect(unreadable).toEqual([6]);
  const later = summarizeOutage(UNRESPONSIVE_HOST_LINES, {
    from: "2026-01-01T00:00:05",
  });
  expect(later.seconds).toEqual([]);
  expect(later.changes).toHaveLength(1);
});
