/** The rate of starts at a cold upstream, and what shows that it is cold. */

import fc from "fast-check";
import { expect, test } from "vitest";
import {
  ColdState,
  createColdBound,
  createColdStarts,
} from "../src/core/cold_starts.ts";
import { mergeWithActive } from "../src/core/degraded_config.ts";
import { createCounters } from "../src/core/counters.ts";
import { Diagnostics } from "../src/core/diagnostics.ts";
import { createGuard } from "../src/core/guard.ts";
import type { GuardOptions } from "../src/core/guard_types.ts";
import type { RateBound } from "../src/core/request_rate.ts";
import {
  Execution,
  type GuardAction,
  GuardActionKind,
  GuardMessageKind,
  type LoadReport,
  Repeatability,
  type RequestHead,
} from "../src/core/types.ts";
import { createClock } from "../src/daemon/clock.ts";
import { createUpstreamWatch } from "../src/daemon/upstream_watch.ts";
import { decodeStartsIn, encodeStartsIn } from "../src/link/wire.ts";
import { decodeSettings } from "../platform/settings.ts";
import { decodeRouting, decodeUpstream } from "../platform/store_entries.ts";
import { createPlatformUpstreams } from "../platform/upstreams.ts";
import { startUpstream } from "./platform/upstream_stand_in.ts";
import { createTestHost } from "./support/core_host.ts";

const platformUpstreams = createPlatformUpstreams();

const BOUNDS = { over: 1.5, slack: 8 };
const COLD_PER_S = 20;
const MAX_PER_SECOND = COLD_PER_S * BOUNDS.over + BOUNDS.slack;

test.each([
  { coldPerS: 0.5 },
  { coldPerS: 5 },
  { coldPerS: 20 },
  { coldPerS: 60 },
  { coldPerS: 400 },
  { coldPerS: 30, over: 1, slack: 2 },
  { coldPerS: 30, over: 1.1, slack: 0 },
  { coldPerS: 8, over: 3, slack: 30 },
])(
  "burst and refill of one second stay below the operators' bound, and use most of it: %o",
  ({ coldPerS, ...change }) => {
    const bounds = { ...BOUNDS, ...change };
    const { perS, burst } = createColdBound(coldPerS, bounds);
    const max = coldPerS * bounds.over + bounds.slack;
    expect(perS + burst).toBeLessThanOrEqual(max * 7 / 8);
    expect(perS).toBeGreaterThanOrEqual(Math.min(coldPerS, max * 0.7));
  },
);

// Guards against an upstream that falls over again and again at what the bound allows.
test("an upstream that becomes cold again while it is cold gets less than it can take, until it is warm", () => {
  const { host, starts } = createTestState();
  const most = (it: RateBound | undefined) => it!.perS + it!.burst;
  starts.recordHealth(3_000, host.now());
  host.advance(1_500);
  starts.recordHealth(1_520, host.now());
  expect(most(starts.tryGetBound())).toBeGreaterThan(COLD_PER_S);
  host.advance(500);
  starts.recordHealth(2_900, host.now());
  expect(most(starts.tryGetBound())).toBeLessThanOrEqual(COLD_PER_S);
  host.advance(1_000);
  starts.recordHealth(1_900, host.now());
  expect(most(starts.tryGetBound())).toBeLessThanOrEqual(COLD_PER_S);
  host.advance(2_000);
  starts.recordHealth(0, host.now());
  // A later cold phase is no restart within one.
  starts.recordHealth(3_000, host.now());
  expect(most(starts.tryGetBound())).toBeGreaterThan(COLD_PER_S);
});

function createTestState() {
  const host = createTestHost();
  const changes: [boolean, string][] = [];
  const starts = createColdStarts(host, {
    bounds: BOUNDS,
    tryGetColdRatePerS: () => COLD_PER_S,
    onChange: (isCold, { source }) => void changes.push([isCold, source]),
  });
  return { host, starts, changes };
}

