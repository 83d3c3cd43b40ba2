/** Which runs that nobody waits for count as interrupted by an upstream's end. */

import { expect, test } from "vitest";
import { createGivenUpRuns } from "../src/core/given_up_runs.ts";
import { Diagnostics } from "../src/core/diagnostics.ts";
import { createGuard } from "../src/core/guard.ts";
import { createLingeringRuns } from "../src/core/lingering_runs.ts";
import { hashTicket } from "../src/core/ticket_hash.ts";
import {
  type Arrival,
  Execution,
  GatewayActionKind,
  GatewayMessageKind,
  GuardActionKind,
  GuardMessageKind,
  Repeatability,
} from "../src/core/types.ts";
import { createTestGateway, sendArrival } from "../src/lab/test_gateway.ts";
import { decodeEnds, encodeEnds } from "../src/link/wire.ts";
import { createTestHost } from "./support/core_host.ts";

function start() {
  let now = 0;
  const host = { now: () => now };
  return {
    runs: createLingeringRuns(host),
    givenUp: createGivenUpRuns(host),
    advance: (ms: number) => void (now += ms),
  };
}

const tell = (runs: ReturnType<typeof start>["runs"]) =>
  runs.getEnds().map(({ end, tickets }) => [end, ...tickets]);

test("a run that was given up counts for the end within its time, and once", () => {
  const { runs, advance } = start();
  runs.add("a/1", { deadline: 1_000 });
  advance(900);
  expect(runs.hasAny()).toBe(true);
  runs.recordEnd("end-1");
  runs.recordEnd("end-2");
  expect(tell(runs)).toEqual([["end-1", "a/1"]]);
  expect(runs.hasAny()).toBe(false);
});

test("a run whose time has passed is not blamed for a later end", () => {
  const { runs, advance } = start();
  runs.add("a/1", { deadline: 1_000 });
  advance(1_600);
  expect(runs.hasAny()).toBe(false);
  runs.recordEnd("end-1");
  expect(tell(runs)).toEqual([]);
});

test("an incarnation that is listed ends the runs of the earlier ones only", () => {
  const { runs } = start();
  runs.add("a/1", { deadline: 1_000, instance: "old" });
  runs.add("b/1", { deadline: 1_000, instance: "new" });
  expect(runs.hasAny("new")).toBe(true);
  runs.recordEnd("end-1", "new");
  expect(tell(runs)).toEqual([["end-1", "a/1"]]);
  expect(runs.hasAny("new")).toBe(false);
});

test("requests that one end interrupted are told of together, for a time", () => {
  const { runs, advance } = start();
  runs.add("a/1", { deadline: 1_000 });
  runs.recordEnd("end-1");
  runs.add("b/1", { deadline: 1_000 });
  runs.recordEnd("end-1");
  expect(tell(runs)).toEqual([["end-1", "a/1", "b/1"]]);
  advance(60_000);
  expect(tell(runs)).toEqual([]);
});

test("a gateway keeps what identifies a run, not its body, and gives it out once", () => {
  const { givenUp, advance } = start();
  givenUp.add("a/1", { signature: () => "fatal" });
  givenUp.add("streamed/1", { signature: () => undefined });
  expect(givenUp.take(hashTicket("a/1"))?.signature?.()).toBe("fatal");
  expect(givenUp.take(hashTicket("a/1"))).toBeUndefined();
  expect(givenUp.take(hashTicket("streamed/1"))).toBeUndefined();
  for (let i = 0; i < 5_000; i++) {
    givenUp.add(`${i}/1`, { signature: () => `s-${i}` });
  }
  expect(givenUp.take(hashTicket("0/1"))).toBeUndefined();
  expect(givenUp.take(hashTicket("4999/1"))).toBeDefined();
  advance(60_000);
  givenUp.add("later/1", { signature: () => "s" });
  expect(givenUp.take(hashTicket("4998/1"))).toBeUndefined();
});

