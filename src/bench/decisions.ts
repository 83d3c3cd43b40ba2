/**
 * Measures the cost of choosing an upstream and of queueing a request. Reports
 * the fastest of several rounds, because other work on the machine can only add
 * time. Exits with 1 if a bound is exceeded.
 * node dist/bench/decisions.js
 */

import { performance } from "node:perf_hooks";
import process from "node:process";
import { createHmac } from "node:crypto";
import { type CoreHost, GatewayMessageKind } from "../core/types.ts";
import { createUrgencyQueue, type UrgentItem } from "../core/urgency_queue.ts";
import { createTestGateway, sendArrival } from "../lab/test_gateway.ts";

const ROUNDS = 7;
const CALLS = 4_000;
/** Size of the largest service that the deployments plan for. */
const CANDIDATES = 33;
const QUEUED = 1_000;
/** Upper bounds that the deployments require, in µs per operation. */
const MAX_CHOICE_MICROS = 30;
const MAX_QUEUE_MICROS = 5;

const host: CoreHost = {
  now: () => performance.now(),
  random: Math.random,
  sign: (text) => createHmac("sha256", "bench").update(text).digest("hex"),
};

const choice = measure(createCall());
const queue = measure(createQueueStep());
console.log(`choice among ${CANDIDATES}: ${choice.toFixed(1)} µs per call`);
console.log(`queue of ${QUEUED}: ${queue.toFixed(1)} µs per push and pop`);
const isMet = choice < MAX_CHOICE_MICROS && queue / 2 < MAX_QUEUE_MICROS;
process.exitCode = isMet ? 0 : 1;

/** Returns the mean time per run in the fastest round, in µs. */
function measure(run: (index: number) => void): number {
  let best = Infinity;
  for (let round = 0; round < ROUNDS; round++) {
    const startedAt = performance.now();
    for (let i = 0; i < CALLS; i++) run(round * CALLS + i);
    best = Math.min(best, (performance.now() - startedAt) * 1_000 / CALLS);
  }
  return best;
}

/** Handles one idempotent request at a gateway, from arrival to completion. */
function createCall(): (index: number) => void {
  const candidates = Array.from({ length: CANDIDATES }, (_, i) => ({
    host: `host-${i}`,
    failureDomain: ["east", "west", "south"][i % 3]!,
    instance: `instance-${i}`,
  }));
  const gateway = createTestGateway(host, {
    getCandidates: () => candidates,
  });
  return (index) => {
    const id = String(index);
    sendArrival(gateway, id);
    const ticket = gateway.getTicket(id, 1);
    const status = 200;
    gateway.handle({
      kind: GatewayMessageKind.ResponseReceived,
      id,
      attempt: 1,
      ticket,
      status,
    });
    gateway.handle({ kind: GatewayMessageKind.Completed, id });
  };
}

/** Pushes to and pops from a queue that always holds QUEUED entries. */
function createQueueStep(): (index: number) => void {
  const queue = createUrgencyQueue<UrgentItem>(host, { capacity: QUEUED + 1 });
  const push = () =>
    queue.push({
      account: "all",
      rank: Math.floor(Math.random() * 3),
      startBy: host.now() + Math.random() * 1_000,
      usefulUntil: host.now() + 1_000,
    });
  for (let i = 0; i < QUEUED; i++) push();
  return () => {
    push();
    queue.pop();
  };
}
