/**
 * Checks the guarantees of a run against the executions recorded at the
 * upstreams rather than the state of the daemons: at-most-once operations
 * run at most once, calls reported as NotRun did not run, responses reach only
 * their own call, draining hosts start no new work, and every call gets an
 * outcome.
 */

import { Execution, type Millis } from "../core/types.ts";
import type { LabExecution, LabOutcome } from "./types.ts";

/** A guarantee that a run violated. */
export interface Violation {
  readonly guarantee: string;
  readonly detail: string;
}

/** Result of checking a run. */
export interface RunCheck {
  readonly violations: readonly Violation[];
  /** Number of calls that got an outcome. */
  readonly calls: number;
  /** Number of at-most-once calls by the execution reported to their caller. */
  readonly atMostOnceOutcomes: Readonly<Record<string, number>>;
}

/** Data of the run to check. */
export interface RunCheckOptions {
  readonly executions: readonly LabExecution[];
  readonly outcomes: readonly LabOutcome[];
  readonly callsMade: number;
  /** Time after the announcement of a drain in which work may still start, in ms. */
  readonly drainGraceMs: Millis;
}

/** Checks all guarantees of a run. */
export function checkRun(options: RunCheckOptions): RunCheck {
  const { executions, outcomes } = options;
  const violations = [
    ...findRepeatedExecutions(executions),
    ...findExecutedNotRun(executions, outcomes),
    ...findMisdirectedResponses(outcomes),
    ...findWorkAfterDrain(options),
    ...findMissingOutcomes(options),
  ];
  return {
    violations,
    calls: outcomes.length,
    atMostOnceOutcomes: countAtMostOnceOutcomes(outcomes),
  };
}

function findRepeatedExecutions(
  executions: readonly LabExecution[],
): Violation[] {
  const counts = new Map<string, number>();
  for (const { operation, isAtMostOnce } of executions) {
    if (!isAtMostOnce) continue;
    counts.set(operation, (counts.get(operation) ?? 0) + 1);
  }
  return [...counts].filter(([, count]) => count > 1).map(([id, count]) => ({
    guarantee: "an at-most-once request never runs twice",
    detail: `${id} ran ${count} times`,
  }));
}

/** Finds calls reported as NotRun for which the call or its key was executed at any time. */
function findExecutedNotRun(
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
    guarantee: "NotRun means never run",
    detail: `${o.call.id} (${o.reason}) ran`,
  }));
}

function findMisdirectedResponses(
  outcomes: readonly LabOutcome[],
): Violation[] {
  return outcomes.filter((o) =>
    o.responseCallId !== undefined && !isSameOperation(o)
  ).map((o) => ({
    guarantee: "a response goes only to its own request",
    detail: `${o.call.id} got the response of ${o.responseCallId}`,
  }));
}

/** A replayed response stems from an earlier call of the same operation. */
function isSameOperation(outcome: LabOutcome): boolean {
  const { call, responseCallId } = outcome;
  return responseCallId === call.id ||
    responseCallId?.split("~")[0] === call.operation;
}

function findWorkAfterDrain(options: RunCheckOptions): Violation[] {
  return options.executions.filter((e) =>
    e.drainingSince !== undefined &&
    e.at > e.drainingSince + options.drainGraceMs
  ).map((e) => ({
    guarantee: "a leaving upstream gets no new work",
    detail: `${e.host} started ${e.call} ${
      Math.round(e.at - e.drainingSince!)
    } ms after it announced its drain`,
  }));
}

function findMissingOutcomes(options: RunCheckOptions): Violation[] {
  const missing = options.callsMade - options.outcomes.length;
  return missing === 0 ? [] : [{
    guarantee: "each call gets an outcome",
    detail: `${missing} calls ended without one`,
  }];
}

function countAtMostOnceOutcomes(
  outcomes: readonly LabOutcome[],
): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const { call, execution } of outcomes) {
    if (call.repeatability !== "at-most-once") continue;
    counts[execution] = (counts[execution] ?? 0) + 1;
  }
  return counts;
}
