/**
 * Reference scheduler that knows the whole queue and all present and future
 * speeds. Like a guard, it knows the mean service time but not that of a
 * single request.
 */

import { createTestHost } from "./core_host.ts";
import type { LoadPattern } from "./guarded_upstream.ts";

interface Job {
  readonly dueAt: number;
  /** Service time at normal speed, in ms; unknown until the job has ended. */
  readonly workMs: number;
}

/** Bounds of a job's service time as a share of the mean. */
const MIN_WORK_SHARE = 0.7;
const MAX_WORK_SHARE = 1.3;

/** Order in which jobs that can start get free slots. */
type Order = (a: Job, b: Job) => number;

const earliestDueFirst: Order = (a, b) => a.dueAt - b.dueAt;
const latestDueFirst: Order = (a, b) => b.dueAt - a.dueAt;

/**
 * Share of requests in time under the best combination of order and expected
 * service time.
 */
export function replayOracle(pattern: LoadPattern): number {
  const shares = [earliestDueFirst, latestDueFirst].flatMap((order) =>
    [MIN_WORK_SHARE, 1, MAX_WORK_SHARE].map((expectedShare) =>
      replay(pattern, { order, expectedShare })
    )
  );
  return Math.max(...shares);
}

function replay(
  pattern: LoadPattern,
  { order, expectedShare }: { order: Order; expectedShare: number },
): number {
  const host = createTestHost();
  const speedPeriodMs = pattern.speedPeriodMs ?? 150;
  const endAt = pattern.seconds * 1_000;
  const base = pattern.coldFactor ?? 1;
  const speeds = Array.from(
    { length: Math.ceil((endAt + pattern.objectiveMs) / speedPeriodMs) + 1 },
    () =>
      host.random() < (pattern.slowShare ?? 0)
        ? base * (pattern.slowFactor ?? 1)
        : base,
  );
  let waiting: Job[] = [];
  let completions: number[] = [];
  let arrived = 0;
  let inTime = 0;
  let nextAt = 0;
  for (let now = 0; now < endAt; now++) {
    for (; nextAt <= now; nextAt += drawIntervalMs()) {
      arrived += 1;
      waiting.push({
        dueAt: nextAt + pattern.objectiveMs,
        workMs: pattern.workMs *
          (MIN_WORK_SHARE + (MAX_WORK_SHARE - MIN_WORK_SHARE) * host.random()),
      });
    }
    completions = completions.filter((at) => at > now);
    waiting = waiting.filter((job) => canBeInTime(job, now));
    const ready = waiting.filter((job) => shouldStart(job, now)).sort(order);
    for (const job of ready.slice(0, pattern.slots - completions.length)) {
      waiting.splice(waiting.indexOf(job), 1);
      const end = now + job.workMs * getSpeed(now);
      completions.push(end);
      if (end <= job.dueAt) inTime += 1;
    }
  }
  return inTime / arrived;

  function drawIntervalMs(): number {
    return -Math.log(1 - host.random()) * 1_000 / pattern.perSecond;
  }

  function getSpeed(start: number): number {
    return speeds[Math.floor(start / speedPeriodMs)]!;
  }

  function isInTime({ dueAt }: Job, start: number): boolean {
    const workMs = pattern.workMs * expectedShare;
    return start + workMs * getSpeed(start) <= dueAt;
  }

  /** True if a start now or at the beginning of a later period is in time. */
  function canBeInTime(job: Job, now: number): boolean {
    return isInTime(job, now) || hasLaterStart(job, now, () => true);
  }

  /**
   * A job does not start yet if it would still be in time in a later, faster
   * period.
   */
  function shouldStart(job: Job, now: number): boolean {
    if (!isInTime(job, now)) return false;
    return !hasLaterStart(
      job,
      now,
      (start) => getSpeed(start) < getSpeed(now),
    );
  }

  function hasLaterStart(
    job: Job,
    now: number,
    isWanted: (start: number) => boolean,
  ): boolean {
    const first = (Math.floor(now / speedPeriodMs) + 1) * speedPeriodMs;
    for (let start = first; start < job.dueAt; start += speedPeriodMs) {
      if (isInTime(job, start) && isWanted(start)) return true;
    }
    return false;
  }
}
