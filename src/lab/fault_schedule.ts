/** Seeded random schedules of faults and calls, run against the real core. */

import { ListedState } from "../core/config_types.ts";
import { Execution, type HostId, Repeatability } from "../core/types.ts";
import { checkRun, type RunCheck } from "./check_run.ts";
import { OWN_POLICY } from "./policies.ts";
import type { LabCall, LabHost, LabOutcome } from "./types.ts";
import { createWorld, type World } from "./world.ts";

const SERVICE = "orders";
const DOMAINS = ["Kadıköy", "Beşiktaş", "Üsküdar"] as const;
const OPERATION_COUNT = 80;
const FAULT_COUNT = 14;
/** Time within which operations start and faults are injected, in ms. */
const LOAD_MS = 4_000;
/** Time without new operations or faults at the end of a run, in ms. */
const QUIET_PERIOD_MS = 20_000;
const TIMEOUT_MS = 1_500;
const MAX_CALLS_PER_OPERATION = 4;
const DRAIN_GRACE_MS = 1_000;
const AT_MOST_ONCE_SHARE = 0.7;
const KEYED_SHARE = 0.5;

/** Options of a fault schedule. */
export interface ScheduleOptions {
  readonly seed: number;
  /** Receives each line of the trace. */
  record?(line: string): void;
}

interface ScheduleRun {
  readonly world: World;
  readonly outcomes: LabOutcome[];
  callsMade: number;
}

