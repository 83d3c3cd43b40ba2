/**
 * Replays a load pattern on the real guard in virtual time. The simulated
 * upstream has a fixed number of slots and a speed that varies with the load of
 * its neighbours; a request runs to its end at the speed at which it started.
 */

import { createGuard } from "../../src/core/guard.ts";
import { createSlowPeriods } from "../../src/core/slow_periods.ts";
import {
  GuardActionKind,
  GuardMessageKind,
  Repeatability,
} from "../../src/core/types.ts";
import { createTestHost } from "./core_host.ts";

/** A load pattern. */
export interface LoadPattern {
  readonly slots: number;
  /** Mean service time at normal speed, in ms. */
  readonly workMs: number;
  readonly perSecond: number;
  readonly objectiveMs: number;
  readonly timeoutMs: number;
  readonly seconds: number;
  /** Share of the time in which the upstream is slow. */
  readonly slowShare?: number;
  /** How many times longer a request takes while the upstream is slow. */
  readonly slowFactor?: number;
  /** Constant slowdown factor of the whole run, as after a cold start. */
  readonly coldFactor?: number;
  /** Time for which the speed stays constant, in ms. */
  readonly speedPeriodMs?: number;
  /** Every n-th request has priority 0, the most urgent one. */
  readonly urgentEvery?: number;
  /** Slots that are open to any request; defaults to all slots. */
  readonly usableSlots?: number;
  /** Additional short requests, such as the nested calls of running requests. */
  readonly calls?: {
    readonly perSecond: number;
    readonly workMs: number;
    readonly timeoutMs: number;
    /** Objective of calls without a rank of their own; by default they have the highest one and the objective of the others. */
    readonly objectiveMs?: number;
  };
}

/** Mechanisms of the guard that a test disables. */
export interface DisabledMechanisms {
  readonly startDelay?: boolean;
  readonly urgency?: boolean;
  readonly shortWorkSlots?: boolean;
}

/** Counts of requests by outcome, as callers see them. */
export interface Outcome {
  readonly arrived: number;
  /** Requests completed within the objective. */
  readonly inTime: number;
  /** Requests completed after the objective, but within the timeout. */
  readonly late: number;
  readonly refused: number;
  /** Requests refused after more than an eighth of the objective. */
  readonly refusedLate: number;
  readonly urgentInTime: number;
  readonly urgentArrived: number;
  readonly callsServed: number;
  readonly callsArrived: number;
}

interface Job {
  readonly arrivedAt: number;
  readonly isUrgent: boolean;
  readonly isCall: boolean;
}

const STEP_MS = 1;

