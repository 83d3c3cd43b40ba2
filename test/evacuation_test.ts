/** Evacuated failure domains, as gateways, guards and the readers of the store treat them. */

import { expect, test } from "vitest";
import { createStoreClient } from "../platform/store_client.ts";
import { Diagnostics } from "../src/core/diagnostics.ts";
import { createEvacuations } from "../src/core/evacuations.ts";
import type { GatewayOptions } from "../src/core/gateway_types.ts";
import { createGuard } from "../src/core/guard.ts";
import type { ClosedReason } from "../src/core/guard_types.ts";
import {
  Execution,
  type GatewayAction,
  GatewayActionKind,
  GatewayMessageKind,
  type GuardAction,
  GuardActionKind,
  GuardMessageKind,
  Repeatability,
  type RequestHead,
} from "../src/core/types.ts";
import { StoreChangeKind } from "../src/daemon/store_task.ts";
import { createTestGateway, sendArrival } from "../src/lab/test_gateway.ts";
import { decodeVerdict, encodeVerdict } from "../src/link/wire.ts";
import { startStore } from "./platform/store_stand_in.ts";
import { createTestHost } from "./support/core_host.ts";

const GRACE_MS = 2_000;

function createTestEvacuations() {
  const host = createTestHost();
  const changes: [string, boolean][] = [];
  const evacuations = createEvacuations(host, {
    graceMs: GRACE_MS,
    onChange: (...change) => void changes.push(change),
  });
  return { host, evacuations, changes };
}

test("an evacuation lasts from its key's arrival to its removal", () => {
  const { evacuations, changes } = createTestEvacuations();
  evacuations.record("east", true);
  evacuations.record("east", true);
  expect(evacuations.isEvacuated("east")).toBe(true);
  expect(evacuations.isEvacuated("west")).toBe(false);
  expect(evacuations.count()).toBe(1);
  evacuations.record("east", false);
  expect(evacuations.isEvacuated("east")).toBe(false);
  expect(changes).toEqual([["east", true], ["east", false]]);
});

test("an evacuation outlasts an outage of the store, however long", () => {
  const { host, evacuations } = createTestEvacuations();
  evacuations.record("east", true);
  evacuations.markLost();
  host.advance(600_000);
  expect(evacuations.isEvacuated("east")).toBe(true);
  evacuations.markRegained();
  expect(evacuations.isEvacuated("east")).toBe(true);
  // In the same era, a key that is missing was removed.
  evacuations.replaceAll([]);
  expect(evacuations.isEvacuated("east")).toBe(false);
});

test("an evacuation that an older copy of the store lacks stays in effect for the grace period", () => {
  const { host, evacuations } = createTestEvacuations();
  evacuations.record("east", true);
  evacuations.markRolledBack();
  evacuations.replaceAll([]);
  host.advance(GRACE_MS / 2);
  // Another snapshot within the period extends nothing.
  evacuations.replaceAll([]);
  host.advance(GRACE_MS / 2 - 1);
  expect(evacuations.isEvacuated("east")).toBe(true);
  host.advance(1);
  expect(evacuations.isEvacuated("east")).toBe(false);
});

test("an evacuation that is written again after a rollback goes on", () => {
  const { host, evacuations, changes } = createTestEvacuations();
  evacuations.record("east", true);
  evacuations.markRolledBack();
  evacuations.replaceAll([]);
  host.advance(GRACE_MS - 1);
  evacuations.record("east", true);
  host.advance(GRACE_MS * 10);
  expect(evacuations.isEvacuated("east")).toBe(true);
  expect(changes).toEqual([["east", true]]);
});

test("the grace period starts again after an outage, in which its writer can't write", () => {
  const { host, evacuations } = createTestEvacuations();
  evacuations.record("east", true);
  evacuations.markRolledBack();
  evacuations.replaceAll([]);
  evacuations.markLost();
  host.advance(GRACE_MS * 10);
  expect(evacuations.isEvacuated("east")).toBe(true);
  evacuations.markRegained();
  host.advance(GRACE_MS - 1);
  expect(evacuations.isEvacuated("east")).toBe(true);
  host.advance(1);
  expect(evacuations.isEvacuated("east")).toBe(false);
});

const HEAD: RequestHead = {
  account: "all",
  service: "shop",
  repeatability: Repeatability.Idempotent,
  fingerprint: "",
  timeoutMs: 5_000,
};

