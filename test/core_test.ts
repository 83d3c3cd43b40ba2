/** The core by itself: keys, queues, budgets, membership, configuration. */

import fc from "fast-check";
import { ok } from "neverthrow";
import { expect, test } from "vitest";
import { ChoicePolicy } from "../src/core/choice.ts";
import { createConfigState } from "../src/core/config_state.ts";
import {
  ListedState,
  type MemberAnnouncement,
} from "../src/core/config_types.ts";
import { Diagnostics } from "../src/core/diagnostics.ts";
import { createFairQueue } from "../src/core/fair_queue.ts";
import { createGateway } from "../src/core/gateway.ts";
import { createGuard } from "../src/core/guard.ts";
import {
  createKeyTable,
  KeyStanding,
  KeyState,
} from "../src/core/key_table.ts";
import { createMembership } from "../src/core/membership.ts";
import { createGossip } from "../src/core/gossip.ts";
import {
  Execution,
  GatewayActionKind,
  GatewayMessageKind,
  GuardActionKind,
  GuardMessageKind,
  Repeatability,
} from "../src/core/types.ts";
import { createTestHost, type TestHost } from "./support/core_host.ts";
import { createTestGateway, sendArrival } from "../src/lab/test_gateway.ts";

const HOSTS = ["a", "b", "c"];

function createThreeHostGateway(host: TestHost, retryBudget = 0.1) {
  return createGateway(host, {
    self: "a",
    incarnation: "a#1",
    maxAttempts: 4,
    reserveTimeoutMs: 100,
    suspectAfterMs: 400,
    chooser: {
      policy: ChoicePolicy.ExpectedTime,
      failureDomain: "x",
      crossDomainMs: 3,
    },
    getCandidates: () => HOSTS.map((h) => ({ host: h, failureDomain: "x" })),
    getLimits: () => ({ retryBudget, hedgeBudget: 0, hedgePercentile: 95 }),
  });
}

function handleArrival(
  gateway: ReturnType<typeof createThreeHostGateway>,
  id: string,
  repeatability: Repeatability,
) {
  return gateway.handle({
    kind: GatewayMessageKind.Arrived,
    arrival: {
      id,
      account: "karaca",
      service: "orders",
      repeatability,
      timeoutMs: 1_000,
      replayable: true,
      retriesLeft: 3,
    },
  });
}

test("a running attempt ignores refusals of another grant", () => {
  const gateway = createThreeHostGateway(createTestHost());
  handleArrival(gateway, "r", Repeatability.AtMostOnce);
  gateway.handle({
    kind: GatewayMessageKind.Granted,
    id: "r",
    attempt: 1,
    grant: "g#1-1",
    key: "k",
  });
  const verdict = {
    execution: Execution.NotRun,
    diagnostic: Diagnostics.grant_expired,
  };
  const refused = { kind: GatewayMessageKind.Refused, id: "r", attempt: 1 };
  const stale = gateway.handle(
    { ...refused, verdict, grant: "g#2-1" } as never,
  );
  expect(stale).toEqual([]);
  const own = gateway.handle({ ...refused, verdict, grant: "g#1-1" } as never);
  expect(own[0]?.kind).toBe(GatewayActionKind.Reserve);
});

// A gateway that is held up at the deadline reads its guard's verdict first. It
// gave another reason then, and retried a read in the last part of a millisecond.
test.each([Repeatability.AtMostOnce, Repeatability.Idempotent])(
  "a guard's verdict that the time has passed ends a request as its deadline does: %s",
  (repeatability) => {
    const gateway = createThreeHostGateway(createTestHost(), 1);
    handleArrival(gateway, "r", repeatability);
    if (repeatability === Repeatability.AtMostOnce) {
      gateway.handle({
        kind: GatewayMessageKind.Granted,
        id: "r",
        attempt: 1,
        grant: "g#1-1",
        key: "k",
      });
    }
    const actions = gateway.handle({
      kind: GatewayMessageKind.Refused,
      id: "r",
      attempt: 1,
      verdict: {
        execution: Execution.MayHaveRun,
        diagnostic: Diagnostics.upstream_timeout,
      },
      ...(repeatability === Repeatability.AtMostOnce && { grant: "g#1-1" }),
    });
    expect(actions).toMatchObject([{
      kind: GatewayActionKind.Finish,
      verdict: {
        execution: Execution.MayHaveRun,
        diagnostic: Diagnostics.deadline_passed,
      },
    }]);
  },
);

