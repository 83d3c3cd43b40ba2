/** Explanations of decisions: they match the decisions and change nothing. */

import { expect, test } from "vitest";
import { ChoicePolicy } from "../src/core/choice.ts";
import { Diagnostics } from "../src/core/diagnostics.ts";
import { createEvacuations } from "../src/core/evacuations.ts";
import { type DecisionTrace, Exclusion } from "../src/core/exclusions.ts";
import type { DecisionExplanation } from "../src/core/explain_types.ts";
import type { GatewayOptions } from "../src/core/gateway_types.ts";
import { createMembership } from "../src/core/membership.ts";
import { ListedState } from "../src/core/config_types.ts";
import { withPreview } from "../src/core/preview_random.ts";
import { ListedUpstreamState } from "../src/core/routing_types.ts";
import {
  type Candidate,
  Execution,
  type GatewayAction,
  GatewayActionKind,
  GatewayMessageKind,
  type LoadReport,
} from "../src/core/types.ts";
import { createUpstreamList } from "../src/core/upstream_list.ts";
import {
  createArrival,
  createTestGateway,
  sendArrival,
} from "../src/lab/test_gateway.ts";
import { createTestHost, type TestHost } from "./support/core_host.ts";
import {
  type ExplainedArrival,
  runReplay,
} from "./support/explained_replay.ts";

const SEEDS = Array.from({ length: 10 }, (_, index) => index + 1);
const PRODUCT = { policy: ChoicePolicy.ExpectedTime };

test.each([
  PRODUCT,
  { ...PRODUCT, maxNonQueueingAttempts: 0 },
  { policy: ChoicePolicy.RoundRobin },
  { policy: ChoicePolicy.TwoChoices },
  { policy: ChoicePolicy.HotCold },
  { policy: ChoicePolicy.LeastOwnInFlight },
])("a gateway that is asked often decides like one that is not: %o", (how) => {
  // Guards against explanations that consume random numbers, advance counters,
  // add entries, or bring an expiry forward.
  for (const seed of SEEDS) {
    const { arrivals: _, ...plain } = runReplay({
      ...how,
      seed,
      explanations: 0,
    });
    const { arrivals, ...asked } = runReplay({ ...how, seed, explanations: 1 });
    expect(asked, `seed ${seed}`).toEqual(plain);
    expect(arrivals.length).toBeGreaterThan(20);
  }
});

test.each([
  PRODUCT,
  { ...PRODUCT, maxNonQueueingAttempts: 0 },
  { policy: ChoicePolicy.RoundRobin },
  { policy: ChoicePolicy.Random },
  { policy: ChoicePolicy.TwoChoices },
])("what is explained is what is decided next: %o", (how) => {
  // Guards against an explanation by other code than that of the decision.
  const outcomes = new Set<string>();
  for (const seed of SEEDS) {
    const { arrivals } = runReplay({ ...how, seed, explanations: 1 });
    for (const arrival of arrivals) {
      const expected = arrival.explanation.attempts.length > 0
        ? "sent"
        : "refused";
      outcomes.add(expected);
      expect(getDecision(arrival.actions)).toEqual(predict(arrival));
    }
  }
  expect(outcomes).toEqual(new Set(["sent", "refused"]));
});

test("attempts are explained in the order in which they follow on refusals", () => {
  // Guards against an order of candidates that isn't that of the attempts.
  const { gateway, report } = createService(6);
  for (let i = 0; i < 6; i++) report(`h${i}`, { inFlight: i % 3 });
  const { attempts } = gateway.explain(createArrival("r"));
  expect(attempts.map((a) => a.mayQueue)).toEqual([
    false,
    false,
    false,
    false,
    true,
    // The first host refuses to queue it, and another one is expected to serve it in time.
    true,
  ]);
  const sent: string[] = [];
  let actions = sendArrival(gateway, "r");
  for (let sends = findSends(actions); sends.length > 0;) {
    const { id, attempt, to, mayQueue = true } = sends[0]!;
    sent.push(`${to} ${mayQueue}`);
    const diagnostic = Diagnostics[
      mayQueue ? "deadline_too_short" : "no_room_now"
    ];
    const verdict = { execution: Execution.NotRun, diagnostic };
    const kind = GatewayMessageKind.Refused;
    actions = gateway.handle({ kind, id, attempt, verdict });
    sends = findSends(actions);
  }
  expect(attempts.map((a) => `${a.host} ${a.mayQueue}`)).toEqual(sent);
});

