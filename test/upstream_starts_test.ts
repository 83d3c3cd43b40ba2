/** What is known of an upstream belongs to one start of it, however its id ends and comes back. */

import { expect, test } from "vitest";
import { createKnownNotices } from "../src/core/known_notices.ts";
import { createReplacedInstances } from "../src/core/replaced_instances.ts";
import { Diagnostics } from "../src/core/diagnostics.ts";
import {
  type ListedUpstream,
  ListedUpstreamState,
} from "../src/core/routing_types.ts";
import { Execution, type LoadReport } from "../src/core/types.ts";
import {
  createUpstreamList,
  type UpstreamList,
} from "../src/core/upstream_list.ts";
import { createUpstreamNotices } from "../src/core/upstream_notices.ts";
import { getStartKey } from "../src/core/upstream_start.ts";
import { createConnectionLimit } from "../src/upstream/connection_limit.ts";
import { createTestHost } from "./support/core_host.ts";

const LEAVING = { isLeaving: true, isComplete: true };
const LIMITED = { isLeaving: false, isComplete: true, limitPerS: 2 };
const FIRST = { instance: "i", bornAt: 1 };
const SECOND = { instance: "i", bornAt: 2 };

function createListedNotices() {
  const host = createTestHost();
  const notices = createUpstreamNotices(host);
  notices.recordListed(FIRST);
  const respond = (notice: typeof LEAVING | typeof LIMITED, sentAt?: number) =>
    notices.record(notice, { instance: "i", sentAt: sentAt ?? host.now() });
  return { host, notices, respond };
}

test.each([LEAVING, LIMITED])(
  "a statement belongs to the start that made it: %o",
  (stated) => {
    const { notices, respond } = createListedNotices();
    respond(stated);
    expect(notices.get()).toMatchObject(FIRST);
    notices.recordListed(SECOND);
    expect(notices.get()).toBeUndefined();
    respond(stated);
    expect(notices.get()).toMatchObject(SECOND);
  },
);

test("a response to a request of before the new start counts for neither", () => {
  const { host, notices, respond } = createListedNotices();
  const sentAt = host.now();
  host.advance(100);
  notices.recordListed(SECOND);
  respond(LEAVING, sentAt);
  expect(notices.get()).toBeUndefined();
});

test("a late response of the incarnation before doesn't replace what the present one states", () => {
  const { host, notices, respond } = createListedNotices();
  host.advance(100);
  notices.record(LEAVING, { instance: "j", sentAt: host.now() });
  respond(LIMITED, 50);
  expect(notices.get()).toMatchObject({ instance: "j", isLeaving: true });
});

test("after an observed end, statements are those of the start that is listed next", () => {
  const { host, notices, respond } = createListedNotices();
  respond(LEAVING);
  host.advance(100);
  notices.recordEnded();
  expect(notices.get()).toBeUndefined();
  host.advance(100);
  respond(LIMITED);
  expect(notices.get()).toMatchObject({ instance: "i", limitPerS: 2 });
  host.advance(100);
  notices.recordListed(SECOND);
  expect(notices.get()).toMatchObject({ ...SECOND, limitPerS: 2 });
});

test("what was stated before the first listing is kept", () => {
  const notices = createUpstreamNotices(createTestHost());
  notices.record(LEAVING, { instance: "i", sentAt: 0 });
  notices.recordListed(FIRST);
  expect(notices.get()).toMatchObject({ ...FIRST, isLeaving: true });
});