test("retries stay within the account's budget", () => {
  const gateway = createThreeHostGateway(createTestHost(), 0);
  let attempts = 0;
  for (let index = 0; index < 200; index++) {
    let actions = handleArrival(gateway, `r${index}`, Repeatability.Idempotent);
    while (actions[0]?.kind === GatewayActionKind.Submit) {
      attempts += 1;
      actions = gateway.handle({
        kind: GatewayMessageKind.Refused,
        id: `r${index}`,
        attempt: actions[0].attempt,
        verdict: {
          execution: Execution.NotRun,
          diagnostic: Diagnostics.queue_full,
        },
      });
    }
  }
  expect(attempts).toBeLessThanOrEqual(200 + 10);
});

test("the horizon of a key table never falls, and a used key never counts as unused", () => {
  fc.assert(
    fc.property(
      fc.array(fc.integer({ min: 0, max: 19 }), { maxLength: 60 }),
      (uses) => {
        const keyTable = createKeyTable(createTestHost(), {
          home: "a",
          incarnation: "a#1",
          capacity: 3,
        });
        const keys = Array.from({ length: 20 }, () => keyTable.issue("karaca"));
        const used = new Set<string>();
        let horizon = 0;
        for (const use of uses) {
          const key = keys[use]!;
          const standing = keyTable.getStanding(key, "karaca");
          if (used.has(key)) expect(standing).not.toBe(KeyStanding.Unused);
          if (standing === KeyStanding.Unused) {
            keyTable.open(key, "f").state = KeyState.Answered;
            used.add(key);
          }
          expect(keyTable.getHorizon()).toBeGreaterThanOrEqual(horizon);
          horizon = keyTable.getHorizon();
          expect(keyTable.size()).toBeLessThanOrEqual(3);
        }
      },
    ),
    { seed: 7, numRuns: 300 },
  );
});

test("a key of another account, home or incarnation is not genuine", () => {
  const host = createTestHost();
  const options = { home: "a", incarnation: "a#1", capacity: 3 };
  const keyTable = createKeyTable(host, options);
  const key = keyTable.issue("karaca");
  expect(keyTable.getStanding(key, "karaca")).toBe(KeyStanding.Unused);
  expect(keyTable.getStanding(key, "mesas")).toBe(KeyStanding.Malformed);
  const laterTable = createKeyTable(host, { ...options, incarnation: "a#2" });
  laterTable.issue("karaca");
  const standing = laterTable.getStanding(key, "karaca");
  expect(standing).toBe(KeyStanding.EarlierIncarnation);
});

test("a guard at a reused address proves nothing of another host's key", () => {
  const { reserve } = createSmallGuard(1, 1);
  const [answer] = reserve("t1", "b.b#1.1.0123456789abcdef");
  expect(answer).toMatchObject({
    kind: GuardActionKind.Refuse,
    verdict: {
      execution: Execution.MayHaveRun,
      diagnostic: { reason: "wrong_host" },
    },
  });
});

test("a large account uses idle capacity and never starves a small one", () => {
  const queue = createFairQueue<{ account: string }>({
    capacity: 10,
    getWeight: () => 1,
  });
  for (let index = 0; index < 10; index++) {
    expect(queue.push({ account: "large" })).toBeUndefined();
  }
  for (let index = 0; index < 5; index++) {
    expect(queue.push({ account: "small" })?.account).toBe("large");
  }
  const order = Array.from({ length: 10 }, () => queue.pop()!.account);
  expect(order.slice(0, 4).filter((a) => a === "small")).toHaveLength(2);
  expect(order.filter((a) => a === "small")).toHaveLength(5);
});

test("a guard never overcommits its slots and refuses what can't finish", () => {
  const host = createTestHost();
  const guard = createGuard(host, {
    self: "a",
    service: "boards",
    incarnation: "a#1",
    slots: 2,
    queueCapacity: 3,
    grantTtlMs: 100,
    keyCapacity: 10,
    getWeight: () => 1,
  });
  const actions = Array.from({ length: 8 }, (_, index) =>
    guard.handle({
      kind: GuardMessageKind.Submit,
      ticket: `t${index}`,
      head: {
        account: "karaca",
        service: "boards",
        repeatability: Repeatability.Idempotent,
        fingerprint: "f",
        timeoutMs: index === 7 ? 1 : 1_000,
      },
    })).flat();
  const count = (kind: GuardActionKind) =>
    actions.filter((a) => a.kind === kind).length;
  expect(count(GuardActionKind.Start)).toBe(2);
  expect(count(GuardActionKind.Refuse)).toBe(3);
  expect(guard.getReport()).toMatchObject({ inFlight: 2, queued: 3 });
  expect(guard.counters.get("deadline_too_short")).toBe(1);
  for (const action of actions) {
    if (action.kind !== GuardActionKind.Refuse) continue;
    expect(action.verdict.retryAfterMs).toBeGreaterThan(0);
  }
});

