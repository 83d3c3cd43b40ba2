/** Statements of upstreams about themselves, as their guards and the gateways know them. */

import { expect, test } from "vitest";
import { Diagnostics } from "../src/core/diagnostics.ts";
import { createGuard } from "../src/core/guard.ts";
import type { GuardOptions } from "../src/core/guard_types.ts";
import { createKnownNotices } from "../src/core/known_notices.ts";
import {
  type Candidate,
  Execution,
  type GatewayAction,
  GatewayActionKind,
  GatewayMessageKind,
  GuardActionKind,
  GuardMessageKind,
  type LoadReport,
  Repeatability,
  type RequestHead,
  type ResponseNotice,
  type UpstreamNotice,
} from "../src/core/types.ts";
import { createUpstreamNotices } from "../src/core/upstream_notices.ts";
import { createTestGateway, sendArrival } from "../src/lab/test_gateway.ts";
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
  notices.recordListed({ instance: "j", bornAt: 1 });
  notices.record(leaving, { instance: "j", sentAt: 3 });
  notices.recordListed({ instance: "j", bornAt: 2 });
  expect(notices.get()).toBeUndefined();
});

test("a guard that restarted adopts a limit that gateways know, until its upstream responds", () => {
  const notices = createUpstreamNotices(createTestHost());
  notices.adoptLimit(5, { instance: "i" });
  expect(notices.get()?.limitPerS).toBe(5);
  notices.record(NOTHING, { instance: "i", sentAt: 1 });
  notices.adoptLimit(5, { instance: "i" });
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

const INSTANCE = "i";
const HEAD: RequestHead = {
  account: "all",
  service: "shop",
  repeatability: Repeatability.Idempotent,
  fingerprint: "",
  timeoutMs: 5_000,
  instance: INSTANCE,
};

/** A guard of an upstream with more slots than requests, and its host. */
function createTestGuard(options: Partial<GuardOptions> = {}) {
  const host = createTestHost();
  const guard = createGuard(host, {
    self: "a",
    service: "shop",
    incarnation: "a#1",
    slots: 100,
    queueCapacity: 100,
    grantTtlMs: 1_000,
    keyCapacity: 16,
    getWeight: () => 1,
    ...options,
  });
  let count = 0;
  return { host, guard, state, submit, reserve };

  function state(notice: Partial<ResponseNotice>) {
    return guard.handle({
      kind: GuardMessageKind.Noticed,
      notice: { ...NOTHING, ...notice },
      source: { instance: INSTANCE, sentAt: host.now() },
    });
  }

  function submit(head: Partial<RequestHead> = {}) {
    return send(GuardMessageKind.Submit, head);
  }

  function reserve(head: Partial<RequestHead> = {}) {
    return send(GuardMessageKind.Reserve, head);
  }

  function send(
    kind: GuardMessageKind.Submit | GuardMessageKind.Reserve,
    head: Partial<RequestHead>,
  ) {
    count += 1;
    const ticket = String(count);
    return guard.handle({ kind, ticket, head: { ...HEAD, ...head } });
  }
}

test("under a limit a request that may not queue is refused, and its gateway gets a turn", () => {
  const { host, guard, state, submit } = createTestGuard();
  state({ limitPerS: 2 });
  const refused = submit({ mayQueue: false });
  expect(refused).toMatchObject([{
    kind: GuardActionKind.Refuse,
    verdict: {
      execution: Execution.NotRun,
      diagnostic: Diagnostics.over_upstream_limit,
    },
  }]);
  expect(guard.getReport().startsInMs).toBe(500);
  submit({ mayQueue: false });
  expect(guard.getReport().startsInMs).toBe(1_000);
  host.advance(500);
  expect(submit({ mayQueue: false })).toMatchObject([
    { kind: GuardActionKind.Start },
  ]);
});

test("queued requests start at the rate of the limit, by ticks alone", () => {
  const { host, guard, state, submit } = createTestGuard();
  state({ limitPerS: 2 });
  for (let i = 0; i < 5; i++) submit();
  const startedAt: number[] = [];
  for (let i = 0; i < 100; i++) {
    const at = guard.getNextWake()!;
    if (at > 2_500) break;
    host.advance(Math.max(0, at - host.now()));
    const started = guard.handle({ kind: GuardMessageKind.Tick });
    startedAt.push(...started.map(() => host.now()));
  }
  expect(startedAt).toEqual([500, 1_000, 1_500, 2_000, 2_500]);
});

test("a grant counts as a start, and one that is released gives it back", () => {
  const { host, guard, state, reserve } = createTestGuard();
  state({ limitPerS: 2 });
  host.advance(500);
  expect(reserve({ mayQueue: false })).toMatchObject([
    { kind: GuardActionKind.Grant },
  ]);
  expect(reserve({ mayQueue: false })).toMatchObject([
    { kind: GuardActionKind.Refuse },
  ]);
  guard.handle({ kind: GuardMessageKind.Release, ticket: "1" });
  expect(reserve({ mayQueue: false })).toMatchObject([
    { kind: GuardActionKind.Grant },
  ]);
});

test("a guard that restarted starts no more than the limit that a gateway names", () => {
  const { host, guard, submit } = createTestGuard();
  const kinds = [];
  for (let i = 0; i < 50; i++) {
    for (const { kind } of submit({ limitPerS: 0.5, mayQueue: false })) {
      kinds.push(kind);
    }
    host.advance(40);
  }
  expect(kinds.filter((k) => k === GuardActionKind.Start)).toHaveLength(0);
  expect(guard.getNotice()?.limitPerS).toBe(0.5);
});

test("a request that waits too long for the limit of one upstream is tried at another", () => {
  const gateway = createTestGateway(createTestHost(), {
    maxNonQueueingAttempts: 1,
    getCandidates: () => [
      { host: "a", failureDomain: "east", instance: "i" },
      { host: "b", failureDomain: "west", instance: "j" },
    ],
  });
  const tried = (actions: GatewayAction[]) =>
    actions.flatMap((a) => a.kind === GatewayActionKind.Submit ? [a.to] : []);
  const refuse = (attempt: number) =>
    gateway.handle({
      kind: GatewayMessageKind.Refused,
      id: "r",
      attempt,
      verdict: {
        execution: Execution.NotRun,
        diagnostic: Diagnostics.over_upstream_limit,
        retryAfterMs: 700,
      },
    });
  expect(tried(sendArrival(gateway, "r"))).toEqual(["a"]);
  const queued = [...tried(refuse(1)), ...tried(refuse(2))].sort();
  expect(queued).toEqual(["a", "b"]);
  // Both hosts refused it in their queues: the caller gets the guard's time to come back.
  expect(refuse(3)).toMatchObject([{
    kind: GatewayActionKind.Finish,
    verdict: {
      execution: Execution.NotRun,
      diagnostic: Diagnostics.over_upstream_limit,
      retryAfterMs: 700,
    },
  }]);
});

test("a gateway names the limit that it knows to the guard", () => {
  const gateway = createTestGateway(createTestHost(), {
    getCandidates: () => [CANDIDATE],
  });
  const notice = { instance: "i", isLeaving: false, limitPerS: 3 };
  gateway.receiveReport({ ...REPORT, notice });
  gateway.receiveReport({ ...REPORT, incarnation: "a#2" });
  expect(sendArrival(gateway, "r")).toMatchObject([{ to: "a", limitPerS: 3 }]);
});

test("a leaving upstream serves only what no other host takes and what ends while it stays", () => {
  const { host, state, submit } = createTestGuard({ leavingMs: 2_000 });
  const started = [{ kind: GuardActionKind.Start }];
  const refused = [{
    kind: GuardActionKind.Refuse,
    verdict: {
      execution: Execution.NotRun,
      diagnostic: Diagnostics.upstream_leaving,
    },
  }];
  state({ isLeaving: true });
  expect(submit()).toMatchObject(refused);
  expect(submit({ isLastChoice: true, timeoutMs: 800 })).toMatchObject(started);
  host.advance(1_201);
  expect(submit({ isLastChoice: true, timeoutMs: 800 })).toMatchObject(refused);
  // The statement is about one incarnation.
  expect(submit({ instance: "j" })).toMatchObject(started);
});

test("a gateway sends nothing to a leaving upstream, whatever its guard reports later", () => {
  const host = createTestHost();
  const other = { host: "b", failureDomain: "west", instance: "j" };
  const candidates: Candidate[] = [CANDIDATE, other];
  const gateway = createTestGateway(host, {
    leavingMs: 2_000,
    getCandidates: () => candidates,
  });
  const getTarget = (id: string) => sendArrival(gateway, id)[0];
  gateway.receiveReport({
    ...REPORT,
    notice: { instance: "i", isLeaving: true },
  });
  gateway.receiveReport({ ...REPORT, incarnation: "a#2" });
  for (let i = 0; i < 20; i++) {
    expect(getTarget(`r${i}`)).toMatchObject({ to: "b" });
    host.advance(100);
  }
  candidates.pop();
  // The only upstream left has been leaving for longer than it stays.
  expect(getTarget("late")).toMatchObject({
    kind: GatewayActionKind.Finish,
    verdict: { diagnostic: Diagnostics.no_upstream },
  });
  candidates.splice(0, 1, { ...CANDIDATE, bornAt: 2 });
  expect(getTarget("again")).toMatchObject({ to: "a" });
});

test("a leaving upstream is the last choice while it stays", () => {
  const gateway = createTestGateway(createTestHost(), {
    leavingMs: 2_000,
    getCandidates: () => [CANDIDATE],
  });
  gateway.receiveReport({
    ...REPORT,
    notice: { instance: "i", isLeaving: true },
  });
  expect(sendArrival(gateway, "r")).toMatchObject([
    { to: "a", isLastChoice: true },
  ]);
});

test("an upstream under a limit is spared readings for requests that can't start", () => {
  const { host, guard, state } = createTestGuard();
  state({ limitPerS: 5 });
  expect(guard.mayStart(HEAD)).toBe(false);
  host.advance(1_000);
  expect(guard.mayStart(HEAD)).toBe(true);
});

test("an upstream without a free slot is spared readings", () => {
  const { guard, submit } = createTestGuard({ slots: 1 });
  expect(guard.mayStart(HEAD)).toBe(true);
  submit();
  expect(guard.mayStart(HEAD)).toBe(false);
});
