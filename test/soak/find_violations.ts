/**
 * Checks the guarantees of a run against what callers and upstreams observed.
 */

import {
  CallKind,
  type CallRecord,
  FaultKind,
  Guarantee,
  type History,
  type RunRecord,
  type Violation,
} from "./types.ts";

/**
 * Time for which a response may exceed the caller's timeout, in ms: the
 * platform's bound on deadlines.
 */
const RESPONSE_TOLERANCE_MS = 500;
/**
 * Time for a host to recover from a fault, in ms: `stableS` of the platform.
 */
const RECOVERY_MS = 3_000;
/** Time from the listing as draining to the last request, in ms: `drainS`. */
const DRAIN_MS = 2_000;
/**
 * The shared retry budget: a share of the requests, and a slack for the whole
 * fleet.
 */
const RETRY_RATIO = 0.2;
const RETRY_SLACK = 60;
/** Statuses that guarantee that a request has not run and never will. */
const NOT_RUN = new Set([408, 421, 429, 503]);

/** Faults of a host's daemon, its links or its connection to the store. */
const HOST_FAULTS = new Set([
  FaultKind.PeersSlow,
  FaultKind.PeersReset,
  FaultKind.PeersUnresponsive,
  FaultKind.PeersDropReplies,
  FaultKind.StoreUnresponsive,
  FaultKind.StoreReset,
  FaultKind.StoreBusy,
  FaultKind.StoreCompacted,
  FaultKind.Paused,
  FaultKind.Killed,
  FaultKind.Stopped,
]);
/** Faults that affect every host. */
const FLEET_FAULTS = new Set([FaultKind.StoreBusy, FaultKind.StoreCompacted]);
const HARMLESS_TO_CALLS = new Set([
  FaultKind.Stopped,
  FaultKind.Reloaded,
  FaultKind.Published,
]);

type Check = (history: History) => string[];

const CHECKS: Record<Guarantee, Check> = {
  [Guarantee.OwnResponse]: ({ calls }) =>
    calls
      .filter((c) => c.status === 200)
      .filter((c) => !c.isSigned || c.text !== createResponseBody(c.id))
      .map((c) => `${describe(c)} got "${c.text?.slice(0, 60)}"`),
  [Guarantee.RunsOnce]: (history) =>
    [...groupRuns(history)]
      .filter(([id, runs]) => isOrder(findCall(history, id)) && runs.length > 1)
      .map(([id, runs]) => `${id} ran ${runs.length} times`),
  [Guarantee.RefusedNeverRuns]: (history) => {
    const runs = groupRuns(history);
    return history.calls
      .filter((c) => isOrder(c) && NOT_RUN.has(c.status!) && runs.has(c.id))
      .map((c) => `${describe(c)} and ran`);
  },
  [Guarantee.RunsUnchanged]: (history) => {
    const calls = new Map(history.calls.map((c) => [c.id, c]));
    return history.runs
      .filter((r) => calls.get(r.id)?.body !== r.body)
      .map((r) => `${r.id} ran at ${r.instance} with ${r.body.length} bytes`);
  },
  [Guarantee.InTime]: (history) =>
    history.calls
      .filter((c) => !isDisturbed(history, c))
      .filter((c) =>
        (c.endedAt ?? Infinity) - c.sentAt > c.timeoutMs + RESPONSE_TOLERANCE_MS
      )
      .map((c) => `${describe(c)} of ${c.timeoutMs} ms`),
  [Guarantee.ServesWhileStopping]: (history) => {
    const runs = groupRuns(history);
    return history.calls
      .filter((c) => c.error !== undefined && runs.has(c.id))
      .filter((c) => hasOnlyHarmlessFaults(history, c))
      .map((c) => `${describe(c)}: ${c.error}`);
  },
  [Guarantee.NothingAfterDeparture]: (history) => {
    const calls = new Map(history.calls.map((c) => [c.id, c]));
    return history.runs.filter((run) => {
      const left = history.departures.find((d) => d.instance === run.instance);
      const call = calls.get(run.id);
      if (left === undefined || run.at <= left.at + DRAIN_MS) return false;
      return call !== undefined && !isDisturbed(history, call, run.at);
    }).map((r) => `${r.id} ran at ${r.instance}`);
  },
  [Guarantee.ConfigInForce]: ({ finals }) =>
    finals
      .filter((f) => f.newestRoute === 404 || f.droppedRoute !== 404)
      .map((f) =>
        `host ${f.host}: newest ${f.newestRoute}, dropped ${f.droppedRoute}`
      ),
  [Guarantee.Recovers]: ({ finals }) =>
    finals
      .filter((f) => f.reads.filter((s) => s === 200).length < f.reads.length)
      .map((f) => `host ${f.host}: ${f.reads.join(" ")}`),
  [Guarantee.StaysUp]: ({ unexpectedExits }) =>
    unexpectedExits.map((e) => `host ${e.host}: ${e.lines.join(" | ")}`),
  [Guarantee.RetriesBounded]: ({ calls, arrivals }) => {
    const most = calls.length * (1 + RETRY_RATIO) + RETRY_SLACK;
    return arrivals > most
      ? [`${arrivals} arrivals for ${calls.length} requests`]
      : [];
  },
};

/** Body of an upstream's response to a request. */
export function createResponseBody(id: string): string {
  return `the answer to ${id}`;
}

/** All violations of guarantees in a run. */
export function findViolations(history: History): Violation[] {
  return Object.values(Guarantee).flatMap((guarantee) =>
    CHECKS[guarantee](history).map((detail) => ({ guarantee, detail }))
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

/**
 * True if a fault affected the caller's host during the request or shortly
 * before.
 */
function isDisturbed(
  { injected }: History,
  call: CallRecord,
  until = call.endedAt ?? Infinity,
): boolean {
  return injected.some((f) =>
    HOST_FAULTS.has(f.kind) &&
    (FLEET_FAULTS.has(f.kind) || f.host === call.host) &&
    f.from <= until && f.until >= call.sentAt - RECOVERY_MS
  );
}

/**
 * True if stops, reloads and published configurations were the only faults
 * around a request.
 */
function hasOnlyHarmlessFaults(
  { injected }: History,
  call: CallRecord,
): boolean {
  return !injected.some((f) =>
    !HARMLESS_TO_CALLS.has(f.kind) && f.from <= call.endedAt! &&
    f.until >= call.sentAt - RECOVERY_MS
  );
}

function describe(call: CallRecord): string {
  const took = Math.round((call.endedAt ?? NaN) - call.sentAt);
  return `${call.kind} ${call.id} at host ${call.host} ` +
    `(status ${call.status ?? "none"} after ${took} ms)`;
}