/** A guard with one slot and a switch for its failure domain. */
function createTestGuard() {
  const host = createTestHost();
  let closedReason: ClosedReason | undefined;
  const guard = createGuard(host, {
    self: "a",
    service: "shop",
    incarnation: "a#1",
    slots: 1,
    queueCapacity: 100,
    grantTtlMs: 1_000,
    keyCapacity: 16,
    getWeight: () => 1,
    tryGetClosedReason: () => closedReason,
  });
  return {
    host,
    guard,
    close: (reason: ClosedReason | undefined) => void (closedReason = reason),
    submit: (ticket: string, head: Partial<RequestHead> = {}) =>
      guard.handle({
        kind: GuardMessageKind.Submit,
        ticket,
        head: { ...HEAD, ...head },
      }),
  };
}

const refuseAll = (...tickets: string[]) =>
  tickets.map((ticket) => ({
    kind: GuardActionKind.Refuse,
    ticket,
    verdict: {
      execution: Execution.NotRun,
      diagnostic: Diagnostics.domain_evacuated,
    },
  }));

test("a guard in an evacuated failure domain refuses what waits and what arrives; what runs ends", () => {
  const { guard, close, submit } = createTestGuard();
  submit("runs");
  submit("waits");
  close("domain_evacuated");
  expect(guard.handle({ kind: GuardMessageKind.Tick }))
    .toMatchObject(refuseAll("waits"));
  expect(submit("new")).toMatchObject(refuseAll("new"));
  expect(submit("last", { isLastChoice: true }))
    .toMatchObject(refuseAll("last"));
  expect(
    guard.handle({
      kind: GuardMessageKind.UpstreamResponded,
      ticket: "runs",
      status: 200,
    }),
  ).toEqual([]);
  expect(guard.counters.get("answered")).toBe(1);
  close(undefined);
  expect(submit("again")).toMatchObject([{ kind: GuardActionKind.Start }]);
});

test("a slot that gets free in an evacuated failure domain starts nothing", () => {
  const { guard, close, submit } = createTestGuard();
  submit("runs");
  submit("waits");
  close("domain_evacuated");
  // No message told the guard of the evacuation before this one.
  expect(
    guard.handle({
      kind: GuardMessageKind.UpstreamResponded,
      ticket: "runs",
      status: 200,
    }),
  ).toMatchObject(refuseAll("waits"));
});

test("a grant that was not used before the evacuation runs nothing", () => {
  const { guard, close } = createTestGuard();
  const reserve = (ticket: string) =>
    guard.handle({
      kind: GuardMessageKind.Reserve,
      ticket,
      head: { ...HEAD, repeatability: Repeatability.AtMostOnce },
    });
  const [granted] = reserve("a");
  const run = (ticket: string, granted: GuardAction | undefined) =>
    guard.handle({
      kind: GuardMessageKind.Run,
      ticket,
      grant: granted?.kind === GuardActionKind.Grant ? granted.grant : "",
    });
  close("domain_evacuated");
  // The run itself may be the first message after the evacuation.
  expect(run("a", granted)).toMatchObject(refuseAll("a"));
  close(undefined);
  const [second] = reserve("b");
  close("domain_evacuated");
  expect(guard.handle({ kind: GuardMessageKind.Tick }))
    .toMatchObject(refuseAll("b"));
  close(undefined);
  expect(run("b", second)).toMatchObject([{
    kind: GuardActionKind.Refuse,
    verdict: { execution: Execution.NotRun },
  }]);
});

test("an upstream in an evacuated failure domain is spared readings", () => {
  const { guard, close } = createTestGuard();
  expect(guard.mayStart(HEAD)).toBe(true);
  close("domain_evacuated");
  expect(guard.mayStart(HEAD)).toBe(false);
});

const EAST = ["a", "b", "c"].map((host) => ({ host, failureDomain: "east" }));
const WEST = { host: "d", failureDomain: "west" };

/** A gateway in the failure domain "east", and the hosts that it sends requests to. */
function createEvacuatedGateway(options: Partial<GatewayOptions> = {}) {
  const { host, evacuations } = createTestEvacuations();
  const gateway = createTestGateway(host, {
    getCandidates: () => evacuations.filter([...EAST, WEST]),
    onDomainRefused: evacuations.recordRefusal,
    ...options,
  });
  const refuse = (id: string, attempt: number, execution = Execution.NotRun) =>
    gateway.handle({
      kind: GatewayMessageKind.Refused,
      id,
      attempt,
      verdict: { execution, diagnostic: Diagnostics.domain_evacuated },
    });
  return { host, evacuations, gateway, refuse };
}

const getTargets = (actions: readonly GatewayAction[]) =>
  actions.flatMap((a) =>
    a.kind === GatewayActionKind.Submit || a.kind === GatewayActionKind.Reserve
      ? [a.to]
      : []
  );

