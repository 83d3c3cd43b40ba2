/**
 * What a gateway knows of each upstream's load: the newest report, its age, and
 * the requests that this gateway sent since. Reports ride on guard messages.
 */

import type { CoreHost, HostId, LoadReport, Millis } from "./types.ts";

/** Report age at which only half of it is believed, in ms. */
const REPORT_HALF_LIFE_MS = 50;
const FAILURE_SMOOTHING = 0.2;
const FAILURE_HALF_LIFE_MS = 2_000;
const LATENCY_SMOOTHING = 0.15;

/** Knowledge of one upstream. */
export interface LoadEntry {
  readonly host: HostId;
  report?: LoadReport;
  reportedAt: Millis;
  /** Requests of this gateway that wait for an answer. */
  unanswered: number;
  /** Requests of this gateway sent since the report. */
  sentSinceReport: number;
  /** Mean time from sending to answer as this gateway sees it, in ms. */
  latencyMs?: Millis;
  samples: number;
  lastUsedAt: Millis;
  /** Share of recent attempts without a good answer, as of failureAt. */
  failureShare: number;
  failureAt: Millis;
}

/** Loads by host. */
export interface LoadBook {
  get(host: HostId): LoadEntry;
  /** Takes a report unless a newer one of that host is known. */
  takeReport(report: LoadReport): boolean;
  noteSent(host: HostId): void;
  /** Notes whether an attempt got a good answer. */
  noteResult(host: HostId, isGood: boolean): void;
  /** Notes the end of an attempt; latency is left out where it says nothing. */
  noteEnded(host: HostId, latencyMs?: Millis): void;
  getAge(entry: LoadEntry): Millis;
  getFailureShare(entry: LoadEntry): number;
  /** Mean time of one request at the upstream, in ms; Infinity where unknown. */
  getServiceMs(host: HostId): Millis;
  /** Expected requests at the upstream: the decayed report and our own sends. */
  getExpectedLoad(entry: LoadEntry, prior: number): number;
  forget(host: HostId): void;
  forEachEntry(visit: (entry: LoadEntry) => void): void;
  size(): number;
}

/** Creates an empty book. */
export function createLoadBook(host: CoreHost): LoadBook {
  const entries = new Map<HostId, LoadEntry>();
  return {
    get,
    takeReport,
    noteSent,
    noteEnded,
    noteResult,
    getFailureShare,
    getServiceMs: (id) => get(id).report?.serviceMs ?? Infinity,
    getAge: (entry) => host.now() - entry.reportedAt,
    getExpectedLoad,
    forget: (id) => void entries.delete(id),
    forEachEntry: (visit) => entries.forEach(visit),
    size: () => entries.size,
  };

  function get(id: HostId): LoadEntry {
    let entry = entries.get(id);
    if (entry === undefined) {
      entry = {
        host: id,
        reportedAt: -Infinity,
        unanswered: 0,
        sentSinceReport: 0,
        samples: 0,
        failureShare: 0,
        failureAt: -Infinity,
        lastUsedAt: -Infinity,
      };
      entries.set(id, entry);
    }
    return entry;
  }

  function takeReport(report: LoadReport): boolean {
    const entry = get(report.host);
    const known = entry.report;
    if (known !== undefined && !isNewer(report, known)) return false;
    if (known?.incarnation !== report.incarnation) {
      delete entry.latencyMs;
      entry.samples = 0;
    }
    entry.report = report;
    entry.reportedAt = host.now();
    entry.sentSinceReport = 0;
    return true;
  }

  function noteSent(id: HostId): void {
    const entry = get(id);
    entry.unanswered += 1;
    entry.sentSinceReport += 1;
    entry.lastUsedAt = host.now();
  }

  function noteEnded(id: HostId, latencyMs?: Millis): void {
    const entry = get(id);
    entry.unanswered = Math.max(0, entry.unanswered - 1);
    if (latencyMs === undefined) return;
    entry.samples += 1;
    entry.latencyMs = entry.latencyMs === undefined
      ? latencyMs
      : entry.latencyMs + LATENCY_SMOOTHING * (latencyMs - entry.latencyMs);
  }

  function noteResult(id: HostId, isGood: boolean): void {
    const entry = get(id);
    const sample = isGood ? 0 : 1;
    const share = getFailureShare(entry);
    entry.failureShare = share + FAILURE_SMOOTHING * (sample - share);
    entry.failureAt = host.now();
  }

  /** Old failures count less, so that an upstream that recovered is tried. */
  function getFailureShare(entry: LoadEntry): number {
    const age = host.now() - entry.failureAt;
    return entry.failureShare * 0.5 ** (age / FAILURE_HALF_LIFE_MS);
  }

  function getExpectedLoad(entry: LoadEntry, prior: number): number {
    const report = entry.report;
    if (report === undefined) return Math.max(prior, entry.unanswered);
    const age = host.now() - entry.reportedAt;
    const trust = 0.5 ** (age / REPORT_HALF_LIFE_MS);
    const reported = report.inFlight + report.queued;
    const believed = trust * reported + (1 - trust) * prior;
    return Math.max(believed + entry.sentSinceReport, entry.unanswered);
  }
}

/** Within one incarnation sequences rise; another incarnation is taken as newer. */
function isNewer(report: LoadReport, known: LoadReport): boolean {
  return report.incarnation !== known.incarnation ||
    report.sequence > known.sequence;
}
