/**
 * Ejection of stragglers: an upstream far slower than its peers gets no work
 * for a while, then one request that probes whether it recovered.
 */

import type { LoadBook, LoadEntry } from "./load_book.ts";
import type { Candidate, CoreHost, HostId, Millis } from "./types.ts";

/** Settings of the ejection. */
export interface OutlierOptions {
  readonly isEnabled: boolean;
  /** How many times the median of its peers a straggler's latency is. */
  readonly factor: number;
  /** The largest share of a service that is ejected at once. */
  readonly maxShare: number;
  /** Length of the first ejection, in ms; it doubles up to 16 times. */
  readonly ejectionMs: Millis;
}

/** Ejects stragglers. */
export interface Outliers {
  /** The candidates without those that are ejected. */
  filter(candidates: readonly Candidate[]): readonly Candidate[];
  /** Notes a failed link or a silent one, which counts as a slow answer. */
  noteFailure(host: HostId): void;
  noteAnswer(host: HostId, latencyMs: Millis): void;
  isEjected(host: HostId): boolean;
}

interface Ejection {
  until: Millis;
  times: number;
  isProbing: boolean;
}

const MIN_SAMPLES = 5;
/** A straggler is at least this much slower than the median, in ms. */
const MIN_EXCESS_MS = 5;
const MAX_DOUBLINGS = 4;
const FAILURES_TO_EJECT = 2;

/** Creates the ejection over a load book. */
export function createOutliers(
  host: CoreHost,
  options: OutlierOptions & { readonly loads: LoadBook },
): Outliers {
  const ejections = new Map<HostId, Ejection>();
  const failures = new Map<HostId, number>();
  let lastMedian: Millis = Infinity;
  return { filter, noteFailure, noteAnswer, isEjected };

  function filter(candidates: readonly Candidate[]): readonly Candidate[] {
    if (!options.isEnabled || candidates.length < 2) return candidates;
    const median = getMedian(candidates);
    lastMedian = median ?? lastMedian;
    const maxEjected = Math.floor(candidates.length * options.maxShare);
    let ejected = 0;
    const kept: Candidate[] = [];
    for (const candidate of candidates) {
      const isOut = ejected < maxEjected && judge(candidate.host, median);
      if (isOut) ejected += 1;
      else kept.push(candidate);
    }
    return kept.length > 0 ? kept : candidates;
  }

  function judge(id: HostId, median: Millis | undefined): boolean {
    const ejection = ejections.get(id);
    const now = host.now();
    if (ejection !== undefined) return !tryProbe(ejection, now);
    const isBad = (failures.get(id) ?? 0) >= FAILURES_TO_EJECT ||
      isSlow(options.loads.get(id), median);
    if (isBad) eject(id, 0);
    return isBad;
  }

  /** Lets one request through once the ejection ends, and again when it is lost. */
  function tryProbe(ejection: Ejection, now: Millis): boolean {
    if (now < ejection.until) return false;
    ejection.isProbing = true;
    ejection.until = now + options.ejectionMs;
    return true;
  }

  function isSlow(entry: LoadEntry, median: Millis | undefined): boolean {
    if (median === undefined || entry.samples < MIN_SAMPLES) return false;
    const latency = entry.latencyMs ?? 0;
    return latency > median * options.factor &&
      latency > median + MIN_EXCESS_MS;
  }

  function noteFailure(id: HostId): void {
    failures.set(id, (failures.get(id) ?? 0) + 1);
    const ejection = ejections.get(id);
    if (ejection?.isProbing) eject(id, ejection.times);
  }

  function noteAnswer(id: HostId, latencyMs: Millis): void {
    failures.delete(id);
    const ejection = ejections.get(id);
    if (!ejection?.isProbing) return;
    const limit = Math.max(
      lastMedian * options.factor,
      lastMedian + MIN_EXCESS_MS,
    );
    if (latencyMs > limit) return eject(id, ejection.times);
    ejections.delete(id);
    const entry = options.loads.get(id);
    delete entry.latencyMs;
    entry.samples = 0;
  }

  function eject(id: HostId, times: number): void {
    const doublings = Math.min(times, MAX_DOUBLINGS);
    ejections.set(id, {
      until: host.now() + options.ejectionMs * 2 ** doublings,
      times: times + 1,
      isProbing: false,
    });
  }

  function isEjected(id: HostId): boolean {
    return ejections.has(id);
  }

  function getMedian(candidates: readonly Candidate[]): Millis | undefined {
    const latencies: Millis[] = [];
    for (const { host: id } of candidates) {
      const entry = options.loads.get(id);
      if (entry.samples >= MIN_SAMPLES) latencies.push(entry.latencyMs!);
    }
    if (latencies.length < 2) return undefined;
    latencies.sort((a, b) => a - b);
    return latencies[(latencies.length - 1) >> 1];
  }
}
