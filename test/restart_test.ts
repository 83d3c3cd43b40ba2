/** Upstreams that restarted under new incarnations before the list names them. */

import { expect, test } from "vitest";
import { Diagnostics } from "../src/core/diagnostics.ts";
import type { Gateway } from "../src/core/gateway_types.ts";
import { createGuard } from "../src/core/guard.ts";
import type { Guard } from "../src/core/guard_types.ts";
import {
  type ListedUpstream,
  ListedUpstreamState,
} from "../src/core/routing_types.ts";
import {
  type CoreHost,
  Execution,
  type GatewayAction,
  GatewayActionKind,
  GatewayMessageKind,
  GuardActionKind,
  GuardMessageKind,
  Repeatability,
  type RequestHead,
} from "../src/core/types.ts";
import { createUpstreamList } from "../src/core/upstream_list.ts";
import { createTestGateway, sendArrival } from "../src/lab/test_gateway.ts";
import { decodeVerdict, encodeVerdict } from "../src/link/wire.ts";
import { limitRetryAfter } from "../src/core/retry_after.ts";
import { createTestHost } from "./support/core_host.ts";
import { type FleetLoad, replayFleetLoad } from "./support/fleet_load.ts";

const HOST_COUNT = 6;
const SLOTS = 4;
const WORK_MS = 50;
const LIST_LAG_MS = 1_200;
/** More than the caller's own failure domain serves within the lag, less than all do. */
const REQUEST_COUNT = 320;

test("a whole fleet that restarted serves at once while the list names dead incarnations", () => {
  const fleet = createFleet();
  fleet.restartAll();
  for (let i = 0; i < REQUEST_COUNT; i++) {
    fleet.send(String(i));
    fleet.host.advance(LIST_LAG_MS / REQUEST_COUNT);
  }
  expect(fleet.finished).toEqual([]);
  expect(fleet.ran).toHaveLength(REQUEST_COUNT);
  expect(new Set(fleet.ran).size).toBe(HOST_COUNT);
  // Each host is asked once for the dead incarnation.
  expect(fleet.counters["refused_instance_replaced"]).toBe(HOST_COUNT);
});

test("an order that may run once is reserved again for the current incarnation", () => {
  const fleet = createFleet();
  fleet.restartAll();
  const [reserved] = sendArrival(fleet.gateway, "order", {
    repeatability: Repeatability.AtMostOnce,
  });
  expect(reserved).toMatchObject({ instance: "old-0" });
  expect(fleet.refuse("order", 1, "new-0")).toMatchObject([
    { kind: GatewayActionKind.Reserve, to: "10.0.0.0", instance: "new-0" },
  ]);
});

test("a guard that never names the same incarnation twice does not hold a request for ever", () => {
  const fleet = createFleet();
  sendArrival(fleet.gateway, "1");
  let attempt = 1;
  for (; attempt < 100; attempt++) {
    const [next] = fleet.refuse("1", attempt, `other-${attempt}`);
    if (next?.kind === GatewayActionKind.Finish) break;
  }
  expect(attempt).toBeLessThan(20);
});

test("the list ends the use of an incarnation that it names, replaces or removes", () => {
  const fleet = createFleet(1);
  fleet.restartAll();
  const getAsked = () => {
    const [action] = sendArrival(fleet.gateway, String(Math.random()));
    return action?.kind === GatewayActionKind.Submit
      ? action.instance
      : undefined;
  };
  fleet.send("1");
  expect(getAsked()).toBe("new-0");
  // The list names a third incarnation.
  fleet.list.put(createEntry(0, "third"));
  expect(getAsked()).toBe("third");
  // The entry goes.
  fleet.list.remove("third");
  fleet.list.remove("old-0");
  expect(getAsked()).toBe(undefined);
});

test.each([{ isRemoved: false }, { isRemoved: true }])(
  "an incarnation that the list showed as draining is not used, whatever its guard states: %o",
  ({ isRemoved }) => {
    const fleet = createFleet(1);
    fleet.restartAll();
    fleet.send("1");
    expect(fleet.ran).toEqual(["new-0"]);
    fleet.list.put({
      ...createEntry(0, "new-0"),
      state: ListedUpstreamState.Draining,
    });
    // The dead incarnation is still listed as ready.
    if (isRemoved) fleet.list.remove("new-0");
    fleet.send("2");
    fleet.host.advance(10_000);
    fleet.send("3");
    expect(fleet.ran).toEqual(["new-0"]);
    expect(fleet.finished).toEqual(["2", "3"]);
  },
);

test("a guard whose upstream serves another service states no incarnation", () => {
  const fleet = createFleet(2);
  fleet.restartAll();
  const refusal = fleet.submit(1, { service: "other", instance: "old-1" });
  expect(refusal).toMatchObject({
    kind: GuardActionKind.Refuse,
    verdict: { diagnostic: Diagnostics.wrong_host },
  });
  expect(refusal).not.toHaveProperty("verdict.currentInstance");
  expect(fleet.submit(1, { service: "shop", instance: "old-1" }))
    .toHaveProperty("verdict.currentInstance", "new-1");
});

