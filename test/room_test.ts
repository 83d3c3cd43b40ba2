/** The room at the hosts when requests were refused, from log lines alone. */

import { expect, test } from "vitest";
import { findRoom } from "../src/logs/room.ts";

const LINES = [
  "time=2026-01-01T00:00:00.000Z level=info event=starting host=a service=shop",
  "time=2026-01-01T00:00:00.000Z level=info event=starting host=b service=shop",
  "time=2026-01-01T00:00:00.000Z level=info event=starting host=c service=other",
  "time=2026-01-01T00:00:01.000Z level=info event=accepted host=c req=r1 service=shop",
  "time=2026-01-01T00:00:01.010Z level=info event=guard_refused host=a req=r1 reason=no_room_now inFlight=0 queued=0 slots=8 slowdown=7",
  "time=2026-01-01T00:00:01.020Z level=info event=guard_refused host=b req=r1 reason=no_room_now inFlight=8 queued=2 slots=8 slowdown=1",
  "time=2026-01-01T00:00:01.030Z level=info event=guard_refused host=c req=r1 reason=no_room_now inFlight=0 queued=0 slots=8 slowdown=1",
  "time=2026-01-01T00:00:01.040Z level=info event=refused host=c req=r1 reason=deadline_too_short",
  "time=2026-01-01T00:00:02.000Z level=info event=accepted host=c req=r2 service=shop",
  "time=2026-01-01T00:00:02.050Z level=info event=refused host=c req=r2 reason=deadline_too_short",
  // Its state is that of its start, 10 ms before the second refusal.
  "time=2026-01-01T00:00:02.240Z level=info event=upstream_answered host=b req=r3 status=200 tookMs=200 slowdown=1 inFlight=5 queued=0",
];

test("a refusal shows the hosts of its service only, at the time of the refusal", () => {
  const { refused } = findRoom(LINES);
  expect(refused).toMatchObject([
    {
      id: "r1",
      hasRoom: false,
      hosts: [
        { host: "a", freeSlots: 8, queued: 0, slowdown: 7, ageMs: 30 },
        { host: "b", freeSlots: 0, queued: 2, slowdown: 1, ageMs: 20 },
      ],
    },
    {
      id: "r2",
      hasRoom: true,
      hosts: [{ host: "b", freeSlots: 3, queued: 0, slowdown: 1, ageMs: 10 }],
    },
  ]);
});

test("lines that are cut off show no state", () => {
  const cut = LINES.map((line) => line.replace(/ slots=8.*/, ""));
  expect(findRoom([...cut, "not a line"])).toMatchObject({
    refused: [{ hosts: [] }, { hosts: [] }],
    unreadable: [LINES.length + 1],
  });
});