test("a preview shows the next random numbers, however often, and in any order of draws", () => {
  const drawn = createTestHost();
  const host = withPreview(createTestHost());
  const expected = Array.from({ length: 6 }, () => drawn.random());
  const preview = host.previewRandom();
  expect([preview(), preview(), preview()]).toEqual(expected.slice(0, 3));
  expect(host.random()).toBe(expected[0]);
  const next = host.previewRandom();
  expect([next(), next(), next()]).toEqual(expected.slice(1, 4));
  expect(Array.from({ length: 5 }, () => host.random()))
    .toEqual(expected.slice(1));
  expect(withPreview(host)).toBe(host);
});

const LIMITED = { startsInMs: 70 };
test.each<[Exclusion, Partial<LoadReport>]>([
  [Exclusion.NoFreeSlot, { inFlight: 4 }],
  [Exclusion.Queueing, { queued: 1 }],
  [Exclusion.SlowPeriod, { slowdown: 5 }],
  [Exclusion.Draining, { draining: true }],
  [Exclusion.Cold, LIMITED],
  [Exclusion.OverLimit, { ...LIMITED, notice: createNotice({ limitPerS: 3 }) }],
  [Exclusion.UpstreamLeaving, { notice: createNotice({ isLeaving: true }) }],
  [Exclusion.Failing, { failureShare: 0.9 }],
])("a load report as the reason against a host: %s", (reason, load) => {
  // Guards against a refusal of a host without its reason in the explanation.
  const { gateway, report } = createService(2);
  report("h0", load);
  report("h1", {});
  const explanation = gateway.explain(createArrival("r"));
  expect(explanation.attempts[0]?.host).toBe("h1");
  expect(getReasons(explanation, "h0")[0]).toBe(reason);
});

test("where all hosts are draining, they are last choices and the reasons are named", () => {
  const { gateway, report } = createService(2);
  for (const id of ["h0", "h1"]) report(id, { draining: true });
  const explanation = gateway.explain(createArrival("r"));
  expect(explanation.attempts).toMatchObject([
    { isLastChoice: true, mayQueue: true },
    { isLastChoice: true, mayQueue: true },
  ]);
  expect(getReasons(explanation, "h0")).toContain(Exclusion.Draining);
  expect(getReasons(explanation, "h1")).toContain(Exclusion.Draining);
});

test("a full host keeps what was sent to it since its report in mind", () => {
  const { gateway, report } = createService(1);
  report("h0", { inFlight: 2 });
  sendArrival(gateway, "a");
  sendArrival(gateway, "b");
  const { candidates, attempts } = gateway.explain(createArrival("r"));
  expect(candidates[0]).toMatchObject({
    freeSlots: 0,
    slots: 4,
    inFlight: 2,
    sentSinceReport: 2,
    reportAgeMs: 0,
    reasons: [{ reason: Exclusion.NoFreeSlot }],
  });
  expect(attempts).toMatchObject([{ host: "h0", mayQueue: true }]);
});

test("other reasons of the choice: another failure domain, a longer time, an equal host", () => {
  const domains = createService(2, (index) => index === 0 ? "west" : "east");
  const near = domains.gateway.explain(createArrival("r"));
  expect(getReasons(near, "h0")).toEqual([Exclusion.OtherDomain]);
  const speeds = createService(3);
  for (const id of ["h0", "h1", "h2"]) {
    speeds.report(id, { serviceMs: id === "h0" ? 90 : 10 });
  }
  const explanation = speeds.gateway.explain(createArrival("r"));
  expect(getReasons(explanation, "h0")).toEqual([Exclusion.Slower]);
  const other = explanation.attempts[0]?.host === "h1" ? "h2" : "h1";
  expect(getReasons(explanation, other)).toEqual([Exclusion.NotChosen]);
});

test("an unresponsive host is named with the time until its trial, and gets none by explanations", () => {
  const { gateway, host } = createService(2);
  const [sent] = findSends(sendArrival(gateway, "a"));
  host.advance(120);
  gateway.handle({ kind: GatewayMessageKind.Tick });
  host.advance(100);
  const explain = () => gateway.explain(createArrival("r"));
  const find = () => explain().candidates.find((c) => c.host === sent!.to);
  const expected = [{ reason: Exclusion.Unresponsive, endsInMs: 300 }];
  expect(find()?.reasons).toEqual(expected);
  expect(find()?.reasons).toEqual(expected);
  host.advance(300);
  expect(find()?.reasons.map((r) => r.reason)).not.toContain(
    Exclusion.Unresponsive,
  );
});