test("a limit that a gateway knows of an earlier start isn't adopted", () => {
  const { notices } = createListedNotices();
  notices.recordListed(SECOND);
  notices.adoptLimit(2, FIRST);
  expect(notices.get()).toBeUndefined();
  notices.adoptLimit(2, SECOND);
  expect(notices.get()).toMatchObject({ ...SECOND, limitPerS: 2 });
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
const CANDIDATE = { host: "a", failureDomain: "east" };

test("a gateway applies a report to the start that it is about, also one that was under way", () => {
  const host = createTestHost();
  const notices = createKnownNotices(host, { leavingMs: 1_000 });
  const state = (of: typeof FIRST) =>
    notices.recordReport({
      ...REPORT,
      notice: { ...of, isLeaving: true, limitPerS: 2 },
    }, true);
  state(FIRST);
  const first = { ...CANDIDATE, ...FIRST };
  const second = { ...CANDIDATE, ...SECOND };
  expect([first, second].map(notices.isLeaving)).toEqual([true, false]);
  expect([first, second].map(notices.tryGetLimit)).toEqual([2, undefined]);
  host.advance(2_000);
  expect(notices.filter([first, second])).toEqual([second]);
  state(SECOND);
  expect([first, second].map(notices.isLeaving)).toEqual([true, true]);
});

test("a guard that doesn't know the start of its upstream means the one that the list names", () => {
  const notices = createKnownNotices(createTestHost(), {
    leavingMs: 0,
    tryGetBornAt: () => SECOND.bornAt,
  });
  const notice = { instance: "i", isLeaving: true };
  notices.recordReport({ ...REPORT, notice }, true);
  expect(notices.isLeaving({ ...CANDIDATE, ...FIRST })).toBe(false);
  expect(notices.isLeaving({ ...CANDIDATE, ...SECOND })).toBe(true);
});

test("a start is used at once though an earlier one of its id was found replaced", () => {
  const replaced = createReplacedInstances(createTestHost());
  replaced.recordVerdict(FIRST, {
    execution: Execution.NotRun,
    diagnostic: Diagnostics.wrong_instance,
  });
  const second = { ...CANDIDATE, ...SECOND };
  expect(replaced.filter([{ ...CANDIDATE, ...FIRST }, second]))
    .toEqual([second]);
});

test("what an earlier start showed of its connections is forgotten", () => {
  const limit = createConnectionLimit(createTestHost(), {
    tryGetStated: () => undefined,
    getSlots: () => 1,
  });
  expect(limit.recordRefused(4, 4)).toBe(true);
  expect(limit.isReached(5)).toBe(true);
  limit.forgetStart();
  expect(limit.isReached(5)).toBe(false);
});

const UPSTREAM: ListedUpstream = {
  ...FIRST,
  service: "shop",
  address: "10.0.0.1:80",
  failureDomain: "east",
  slots: 4,
  state: ListedUpstreamState.Ready,
};

/** How the entry of the first start ends before the second one is listed. */
const ENDS: Record<string, (list: UpstreamList) => void> = {
  "listed throughout": () => {},
  "removed before": (list) => list.remove("i"),
  "draining before": (list) =>
    list.put({ ...UPSTREAM, state: ListedUpstreamState.Draining }),
  "lapsed in an outage": (list) => {
    list.markLost();
    list.remove("i");
    list.markRegained();
  },
  "removed, and back in an older copy": (list) => {
    list.remove("i");
    list.markRolledBack();
    list.replaceAll([UPSTREAM]);
  },
};

test.each(Object.entries(ENDS))(
  "a new start is reported once, at once: %s",
  (_, end) => {
    const starts: string[] = [];
    const list = createUpstreamList(createTestHost(), {
      lapseGraceMs: 2_000,
      getHost: (address) => address.split(":")[0]!,
      onChange: () => {},
      onStart: (_host, it) => starts.push(it ? getStartKey(it) : "none"),
    });
    list.put(UPSTREAM);
    end(list);
    list.put({ ...UPSTREAM, ...SECOND });
    list.put({ ...UPSTREAM, ...SECOND, coldMs: 1 });
    expect(starts.filter((it) => it !== "none")).toEqual(["i 1", "i 2"]);
    expect(list.getCandidates("shop")).toMatchObject([SECOND]);
    expect(list.tryGetBornAt("i")).toBe(2);
    expect(list.tryGetLeavingSince("i")).toBeUndefined();
  },
);

test("the end of an older upstream says nothing of the newer one at its host", () => {
  const starts: unknown[] = [];
  const list = createUpstreamList(createTestHost(), {
    lapseGraceMs: 2_000,
    getHost: (address) => address.split(":")[0]!,
    onChange: () => {},
    onStart: (_host, it) => starts.push(it?.instance),
  });
  list.put(UPSTREAM);
  list.put({ ...UPSTREAM, instance: "j" });
  list.remove("i");
  expect(starts).toEqual(["i", "j"]);
  expect(list.countHosts()).toBe(1);
  list.remove("j");
  expect(starts).toEqual(["i", "j", undefined]);
  expect(list.countHosts()).toBe(0);
});

test("a start that is listed later is used, though its id was listed before the other one's", () => {
  const list = createUpstreamList(createTestHost(), {
    lapseGraceMs: 2_000,
    getHost: (address) => address.split(":")[0]!,
    onChange: () => {},
  });
  list.put(UPSTREAM);
  list.put({ ...UPSTREAM, instance: "j" });
  expect(list.getCandidates("shop")).toMatchObject([{ instance: "j" }]);
  list.put({ ...UPSTREAM, ...SECOND });
  expect(list.getCandidates("shop")).toMatchObject([SECOND]);
  expect(list.tryGetAt(UPSTREAM.address)).toMatchObject(SECOND);
});