test("an upstream is cold until a health response shows otherwise, and that holds for some tens of ms", () => {
  const { host, starts } = createTestState();
  expect(starts.getState()).toBe(ColdState.Unknown);
  expect(starts.tryGetBound()).toBeDefined();
  starts.recordHealth(0, host.now());
  expect(starts.getState()).toBe(ColdState.Warm);
  expect(starts.tryGetBound()).toBeUndefined();
  expect(starts.isReadingDue()).toBe(false);
  host.advance(30);
  expect(starts.isReadingDue()).toBe(true);
  host.advance(31);
  expect(starts.getState()).toBe(ColdState.Unknown);
});

test("a health response states for how long the upstream is cold, and a later one that it is not", () => {
  const { host, starts, changes } = createTestState();
  starts.recordHealth(3_000, host.now());
  host.advance(1_000);
  expect(starts.getState()).toBe(ColdState.Cold);
  starts.recordHealth(0, host.now());
  expect(starts.getState()).toBe(ColdState.Warm);
  starts.recordHealth(500, host.now());
  host.advance(500);
  expect(starts.getState()).toBe(ColdState.Unknown);
  expect(changes).toEqual([[true, "health"], [false, "health"], [
    true,
    "health",
  ]]);
});

test("a list entry shows that the upstream is cold until a health check that is sent later", () => {
  const { host, starts, changes } = createTestState();
  const sentBefore = host.now();
  host.advance(10);
  starts.recordListed(2_000);
  starts.recordHealth(0, sentBefore);
  expect(starts.getState()).toBe(ColdState.Cold);
  expect(starts.isReadingDue()).toBe(true);
  starts.recordHealth(0, host.now());
  expect(starts.getState()).toBe(ColdState.Warm);
  // An entry that states nothing is no evidence.
  starts.recordListed(0);
  expect(starts.getState()).toBe(ColdState.Warm);
  expect(changes).toEqual([[true, "list"], [false, "health"]]);
});

test("a reading shows nothing of an incarnation that started after its health check was sent", () => {
  const { host, starts } = createTestState();
  starts.recordHealth(0, host.now());
  const sentBefore = host.now();
  host.advance(5);
  starts.forget();
  expect(starts.getState()).toBe(ColdState.Unknown);
  starts.recordHealth(0, sentBefore);
  expect(starts.getState()).toBe(ColdState.Unknown);
});

test("without the service's rate or the operators' bounds nothing is limited", () => {
  const host = createTestHost();
  const withoutRate = createColdStarts(host, {
    bounds: BOUNDS,
    tryGetColdRatePerS: () => undefined,
  });
  const withoutBounds = createColdStarts(host, {
    tryGetColdRatePerS: () => COLD_PER_S,
  });
  for (const starts of [withoutRate, withoutBounds]) {
    starts.recordHealth(3_000, 0);
    expect(starts.getState()).toBe(ColdState.Unlimited);
    expect(starts.tryGetBound()).toBeUndefined();
    expect(starts.isReadingDue()).toBe(false);
  }
});

const HEAD: RequestHead = {
  account: "all",
  service: "shop",
  repeatability: Repeatability.Idempotent,
  fingerprint: "",
  timeoutMs: 2_000,
};
const MIN_STEP_MS = 1;

/** A guard of an upstream with more slots than requests, and what it starts. */
function createTestGuard(options: Partial<GuardOptions> = {}) {
  const { host, starts } = createTestState();
  const guard = createGuard(host, {
    self: "a",
    service: "shop",
    incarnation: "a#1",
    slots: 1_000,
    queueCapacity: 1_000,
    grantTtlMs: 1_000,
    keyCapacity: 1_000,
    getWeight: () => 1,
    coldStarts: starts,
    ...options,
  });
  const startedAt: number[] = [];
  let count = 0;
  return { host, starts, guard, startedAt, submit, reserve, run, tick, record };

  function submit(head: Partial<RequestHead> = {}): GuardAction[] {
    return send(GuardMessageKind.Submit, head);
  }

  function reserve(head: Partial<RequestHead> = {}): GuardAction[] {
    return send(GuardMessageKind.Reserve, {
      repeatability: Repeatability.AtMostOnce,
      ...head,
    });
  }

  function send(
    kind: GuardMessageKind.Submit | GuardMessageKind.Reserve,
    head: Partial<RequestHead>,
  ): GuardAction[] {
    count += 1;
    const ticket = String(count);
    return record(
      guard.handle({ kind, ticket, head: { ...HEAD, ...head } }),
    );
  }

  function run(granted: GuardAction | undefined): GuardAction[] {
    if (granted?.kind !== GuardActionKind.Grant) return [];
    const { ticket, grant } = granted;
    return record(guard.handle({ kind: GuardMessageKind.Run, ticket, grant }));
  }

  function tick(): GuardAction[] {
    return record(guard.handle({ kind: GuardMessageKind.Tick }));
  }

  function record(actions: GuardAction[]): GuardAction[] {
    for (const { kind } of actions) {
      if (kind === GuardActionKind.Start) startedAt.push(host.now());
    }
    return actions;
  }
}