test("a gateway in an evacuated failure domain sends its callers' requests elsewhere", () => {
  const { gateway, evacuations } = createEvacuatedGateway();
  evacuations.record("east", true);
  for (let i = 0; i < 20; i++) {
    expect(getTargets(sendArrival(gateway, `r${i}`))).toEqual(["d"]);
  }
  evacuations.record("east", false);
  expect(getTargets(sendArrival(gateway, "r"))[0]).not.toBe("d");
});

test("retries and last choices leave out an evacuated failure domain", () => {
  const { gateway, evacuations } = createEvacuatedGateway();
  const report = {
    incarnation: "x",
    sequence: 1,
    slots: 4,
    inFlight: 0,
    queued: 0,
    serviceMs: 10,
    ageMs: 1,
  };
  for (const { host } of EAST) {
    gateway.receiveReport({ ...report, host, draining: true });
  }
  evacuations.record("east", true);
  const targets = getTargets(sendArrival(gateway, "r"));
  for (let attempt = 1; attempt <= 10; attempt++) {
    targets.push(...getTargets(gateway.handle({
      kind: GatewayMessageKind.Refused,
      id: "r",
      attempt,
      verdict: {
        execution: Execution.NotRun,
        diagnostic: Diagnostics.upstream_refused,
      },
    })));
  }
  expect(new Set(targets)).toEqual(new Set(["d"]));
});

test("a refusal because of an evacuation costs neither attempts nor retries, and rules out the failure domain", () => {
  const { gateway, refuse, host } = createEvacuatedGateway({
    retryAllowance: { recordRequest: () => {}, tryAcquire: () => false },
  });
  const [first] = getTargets(
    sendArrival(gateway, "r", { maxRuns: 1, retriesLeft: 0 }),
  );
  expect(first).not.toBe("d");
  // The gateway had not heard of it; its next attempt is in another failure domain.
  expect(getTargets(refuse("r", 1))).toEqual(["d"]);
  expect(getTargets(sendArrival(gateway, "s"))).toEqual(["d"]);
  host.advance(1_000);
  expect(getTargets(sendArrival(gateway, "t"))[0]).not.toBe("d");
});

test("a body that was streamed to a guard whose grant was revoked is not sent again without its start", () => {
  const { gateway } = createEvacuatedGateway();
  sendArrival(gateway, "r", {
    repeatability: Repeatability.AtMostOnce,
    replayable: false,
  });
  const [run] = gateway.handle({
    kind: GatewayMessageKind.Granted,
    id: "r",
    attempt: 1,
    grant: "g",
    key: "k",
  });
  expect(run).toMatchObject({ kind: GatewayActionKind.Run });
  const revoked = gateway.handle({
    kind: GatewayMessageKind.Refused,
    id: "r",
    attempt: 1,
    grant: "g",
    verdict: {
      execution: Execution.NotRun,
      diagnostic: Diagnostics.domain_evacuated,
    },
  });
  expect(revoked).toMatchObject([{
    kind: GatewayActionKind.Finish,
    verdict: { execution: Execution.NotRun },
  }]);
});

test("a daemon of the version before reads a refusal because of an evacuation as one that is draining", () => {
  const verdict = {
    execution: Execution.NotRun,
    diagnostic: Diagnostics.domain_evacuated,
  };
  const text = encodeVerdict(verdict);
  expect(decodeVerdict(text).unwrap()).toEqual(verdict);
  expect(JSON.parse(text).reason).toBe("draining");
});

test("the store's keys name evacuated failure domains, whatever their values", async () => {
  const store = await startStore();
  const client = createStoreClient(store.address);
  store.putText("op/evacuate/east", "");
  store.put("op/evacuate/west", { since: 5 });
  store.put("op/other", {});
  const evacuated = (failureDomain: string, isEvacuated: boolean) => ({
    kind: StoreChangeKind.DomainEvacuated,
    failureDomain,
    isEvacuated,
  });
  const snapshot = (await client.readAll())._unsafeUnwrap();
  expect(snapshot.entries.flatMap(client.decode)).toEqual([
    evacuated("east", true),
    evacuated("west", true),
  ]);
  store.remove("op/evacuate/east");
  const changes =
    (await client.watch(snapshot.revision, { waitMs: 100, responseMs: 800 }))
      ._unsafeUnwrap();
  expect(changes.entries.flatMap(client.decode)).toEqual([
    evacuated("east", false),
  ]);
  await client.close();
  await store.close();
});
