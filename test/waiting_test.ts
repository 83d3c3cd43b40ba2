/**
 * What waits at a guard while its upstream's state changes. Guards against a
 * request that is started at an upstream that is leaving, gone or replaced.
 */

import { expect, test } from "vitest";
import { createGuard } from "../src/core/guard.ts";
import type { GuardOptions, UpstreamView } from "../src/core/guard_types.ts";
import {
  Execution,
  type GuardAction,
  GuardActionKind,
  GuardMessageKind,
  type Millis,
  Repeatability,
  type RequestHead,
} from "../src/core/types.ts";
import { createTestHost } from "./support/core_host.ts";

const LEAVING_MS = 2_000;
const INSTANCE = "i-1";
const HEAD: RequestHead = {
  account: "all",
  service: "shop",
  repeatability: Repeatability.Idempotent,
  fingerprint: "",
  timeoutMs: 1_500,
  instance: INSTANCE,
};

/** A guard with one slot, and what is known of its upstream. */
function createTestGuard() {
  const host = createTestHost();
  const leaving = new Map<string, Millis>();
  let instance = INSTANCE;
  const upstream: UpstreamView = {
    getUsableSlots: () => 1,
    getShortWorkSlots: () => 1,
    getKnownGoodSlots: () => 1,
    recordStart: () => {},
    recordServiceTime: () => {},
    getSlowdown: () => 1,
    getBaseSlowdown: () => 1,
    getInstance: () => instance,
    getStartDelayMs: () => 0,
  };
  const options: GuardOptions = {
    self: "a",
    service: "shop",
    incarnation: "a#1",
    slots: 1,
    queueCapacity: 100,
    grantTtlMs: 1_000,
    keyCapacity: 16,
    leavingMs: LEAVING_MS,
    getWeight: () => 1,
    tryGetListedLeavingSince: (it) => leaving.get(it),
    upstream,
  };
  const guard = createGuard(host, options);
  return {
    host,
    guard,
    list: (it = INSTANCE) => void leaving.set(it, host.now()),
    replace: (next: string) => void (instance = next),
    notice: () =>
      guard.handle({
        kind: GuardMessageKind.Noticed,
        notice: { isLeaving: true, isComplete: true },
        source: { instance: INSTANCE, sentAt: host.now() },
      }),
    tick: () => guard.handle({ kind: GuardMessageKind.Tick }),
    submit: (ticket: string, head: Partial<RequestHead> = {}) =>
      guard.handle({
        kind: GuardMessageKind.Submit,
        ticket,
        head: { ...HEAD, ...head },
      }),
    reserve: (ticket: string) =>
      guard.handle({ kind: GuardMessageKind.Reserve, ticket, head: HEAD }),
    end: (ticket: string) =>
      guard.handle({
        kind: GuardMessageKind.UpstreamResponded,
        ticket,
        status: 200,
      }),
  };
}

type TestGuard = ReturnType<typeof createTestGuard>;

/** Ways in which an upstream becomes one that gets nothing more, and the reason of the refusals. */
const CHANGES: Record<
  string,
  { reason: string; apply(guard: TestGuard): GuardAction[] }
> = {
  "is listed as leaving": {
    reason: "upstream_leaving",
    apply: (it) => {
      it.list();
      return it.tick();
    },
  },
  "states that it is leaving": {
    reason: "upstream_leaving",
    apply: (it) => it.notice(),
  },
  "was replaced by another incarnation": {
    reason: "instance_replaced",
    apply: (it) => {
      it.replace("i-2");
      return it.tick();
    },
  },
};

const refused = (ticket: string, reason: string) => ({
  kind: GuardActionKind.Refuse,
  ticket,
  verdict: {
    execution: Execution.NotRun,
    diagnostic: expect.objectContaining({ reason }),
  },
});

test.each(Object.keys(CHANGES))(
  "what waits is refused as not run once its upstream %s",
  (name) => {
    const it = createTestGuard();
    it.submit("runs");
    it.submit("waits");
    it.reserve("waits-for-grant");
    const { reason, apply } = CHANGES[name]!;
    expect(apply(it)).toMatchObject([
      refused("waits", reason),
      refused("waits-for-grant", reason),
    ]);
    expect(it.end("runs")).toEqual([]);
  },
);

test.each(Object.keys(CHANGES))(
  "a grant is not used once its upstream %s",
  (name) => {
    const it = createTestGuard();
    const [granted] = it.reserve("granted");
    if (granted?.kind !== GuardActionKind.Grant) throw new Error("no grant");
    const { reason, apply } = CHANGES[name]!;
    expect(apply(it)).toMatchObject([refused("granted", reason)]);
    const { grant } = granted;
    const run = {
      kind: GuardMessageKind.Run as const,
      ticket: "granted",
      grant,
    };
    expect(it.guard.handle(run)).toMatchObject([
      { kind: GuardActionKind.Refuse },
    ]);
  },
);

test.each(Object.keys(CHANGES))(
  "what arrives is refused as not run once its upstream %s",
  (name) => {
    const it = createTestGuard();
    const { reason, apply } = CHANGES[name]!;
    apply(it);
    expect(it.submit("new")).toMatchObject([refused("new", reason)]);
  },
);

test("the last choice waits on at a leaving upstream, if it ends in time", () => {
  const it = createTestGuard();
  it.submit("runs");
  it.submit("ends in time", { isLastChoice: true });
  it.submit("ends late", { isLastChoice: true, timeoutMs: 5_000 });
  it.list();
  expect(it.tick()).toMatchObject([refused("ends late", "upstream_leaving")]);
  expect(it.end("runs")).toMatchObject([
    { kind: GuardActionKind.Start, ticket: "ends in time" },
  ]);
});

test("the leaving of another incarnation changes nothing", () => {
  const it = createTestGuard();
  it.submit("runs");
  it.submit("waits");
  it.list("i-0");
  expect(it.tick()).toEqual([]);
  expect(it.end("runs")).toMatchObject([
    { kind: GuardActionKind.Start, ticket: "waits" },
  ]);
});