/** Most starts in any second. */
function getMostInASecond(startedAt: readonly number[]): number {
  return Math.max(
    0,
    ...startedAt.map((from) =>
      startedAt.filter((at) => at >= from && at < from + 1_000).length
    ),
  );
}

const OVER_LIMIT = [{
  kind: GuardActionKind.Refuse,
  verdict: {
    execution: Execution.NotRun,
    diagnostic: Diagnostics.over_upstream_limit,
  },
}];

test("a cold upstream gets fewer requests in any second than the operators allow, however they come", () => {
  const { host, starts, startedAt, submit, reserve, run, tick } =
    createTestGuard();
  const grants: { actions: GuardAction[]; at: number }[] = [];
  const lateness = [0, 3, 90, 400, 900];
  for (let ms = 0; ms < 6_000; ms += MIN_STEP_MS) {
    if (ms % 50 === 0) starts.recordHealth(3_000, host.now());
    submit({ mayQueue: ms % 2 === 0, timeoutMs: 300 });
    const lateMs = lateness[ms % lateness.length]!;
    const actions = reserve({ mayQueue: false });
    grants.push({ actions, at: host.now() + lateMs });
    for (const it of grants.splice(0)) {
      if (it.at > host.now()) grants.push(it);
      else run(it.actions[0]);
    }
    tick();
    host.advance(MIN_STEP_MS);
  }
  expect(getMostInASecond(startedAt)).toBeLessThan(MAX_PER_SECOND);
  // It is used as far as it can be.
  expect(startedAt.length).toBeGreaterThan(6 * COLD_PER_S * 0.8);
});

test("a guard that has just started, and one without readings, starts from an empty bucket", () => {
  const { host, startedAt, submit, tick } = createTestGuard();
  for (let i = 0; i < 50; i++) submit();
  expect(startedAt).toEqual([]);
  for (let ms = 0; ms < 1_000; ms += MIN_STEP_MS) {
    host.advance(MIN_STEP_MS);
    tick();
  }
  // What a guard before it may have started fills the rest of the bound.
  expect(startedAt.length).toBeLessThanOrEqual(COLD_PER_S * BOUNDS.over);
  expect(startedAt.length).toBeGreaterThanOrEqual(COLD_PER_S);
});

test("starts shortly before the upstream is known to be cold count against the bound", () => {
  const { host, starts, startedAt, submit, tick } = createTestGuard();
  starts.recordHealth(0, host.now());
  for (let i = 0; i < 10; i++) submit();
  expect(startedAt).toHaveLength(10);
  host.advance(40);
  starts.recordHealth(3_000, host.now());
  for (let i = 0; i < 50; i++) submit();
  for (let ms = 0; ms < 900; ms += MIN_STEP_MS) {
    host.advance(MIN_STEP_MS);
    tick();
  }
  expect(startedAt.length).toBeLessThanOrEqual(COLD_PER_S * BOUNDS.over);
});

