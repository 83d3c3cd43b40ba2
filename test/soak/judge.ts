/** Judges a run by what callers and upstreams saw. */

import {
  CallKind,
  type CallRecord,
  FaultKind,
  type History,
  Promised,
  type RunRecord,
  type Violation,
} from "./types.ts";

/** Time for an answer beyond the caller's own, in ms: the platform's bound on deadlines. */
const LATE_MS = 500;
/** Time that a disturbed host is given to settle, in ms: `stableS` of the platform. */
const SETTLE_MS = 3_000;
/** Time from the store's word on a departure to the last request, in ms: `drainS`. */
const DRAIN_MS = 2_000;
/** Shared budget: a fifth of the requests, and a slack for the whole fleet. */
const RETRY_RATIO = 0.2;
const RETRY_SLACK = 60;
/** Statuses that promise that a request has not run and never will. */
const NOT_RUN = new Set([408, 421, 429, 503]);

/** Faults of a host's own process, its links or its store. */
const OF_HOST = new Set([
  FaultKind.PeersSlow,
  FaultKind.PeersReset,
  FaultKind.PeersSilent,
  FaultKind.PeersDeaf,
  FaultKind.StoreCut,
  FaultKind.StoreReset,
  FaultKind.StoreBusy,
  FaultKind.StoreCompacted,
  FaultKind.Paused,
  FaultKind.Killed,
  FaultKind.Stopped,
]);
/** Faults that reach every host. */
const OF_ALL = new Set([FaultKind.StoreBusy, FaultKind.StoreCompacted]);
const HARMLESS_TO_CALLS = new Set([
  FaultKind.Stopped,
  FaultKind.Reloaded,
  FaultKind.Published,
]);

type Check = (history: History) => string[];

const CHECKS: Record<Promised, Check> = {
  [Promised.OwnAnswer]: ({ calls }) =>
    calls
      .filter((c) => c.status === 200)
      .filter((c) => !c.isSigned || c.text !== createAnswer(c.id))
      .map((c) => `${describe(c)} got "${c.text?.slice(0, 60)}"`),
  [Promised.RunsOnce]: (history) =>
    [...groupRuns(history)]
      .filter(([id, runs]) => isOrder(findCall(history, id)) && runs.length > 1)
      .map(([id, runs]) => `${id} ran ${runs.length} times`),
  [Promised.RefusedNeverRuns]: (history) => {
    const runs = groupRuns(history);
    return history.calls
      .filter((c) => isOrder(c) && NOT_RUN.has(c.status!) && runs.has(c.id))
      .map((c) => `${describe(c)} and ran`);
  },
  [Promised.OnlyAsked]: (history) => {
    const calls = new Map(history.calls.map((c) => [c.id, c]));
    return history.runs
      .filter((r) => calls.get(r.id)?.body !== r.body)
      .map((r) => `${r.id} ran at ${r.instance} with ${r.body.length} bytes`);
  },
  [Promised.InTime]: (history) =>
    history.calls
      .filter((c) => !isDisturbed(history, c))
      .filter((c) => (c.endedAt ?? Infinity) - c.sentAt > c.timeoutMs + LATE_MS)
      .map((c) => `${describe(c)} of ${c.timeoutMs} ms`),
  [Promised.ServesWhileStopping]: (history) => {
    const runs = groupRuns(history);
    return history.calls
      .filter((c) => c.error !== undefined && runs.has(c.id))
      .filter((c) => isCalmButStopping(history, c))
      .map((c) => `${describe(c)}: ${c.error}`);
  },
  [Promised.LeftAlone]: (history) => {
    const calls = new Map(history.calls.map((c) => [c.id, c]));
    return history.runs.filter((run) => {
      const left = history.leavings.find((l) => l.instance === run.instance);
      const call = calls.get(run.id);
      if (left === undefined || run.at <= left.at + DRAIN_MS) return false;
      return call !== undefined && !isDisturbed(history, call, run.at);
    }).map((r) => `${r.id} ran at ${r.instance}`);
  },
  [Promised.ChangesHold]: ({ finals }) =>
    finals
      .filter((f) => f.newestRoute === 404 || f.droppedRoute !== 404)
      .map((f) =>
        `host ${f.host}: newest ${f.newestRoute}, dropped ${f.droppedRoute}`
      ),
  [Promised.Recovers]: ({ finals }) =>
    finals
      .filter((f) => f.reads.filter((s) => s === 200).length < f.reads.length)
      .map((f) => `host ${f.host}: ${f.reads.join(" ")}`),
  [Promised.StaysUp]: ({ ownEnds }) =>
    ownEnds.map((e) => `host ${e.host}: ${e.lines.join(" | ")}`),
  [Promised.RetriesBounded]: ({ calls, arrivals }) => {
    const most = calls.length * (1 + RETRY_RATIO) + RETRY_SLACK;
    return arrivals > most
      ? [`${arrivals} arrivals for ${calls.length} requests`]
      : [];
  },
};

/** The body that an upstream of the soak answers with. */
export function createAnswer(id: string): string {
  return `the answer to ${id}`;
}

/** All promises that a run broke. */
export function judge(history: History): Violation[] {
  return Object.values(Promised).flatMap((promise) =>
    CHECKS[promise](history).map((detail) => ({ promise, detail }))
  );
}

function isOrder(call: CallRecord | undefined): boolean {
  return call !== undefined && call.kind !== CallKind.Read;
}

function findCall(history: History, id: string): CallRecord | undefined {
  return history.calls.find((c) => c.id === id);
}

function groupRuns({ runs }: History): Map<string, RunRecord[]> {
  const groups = new Map<string, RunRecord[]>();
  for (const run of runs) {
    groups.set(run.id, [...groups.get(run.id) ?? [], run]);
  }
  return groups;
}

/** True where the caller's host was disturbed at the time or shortly before. */
function isDisturbed(
  { injected }: History,
  call: CallRecord,
  until = call.endedAt ?? Infinity,
): boolean {
  return injected.some((f) =>
    OF_HOST.has(f.kind) && (OF_ALL.has(f.kind) || f.host === call.host) &&
    f.from <= until && f.until >= call.sentAt - SETTLE_MS
  );
}

/** True where nothing but stops, reloads and changes happened anywhere. */
function isCalmButStopping({ injected }: History, call: CallRecord): boolean {
  return !injected.some((f) =>
    !HARMLESS_TO_CALLS.has(f.kind) && f.from <= call.endedAt! &&
    f.until >= call.sentAt - SETTLE_MS
  );
}

function describe(call: CallRecord): string {
  const took = Math.round((call.endedAt ?? NaN) - call.sentAt);
  return `${call.kind} ${call.id} at host ${call.host} ` +
    `(status ${call.status ?? "none"} after ${took} ms)`;
}
