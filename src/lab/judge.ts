/**
 * Judges a run by what the upstreams' journal says, never by the daemons' word:
 * at most once, NotRun never ran, answers only to their own call, draining
 * hosts get no new work, revisions never fall.
 */

import { Execution, type Millis } from "../core/types.ts";
import type { LabExecution, LabOutcome } from "./types.ts";

/** A promise that a run broke. */
export interface Violation {
  readonly promise: string;
  readonly detail: string;
}

/** What a run showed. */
export interface Judgement {
  readonly violations: readonly Violation[];
  readonly calls: number;
  /** Outcomes of protected calls by execution. */
  readonly protectedOutcomes: Readonly<Record<string, number>>;
}

/** Settings of a judgement. */
export interface JudgeOptions {
  readonly executions: readonly LabExecution[];
  readonly outcomes: readonly LabOutcome[];
  readonly callsMade: number;
  /** Time after an announcement in which new work may still arrive, in ms. */
  readonly drainGraceMs: Millis;
}

/** Judges a run. */
export function judge(options: JudgeOptions): Judgement {
  const { executions, outcomes } = options;
  const violations = [
    ...findRepeats(executions),
    ...findRunOfNotRun(executions, outcomes),
    ...findForeignAnswers(outcomes),
    ...findWorkAfterDrain(options),
    ...findUnanswered(options),
  ];
  return {
    violations,
    calls: outcomes.length,
    protectedOutcomes: countProtected(outcomes),
  };
}

function findRepeats(executions: readonly LabExecution[]): Violation[] {
  const counts = new Map<string, number>();
  for (const { operation, isProtected } of executions) {
    if (!isProtected) continue;
    counts.set(operation, (counts.get(operation) ?? 0) + 1);
  }
  return [...counts].filter(([, count]) => count > 1).map(([id, count]) => ({
    promise: "a protected request runs at most once",
    detail: `${id} ran ${count} times`,
  }));
}

/** A call that was refused as NotRun ran neither before nor after, nor its key. */
function findRunOfNotRun(
  executions: readonly LabExecution[],
  outcomes: readonly LabOutcome[],
): Violation[] {
  const calls = new Set(executions.map((e) => e.call));
  const keys = new Set(executions.map((e) => e.key).filter((k) => k !== ""));
  return outcomes.filter((o) =>
    o.execution === Execution.NotRun &&
    (calls.has(o.call.id) ||
      (o.call.key !== undefined && o.reason !== "key_mismatch" &&
        keys.has(o.call.key)))
  ).map((o) => ({
    promise: "NotRun means never run",
    detail: `${o.call.id} (${o.reason}) ran`,
  }));
}

function findForeignAnswers(outcomes: readonly LabOutcome[]): Violation[] {
  return outcomes.filter((o) =>
    o.answeredCall !== undefined && !isSameOperation(o)
  ).map((o) => ({
    promise: "an answer goes to its own request",
    detail: `${o.call.id} got the answer of ${o.answeredCall}`,
  }));
}

/** A replay answers an earlier call of the same operation. */
function isSameOperation(outcome: LabOutcome): boolean {
  const { call, answeredCall } = outcome;
  return answeredCall === call.id ||
    answeredCall?.split("~")[0] === call.operation;
}

function findWorkAfterDrain(options: JudgeOptions): Violation[] {
  return options.executions.filter((e) =>
    e.drainingSince !== undefined &&
    e.at > e.drainingSince + options.drainGraceMs
  ).map((e) => ({
    promise: "a leaving upstream gets no new work",
    detail: `${e.host} started ${e.call} ${
      Math.round(e.at - e.drainingSince!)
    } ms after it announced`,
  }));
}

function findUnanswered(options: JudgeOptions): Violation[] {
  const missing = options.callsMade - options.outcomes.length;
  return missing === 0 ? [] : [{
    promise: "each request gets its final answer",
    detail: `${missing} calls ended without one`,
  }];
}

function countProtected(
  outcomes: readonly LabOutcome[],
): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const { call, execution } of outcomes) {
    if (call.repeatability !== "at-most-once") continue;
    counts[execution] = (counts[execution] ?? 0) + 1;
  }
  return counts;
}