// Load pattern "return after a loss of power": all callers are back at once.
test("an upstream that surely got no request in the last second takes the burst at once", () => {
  const { host, starts, startedAt, submit, tick } = createTestGuard({
    aloneSince: -990,
  });
  starts.recordHealth(3_000, host.now());
  for (let i = 0; i < 50; i++) submit();
  expect(startedAt).toEqual([]);
  host.advance(10);
  tick();
  const { burst } = createColdBound(COLD_PER_S, BOUNDS);
  expect(startedAt.length).toBe(Math.floor(burst));
  expect(burst).toBeGreaterThan(4);
  for (let ms = 10; ms < 3_000; ms += MIN_STEP_MS) {
    host.advance(MIN_STEP_MS);
    tick();
  }
  expect(startedAt).toHaveLength(50);
  expect(getMostInASecond(startedAt)).toBeLessThanOrEqual(
    MAX_PER_SECOND * 7 / 8,
  );
});

test("however requests come and the upstream's state changes, a second holds no more than the bound", () => {
  const gaps = fc.array(
    fc.record({
      gapMs: fc.oneof(fc.constant(0), fc.integer({ min: 1, max: 700 })),
      count: fc.integer({ min: 1, max: 30 }),
    }),
    { minLength: 5, maxLength: 40 },
  );
  fc.assert(fc.property(gaps, (steps) => {
    const { host, starts, startedAt, submit, tick } = createTestGuard({
      aloneSince: -1_000,
    });
    for (const { gapMs, count } of steps) {
      for (let ms = 0; ms < gapMs; ms += 10) {
        starts.recordHealth(3_000, host.now());
        host.advance(Math.min(10, gapMs - ms));
        tick();
      }
      for (let i = 0; i < count; i++) submit({ mayQueue: i % 2 === 0 });
    }
    expect(getMostInASecond(startedAt))
      .toBeLessThanOrEqual(MAX_PER_SECOND * 7 / 8);
  }));
});

test("a queued request starts only with a recent reading, or within the bound", () => {
  const { host, starts, startedAt, submit, guard } = createTestGuard({
    slots: 1,
  });
  starts.recordHealth(0, host.now());
  submit();
  submit();
  host.advance(200);
  const respond = () =>
    guard.handle({
      kind: GuardMessageKind.UpstreamResponded,
      ticket: "1",
      status: 200,
    });
  expect(respond()).toEqual([]);
  starts.recordHealth(0, host.now());
  expect(guard.handle({ kind: GuardMessageKind.Tick })).toMatchObject([
    { kind: GuardActionKind.Start, ticket: "2" },
  ]);
  expect(startedAt).toHaveLength(1);
});

test("a grant that was given before the upstream became cold counts when it is used", () => {
  const { host, starts, reserve, run } = createTestGuard();
  starts.recordHealth(0, host.now());
  const granted = reserve();
  const second = reserve();
  host.advance(150);
  starts.recordHealth(3_000, host.now());
  expect(run(granted[0])).toMatchObject(OVER_LIMIT);
  host.advance(50);
  starts.recordHealth(3_000, host.now());
  expect(run(second[0])).toMatchObject([{ kind: GuardActionKind.Start }]);
});

test("a grant counts when it is given; one that is released late gives nothing back", () => {
  const { host, starts, guard, reserve, submit } = createTestGuard();
  starts.recordHealth(10_000, host.now());
  reserve();
  host.advance(60);
  // The queued reservation got the first start.
  guard.handle({ kind: GuardMessageKind.Tick });
  expect(submit({ mayQueue: false })).toMatchObject(OVER_LIMIT);
  host.advance(140);
  while (submit({ mayQueue: false })[0]?.kind === GuardActionKind.Start);
  guard.handle({ kind: GuardMessageKind.Release, ticket: "1" });
  expect(submit({ mayQueue: false })).toMatchObject(OVER_LIMIT);
});

test("readings are made for requests that may start, not for those that must wait for the bound", () => {
  const { host, starts, guard } = createTestGuard();
  expect(guard.mayStart(HEAD)).toBe(true);
  starts.recordHealth(3_000, host.now());
  expect(guard.mayStart(HEAD)).toBe(false);
  host.advance(100);
  expect(guard.mayStart(HEAD)).toBe(true);
});

