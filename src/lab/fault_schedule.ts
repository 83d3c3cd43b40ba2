/** Seeded schedules of faults and calls against the real core. */

import { ListedState } from "../core/config_types.ts";
import { Execution, type HostId, Repeatability } from "../core/types.ts";
import { judge, type Judgement } from "./judge.ts";
import { OWN_POLICY } from "./policies.ts";
import type { LabCall, LabHost, LabOutcome } from "./types.ts";
import { createWorld, type World } from "./world.ts";

const SERVICE = "orders";
const DOMAINS = ["Kadıköy", "Beşiktaş", "Üsküdar"] as const;
const CALLS = 80;
const FAULTS = 14;
const RUN_MS = 4_000;
const QUIET_MS = 20_000;
const TIMEOUT_MS = 1_500;
const MAX_ASKS = 4;
const DRAIN_GRACE_MS = 1_000;
const PROTECTED_SHARE = 0.7;
const KEYED_SHARE = 0.5;

/** Settings of a schedule. */
export interface ScheduleOptions {
  readonly seed: number;
  record?(line: string): void;
}

interface Schedule {
  readonly world: World;
  readonly outcomes: LabOutcome[];
  callsMade: number;
}

/** Runs one schedule to its end and judges it. */
export function runSchedule(options: ScheduleOptions): Judgement {
  const world = createWorld({
    seed: options.seed,
    hosts: createHosts(),
    policy: OWN_POLICY,
    latency: { sameDomainMs: 0.1, crossDomainMs: 1.5, callerMs: 2 },
    keyCapacity: 4,
    queueCapacity: 6,
    spreads: true,
    ...(options.record && { record: options.record }),
  });
  const schedule: Schedule = { world, outcomes: [], callsMade: 0 };
  const { loop } = world;
  world.network.faults.loss = loop.random() < 0.5 ? 0.02 : 0;
  world.network.faults.duplication = loop.random() < 0.5 ? 0.03 : 0;
  world.network.faults.jitterMs = loop.random() < 0.5 ? 10 : 0;
  world.network.faults.delay = loop.random() < 0.5 ? 0.03 : 0;
  for (let index = 0; index < CALLS; index++) {
    loop.schedule(
      loop.random() * RUN_MS,
      () => startOperation(schedule, index),
    );
  }
  for (let index = 0; index < FAULTS; index++) {
    loop.schedule(loop.random() * RUN_MS, () => injectFault(schedule));
  }
  loop.schedule(RUN_MS + 500, () => healAll(world));
  loop.runUntil(RUN_MS + QUIET_MS);
  return judge({
    executions: world.executions,
    outcomes: schedule.outcomes,
    callsMade: schedule.callsMade,
    drainGraceMs: DRAIN_GRACE_MS,
  });
}

function createHosts(): LabHost[] {
  return Array.from({ length: 6 }, (_, index) => ({
    host: `${SERVICE}-${index + 1}`,
    service: SERVICE,
    failureDomain: DOMAINS[index % DOMAINS.length]!,
    slots: 2,
    serviceMs: 20,
  }));
}

/** A caller's operation: asked, and asked again where its rules allow. */
function startOperation(schedule: Schedule, index: number): void {
  const { world } = schedule;
  const { loop } = world;
  const isProtected = loop.random() < PROTECTED_SHARE;
  const isKeyed = isProtected && loop.random() < KEYED_SHARE;
  const account = loop.random() < 0.7 ? "large" : "small";
  const key = isKeyed ? tryTakeKey(world, account) : undefined;
  const operation = `op${index}`;
  askOnce(1);

  function askOnce(ask: number): void {
    const call: LabCall = {
      id: `${operation}~${ask}`,
      operation,
      account,
      service: SERVICE,
      repeatability: isProtected
        ? Repeatability.AtMostOnce
        : Repeatability.Idempotent,
      timeoutMs: TIMEOUT_MS,
      replayable: loop.random() < 0.9,
      ...(key !== undefined && { key }),
    };
    schedule.callsMade += 1;
    world.call(pickHost(world), call, (outcome) => {
      schedule.outcomes.push(outcome);
      if (ask < MAX_ASKS && mayAskAgain(outcome)) {
        loop.schedule(
          loop.now() + 5 + loop.random() * 100,
          () => askOnce(ask + 1),
        );
      }
    });
  }
}

/**
 * What a careful caller does: without a key it asks again only after NotRun;
 * with one it asks again with the same key after any loss.
 */
function mayAskAgain(outcome: LabOutcome): boolean {
  const { call, execution } = outcome;
  if (execution === Execution.Ran) return false;
  if (call.repeatability === Repeatability.Idempotent) return true;
  if (call.key !== undefined) return execution !== Execution.NotRun;
  return execution === Execution.NotRun;
}

function tryTakeKey(world: World, account: string): string | undefined {
  const home = pickHost(world);
  if (!world.getNode(home).isAlive) return undefined;
  return world.issueKeys(home, account, { count: 1 })[0];
}

function pickHost(world: World): HostId {
  const hosts = world.getHosts();
  return hosts[Math.floor(world.loop.random() * hosts.length)]!.host;
}

type Fault = (schedule: Schedule, host: HostId) => void;

const FAULT_KINDS: readonly Fault[] = [
  ({ world }, host) => {
    if (!world.getNode(host).isAlive) return;
    world.kill(host);
    later(world, 400, () => world.restart(host));
  },
  ({ world }, host) => {
    if (!world.getNode(host).isAlive) return;
    world.vanish(host);
    later(world, 800, () => world.restart(host));
  },
  ({ world }, host) => {
    world.pause(host);
    later(world, 900, () => world.resume(host));
  },
  ({ world }, host) => {
    const others = world.getHosts().map((h) => h.host).filter((h) =>
      h !== host
    );
    const half = others.filter(() => world.loop.random() < 0.5);
    world.network.cut([host, ...half], others.filter((h) => !half.includes(h)));
    later(world, 700, () => world.network.heal());
  },
  ({ world }, host) => world.network.silence(host, pickHost(world)),
  ({ world }, host) => {
    if (!world.getNode(host).isAlive) return;
    world.drain(host);
    later(world, 1_200, () => {
      if (!world.getNode(host).isAlive) return;
      world.kill(host);
      world.restart(host);
    });
  },
  ({ world }, host) => {
    world.getModel(host).behaviour.slowFactor = 10;
    later(world, 500, () => world.getModel(host).behaviour.slowFactor = 1);
  },
  ({ world }, host) => {
    world.getModel(host).behaviour.shedShare = 0.7;
    later(world, 500, () => world.getModel(host).behaviour.shedShare = 0);
  },
  ({ world }, host) => world.publishList({ [host]: ListedState.Leaving }),
];

function injectFault(schedule: Schedule): void {
  const { world } = schedule;
  const pick = Math.floor(world.loop.random() * FAULT_KINDS.length);
  FAULT_KINDS[pick]!(schedule, pickHost(world));
}

function later(world: World, meanMs: number, run: () => void): void {
  const delay = meanMs * (0.5 + world.loop.random());
  world.loop.schedule(world.loop.now() + delay, run);
}

function healAll(world: World): void {
  world.network.heal();
  world.network.faults.loss = 0;
  world.network.faults.duplication = 0;
  world.network.faults.delay = 0;
  for (const { host } of world.getHosts()) {
    world.resume(host);
    world.restart(host);
  }
}
