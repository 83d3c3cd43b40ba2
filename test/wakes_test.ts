/** Guards against daemons that wake for requests that have ended. */

import { expect, test } from "vitest";
import { createGuard } from "../src/core/guard.ts";
import { createWakeQueue } from "../src/core/wake_queue.ts";
import {
  GuardActionKind,
  GuardMessageKind,
  Repeatability,
} from "../src/core/types.ts";
import { createTestGateway } from "../src/lab/test_gateway.ts";
import { GatewayActionKind, GatewayMessageKind } from "../src/core/types.ts";
import { createTestHost } from "./support/core_host.ts";

const REQUESTS = 100;
const GAP_MS = 7;
const WORK_MS = 5;
const TIMEOUT_MS = 2_000;
/** Longer than tickets are kept. */
const AFTER_MS = 15_000;
/** Wakes that remain, per second: some for what is forgotten, one for the longest sleep. */
const MAX_WAKES_PER_S = 4;

test("an item that is not needed at its time causes no wake", () => {
  const needed = new Set(["b"]);
  const queue = createWakeQueue<string>((item) => needed.has(item));
  queue.add(1, "a");
  queue.add(2, "b");
  queue.add(3, "c");
  expect(queue.getNext()).toBe(2);
  expect(queue.popDue(2)).toBe("b");
  expect(queue.getNext()).toBeUndefined();
  expect(queue.size()).toBe(0);
});

test("a guard is not woken for requests that have ended", () => {
  const host = createTestHost();
  const guard = createGuard(host, {
    self: "a",
    service: "shop",
    incarnation: "a#1",
    slots: 8,
    queueCapacity: 16,
    grantTtlMs: 1_000,
    keyCapacity: 16,
    getWeight: () => 1,
  });
  const wakes = countWakes(host, guard, (i) => {
    const ticket = `g/${i}/1`;
    const head = {
      account: "all",
      service: "shop",
      repeatability: Repeatability.Idempotent,
      fingerprint: "",
      timeoutMs: TIMEOUT_MS,
    };
    const [action] = guard.handle({
      kind: GuardMessageKind.Submit,
      ticket,
      head,
    });
    expect(action!.kind).toBe(GuardActionKind.Start);
    host.advance(WORK_MS);
    const kind = GuardMessageKind.UpstreamResponded;
    guard.handle({ kind, ticket, status: 200 });
  }, () => guard.handle({ kind: GuardMessageKind.Tick }));
  expect(wakes.perSecond).toBeLessThan(MAX_WAKES_PER_S);
});

test("a gateway is not woken for requests that have ended", () => {
  const host = createTestHost();
  const gateway = createTestGateway(host, {
    getCandidates: () => [{ host: "a", failureDomain: "east" }],
  });
  const wakes = countWakes(host, gateway, (i) => {
    const id = `r${i}`;
    const [action] = gateway.handle({
      kind: GatewayMessageKind.Arrived,
      arrival: {
        id,
        account: "all",
        service: "shop",
        repeatability: Repeatability.Idempotent,
        timeoutMs: TIMEOUT_MS,
        retriesLeft: 1,
        replayable: true,
      },
    });
    expect(action!.kind).toBe(GatewayActionKind.Submit);
    host.advance(WORK_MS);
    const kind = GatewayMessageKind.ResponseReceived;
    const ticket = gateway.getTicket(id, 1);
    gateway.handle({ kind, id, attempt: 1, ticket, status: 200 });
    gateway.handle({ kind: GatewayMessageKind.Completed, id });
  }, () => gateway.handle({ kind: GatewayMessageKind.Tick }));
  expect(wakes.perSecond).toBeLessThan(MAX_WAKES_PER_S);
});

/** Serves requests and then waits; counts the times at which the driver has to tick. */
function countWakes(
  host: ReturnType<typeof createTestHost>,
  machine: { getNextWake(): number | undefined },
  serve: (index: number) => void,
  tick: () => void,
): { perSecond: number } {
  let wakes = 0;
  const startedAt = host.now();
  const advance = (ms: number) => {
    for (let i = 0; i < ms; i++) {
      host.advance(1);
      if ((machine.getNextWake() ?? Infinity) > host.now()) continue;
      wakes += 1;
      tick();
    }
  };
  for (let i = 0; i < REQUESTS; i++) {
    serve(i);
    advance(GAP_MS);
  }
  advance(AFTER_MS);
  return { perSecond: wakes / ((host.now() - startedAt) / 1_000) };
}