test("a report states when a cold upstream may start a request, but nothing without a reading", () => {
  const { host, starts, guard, submit } = createTestGuard();
  submit({ mayQueue: false });
  expect(guard.getReport().startsInMs).toBeUndefined();
  starts.recordHealth(3_000, host.now());
  submit({ mayQueue: false });
  expect(guard.getReport().startsInMs).toBeGreaterThan(0);
  starts.recordHealth(0, host.now());
  expect(guard.getReport().startsInMs).toBeUndefined();
});

test("work at a cold upstream is judged by half of its usual speed", () => {
  const { host, starts, guard, submit } = createTestGuard({ upstream: VIEW });
  starts.recordHealth(0, host.now());
  submit({ route: "reads", objectiveMs: 300 });
  host.advance(100);
  guard.handle({
    kind: GuardMessageKind.UpstreamResponded,
    ticket: "1",
    status: 200,
  });
  const short = { route: "reads", objectiveMs: 150, timeoutMs: 150 };
  starts.recordHealth(0, host.now());
  expect(submit({ ...short, mayQueue: false })).toMatchObject([
    { kind: GuardActionKind.Start },
  ]);
  starts.recordHealth(3_000, host.now());
  host.advance(500);
  expect(submit({ ...short, mayQueue: false })).toMatchObject([
    { kind: GuardActionKind.Refuse },
  ]);
  expect(guard.getReport().slowdown).toBe(2);
});

/** An upstream whose load readings show no slowdown. */
const VIEW: NonNullable<GuardOptions["upstream"]> = {
  getUsableSlots: () => 100,
  getShortWorkSlots: () => 100,
  getKnownGoodSlots: () => 100,
  recordStart: () => {},
  recordServiceTime: () => {},
  getSlowdown: () => 1,
  getBaseSlowdown: () => 1,
  getInstance: () => undefined,
  getStartDelayMs: () => 0,
};

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

test("the time of the next start travels without a notice, and is left out where there is none", () => {
  expect(encodeStartsIn(REPORT)).toBeUndefined();
  const text = encodeStartsIn({ ...REPORT, startsInMs: 41.2 });
  expect(decodeStartsIn(text!)).toBe(42);
  expect(decodeStartsIn("soon")).toBeUndefined();
  // A notice with a limit states it already.
  const notice = { instance: "i", isLeaving: false, limitPerS: 5 };
  expect(encodeStartsIn({ ...REPORT, startsInMs: 41, notice })).toBeUndefined();
});

test.each([
  [{}, 0],
  [{ "x-vanillarock-cold-ms": "0" }, 0],
  [{ "x-vanillarock-cold-ms": "2750" }, 2_750],
  [{ "x-vanillarock-cold-ms": "?" }, undefined],
])("a health response with %o is cold for %s ms", (headers, coldMs) => {
  expect(platformUpstreams.readColdMs(headers)).toBe(coldMs);
});

/** Settings of the platform with additional bounds. */
const createSettings = (bounds: string) => `
self: { ip: 10.1.0.8, zone: east, app: "10.1.0.8:8301", service: shop }
network:
  listen: { inbound: "10.1.0.8:8300", outbound: "10.1.0.8:8304", ready: "10.1.0.8:8302" }
platform: { platform: { address: "10.200.1.7:8309" } }
terms:
  bounds: { stableS: 3, drainS: 2.5, configS: 2, graceS: 6, retryBudgetRatio: 0.2, budgetWindowS: 10, budgetSlack: 64${bounds} }
`;

test.each([
  ["", undefined, undefined],
  [", coldOver: 1.5, evacuateS: 4", undefined, 4_000],
  [", coldOver: 2, coldSlack: 5", { over: 2, slack: 5 }, undefined],
  // An unreadable bound has its default; it must not disable the limit.
  [", coldOver: much, coldSlack: -3, evacuateS: soon", BOUNDS, 5_000],
])("bounds in the settings%s", (text, cold, evacuateMs) => {
  const { bounds } = decodeSettings(createSettings(text), "f").unwrap();
  expect(bounds.cold).toEqual(cold);
  expect(bounds.evacuateMs).toBe(evacuateMs);
});