function createSmallGuard(slots: number, queueCapacity: number) {
  const guard = createGuard(createTestHost(), {
    self: "a",
    service: "orders",
    incarnation: "a#1",
    slots,
    queueCapacity,
    grantTtlMs: 100,
    keyCapacity: 10,
    getWeight: () => 1,
  });
  return { guard, reserve };

  function reserve(ticket: string, key?: string) {
    return guard.handle({
      kind: GuardMessageKind.Reserve,
      ticket,
      head: {
        account: "karaca",
        service: "orders",
        repeatability: Repeatability.AtMostOnce,
        fingerprint: "f",
        timeoutMs: 1_000,
        ...(key !== undefined && { key }),
      },
    });
  }
}

test("a settlement that proves NotRun seals the grant against a late run", () => {
  const { guard, reserve } = createSmallGuard(1, 1);
  const [grant] = reserve("t1");
  if (grant?.kind !== GuardActionKind.Grant) throw new Error("no grant");
  const settled = guard.handle({
    kind: GuardMessageKind.Settle,
    ticket: "s1",
    account: "karaca",
    key: grant.key,
  });
  expect(settled.at(-1)).toMatchObject({
    kind: GuardActionKind.Refuse,
    verdict: { execution: Execution.NotRun },
  });
  const late = guard.handle({
    kind: GuardMessageKind.Run,
    ticket: "t1",
    grant: grant.grant,
  });
  expect(late.map((a) => a.kind)).toEqual([GuardActionKind.Refuse]);
});

test("a key refused as NotRun is sealed and never runs later", () => {
  const { guard, reserve } = createSmallGuard(1, 0);
  const [key] = guard.issueKeys("karaca", 1);
  reserve("busy");
  const [refused] = reserve("t1", key);
  expect(refused).toMatchObject({ kind: GuardActionKind.Refuse });
  guard.handle({ kind: GuardMessageKind.Release, ticket: "busy" });
  const again = reserve("t2", key);
  expect(again).toMatchObject([{
    kind: GuardActionKind.Refuse,
    verdict: { diagnostic: { reason: "key_sealed" } },
  }]);
});

function createAnnouncement(
  host: string,
  change: Partial<MemberAnnouncement> = {},
): MemberAnnouncement {
  return {
    host,
    service: "orders",
    failureDomain: "x",
    dataAddress: `${host}:1`,
    controlAddress: `${host}:2`,
    incarnation: "1",
    sequence: 1,
    draining: false,
    ...change,
  };
}

test("a host that leaves by the list gets no work until it has restarted", () => {
  const membership = createMembership(createTestHost(), {
    self: "z",
    failureDomain: "x",
    subsetSize: 8,
  });
  const row = { ...createAnnouncement("a"), state: ListedState.Live };
  membership.applyAnnouncement(createAnnouncement("a"), { isDirect: true });
  membership.applyList([row]);
  expect(membership.getCandidates("orders")).toHaveLength(1);
  membership.applyList([{ ...row, state: ListedState.Leaving }]);
  expect(membership.getCandidates("orders")).toHaveLength(0);
  membership.applyAnnouncement(createAnnouncement("a", { incarnation: "2" }), {
    isDirect: true,
  });
  expect(membership.getCandidates("orders")).toHaveLength(1);
  membership.applyAnnouncement(
    createAnnouncement("a", { incarnation: "2", sequence: 2, draining: true }),
    {
      isDirect: true,
    },
  );
  expect(membership.getCandidates("orders")).toHaveLength(0);
  membership.applyAnnouncement(
    createAnnouncement("a", { incarnation: "1", sequence: 9 }),
    {
      isDirect: false,
    },
  );
  expect(membership.getCandidates("orders")).toHaveLength(0);
});

test("a subset keeps every failure domain", () => {
  const membership = createMembership(createTestHost(), {
    self: "z",
    failureDomain: "d0",
    subsetSize: 8,
  });
  membership.applyList(Array.from({ length: 90 }, (_, index) => ({
    ...createAnnouncement(`h${index}`, { failureDomain: `d${index % 6}` }),
    state: ListedState.Live,
  })));
  const subset = membership.getCandidates("orders");
  expect(subset).toHaveLength(8);
  expect(new Set(subset.map((c) => c.failureDomain)).size).toBe(6);
});