test("an upstream that left and a replaced incarnation are named", () => {
  const { gateway, host, report } = createService(3);
  report("h0", { notice: createNotice({ isLeaving: true }) });
  host.advance(1);
  const [sent] = findSends(sendArrival(gateway, "a"));
  gateway.handle({
    kind: GatewayMessageKind.Refused,
    id: "a",
    attempt: 1,
    verdict: {
      execution: Execution.NotRun,
      diagnostic: Diagnostics.instance_replaced,
    },
  });
  const explanation = gateway.explain(createArrival("r"));
  expect(getReasons(explanation, "h0")).toEqual([Exclusion.UpstreamLeft]);
  expect(getReasons(explanation, sent!.to)).toEqual([
    Exclusion.InstanceReplaced,
  ]);
});

test("a listed upstream that is no candidate is named with the reason", () => {
  // Guards against an explanation that leaves out what the list or an evacuation excludes.
  const host = createTestHost();
  const list = createUpstreamList(host, {
    lapseGraceMs: 100,
    getHost: (address) => address,
    onChange: () => {},
  });
  const evacuations = createEvacuations(host, { graceMs: 100 });
  const put = (address: string, change = {}) =>
    list.put({
      instance: `${address}#0`,
      service: "shop",
      address,
      failureDomain: "east",
      slots: 4,
      state: ListedUpstreamState.Ready,
      ...change,
    });
  put("ready");
  put("draining", { state: ListedUpstreamState.Draining });
  put("evacuated", { failureDomain: "west" });
  put("reused");
  put("reused", { instance: "reused#1", service: "orders" });
  put("other", { service: "orders" });
  put("left");
  put("left", { state: ListedUpstreamState.Draining });
  list.remove("left#0");
  evacuations.record("west", true);
  list.markRolledBack();
  put("left");
  put("lapsed");
  list.remove("lapsed#0");
  host.advance(100);
  const reasons: Record<string, Exclusion> = {};
  const candidates = evacuations.preview(
    list.previewCandidates("shop", createTrace(reasons)),
    createTrace(reasons),
  );
  expect(candidates.map((c) => c.host)).toEqual(["ready"]);
  expect(reasons).toEqual({
    draining: Exclusion.ListedDraining,
    evacuated: Exclusion.DomainEvacuated,
    reused: Exclusion.Superseded,
    left: Exclusion.OutdatedEntry,
    lapsed: Exclusion.NotListed,
  });
  expect(list.size()).toBe(7);
  expect(evacuations.filter(list.getCandidates("shop"))).toEqual(candidates);
  expect(list.size()).toBe(6);
});

test("what the decision forgets of a host is not in its explanation", () => {
  // The newest entry ends by time. Dropping it, at the next decision, leaves
  // another upstream at its host, to which the load report doesn't belong.
  const host = createTestHost();
  const list = createUpstreamList(host, {
    lapseGraceMs: 100,
    getHost: (address) => address,
    onChange: () => {},
    onStart: (id) => gateway.forgetHost(id),
  });
  const gateway = createTestGateway(host, {
    getCandidates: list.getCandidates,
    previewCandidates: list.previewCandidates,
  });
  const put = (instance: string) =>
    list.put({
      instance,
      service: "shop",
      address: "h0",
      failureDomain: "east",
      slots: 4,
      state: ListedUpstreamState.Ready,
    });
  put("h0#0");
  put("h0#1");
  list.markLost();
  list.remove("h0#1");
  list.markRegained();
  gateway.receiveReport({
    host: "h0",
    incarnation: "h0",
    sequence: 1,
    slots: 4,
    inFlight: 0,
    queued: 0,
    serviceMs: 10,
    draining: false,
    ageMs: 1_000,
    startsInMs: 5_000,
  });
  host.advance(99);
  expect(gateway.explain(createArrival("r")).attempts[0]?.mayQueue).toBe(true);
  host.advance(1);
  const { attempts, candidates } = gateway.explain(createArrival("r"));
  expect(attempts[0]).toMatchObject({ instance: "h0#0", mayQueue: false });
  expect(candidates[0]).toMatchObject({ reportAgeMs: null, reasons: [] });
  expect(gateway.getLoad("h0").report).toBeDefined();
  expect(sendArrival(gateway, "r")).toMatchObject([{ mayQueue: false }]);
  expect(gateway.getLoad("h0").report).toBeUndefined();
});

