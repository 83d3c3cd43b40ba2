/** Statements of upstreams about themselves, as their guards and the gateways know them. */

import { expect, test } from "vitest";
import { createKnownNotices } from "../src/core/known_notices.ts";
import type { LoadReport, UpstreamNotice } from "../src/core/types.ts";
import { createUpstreamNotices } from "../src/core/upstream_notices.ts";
import { decodeNotice, encodeNotice } from "../src/link/wire.ts";
import { createTestHost } from "./support/core_host.ts";

const NOTHING = { isLeaving: false, isComplete: true };

test("a limit is in force until a response to a later request doesn't state it", () => {
  const host = createTestHost();
  const notices = createUpstreamNotices(host);
  const respond = (limitPerS: number | undefined, sentAt: number) =>
    notices.record(
      { ...NOTHING, ...(limitPerS !== undefined && { limitPerS }) },
      { instance: "i", sentAt },
    );
  host.advance(10);
  respond(5, 8);
  // Written before the limit was stated, and received after it.
  respond(undefined, 9);
  expect(notices.get()).toEqual({
    instance: "i",
    isLeaving: false,
    limitPerS: 5,
  });
  respond(undefined, 11);
  expect(notices.get()).toBeUndefined();
});

test("a response that may lack headers lifts no limit", () => {
  const host = createTestHost();
  const notices = createUpstreamNotices(host);
  notices.record({ ...NOTHING, limitPerS: 5 }, { instance: "i", sentAt: 0 });
  notices.record(
    { ...NOTHING, isComplete: false },
    { instance: "i", sentAt: 1 },
  );
  expect(notices.get()?.limitPerS).toBe(5);
});

test("leaving is final for an incarnation, not for the next one", () => {
  const host = createTestHost();
  const notices = createUpstreamNotices(host);
  const leaving = { ...NOTHING, isLeaving: true };
  notices.record(leaving, { instance: "i", sentAt: 0 });
  notices.record(NOTHING, { instance: "i", sentAt: 1 });
  expect(notices.get()?.isLeaving).toBe(true);
  notices.record(NOTHING, { instance: "j", sentAt: 2 });
  expect(notices.get()).toBeUndefined();
  notices.record(leaving, { instance: "j", sentAt: 3 });
  notices.forget();
  expect(notices.get()).toBeUndefined();
});

test("a guard that restarted adopts a limit that gateways know, until its upstream responds", () => {
  const notices = createUpstreamNotices(createTestHost());
  notices.adoptLimit(5, "i");
  expect(notices.get()?.limitPerS).toBe(5);
  notices.record(NOTHING, { instance: "i", sentAt: 1 });
  notices.adoptLimit(5, "i");
  expect(notices.get()).toBeUndefined();
});

const REPORT: LoadReport = {
  host: "a",
  incarnation: "a#1",
  sequence: 1,
  slots: 4,
  inFlight: 0,
  queued: 0,
  serviceMs: 10,
  draining: false,
  ageMs: 1,
};
const CANDIDATE = { host: "a", failureDomain: "east", instance: "i" };

test("a limit outlives the guard that reported it, and that guard's next report lifts it", () => {
  const notices = createKnownNotices(createTestHost(), { leavingMs: 0 });
  const notice: UpstreamNotice = {
    instance: "i",
    isLeaving: false,
    limitPerS: 5,
  };
  notices.recordReport({ ...REPORT, notice }, true);
  notices.recordReport({ ...REPORT, incarnation: "a#2" }, true);
  expect(notices.tryGetLimit(CANDIDATE)).toBe(5);
  expect(notices.tryGetLimit({ ...CANDIDATE, instance: "j" })).toBeUndefined();
  notices.recordReport({ ...REPORT, sequence: 0 }, false);
  expect(notices.tryGetLimit(CANDIDATE)).toBe(5);
  notices.recordReport({ ...REPORT, sequence: 2 }, true);
  expect(notices.tryGetLimit(CANDIDATE)).toBeUndefined();
});

test.each<Pick<LoadReport, "notice" | "startsInMs">>([
  { notice: { instance: "i-1", isLeaving: true } },
  {
    notice: { instance: "i-1", isLeaving: false, limitPerS: 12.6 },
    startsInMs: 80,
  },
])("a notice between daemons is read as it was written: %o", (part) => {
  expect(decodeNotice(encodeNotice({ ...REPORT, ...part })!).unwrap()).toEqual(
    part,
  );
});

test("a malformed notice is reported", () => {
  expect(decodeNotice("i-1 2").err).toBe(true);
  expect(encodeNotice(REPORT)).toBeUndefined();
});
