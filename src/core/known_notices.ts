/**
 * Statements of upstreams as a gateway knows them from the load reports of
 * their guards. They outlive a guard: a daemon that restarts beside its
 * upstream does not know what the upstream stated before.
 */

import { type DecisionTrace, Exclusion, narrow } from "./exclusions.ts";
import type {
  Candidate,
  CoreHost,
  HostId,
  Incarnation,
  LoadReport,
  Millis,
  UpstreamNotice,
} from "./types.ts";
import { getStartKey, type UpstreamStart } from "./upstream_start.ts";

/** Time for which a leaving upstream is remembered, in ms; far longer than any is listed after it has left. */
const LEAVING_RETENTION_MS = 600_000;

/** Called when a gateway learns that an upstream is leaving, or of a change of its limit. */
export type NoticeListener = (host: HostId, notice: UpstreamNotice) => void;

/** Settings of the known statements. */
export interface KnownNoticesOptions {
  /** Time for which a leaving upstream may still be used, as the last choice, in ms. */
  readonly leavingMs: Millis;
  readonly onNotice?: NoticeListener | undefined;
  /** Start time of an incarnation in the list, for a guard that doesn't know it. */
  tryGetBornAt?(instance: string): number | undefined;
}

/** Statements known to one gateway. */
export interface KnownNotices {
  /** Records a load report; `isNewest` is false if a newer one is known. */
  recordReport(report: LoadReport, isNewest: boolean): void;
  isLeaving(candidate: Candidate): boolean;
  /** The candidates that may still be used. */
  filter(
    candidates: readonly Candidate[],
    trace?: DecisionTrace,
  ): readonly Candidate[];
  /** Limit of a candidate, in requests per second; undefined if it has stated none. */
  tryGetLimit(candidate: Candidate): number | undefined;
}

interface KnownLimit {
  readonly start: UpstreamStart;
  readonly limitPerS: number;
  /** Incarnation of the guard that reported it last. */
  readonly reportedBy: Incarnation;
}

/** Creates an empty set. */
export function createKnownNotices(
  host: Pick<CoreHost, "now">,
  options: KnownNoticesOptions,
): KnownNotices {
  /** Time at which this gateway learned that a start of an upstream leaves, in ms, by its key. */
  const leavingSince = new Map<string, Millis>();
  const limits = new Map<HostId, KnownLimit>();
  return { recordReport, isLeaving, filter, tryGetLimit };

  function recordReport(report: LoadReport, isNewest: boolean): void {
    const { host: id, notice } = report;
    if (isNewest) recordLimit(report);
    if (notice?.isLeaving !== true) return;
    const key = getStartKey(findStart(notice));
    if (leavingSince.has(key)) return;
    dropForgotten();
    leavingSince.set(key, host.now());
    options.onNotice?.(id, notice);
  }

  function findStart({ instance, bornAt }: UpstreamNotice): UpstreamStart {
    return { instance, bornAt: bornAt ?? options.tryGetBornAt?.(instance) };
  }

  /** Without a statement, only the guard that reported a limit shows that it was lifted. */
  function recordLimit({ host: id, incarnation, notice }: LoadReport): void {
    const known = limits.get(id);
    if (notice?.limitPerS !== undefined) {
      const { limitPerS } = notice;
      limits.set(id, {
        start: findStart(notice),
        limitPerS,
        reportedBy: incarnation,
      });
      if (known?.limitPerS !== limitPerS) options.onNotice?.(id, notice);
    } else if (known?.reportedBy === incarnation) {
      limits.delete(id);
      const { instance } = known.start;
      options.onNotice?.(id, { instance, isLeaving: false });
    }
  }

  function isLeaving(candidate: Candidate): boolean {
    return tryGetLeavingSince(candidate) !== undefined;
  }

  function tryGetLeavingSince(
    { instance, bornAt }: Candidate,
  ): Millis | undefined {
    return instance === undefined
      ? undefined
      : leavingSince.get(getStartKey({ instance, bornAt }));
  }

  function filter(
    candidates: readonly Candidate[],
    trace?: DecisionTrace,
  ): readonly Candidate[] {
    if (leavingSince.size === 0) return candidates;
    const now = host.now();
    return narrow(candidates, (candidate) => {
      const since = tryGetLeavingSince(candidate) ?? Infinity;
      return now < since + options.leavingMs
        ? undefined
        : Exclusion.UpstreamLeft;
    }, trace);
  }

  function tryGetLimit(
    { host: id, instance, bornAt }: Candidate,
  ): number | undefined {
    const known = limits.get(id);
    return known !== undefined && known.start.instance === instance &&
        known.start.bornAt === bornAt
      ? known.limitPerS
      : undefined;
  }

  function dropForgotten(): void {
    const now = host.now();
    for (const [key, since] of leavingSince) {
      if (now - since > LEAVING_RETENTION_MS) leavingSince.delete(key);
    }
  }
}