test("a known member that is no candidate is named with the reason", () => {
  const host = createTestHost();
  const membership = createMembership(host, {
    self: "h0",
    failureDomain: "east",
    subsetSize: 2,
  });
  membership.applyList(["h0", "h1", "h2", "h3"].map((id) => ({
    host: id,
    service: "shop",
    failureDomain: "east",
    dataAddress: id,
    controlAddress: id,
    state: id === "h3" ? ListedState.Leaving : ListedState.Live,
  })));
  const reasons: Record<string, Exclusion> = {};
  const preview = () =>
    membership.previewCandidates("shop", createTrace(reasons));
  const previewed = preview();
  expect(membership.getCandidates("shop")).toEqual(previewed);
  expect(preview()).toEqual(previewed);
  const outside = ["h0", "h1", "h2"].find((id) =>
    !previewed.some((c) => c.host === id)
  )!;
  expect(reasons).toEqual({
    [outside]: Exclusion.OutsideSubset,
    h3: Exclusion.ListedDraining,
  });
});

test("without a host the refusal is that of the gateway, with its time to retry", () => {
  const { gateway } = createService(0);
  const { verdict, attempts } = gateway.explain(createArrival("r"));
  expect(attempts).toEqual([]);
  expect(verdict?.diagnostic).toBe(Diagnostics.no_upstream);
  expect(sendArrival(gateway, "r")).toMatchObject([{ verdict }]);
});

/** A trace that notes the last reason by host. */
function createTrace(reasons: Record<string, Exclusion>): DecisionTrace {
  return {
    exclude: ({ host }, reason) => void (reasons[host] = reason),
    rate: () => {},
    forget: () => {},
    forgotten: new Set(),
  };
}

function createService(
  hosts: number,
  getDomain: (index: number) => string = () => "east",
) {
  const host: TestHost = createTestHost();
  const candidates: Candidate[] = Array.from({ length: hosts }, (_, index) => ({
    host: `h${index}`,
    failureDomain: getDomain(index),
    instance: `h${index}#0`,
  }));
  const options: Partial<GatewayOptions> = {
    getCandidates: () => candidates,
    leavingMs: 1,
  };
  const gateway = createTestGateway(host, options);
  let sequence = 0;
  return { host, gateway, report };

  function report(id: string, load: Partial<LoadReport>): void {
    sequence += 1;
    gateway.receiveReport({
      host: id,
      incarnation: id,
      sequence,
      slots: 4,
      inFlight: 0,
      queued: 0,
      serviceMs: 10,
      draining: false,
      ageMs: 1_000,
      ...load,
    });
  }
}

/** A statement of the upstream at h0. */
function createNotice(change: { isLeaving?: boolean; limitPerS?: number }) {
  return { instance: "h0#0", isLeaving: false, ...change };
}

function getReasons(
  { candidates }: DecisionExplanation,
  host: string,
): Exclusion[] {
  return candidates.find((c) => c.host === host)?.reasons
    .map((r) => r.reason) ?? [];
}

function findSends(actions: readonly GatewayAction[]) {
  return actions.flatMap((action) =>
    action.kind === GatewayActionKind.Reserve ||
      action.kind === GatewayActionKind.Submit
      ? [action]
      : []
  );
}

/** The decision that an explanation predicts. */
function predict({ explanation }: ExplainedArrival): object {
  const { attempts, verdict, candidates } = explanation;
  const first = attempts[0];
  if (first === undefined) return { verdict };
  const candidate = candidates.find((c) => c.attempt === 1);
  return {
    kind: first.reserves ? GatewayActionKind.Reserve : GatewayActionKind.Submit,
    to: first.host,
    instance: first.instance,
    mayQueue: first.mayQueue,
    maxWaitMs: first.maxWaitMs,
    isLastChoice: first.isLastChoice,
    limitPerS: candidate?.limitPerS,
  };
}

function getDecision(actions: readonly GatewayAction[]): object {
  const [action] = actions;
  if (action?.kind === GatewayActionKind.Finish) {
    return { verdict: action.verdict };
  }
  const [sent] = findSends(actions);
  return {
    kind: sent?.kind,
    to: sent?.to,
    instance: sent?.instance,
    mayQueue: sent?.mayQueue ?? true,
    maxWaitMs: sent?.maxWaitMs ?? 0,
    isLastChoice: sent?.isLastChoice ?? false,
    limitPerS: sent?.limitPerS,
  };
}
