/**
 * What an upstream states about itself in its responses, as its guard knows it:
 * a limit on its requests, in force for as long as responses state it, and that
 * it is leaving, which is final for one incarnation.
 */

import type {
  CoreHost,
  Millis,
  NoticeSource,
  ResponseNotice,
  UpstreamNotice,
} from "./types.ts";

/** The statements of one upstream. */
export interface UpstreamNotices {
  /** Records the statements of a response. */
  record(notice: ResponseNotice, source: NoticeSource): void;
  /**
   * Applies the limit that a gateway knows until the upstream responds: a guard
   * that restarted has not heard of it, but gateways may have been told before.
   */
  adoptLimit(limitPerS: number, instance: string): void;
  /** What is known; undefined if the upstream states nothing. */
  get(): UpstreamNotice | undefined;
  /** Time since which an incarnation is known to leave, in ms; undefined if it is not. */
  tryGetLeavingSince(instance: string | undefined): Millis | undefined;
  /** Forgets an incarnation that started again under its name. */
  forget(): void;
}

/** Creates the statements of an upstream that has not responded yet. */
export function createUpstreamNotices(
  host: Pick<CoreHost, "now">,
): UpstreamNotices {
  let instance: string | undefined;
  let hasResponded = false;
  let limitPerS: number | undefined;
  /** Time at which the limit was last stated, in ms. */
  let statedAt: Millis = -Infinity;
  let leavingSince: Millis | undefined;
  return { record, adoptLimit, get, tryGetLeavingSince, forget };

  function record(notice: ResponseNotice, source: NoticeSource): void {
    if (instance !== source.instance) startIncarnation(source.instance);
    if (notice.isComplete) hasResponded = true;
    if (notice.limitPerS !== undefined) setLimit(notice.limitPerS);
    // A response to an earlier request may precede the statement of the limit.
    else if (notice.isComplete && source.sentAt > statedAt) {
      limitPerS = undefined;
    }
    if (notice.isLeaving) leavingSince ??= host.now();
  }

  function adoptLimit(adoptedPerS: number, of: string): void {
    if (instance !== undefined && instance !== of) return;
    if (hasResponded || limitPerS !== undefined) return;
    instance = of;
    setLimit(adoptedPerS);
  }

  function setLimit(newLimitPerS: number): void {
    limitPerS = newLimitPerS;
    statedAt = host.now();
  }

  function get(): UpstreamNotice | undefined {
    const isLeaving = leavingSince !== undefined;
    if (instance === undefined) return undefined;
    if (limitPerS === undefined && !isLeaving) return undefined;
    return {
      instance,
      isLeaving,
      ...(limitPerS !== undefined && { limitPerS }),
    };
  }

  function tryGetLeavingSince(of: string | undefined): Millis | undefined {
    return of === undefined || of === instance ? leavingSince : undefined;
  }

  function forget(): void {
    startIncarnation(undefined);
  }

  function startIncarnation(started: string | undefined): void {
    instance = started;
    hasResponded = false;
    limitPerS = undefined;
    statedAt = -Infinity;
    leavingSince = undefined;
  }
}
