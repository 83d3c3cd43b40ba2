/** Seeded schedules in which upstreams state limits and leave, beside faults of all other kinds. */

import { Repeatability } from "../core/types.ts";
import {
  checkNotices,
  type PassedOutcome,
  type StatedLimit,
} from "./check_notices.ts";
import type { Violation } from "./check_run.ts";
import { healAll, injectFault, pickHost } from "./fault_schedule.ts";
import { LEAVING_MS } from "./node.ts";
import { OWN_POLICY } from "./policies.ts";
import type { LabCall, LabHost } from "./types.ts";
import { createWorld } from "./world.ts";

const SERVICE = "boards";
const HOST_COUNT = 6;
const CALL_COUNT = 1_500;
const FAULT_COUNT = 4;
const DAEMON_RESTART_COUNT = 4;
const LIMITED_COUNT = 2;
const MAX_LIMIT_PER_S = 3;
const LOAD_MS = 10_000;
const QUIET_PERIOD_MS = 3_000;
const TIMEOUT_MS = 1_000;
const RESTART_MS = 100;
/** Time for which an upstream serves after it first stated that it leaves, in ms. */
const STAY_MS = 2_500;
/** The platform's bounds on limits: `stableS`, 4 s, half a second; 1.5 times the limit and 5 more. */
const STABLE_MS = 3_000;
const SPAN_MS = 4_000;
const KNOWN_MS = 500;
const LIMIT_FACTOR = 1.5;
const LIMIT_SLACK = 5;

/** The result of a schedule. */
export interface NoticeRun {
  readonly violations: readonly Violation[];
  /** Calls that an upstream executed. */
  readonly executed: number;
}

/** Runs the schedule of a seed and checks what upstreams got against what they stated. */
export function runNoticeSchedule({ seed }: { seed: number }): NoticeRun {
  const world = createWorld({
    seed,
    hosts: createHosts(),
    policy: OWN_POLICY,
    latency: { sameDomainMs: 0.1, crossDomainMs: 1.5, callerMs: 2 },
    limits: { retryBudget: 1 },
  });
  const { loop } = world;
  const passed: PassedOutcome[] = [];
  const limits: StatedLimit[] = [];
  for (let index = 0; index < CALL_COUNT; index++) {
    loop.schedule(loop.random() * LOAD_MS, () => sendCall(index));
  }
  for (let i = 0; i < LIMITED_COUNT; i++) {
    loop.schedule(loop.random() * 1_000, stateLimit);
  }
  loop.schedule(loop.random() * LOAD_MS / 2, stateLeaving);
  for (let i = 0; i < DAEMON_RESTART_COUNT; i++) {
    loop.schedule(loop.random() * LOAD_MS, restartDaemon);
  }
  for (let i = 0; i < FAULT_COUNT; i++) {
    loop.schedule(loop.random() * LOAD_MS, () => injectFault({ world }));
  }
  loop.schedule(LOAD_MS, () => healAll(world));
  loop.runUntil(LOAD_MS + QUIET_PERIOD_MS);
  const violations = checkNotices({
    executions: world.executions,
    passed,
    limits,
    stableMs: STABLE_MS,
    knownMs: KNOWN_MS,
    spanMs: SPAN_MS,
    getAllowed,
    drainMs: LEAVING_MS,
  });
  return { violations, executed: world.executions.length };

  function sendCall(index: number): void {
    const gateway = pickHost(world);
    const { incarnation } = world.getNode(gateway);
    const sentAt = loop.now();
    const id = `call${index}`;
    const call: LabCall = {
      id,
      operation: id,
      account: "all",
      service: SERVICE,
      repeatability: loop.random() < 0.5
        ? Repeatability.AtMostOnce
        : Repeatability.Idempotent,
      timeoutMs: TIMEOUT_MS,
    };
    world.call(gateway, call, (outcome) => {
      passed.push({ outcome, gateway: incarnation, sentAt, at: loop.now() });
    });
  }

  function stateLimit(): void {
    const model = world.getModel(pickHost(world));
    if (model.behaviour.limitPerS < Infinity) return;
    const limitPerS = loop.random() * MAX_LIMIT_PER_S;
    model.behaviour.limitPerS = limitPerS;
    limits.push({ instance: model.getInstance(), limitPerS, until: LOAD_MS });
  }

  function stateLeaving(): void {
    const host = pickHost(world);
    const model = world.getModel(host);
    const instance = model.getInstance();
    model.behaviour.isLeaving = true;
    loop.schedule(loop.now() + STAY_MS, () => {
      if (model.getInstance() !== instance) return;
      if (world.getNode(host).isAlive) world.kill(host);
      world.restart(host);
    });
  }

  function restartDaemon(): void {
    const host = pickHost(world);
    if (!world.getNode(host).isAlive) return;
    world.kill(host);
    loop.schedule(
      loop.now() + RESTART_MS,
      () => world.restart(host, { keepsUpstream: true }),
    );
  }
}

function createHosts(): LabHost[] {
  return Array.from({ length: HOST_COUNT }, (_, index) => ({
    host: `${SERVICE}-${index + 1}`,
    service: SERVICE,
    failureDomain: `domain-${index % 3}`,
    slots: 12,
    serviceMs: 30,
  }));
}

function getAllowed(limitPerS: number): number {
  return LIMIT_FACTOR * limitPerS * SPAN_MS / 1_000 + LIMIT_SLACK;
}