test("a guard that drains states no incarnation: another service may have its address", () => {
  const fleet = createFleet(2);
  fleet.restartAll();
  fleet.drain(1);
  expect(fleet.submit(1, { service: "shop", instance: "old-1" }))
    .not.toHaveProperty("verdict.currentInstance");
});

test("a refusal between daemons names the incarnation, and one without it is read too", () => {
  const verdict = {
    execution: Execution.NotRun,
    diagnostic: Diagnostics.instance_replaced,
  };
  const named = { ...verdict, currentInstance: "new" };
  expect(decodeVerdict(encodeVerdict(named)).val).toEqual(named);
  expect(decodeVerdict(encodeVerdict(verdict)).val).toEqual(verdict);
  // A daemon of another version may send fields that this one doesn't know.
  const text = JSON.stringify({
    execution: Execution.NotRun,
    reason: "instance_replaced",
    later: 1,
  });
  expect(decodeVerdict(text).val).toEqual(verdict);
});

test.each([{ perSecond: 150, share: 0.98 }, { perSecond: 300, share: 0.9 }])(
  "the first two seconds after a return: nearly as many in time as if the incarnations were known: %o",
  ({ perSecond, share }) => {
    const replay = (listLagMs: number) => {
      let inTime = 0;
      const reasons: Record<string, number> = {};
      for (const seed of [0, 1, 2]) {
        const { shop } = replayFleetLoad(
          createReturn({ perSecond, listLagMs, seed }),
        );
        inTime += shop!.inTime / shop!.arrived;
        for (const [reason, count] of Object.entries(shop!.reasons)) {
          reasons[reason] = (reasons[reason] ?? 0) + count;
        }
      }
      return { inTime, reasons };
    };
    const actual = replay(LIST_LAG_MS);
    expect(actual.inTime).toBeGreaterThan(share * replay(0).inTime);
    expect(actual.reasons).not.toHaveProperty("instance_replaced");
  },
  60_000,
);

test("overload after a return: requests whose objective has passed take no more slots than there are", () => {
  const load = createReturn({ perSecond: 600, listLagMs: 0, seed: 0 });
  expect(replayFleetLoad(load).shop!.refused).toBeGreaterThan(0);
  const guard = createTestGuard(createTestHost(), {
    index: 0,
    getInstance: () => "new-0",
  });
  const countStarts = (ticket: string, objectiveMs: number) =>
    guard.handle({
      kind: GuardMessageKind.Submit,
      ticket,
      head: {
        account: "all",
        service: "shop",
        repeatability: Repeatability.Idempotent,
        fingerprint: "",
        timeoutMs: 1_000,
        objectiveMs,
      },
    }).filter((it) => it.kind === GuardActionKind.Start).length;
  const started = Array.from(
    { length: SLOTS + 1 },
    (_, i) => countStarts(`t-${i}`, -500),
  );
  // The last slot is left to a request that can be in time.
  expect(started).toEqual([...Array(SLOTS - 1).fill(1), 0, 0]);
  expect(countStarts("in-time", 500)).toBe(1);
  expect(countStarts("next", 500)).toBe(0);
});

test("callers that were refused together come back spread out, within a third of their time left", () => {
  const host = createTestHost();
  const times = Array.from(
    { length: 1_000 },
    () => limitRetryAfter(host, { expectedMs: 5_000, leftMs: 600 }),
  );
  expect(Math.max(...times)).toBeLessThanOrEqual(200);
  expect(Math.min(...times)).toBeGreaterThanOrEqual(100);
  const perTenMs = Array.from(
    { length: 11 },
    (_, i) => times.filter((t) => Math.floor((t - 100) / 10) === i).length,
  );
  expect(Math.max(...perTenMs)).toBeLessThan(150);
  // Capacity that is expected within their time is waited for.
  expect(limitRetryAfter(host, { expectedMs: 150, leftMs: 600 })).toBe(150);
  expect(limitRetryAfter(host, { leftMs: -1 })).toBe(0);
});

/** Hosts that return cold at time 0 and at once get their load. */
function createReturn(
  { perSecond, listLagMs, seed }: {
    perSecond: number;
    listLagMs: number;
    seed: number;
  },
): FleetLoad {
  return {
    services: {
      shop: {
        hosts: 12,
        slots: 5,
        perSecond,
        workMs: 100,
        objectiveMs: 500,
        timeoutMs: 1_500,
        calls: { service: "back", times: 1 },
      },
      back: {
        hosts: 6,
        slots: 5,
        perSecond: 0,
        workMs: 20,
        objectiveMs: 100,
        timeoutMs: 100,
      },
    },
    noise: { share: 0.25, factor: 5, periodMs: 150 },
    seconds: 2,
    seed,
    restart: { listLagMs, coldMs: 3_000, coldFactor: 2 },
  };
}

