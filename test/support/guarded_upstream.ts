/**
 * Replays a load pattern on the real guard in virtual time: one upstream with
 * slots, whose speed changes as neighbours come and go and which keeps the
 * speed of its start for each piece of work.
 */

import { createGuard } from "../../src/core/guard.ts";
import { createSlowSpells } from "../../src/core/slow_spells.ts";
import {
  GuardActionKind,
  GuardMessageKind,
  Repeatability,
} from "../../src/core/types.ts";
import { createTestHost } from "./core_host.ts";

/** A load pattern. */
export interface LoadPattern {
  readonly slots: number;
  readonly workMs: number;
  readonly perSecond: number;
  readonly objectiveMs: number;
  readonly timeoutMs: number;
  readonly seconds: number;
  /** Share of the time that the host is slow, and how many times slower. */
  readonly slowShare?: number;
  readonly slowFactor?: number;
  /** How many times slower the upstream is all the while, as after its start. */
  readonly coldFactor?: number;
  /** Length of one spell of a speed, in ms. */
  readonly spellMs?: number;
  /** Every n-th request is of the more urgent rank 0. */
  readonly urgentEvery?: number;
  /** Slots that are filled with any work; all where it is left out. */
  readonly usableSlots?: number;
  /** Short calls that running requests make, beside the others. */
  readonly calls?: {
    readonly perSecond: number;
    readonly workMs: number;
    readonly timeoutMs: number;
  };
}

/** Mechanisms that a test may take out. */
export interface Without {
  readonly holds?: boolean;
  readonly urgency?: boolean;
  readonly shortWorkSlots?: boolean;
}

/** What callers saw. */
export interface Outcome {
  readonly asked: number;
  readonly inTime: number;
  readonly late: number;
  readonly refused: number;
  /** Refusals later than an eighth of the objective after the arrival. */
  readonly refusedLate: number;
  readonly urgentInTime: number;
  readonly urgentAsked: number;
  readonly callsServed: number;
  readonly callsAsked: number;
}

interface Job {
  readonly arrivedAt: number;
  readonly isUrgent: boolean;
  readonly isCall: boolean;
}

const STEP_MS = 1;

/** Plays a pattern against a guard. */
export function replayLoad(
  pattern: LoadPattern,
  without: Without = {},
): Outcome {
  const host = createTestHost();
  const spells = createSlowSpells();
  const jobs = new Map<string, Job>();
  const ends: { at: number; ticket: string }[] = [];
  const seen = {
    asked: 0,
    inTime: 0,
    late: 0,
    refused: 0,
    refusedLate: 0,
    urgentInTime: 0,
    urgentAsked: 0,
    callsServed: 0,
    callsAsked: 0,
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
        without.shortWorkSlots
          ? pattern.usableSlots ?? pattern.slots
          : pattern.slots,
      getBaseSlowdown: spells.getBase,
      getInstance: () => undefined,
      getSlowdown: () => speed,
      getHoldMs: () => without.holds ? 0 : spells.getHoldMs(host.now()),
    },
  });
  const spellMs = pattern.spellMs ?? 150;
  const endAt = pattern.seconds * 1_000;
  const { calls } = pattern;
  let nextAt = 0;
  let nextCallAt = calls === undefined ? Infinity : 0;
  let nextSpellAt = 0;
  while (host.now() < endAt) {
    const now = host.now();
    if (now >= nextSpellAt) {
      const isSlow = host.random() < (pattern.slowShare ?? 0);
      speed = (pattern.coldFactor ?? 1) *
        (isSlow ? pattern.slowFactor ?? 1 : 1);
      nextSpellAt += spellMs;
    }
    spells.note(speed, now);
    for (let i = ends.length - 1; i >= 0; i--) {
      if (ends[i]!.at > now) continue;
      const { ticket } = ends.splice(i, 1)[0]!;
      finish(ticket);
    }
    while (nextAt <= now) {
      arrive(false);
      nextAt += drawGap(pattern.perSecond);
    }
    while (nextCallAt <= now) {
      arrive(true);
      nextCallAt += drawGap(calls!.perSecond);
    }
    act(guard.handle({ kind: GuardMessageKind.Tick }));
    host.advance(STEP_MS);
  }
  return seen;

  function drawGap(perSecond: number): number {
    return -Math.log(1 - host.random()) * 1_000 / perSecond;
  }

  function arrive(isCall: boolean): void {
    if (isCall) seen.callsAsked += 1;
    else seen.asked += 1;
    const ticket = `a/${seen.asked + seen.callsAsked}/1`;
    const isUrgent = !isCall &&
      seen.asked % (pattern.urgentEvery ?? Infinity) === 0;
    if (isUrgent) seen.urgentAsked += 1;
    jobs.set(ticket, { arrivedAt: host.now(), isUrgent, isCall });
    const rank = without.urgency || isUrgent || isCall ? 0 : 1;
    act(guard.handle({
      kind: GuardMessageKind.Submit,
      ticket,
      head: {
        account: "all",
        service: "shop",
        repeatability: Repeatability.Idempotent,
        fingerprint: "",
        timeoutMs: isCall ? calls!.timeoutMs : pattern.timeoutMs,
        ...(!without.urgency && { objectiveMs: pattern.objectiveMs }),
        priority: rank,
        route: isCall ? "calls" : "reads",
      },
    }));
  }

  function act(actions: ReturnType<typeof guard.handle>): void {
    for (const action of actions) {
      const job = jobs.get(action.ticket)!;
      if (action.kind === GuardActionKind.Start) {
        const spread = 0.7 + 0.6 * host.random();
        const workMs = job.isCall ? calls!.workMs : pattern.workMs;
        const tookMs = workMs * spread * speed;
        ends.push({ at: host.now() + tookMs, ticket: action.ticket });
      } else if (action.kind === GuardActionKind.Refuse && !job.isCall) {
        seen.refused += 1;
        const heldMs = host.now() - job.arrivedAt;
        if (heldMs > pattern.objectiveMs / 8) seen.refusedLate += 1;
      }
    }
  }

  function finish(ticket: string): void {
    const job = jobs.get(ticket)!;
    const tookMs = host.now() - job.arrivedAt;
    if (job.isCall) {
      if (tookMs <= calls!.timeoutMs) seen.callsServed += 1;
    } else if (tookMs <= pattern.objectiveMs) {
      seen.inTime += 1;
      if (job.isUrgent) seen.urgentInTime += 1;
    } else if (tookMs <= pattern.timeoutMs) seen.late += 1;
    const kind = GuardMessageKind.UpstreamAnswered;
    act(guard.handle({ kind, ticket, status: 200 }));
  }
}