test("few watch the platform, and an unresponsive watcher is replaced", () => {
  const hosts = Array.from({ length: 12 }, (_, index) => `h${index}`);
  const views = hosts.map((self) => {
    const host = createTestHost();
    const membership = createMembership(host, {
      self,
      failureDomain: "x",
      subsetSize: 8,
    });
    for (const other of hosts) {
      membership.applyAnnouncement(createAnnouncement(other), {
        isDirect: true,
      });
    }
    return { self, host, membership };
  });
  const watchers = () => views.filter((v) => v.membership.isWatcher(2, 5_000));
  expect(watchers()).toHaveLength(2);
  const silent = watchers()[0]!.self;
  for (const { host, membership } of views) {
    host.advance(6_000);
    for (const other of hosts) {
      if (other === silent) continue;
      membership.applyAnnouncement(createAnnouncement(other, { sequence: 2 }), {
        isDirect: true,
      });
    }
  }
  const others = watchers().filter((v) => v.self !== silent);
  expect(others).toHaveLength(2);
});

test("revisions never fall, whatever the order of offers", () => {
  fc.assert(
    fc.property(
      fc.array(fc.tuple(fc.integer({ min: 1, max: 9 }), fc.boolean())),
      (offers) => {
        const state = createConfigState({ validate: (_, value) => ok(value) });
        let highest = 0;
        for (const [revision, isOther] of offers) {
          const value = isOther ? "other" : "value";
          state.apply({ key: "k", revision, value });
          highest = Math.max(highest, revision);
          expect(state.get("k")?.document.revision).toBe(highest);
        }
      },
    ),
    { seed: 7, numRuns: 300 },
  );
});

test("a daemon that receives another digest on the data path sends a Hello", () => {
  const host = createTestHost();
  const config = createConfigState({ validate: (_, value) => ok(value) });
  const membership = createMembership(host, {
    self: "a",
    failureDomain: "x",
    subsetSize: 8,
  });
  const gossip = createGossip(host, {
    place: createAnnouncement("a"),
    incarnation: "1",
    config,
    membership,
    fanout: 3,
    onAccepted: () => {},
    onRejected: () => {},
  });
  expect(gossip.handleDigest("b", config.getDigest())).toEqual([]);
  expect(gossip.handleDigest("b", "1-1")).toHaveLength(1);
  expect(gossip.handleDigest("b", "1-1")).toHaveLength(0);
  host.advance(500);
  expect(gossip.handleDigest("b", "1-1")).toHaveLength(1);
});

// Their connections were closed without an answer.
test("a gateway that stops ends its requests: not run if only reserved, else in doubt", () => {
  const gateway = createTestGateway(createTestHost(), {
    getCandidates: () => [{ host: "a", failureDomain: "east" }],
  });
  sendArrival(gateway, "read");
  sendArrival(gateway, "order", { repeatability: Repeatability.AtMostOnce });
  const stopped = { diagnostic: Diagnostics.stopping };
  expect(gateway.handle({ kind: GatewayMessageKind.Stopping })).toMatchObject([
    { kind: GatewayActionKind.Cancel, id: "read" },
    {
      kind: GatewayActionKind.Finish,
      verdict: { ...stopped, execution: Execution.MayHaveRun },
    },
    { kind: GatewayActionKind.Release, id: "order" },
    {
      kind: GatewayActionKind.Finish,
      verdict: { ...stopped, execution: Execution.NotRun },
    },
  ]);
  expect(gateway.getOpenCount()).toBe(0);
});

test("an order that may have run goes to no other host, although all are draining", () => {
  const host = createTestHost();
  const gateway = createTestGateway(host, {
    getCandidates: () =>
      ["a", "b"].map((id) => ({ host: id, failureDomain: "east" })),
  });
  for (const id of ["a", "b"]) {
    gateway.receiveReport({
      host: id,
      incarnation: id,
      sequence: 1,
      slots: 4,
      inFlight: 0,
      queued: 0,
      serviceMs: 10,
      draining: true,
      ageMs: 10_000,
    });
  }
  sendArrival(gateway, "1", { repeatability: Repeatability.AtMostOnce });
  const attempt = { id: "1", attempt: 1 };
  const [run] = gateway.handle({
    kind: GatewayMessageKind.Granted,
    ...attempt,
    grant: "a-1",
    key: "a.1.1",
  });
  expect(run).toMatchObject({ kind: GatewayActionKind.Run });
  const actions = gateway.handle({
    kind: GatewayMessageKind.LinkFailed,
    ...attempt,
    mayHaveArrived: true,
  });
  const unreachable = { ...attempt, verdict: undefined };
  for (let i = 0; i < 10; i++) {
    actions.push(
      ...gateway.handle({ kind: GatewayMessageKind.Settled, ...unreachable }),
    );
    host.advance(50);
    actions.push(...gateway.handle({ kind: GatewayMessageKind.Tick }));
  }
  const kinds = new Set(actions.map(({ kind }) => kind));
  expect(kinds).not.toContain(GatewayActionKind.Reserve);
  expect(actions.at(-1)).toMatchObject({
    kind: GatewayActionKind.Finish,
    verdict: { execution: Execution.MayHaveRun },
  });
});