/** The gateway of one daemon and the guards of a fleet, connected without latency. */
function createFleet(hostCount = HOST_COUNT) {
  const host = createTestHost();
  const list = createUpstreamList(host, {
    lapseGraceMs: 2_000,
    getHost: (address) => address.split(":")[0]!,
    onChange: () => {},
  });
  const instances = Array.from({ length: hostCount }, (_, i) => `old-${i}`);
  const guards = instances.map((_, i) =>
    createTestGuard(host, { index: i, getInstance: () => instances[i]! })
  );
  list.replaceAll(instances.map((instance, i) => createEntry(i, instance)));
  const gateway: Gateway = createTestGateway(host, {
    getCandidates: list.getCandidates,
    wasListed: list.wasListed,
    retryAllowance: { recordRequest: () => {}, tryAcquire: () => false },
  });
  const ran: string[] = [];
  const finished: string[] = [];
  const counters: Record<string, number> = {};
  const ends: { at: number; run: () => void }[] = [];
  return {
    host,
    list,
    gateway,
    ran,
    finished,
    counters,
    restartAll: () => {
      for (const i of instances.keys()) instances[i] = `new-${i}`;
    },
    drain: (index: number) =>
      guards[index]!.handle({ kind: GuardMessageKind.Drain }),
    send,
    submit,
    refuse,
  };

  /** Sends a request and passes all messages until it runs or is finished. */
  function send(id: string): void {
    for (const it of ends.splice(0)) {
      if (it.at <= host.now()) it.run();
      else ends.push(it);
    }
    for (
      let [action] = sendArrival(gateway, id);
      action !== undefined;
    ) [action] = pass(action);
  }

  function pass(action: GatewayAction): GatewayAction[] {
    if (action.kind === GatewayActionKind.Finish) finished.push(action.id);
    if (action.kind !== GatewayActionKind.Submit) return [];
    const { id, attempt, to, instance, mayQueue } = action;
    const index = Number(to.split(".").at(-1));
    const ticket = gateway.getTicket(id, attempt);
    const reply = submit(index, { instance, mayQueue, ticket });
    gateway.receiveReport(guards[index]!.getReport());
    if (reply?.kind === GuardActionKind.Refuse) {
      const { diagnostic, currentInstance } = reply.verdict;
      count(`refused_${diagnostic.reason}`);
      return refuse(id, attempt, currentInstance);
    }
    expect(reply?.kind).toBe(GuardActionKind.Start);
    expect(instance).toBe(instances[index]);
    ran.push(instances[index]!);
    ends.push({
      at: host.now() + WORK_MS,
      run: () => {
        const status = 200;
        const kind = GuardMessageKind.UpstreamResponded;
        guards[index]!.handle({ kind, ticket, status });
        gateway.receiveReport(guards[index]!.getReport());
        gateway.handle({
          kind: GatewayMessageKind.ResponseReceived,
          ...{ id, attempt, ticket, status },
        });
        gateway.handle({ kind: GatewayMessageKind.Completed, id });
      },
    });
    return [];
  }

  function count(name: string): void {
    counters[name] = (counters[name] ?? 0) + 1;
  }

  function submit(
    index: number,
    head: Partial<Record<keyof RequestHead, unknown>> & { ticket?: string },
  ) {
    const { ticket = `t-${Math.random()}`, ...rest } = head;
    return guards[index]!.handle({
      kind: GuardMessageKind.Submit,
      ticket,
      head: {
        account: "all",
        service: "shop",
        repeatability: Repeatability.Idempotent,
        fingerprint: "",
        timeoutMs: 1_000,
        ...rest,
      } as RequestHead,
    })[0];
  }

  function refuse(
    id: string,
    attempt: number,
    currentInstance: string | undefined,
  ): GatewayAction[] {
    return gateway.handle({
      kind: GatewayMessageKind.Refused,
      id,
      attempt,
      verdict: {
        execution: Execution.NotRun,
        diagnostic: Diagnostics.instance_replaced,
        ...(currentInstance !== undefined && { currentInstance }),
      },
    });
  }
}

function createEntry(index: number, instance: string): ListedUpstream {
  return {
    instance,
    service: "shop",
    address: `10.0.0.${index}:80`,
    failureDomain: index % 2 === 0 ? "east" : "west",
    slots: SLOTS,
    state: ListedUpstreamState.Ready,
  };
}

function createTestGuard(
  host: CoreHost,
  { index, getInstance }: { index: number; getInstance(): string },
): Guard {
  return createGuard(host, {
    self: `10.0.0.${index}`,
    service: "shop",
    incarnation: `guard-${index}`,
    slots: SLOTS,
    queueCapacity: 16,
    grantTtlMs: 1_000,
    keyCapacity: 16,
    getWeight: () => 1,
    upstream: {
      getUsableSlots: () => SLOTS,
      getShortWorkSlots: () => SLOTS,
      getKnownGoodSlots: () => SLOTS,
      recordStart: () => {},
      recordServiceTime: () => {},
      getBaseSlowdown: () => 1,
      getInstance,
      getSlowdown: () => 1,
      getStartDelayMs: () => 0,
    },
  });
}