test("ends are read as they were told, and nothing else is", () => {
  const ends = [{ end: "i-1", hashes: [1, 4_294_967_295] }];
  const text = encodeEnds(
    { ends } as unknown as Parameters<typeof encodeEnds>[0],
  );
  expect(decodeEnds(text!).unwrap()).toEqual(ends);
  for (const odd of ["", "[", '[{"end":1,"hashes":[]}]', '[{"end":"e"}]']) {
    expect(decodeEnds(odd).err).toBe(true);
  }
});

const GUARD = {
  self: "a",
  service: "shop",
  incarnation: "a#1",
  slots: 10,
  queueCapacity: 10,
  grantTtlMs: 1_000,
  keyCapacity: 10,
  getWeight: () => 1,
};

/** A guard with one running request and the gateway that sent it. */
function startRun() {
  const host = createTestHost();
  const guard = createGuard(host, GUARD);
  const ends: [string | undefined, string][] = [];
  const suspects = {
    tryGetQuarantineMs: () => undefined,
    recordEnd: (arrival: Pick<Arrival, "signature">, end: string) =>
      void ends.push([arrival.signature?.(), end]),
    recordSuccess: () => {},
  };
  const gateway = createTestGateway(host, {
    suspects,
    getCandidates: () => [{ host: "a", failureDomain: "east" }],
  });
  const [sent] = sendArrival(gateway, "r", { signature: () => "fatal" });
  expect(sent?.kind).toBe(GatewayActionKind.Submit);
  const ticket = gateway.getTicket("r", 1);
  const [started] = guard.handle({
    kind: GuardMessageKind.Submit,
    ticket,
    head: {
      account: "all",
      service: "shop",
      repeatability: Repeatability.Idempotent,
      fingerprint: "",
      timeoutMs: 1_000,
    },
  });
  expect(started?.kind).toBe(GuardActionKind.Start);
  return { host, guard, gateway, ends, fail };

  function fail(execution = Execution.MayHaveRun): void {
    guard.handle({ kind: GuardMessageKind.Cancel, ticket });
    guard.handle({
      kind: GuardMessageKind.UpstreamFailed,
      ticket,
      execution,
      diagnostic: Diagnostics.upstream_timeout,
    });
  }
}

test.each([
  {
    how: "its caller leaves",
    giveUp: ({ gateway }: ReturnType<typeof startRun>) =>
      gateway.handle({ kind: GatewayMessageKind.CallerGone, id: "r" }),
  },
  {
    how: "its deadline passes",
    giveUp: ({ gateway, host }: ReturnType<typeof startRun>) => {
      host.advance(1_000);
      return gateway.handle({ kind: GatewayMessageKind.Tick });
    },
  },
  {
    how: "its link is lost",
    giveUp: ({ gateway }: ReturnType<typeof startRun>) =>
      gateway.handle({
        kind: GatewayMessageKind.LinkFailed,
        id: "r",
        attempt: 1,
        mayHaveArrived: true,
      }),
  },
  {
    how: "its daemon stops",
    giveUp: ({ gateway }: ReturnType<typeof startRun>) =>
      gateway.handle({ kind: GatewayMessageKind.Stopping }),
  },
])("an end after $how counts at the gateway, once", ({ giveUp }) => {
  const run = startRun();
  giveUp(run);
  run.fail();
  run.guard.handle({ kind: GuardMessageKind.UpstreamEnded, end: "end-1" });
  run.gateway.receiveReport(run.guard.getReport());
  run.gateway.receiveReport(run.guard.getReport());
  expect(run.ends).toEqual([["fatal", "end-1"]]);
});

test("a request that the upstream never got, or that has its answer, counts for no end", () => {
  const unsent = startRun();
  unsent.gateway.handle({ kind: GatewayMessageKind.CallerGone, id: "r" });
  unsent.fail(Execution.NotRun);
  unsent.guard.handle({ kind: GuardMessageKind.UpstreamEnded, end: "end-1" });
  expect(unsent.guard.getReport().ends).toBeUndefined();
  const answered = startRun();
  const ticket = answered.gateway.getTicket("r", 1);
  answered.guard.handle({
    kind: GuardMessageKind.UpstreamResponded,
    ticket,
    status: 200,
  });
  answered.guard.handle({ kind: GuardMessageKind.UpstreamEnded, end: "end-1" });
  expect(answered.guard.getReport().ends).toBeUndefined();
});