test("the time left of a list entry and the services' rates are read", () => {
  const entry = {
    address: "10.1.0.8:80",
    info: { service: "shop", version: "v1", zone: "east", slots: 12 },
    status: { state: "ready", seq: 4, coldLeftS: 2.5 },
  };
  const decode = (it: unknown) =>
    decodeUpstream("i-1", JSON.stringify(it)).unwrap().coldMs;
  expect(decode(entry)).toBe(2_500);
  expect(decode({ ...entry, status: { ...entry.status, coldLeftS: 0 } }))
    .toBeUndefined();
  const published = decodeRouting(JSON.stringify({
    version: "0000000c",
    routes: { columns: [], rows: [] },
    services: {
      columns: ["name", "healthCheck", "coldPerS", "coldStartS"],
      rows: [["one", "/healthz", 12.5, 3], ["two", "/ok", null, null]],
    },
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1_000,
      headerTimeoutS: 3,
      idleTimeoutS: 15,
    },
  })).unwrap();
  const config = mergeWithActive(published, undefined);
  expect([...config!.coldRatePerS!]).toEqual([["one", 12.5]]);
  // A row that can't be read keeps the rate of the active version.
  const services = [{ name: "one", isReadable: false }];
  const next = mergeWithActive({ ...published, services }, config);
  expect([...next!.coldRatePerS!]).toEqual([["one", 12.5]]);
  const lifted = [{ name: "one", isReadable: true }];
  const last = mergeWithActive({ ...published, services: lifted }, config);
  expect([...last!.coldRatePerS!]).toEqual([]);
});

/** A watch of a real upstream, whose readings the state needs. */
async function createTestWatch() {
  const clock = createClock();
  const upstream = await startUpstream("i");
  let isWaiting = false;
  const starts = createColdStarts(clock, {
    bounds: BOUNDS,
    tryGetColdRatePerS: () => COLD_PER_S,
  });
  const watch = createUpstreamWatch(clock, {
    address: upstream.address,
    protocol: platformUpstreams,
    counters: createCounters(),
    getHealthPath: () => "/healthz",
    getListedSlots: () => 8,
    hasWaiting: () => isWaiting,
    onReading: () => {},
    onRefused: () => {},
    onNotice: () => {},
    onCold: starts.recordHealth,
    needsReadings: () => starts.getState() !== ColdState.Unlimited,
    isReadingDue: starts.isReadingDue,
  });
  return {
    upstream,
    starts,
    watch,
    setWaiting: (next: boolean) => void (isWaiting = next),
    close: async () => {
      await watch.close();
      await upstream.close();
    },
  };
}

test("a response to a request replaces no health check: only that shows whether the upstream is cold", async () => {
  const { upstream, starts, watch, close } = await createTestWatch();
  upstream.coldUntil = performance.now() + 5_000;
  // A busy machine may not respond within the time that one refresh waits.
  for (let i = 0; i < 50 && starts.getState() !== ColdState.Cold; i++) {
    watch.recordLoad({ running: 0, waiting: 0, slots: 4, slowdown: 1 });
    await watch.refresh();
  }
  expect(starts.getState()).toBe(ColdState.Cold);
  await close();
});

test("an upstream whose health can't be read counts as cold", async () => {
  const { upstream, starts, watch, close } = await createTestWatch();
  upstream.respondsToHealth = false;
  await watch.refresh();
  expect(starts.getState()).toBe(ColdState.Unknown);
  await close();
});

test("while requests wait the reading is kept recent", async () => {
  const { upstream, watch, setWaiting, close } = await createTestWatch();
  await watch.refresh();
  setWaiting(true);
  watch.pollWhileWaiting();
  await expect.poll(() => upstream.probes, { timeout: 4_000 })
    .toBeGreaterThan(5);
  setWaiting(false);
  const probes = upstream.probes;
  await new Promise((resolve) => setTimeout(resolve, 200));
  expect(upstream.probes).toBeLessThanOrEqual(probes + 2);
  await close();
});
