/**
 * Whether a request may be started at the upstream of a guard. What waits is
 * asked again as it starts, as the answer may have changed since it arrived.
 */

import type { DiagnosticName } from "./diagnostics.ts";
import type { ClosedReason } from "./guard_types.ts";
import type { Millis, RequestHead } from "./types.ts";

/** A request that is to be started. */
export interface StartCandidate {
  readonly head: RequestHead;
  /** Time at which its time is up, in ms. */
  readonly deadline: Millis;
}

/** What the rules depend on. */
export interface StartRuleOptions {
  /** Why the upstream must get no request now, whatever the request. */
  tryGetClosedReason?(): ClosedReason | undefined;
  /** Time since which an incarnation states that it is leaving, in ms. */
  tryGetStatedLeavingSince(instance: string | undefined): Millis | undefined;
  /** Time since which an incarnation is listed as draining or has left the list, in ms. */
  tryGetListedLeavingSince?(instance: string): Millis | undefined;
  /** Time for which a leaving upstream still serves what no other host takes, in ms. */
  readonly leavingMs: Millis;
  /** The incarnation that has taken the place of the one that a request names. */
  tryGetReplacement(head: RequestHead): string | undefined;
  /** The incarnation at the upstream's address; undefined while none is known. */
  tryGetInstance(): string | undefined;
}

/** Rules for the starts at one upstream. */
export interface StartRules {
  /** Why a request must not be started now; undefined if it may. */
  tryGetRefusal(candidate: StartCandidate): DiagnosticName | undefined;
  /** True once each time that what waits has to be asked again. */
  takeChange(): boolean;
}

/** Creates the rules of a guard. */
export function createStartRules(options: StartRuleOptions): StartRules {
  let known: Partial<ReturnType<typeof getSituation>> = {};
  return { tryGetRefusal, takeChange };

  function tryGetRefusal(
    { head, deadline }: StartCandidate,
  ): DiagnosticName | undefined {
    const closedReason = options.tryGetClosedReason?.();
    if (closedReason !== undefined) return closedReason;
    if (options.tryGetReplacement(head) !== undefined) {
      return "instance_replaced";
    }
    const since = tryGetLeavingSince(head.instance);
    if (since === undefined) return undefined;
    const mayEnd = head.isLastChoice === true &&
      deadline <= since + options.leavingMs;
    return mayEnd ? undefined : "upstream_leaving";
  }

  function tryGetLeavingSince(named: string | undefined): Millis | undefined {
    const instance = named ?? options.tryGetInstance();
    const listed = instance === undefined
      ? undefined
      : options.tryGetListedLeavingSince?.(instance);
    const stated = options.tryGetStatedLeavingSince(named);
    if (listed === undefined || stated === undefined) return listed ?? stated;
    return Math.min(listed, stated);
  }

  function takeChange(): boolean {
    const before = known;
    known = getSituation();
    return known.closedReason !== before.closedReason ||
      known.instance !== before.instance ||
      known.leavingSince !== before.leavingSince;
  }

  function getSituation() {
    const instance = options.tryGetInstance();
    return {
      closedReason: options.tryGetClosedReason?.(),
      instance,
      leavingSince: tryGetLeavingSince(instance),
    };
  }
}
