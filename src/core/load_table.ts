/**
 * Load of each upstream as known to a gateway: the newest report, its age and
 * the requests that this gateway sent since. Reports arrive with guard messages.
 */

import {
  createFailureShare,
  type FailureShare,
  REPORTED_HALF_LIFE_MS,
} from "./failure_share.ts";
import type { CoreHost, HostId, LoadReport, Millis } from "./types.ts";

/** Report age at which its weight has fallen to a half, in ms. */
const REPORT_HALF_LIFE_MS = 50;
/** Weight of the newest result in the failure share. */
const FAILURE_SMOOTHING = 0.2;
/** Age at which the share of failed attempts has fallen to a half, in ms. */
const FAILURE_HALF_LIFE_MS = 2_000;
/** Weight of the newest latency in the mean. */
const LATENCY_SMOOTHING = 0.15;

/** Known load of one upstream. */
export interface LoadEntry {
  readonly host: HostId;
  report?: LoadReport;
  reportedAt: Millis;
  /** Requests of this gateway that wait for a response. */
  outstanding: number;
  /** Requests of this gateway sent since the report. */
  sentSinceReport: number;
  /** Smoothed time from sending to response as measured by this gateway, in ms. */
  latencyMs?: Millis;
  /** Attempts of this gateway. */
  readonly failures: FailureShare;
}

/** Load entries by host. */
export interface LoadTable {
  /** The entry of a host, to be read only; an empty one if nothing is recorded. */
  get(host: HostId): LoadEntry;
  /** Records a report and returns true; false if it is not newer than the known one. */
  recordReport(report: LoadReport): boolean;
  recordSend(host: HostId): void;
  /** Records whether an attempt succeeded. */
  recordResult(host: HostId, isGood: boolean): void;
  /** Records the end of an attempt; without a latency if it is not representative. */
  recordEnd(host: HostId, latencyMs?: Millis): void;
  /** Age of the newest report, in ms; Infinity if there is none. */
  getAge(entry: LoadEntry): Millis;
  /** Time until the upstream's limit allows a request of this gateway, in ms; 0 without a limit. */
  getTurnMs(entry: LoadEntry): Millis;
  /** Share of failures, from this gateway's attempts and from what the guard reported of all. */
  getFailureShare(entry: LoadEntry): number;
  /** Mean service time at the upstream, in ms; Infinity if unknown. */
  getServiceMs(host: HostId): Millis;
  /** Expected requests at the upstream: the report, decaying towards a prior, and this gateway's sends since. */
  getExpectedLoad(entry: LoadEntry, prior: number): number;
  forget(host: HostId): void;
  /** A view of this table in which nothing is recorded for some hosts. */
  without(hosts: ReadonlySet<HostId>): LoadTable;
  size(): number;
}

/** Creates an empty table. */
export function createLoadTable(host: CoreHost): LoadTable {
  const entries = new Map<HostId, LoadEntry>();
  /** Of the hosts for which nothing is recorded; it stays empty. */
  const noFailures = createFailures();
  const table: LoadTable = {
    get,
    recordReport,
    recordSend,
    recordEnd,
    recordResult,
    getFailureShare,
    getServiceMs: (id) => get(id).report?.serviceMs ?? Infinity,
    getAge: (entry) => host.now() - entry.reportedAt,
    getTurnMs: ({ report, reportedAt }) =>
      Math.max(0, reportedAt + (report?.startsInMs ?? 0) - host.now()),
    getExpectedLoad,
    forget: (id) => void entries.delete(id),
    without: (hosts) => ({
      ...table,
      get: (id) => hosts.has(id) ? createEntry(id, noFailures) : get(id),
    }),
    size: () => entries.size,
  };
  return table;

  function get(id: HostId): LoadEntry {
    return entries.get(id) ?? createEntry(id, noFailures);
  }

  function getOrAdd(id: HostId): LoadEntry {
    let entry = entries.get(id);
    if (entry === undefined) {
      entry = createEntry(id, createFailures());
      entries.set(id, entry);
    }
    return entry;
  }

  function createFailures(): FailureShare {
    return createFailureShare(host, {
      smoothing: FAILURE_SMOOTHING,
      halfLifeMs: FAILURE_HALF_LIFE_MS,
    });
  }

  function recordReport(report: LoadReport): boolean {
    const entry = getOrAdd(report.host);
    const known = entry.report;
    if (known !== undefined && !isNewer(report, known)) return false;
    if (known?.incarnation !== report.incarnation) delete entry.latencyMs;
    entry.report = report;
    entry.reportedAt = host.now();
    entry.sentSinceReport = 0;
    return true;
  }

  function recordSend(id: HostId): void {
    const entry = getOrAdd(id);
    entry.outstanding += 1;
    entry.sentSinceReport += 1;
  }

  function recordEnd(id: HostId, latencyMs?: Millis): void {
    const entry = getOrAdd(id);
    entry.outstanding = Math.max(0, entry.outstanding - 1);
    if (latencyMs === undefined) return;
    entry.latencyMs = entry.latencyMs === undefined
      ? latencyMs
      : entry.latencyMs + LATENCY_SMOOTHING * (latencyMs - entry.latencyMs);
  }

  function recordResult(id: HostId, isGood: boolean): void {
    getOrAdd(id).failures.record(isGood);
  }

  function getFailureShare(
    { failures, report, reportedAt }: LoadEntry,
  ): number {
    const reported = report?.failureShare ?? 0;
    const ageMs = host.now() - reportedAt;
    return Math.max(
      failures.get(),
      reported * 0.5 ** (ageMs / REPORTED_HALF_LIFE_MS),
    );
  }

  function getExpectedLoad(entry: LoadEntry, prior: number): number {
    const report = entry.report;
    if (report === undefined) return Math.max(prior, entry.outstanding);
    const age = host.now() - entry.reportedAt;
    const weight = 0.5 ** (age / REPORT_HALF_LIFE_MS);
    const reported = report.inFlight + report.queued;
    const expected = weight * reported + (1 - weight) * prior;
    return Math.max(expected + entry.sentSinceReport, entry.outstanding);
  }
}

function createEntry(id: HostId, failures: FailureShare): LoadEntry {
  return {
    host: id,
    reportedAt: -Infinity,
    outstanding: 0,
    sentSinceReport: 0,
    failures,
  };
}

/** Sequences increase within an incarnation; any other incarnation counts as newer. */
function isNewer(report: LoadReport, known: LoadReport): boolean {
  return report.incarnation !== known.incarnation ||
    report.sequence > known.sequence;
}