/** Runs the schedule of a seed and checks the guarantees. */
export function runSchedule(options: ScheduleOptions): RunCheck {
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
  const schedule: ScheduleRun = { world, outcomes: [], callsMade: 0 };
  const { loop } = world;
  world.network.faults.lossShare = loop.random() < 0.5 ? 0.02 : 0;
  world.network.faults.duplicatedShare = loop.random() < 0.5 ? 0.03 : 0;
  world.network.faults.jitterMs = loop.random() < 0.5 ? 10 : 0;
  world.network.faults.delayedShare = loop.random() < 0.5 ? 0.03 : 0;
  for (let index = 0; index < OPERATION_COUNT; index++) {
    loop.schedule(
      loop.random() * LOAD_MS,
      () => startOperation(schedule, index),
    );
  }
  for (let index = 0; index < FAULT_COUNT; index++) {
    loop.schedule(loop.random() * LOAD_MS, () => injectFault(schedule));
  }
  loop.schedule(LOAD_MS + 500, () => healAll(world));
  loop.runUntil(LOAD_MS + QUIET_PERIOD_MS);
  return checkRun({
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

/** Starts an operation of a caller, which sends it again if `mayRetry` allows it. */
function startOperation(schedule: ScheduleRun, index: number): void {
  const { world } = schedule;
  const { loop } = world;
  const isAtMostOnce = loop.random() < AT_MOST_ONCE_SHARE;
  const isKeyed = isAtMostOnce && loop.random() < KEYED_SHARE;
  const account = loop.random() < 0.7 ? "large" : "small";
  const key = isKeyed ? tryIssueKey(world, account) : undefined;
  const operation = `op${index}`;
  sendCall(1);

  function sendCall(callNumber: number): void {
    const call: LabCall = {
      id: `${operation}~${callNumber}`,
      operation,
      account,
      service: SERVICE,
      repeatability: isAtMostOnce
        ? Repeatability.AtMostOnce
        : Repeatability.Idempotent,
      timeoutMs: TIMEOUT_MS,
      replayable: loop.random() < 0.9,
      ...(key !== undefined && { key }),
    };
    schedule.callsMade += 1;
    world.call(pickHost(world), call, (outcome) => {
      schedule.outcomes.push(outcome);
      if (callNumber < MAX_CALLS_PER_OPERATION && mayRetry(outcome)) {
        loop.schedule(
          loop.now() + 5 + loop.random() * 100,
          () => sendCall(callNumber + 1),
        );
      }
    });
  }
}

/**
 * Whether a caller may send an operation again. An idempotent operation may be
 * sent again unless it ran; an at-most-once operation without a key only after
 * NotRun; one with a key only while its outcome is in doubt, with the same key.
 */
function mayRetry(outcome: LabOutcome): boolean {
  const { call, execution } = outcome;
  if (execution === Execution.Ran) return false;
  if (call.repeatability === Repeatability.Idempotent) return true;
  if (call.key !== undefined) return execution !== Execution.NotRun;
  return execution === Execution.NotRun;
}

function tryIssueKey(world: World, account: string): string | undefined {
  const home = pickHost(world);
  if (!world.getNode(home).isAlive) return undefined;
  return world.issueKeys(home, account, { count: 1 })[0];
}

/** Returns a random host. */
export function pickHost(world: World): HostId {
  const hosts = world.getHosts();
  return hosts[Math.floor(world.loop.random() * hosts.length)]!.host;
}

/** Injects one kind of fault at a host and schedules its end, if it has one. */
type InjectFault = (
  schedule: Pick<ScheduleRun, "world">,
  host: HostId,
) => void;

const FAULT_KINDS: readonly InjectFault[] = [
  ({ world }, host) => {
    if (!world.getNode(host).isAlive) return;
    world.kill(host);
    scheduleWithJitter(world, 400, () => world.restart(host));
  },
  ({ world }, host) => {
    if (!world.getNode(host).isAlive) return;
    world.vanish(host);
    scheduleWithJitter(world, 800, () => world.restart(host));
  },
  ({ world }, host) => {
    world.pause(host);
    scheduleWithJitter(world, 900, () => world.resume(host));
  },
  ({ world }, host) => {
    const others = world.getHosts().map((h) => h.host).filter((h) =>
      h !== host
    );
    const half = others.filter(() => world.loop.random() < 0.5);
    world.network.cut([host, ...half], others.filter((h) => !half.includes(h)));
    scheduleWithJitter(world, 700, () => world.network.heal());
  },
  ({ world }, host) => world.network.silence(host, pickHost(world)),
  ({ world }, host) => {
    if (!world.getNode(host).isAlive) return;
    world.drain(host);
    scheduleWithJitter(world, 1_200, () => {
      if (!world.getNode(host).isAlive) return;
      world.kill(host);
      world.restart(host);
    });
  },
  ({ world }, host) => {
    world.getModel(host).behaviour.slowFactor = 10;
    scheduleWithJitter(
      world,
      500,
      () => world.getModel(host).behaviour.slowFactor = 1,
    );
  },
  ({ world }, host) => {
    world.getModel(host).behaviour.shedShare = 0.7;
    scheduleWithJitter(
      world,
      500,
      () => world.getModel(host).behaviour.shedShare = 0,
    );
  },
  ({ world }, host) => world.publishList({ [host]: ListedState.Leaving }),
];

/** Injects a fault of a random kind at a random host. */
export function injectFault(schedule: Pick<ScheduleRun, "world">): void {
  const { world } = schedule;
  const pick = Math.floor(world.loop.random() * FAULT_KINDS.length);
  FAULT_KINDS[pick]!(schedule, pickHost(world));
}

/** Schedules a callback after 0.5 to 1.5 times a mean delay. */
function scheduleWithJitter(
  world: World,
  meanMs: number,
  run: () => void,
): void {
  const delay = meanMs * (0.5 + world.loop.random());
  world.loop.schedule(world.loop.now() + delay, run);
}

/** Ends all faults so that every call can finish. */
export function healAll(world: World): void {
  world.network.heal();
  world.network.faults.lossShare = 0;
  world.network.faults.duplicatedShare = 0;
  world.network.faults.delayedShare = 0;
  for (const { host } of world.getHosts()) {
    world.resume(host);
    world.restart(host);
  }
}
