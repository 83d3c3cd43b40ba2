/**
 * What an upstream states about itself in its responses, as its guard knows it:
 * a limit on its requests, in force for as long as responses state it, and that
 * it is leaving, which is final for one start.
 */

import type {
  CoreHost,
  Millis,
  NoticeSource,
  ResponseNotice,
  UpstreamNotice,
} from "./types.ts";
import { mayBeSameStart, type UpstreamStart } from "./upstream_start.ts";

/** The statements of one upstream. */
export interface UpstreamNotices {
  /** Records the statements of a response. */
  record(notice: ResponseNotice, source: NoticeSource): void;
  /**
   * Applies the limit that a gateway knows until the upstream responds: a guard
   * that restarted has not heard of it, but gateways may have been told before.
   */
  adoptLimit(limitPerS: number, of: UpstreamStart): void;
  /** What is known; undefined if the upstream states nothing. */
  get(): UpstreamNotice | undefined;
  /** Time since which an incarnation is known to leave, in ms; undefined if it is not. */
  tryGetLeavingSince(instance: string | undefined): Millis | undefined;
  /** Records the start that the list names. */
  recordListed(start: UpstreamStart): void;
  /** Records that the upstream has ended; a listed start that follows is the one that responds from now on. */
  recordEnded(): void;
}

/** Creates the statements of an upstream that has not responded yet. */
export function createUpstreamNotices(
  host: Pick<CoreHost, "now">,
): UpstreamNotices {
  /** The start whose statements these are. */
  let start: UpstreamStart | undefined;
  let listed: UpstreamStart | undefined;
  /** True from an end that was observed until the list names the start after it. */
  let isBeforeListing = false;
  /** Responses to requests sent before this time, in ms, are those of an earlier start. */
  let validFrom: Millis = -Infinity;
  /** Time at which the request of the newest response was sent, in ms. */
  let newestSentAt: Millis = -Infinity;
  let hasResponded = false;
  let limitPerS: number | undefined;
  /** Time at which the limit was last stated, in ms. */
  let statedAt: Millis = -Infinity;
  let leavingSince: Millis | undefined;
  return {
    record,
    adoptLimit,
    get,
    tryGetLeavingSince,
    recordListed,
    recordEnded,
  };

  function record(notice: ResponseNotice, source: NoticeSource): void {
    if (source.sentAt < validFrom) return;
    if (start?.instance !== source.instance) {
      // A late response of the incarnation that ran there before.
      if (source.sentAt < newestSentAt) return;
      begin(findStart(source.instance));
    }
    newestSentAt = Math.max(newestSentAt, source.sentAt);
    if (notice.isComplete) hasResponded = true;
    if (notice.limitPerS !== undefined) setLimit(notice.limitPerS);
    // A response to an earlier request may precede the statement of the limit.
    else if (notice.isComplete && source.sentAt > statedAt) {
      limitPerS = undefined;
    }
    if (notice.isLeaving) leavingSince ??= host.now();
  }

  /** After an end, the list may still name the start that ended. */
  function findStart(instance: string): UpstreamStart {
    return listed?.instance === instance && !isBeforeListing
      ? listed
      : { instance };
  }

  function adoptLimit(adoptedPerS: number, of: UpstreamStart): void {
    if (start !== undefined && !mayBeSameStart(start, of)) return;
    if (listed !== undefined && !mayBeSameStart(listed, of)) return;
    if (hasResponded || limitPerS !== undefined || isBeforeListing) return;
    start = of;
    setLimit(adoptedPerS);
  }

  function setLimit(newLimitPerS: number): void {
    limitPerS = newLimitPerS;
    statedAt = host.now();
  }

  function get(): UpstreamNotice | undefined {
    const isLeaving = leavingSince !== undefined;
    if (start === undefined) return undefined;
    if (limitPerS === undefined && !isLeaving) return undefined;
    const { instance, bornAt } = start;
    return {
      instance,
      ...(bornAt !== undefined && { bornAt }),
      isLeaving,
      ...(limitPerS !== undefined && { limitPerS }),
    };
  }

  function tryGetLeavingSince(of: string | undefined): Millis | undefined {
    return of === undefined || of === start?.instance
      ? leavingSince
      : undefined;
  }

  function recordListed(current: UpstreamStart): void {
    const isSame = start !== undefined && mayBeSameStart(start, current);
    listed = current;
    isBeforeListing = false;
    // What was stated before the list named the start.
    if (isSame) start = current;
    else {
      validFrom = host.now();
      begin(current);
    }
  }

  function recordEnded(): void {
    isBeforeListing = true;
    validFrom = host.now();
    begin(undefined);
  }

  function begin(next: UpstreamStart | undefined): void {
    start = next;
    hasResponded = false;
    limitPerS = undefined;
    statedAt = -Infinity;
    leavingSince = undefined;
  }
}
