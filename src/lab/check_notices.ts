/** Checks that nothing goes against what upstreams state about themselves in their responses. */

import type { Incarnation, Millis } from "../core/types.ts";
import type { Violation } from "./check_run.ts";
import type { LabExecution, LabOutcome } from "./types.ts";

/** A limit that an upstream states from a time on, in ms. */
export interface StatedLimit {
  readonly instance: string;
  readonly limitPerS: number;
  readonly until: Millis;
}

/** An outcome with the daemon that passed it on, and when, in ms. */
export interface PassedOutcome {
  readonly outcome: LabOutcome;
  readonly gateway: Incarnation;
  readonly sentAt: Millis;
  readonly at: Millis;
}

/** Data of the run to check, and the bounds that it has to keep. */
export interface NoticeCheckOptions {
  readonly executions: readonly LabExecution[];
  readonly passed: readonly PassedOutcome[];
  readonly limits: readonly StatedLimit[];
  /** Time from the first statement of a limit until it holds, in ms. */
  readonly stableMs: Millis;
  /** Time from passing on a statement until it binds a daemon, in ms. */
  readonly knownMs: Millis;
  /** Span in which requests are counted against a limit, in ms. */
  readonly spanMs: Millis;
  /** Requests that a limit per second allows in a span. */
  getAllowed(limitPerS: number): number;
  /** Time from passing on that an upstream leaves to the last call that may reach it, in ms. */
  readonly drainMs: Millis;
}

/** Finds daemons that went against a statement that they had passed on. */
export function checkNotices(options: NoticeCheckOptions): Violation[] {
  return [...findExceededLimits(options), ...findWorkAfterLeaving(options)];
}

function findExceededLimits(options: NoticeCheckOptions): Violation[] {
  const { executions, stableMs, knownMs, spanMs, getAllowed } = options;
  return options.limits.flatMap(({ instance, limitPerS, until }) => {
    const told = findFirstPassed(
      options,
      ({ outcome: { notice } }) =>
        notice?.instance === instance && notice.limitPerS !== undefined,
    );
    const bindsAt = Math.min(...told.values()) + stableMs;
    const times = executions.filter((e) =>
      e.instance === instance && e.at >= bindsAt && e.at <= until &&
      e.at >= (told.get(e.gateway) ?? Infinity) + knownMs
    ).map((e) => e.at);
    const most = Math.max(
      0,
      ...times.map((from) =>
        times.filter((at) => at >= from && at < from + spanMs).length
      ),
    );
    return most <= getAllowed(limitPerS) ? [] : [{
      guarantee: "an upstream gets no more than the limit that it states",
      detail: `${instance} got ${most} of ${limitPerS} a second`,
    }];
  });
}

function findWorkAfterLeaving(options: NoticeCheckOptions): Violation[] {
  const { executions, passed, drainMs } = options;
  const sentAt = new Map(passed.map((p) => [p.outcome.call.id, p.sentAt]));
  const instances = new Set(
    passed.flatMap(({ outcome: { notice } }) =>
      notice?.isLeaving ? [notice.instance] : []
    ),
  );
  return [...instances].flatMap((instance) => {
    const told = findFirstPassed(
      options,
      ({ outcome: { notice } }) =>
        notice?.instance === instance && notice.isLeaving,
    );
    return executions.filter((e) =>
      e.instance === instance &&
      sentAt.get(e.call)! > (told.get(e.gateway) ?? Infinity) + drainMs
    ).map((e) => ({
      guarantee: "nothing reaches an upstream after it stated that it leaves",
      detail: `${e.call} ran at ${instance}`,
    }));
  });
}

/** Time at which each daemon first passed on such an outcome, in ms. */
function findFirstPassed(
  { passed }: NoticeCheckOptions,
  isSuch: (passed: PassedOutcome) => boolean,
): Map<Incarnation, Millis> {
  const first = new Map<Incarnation, Millis>();
  for (const it of passed) {
    if (!isSuch(it)) continue;
    first.set(it.gateway, Math.min(first.get(it.gateway) ?? Infinity, it.at));
  }
  return first;
}