/** Replays a load pattern on a guard and counts the outcomes. */
export function replayLoad(
  pattern: LoadPattern,
  disabled: DisabledMechanisms = {},
): Outcome {
  const host = createTestHost();
  const slowPeriods = createSlowPeriods();
  const jobs = new Map<string, Job>();
  const completions: { at: number; ticket: string }[] = [];
  const outcome = {
    arrived: 0,
    inTime: 0,
    late: 0,
    refused: 0,
    refusedLate: 0,
    urgentInTime: 0,
    urgentArrived: 0,
    callsServed: 0,
    callsArrived: 0,
  };
  let speed = 1;
  const guard = createGuard(host, {
    self: "a",
    service: "shop",
    incarnation: "a#1",
    slots: pattern.slots,
    queueCapacity: 1_000,
    grantTtlMs: 1_000,
    keyCapacity: 16,
    getWeight: () => 1,
    refusesEarly: true,
    upstream: {
      getUsableSlots: () => pattern.usableSlots ?? pattern.slots,
      getShortWorkSlots: () =>
        disabled.shortWorkSlots
          ? pattern.usableSlots ?? pattern.slots
          : pattern.slots,
      getKnownGoodSlots: () => pattern.slots,
      recordStart: () => {},
      recordServiceTime: () => {},
      getBaseSlowdown: slowPeriods.getBase,
      getInstance: () => undefined,
      getSlowdown: () => speed,
      getStartDelayMs: () =>
        disabled.startDelay ? 0 : slowPeriods.getStartDelayMs(host.now()),
    },
  });
  const speedPeriodMs = pattern.speedPeriodMs ?? 150;
  const endAt = pattern.seconds * 1_000;
  const { calls } = pattern;
  let nextAt = 0;
  let nextCallAt = calls === undefined ? Infinity : 0;
  let nextSpeedPeriodAt = 0;
  while (host.now() < endAt) {
    const now = host.now();
    if (now >= nextSpeedPeriodAt) {
      const isSlow = host.random() < (pattern.slowShare ?? 0);
      speed = (pattern.coldFactor ?? 1) *
        (isSlow ? pattern.slowFactor ?? 1 : 1);
      nextSpeedPeriodAt += speedPeriodMs;
    }
    slowPeriods.observe(speed, now);
    for (let i = completions.length - 1; i >= 0; i--) {
      if (completions[i]!.at > now) continue;
      const { ticket } = completions.splice(i, 1)[0]!;
      completeRequest(ticket);
    }
    while (nextAt <= now) {
      submitRequest(false);
      nextAt += drawIntervalMs(pattern.perSecond);
    }
    while (nextCallAt <= now) {
      submitRequest(true);
      nextCallAt += drawIntervalMs(calls!.perSecond);
    }
    handleActions(guard.handle({ kind: GuardMessageKind.Tick }));
    host.advance(STEP_MS);
  }
  return outcome;

  function drawIntervalMs(perSecond: number): number {
    return -Math.log(1 - host.random()) * 1_000 / perSecond;
  }

  function submitRequest(isCall: boolean): void {
    if (isCall) outcome.callsArrived += 1;
    else outcome.arrived += 1;
    const ticket = `a/${outcome.arrived + outcome.callsArrived}/1`;
    const isUrgent = !isCall &&
      outcome.arrived % (pattern.urgentEvery ?? Infinity) === 0;
    if (isUrgent) outcome.urgentArrived += 1;
    jobs.set(ticket, { arrivedAt: host.now(), isUrgent, isCall });
    const callObjectiveMs = isCall ? calls!.objectiveMs : undefined;
    const hasHighRank = isUrgent || (isCall && callObjectiveMs === undefined);
    const priority = disabled.urgency || hasHighRank ? 0 : 1;
    handleActions(guard.handle({
      kind: GuardMessageKind.Submit,
      ticket,
      head: {
        account: "all",
        service: "shop",
        repeatability: Repeatability.Idempotent,
        fingerprint: "",
        timeoutMs: isCall ? calls!.timeoutMs : pattern.timeoutMs,
        ...(!disabled.urgency &&
          { objectiveMs: callObjectiveMs ?? pattern.objectiveMs }),
        priority,
        route: isCall ? "calls" : "reads",
      },
    }));
  }

  function handleActions(actions: ReturnType<typeof guard.handle>): void {
    for (const action of actions) {
      const job = jobs.get(action.ticket)!;
      if (action.kind === GuardActionKind.Start) {
        const spread = 0.7 + 0.6 * host.random();
        const workMs = job.isCall ? calls!.workMs : pattern.workMs;
        const tookMs = workMs * spread * speed;
        completions.push({ at: host.now() + tookMs, ticket: action.ticket });
      } else if (action.kind === GuardActionKind.Refuse && !job.isCall) {
        outcome.refused += 1;
        const waitedMs = host.now() - job.arrivedAt;
        if (waitedMs > pattern.objectiveMs / 8) outcome.refusedLate += 1;
      }
    }
  }

  function completeRequest(ticket: string): void {
    const job = jobs.get(ticket)!;
    const tookMs = host.now() - job.arrivedAt;
    if (job.isCall) {
      if (tookMs <= calls!.timeoutMs) outcome.callsServed += 1;
    } else if (tookMs <= pattern.objectiveMs) {
      outcome.inTime += 1;
      if (job.isUrgent) outcome.urgentInTime += 1;
    } else if (tookMs <= pattern.timeoutMs) outcome.late += 1;
    const kind = GuardMessageKind.UpstreamResponded;
    handleActions(guard.handle({ kind, ticket, status: 200 }));
  }
}
