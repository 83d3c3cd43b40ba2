/**
 * Checks the guarantees of a run against what callers and upstreams observed.
 */

import {
  CallKind,
  type CallRecord,
  type Departure,
  type Evacuation,
  FaultKind,
  Guarantee,
  type HeldUpSpan,
  type History,
  type InjectedFault,
  type LimitSpan,
  type RunRecord,
  type StarvedSpan,
  type Verdict,
  VersionRoute,
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
/** Span in which requests are counted against a limit, in ms. */
const LIMIT_SPAN_MS = 4_000;
/** Time from passing on a limit until it binds a host, in ms. */
const LIMIT_KNOWN_MS = 500;
/** What a limit allows in a span: a multiple of it, and some requests more. */
const LIMIT_FACTOR = 1.5;
const LIMIT_SLACK = 5;
/**
 * Time from the acknowledgement of an evacuation's key to the last request
 * there, in ms: `evacuateS`.
 */
export const EVACUATE_MS = 5_000;
/** Time in which a daemon that reaches the store learns of a change, in ms: `configS`. */
const LEARN_MS = 2_000;
/** Requests per second that a cold upstream can handle: `coldPerS`. */
export const COLD_PER_S = 12;
/** What is allowed at a cold upstream in any second: `coldOver`, a multiple of it, and `coldSlack`, some requests more. */
export const COLD_OVER = 1.5;
export const COLD_SLACK = 8;
const COLD_SPAN_MS = 1_000;
/** Upstreams that a request may end before it is known, and its retries that may reach upstreams after that. */
const FATAL_ENDS = 3;
const FATAL_RETRIES = 3;
/** Guarantees that bound a time, which a held-up process of callers, upstreams and store or a machine without a free processor makes later. */
const TIMED = new Set([
  Guarantee.InTime,
  Guarantee.NothingAfterDeparture,
  Guarantee.ConfigInForce,
  Guarantee.NothingAfterLeaving,
  Guarantee.NothingWhileEvacuated,
  Guarantee.Recovers,
]);
/** Time for which the soak is held up beside a read at the end whose 504 is not judged, in ms: half of the read's own time. */
const SPOILED_READ_MS = 1_000;
/** Names of monotonic times in the records. */
const TIME_NAMES = new Set(["at", "from", "until", "sentAt", "endedAt"]);
/** Memory beyond which the platform kills a daemon, in bytes. */
const MEMORY_LIMIT_BYTES = 250_000_000;
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
/** Faults that make a daemon forget what it was told, or that hold it up. */
const RESTARTS_AND_FREEZES = new Set([
  FaultKind.Paused,
  FaultKind.Killed,
  FaultKind.Stopped,
]);
/** Faults that excuse a host from the limits that it was told. */
const EXCUSES_FROM_LIMITS = new Set([
  ...RESTARTS_AND_FREEZES,
  FaultKind.PeersUnresponsive,
  FaultKind.PeersDropReplies,
]);
/** Faults that keep a host from hearing of a fatal request. */
const MISSES_NEWS = new Set([...EXCUSES_FROM_LIMITS, FaultKind.PeersReset]);
const RESTARTS = new Set([FaultKind.Killed, FaultKind.Stopped]);
/** Faults that keep a daemon from learning what the store has, with the time after them until it reaches the store, in ms. */
const KEEPS_FROM_LEARNING = new Map([
  [FaultKind.Paused, 0],
  // Until the daemon is ready.
  [FaultKind.Killed, 0],
  [FaultKind.Stopped, 0],
  // Its connections are lost and have to be replaced.
  [FaultKind.StoreUnresponsive, RECOVERY_MS],
  [FaultKind.StoreReset, 0],
  [FaultKind.StoreBusy, 0],
  [FaultKind.StoreCompacted, 0],
  [FaultKind.StoreRolledBack, 0],
]);
/** Faults that affect every host. */
const FLEET_FAULTS = new Set([
  FaultKind.StoreBusy,
  FaultKind.StoreCompacted,
  FaultKind.StoreRolledBack,
]);
/** Planned work, and faults of the store, in which no attempt has a reason to fail. */
const HARMLESS_TO_ATTEMPTS = new Set([
  FaultKind.StoreUnresponsive,
  FaultKind.StoreReset,
  FaultKind.StoreBusy,
  FaultKind.StoreCompacted,
  FaultKind.StoreRolledBack,
  FaultKind.UpstreamCold,
  FaultKind.Stopped,
  FaultKind.Reloaded,
  FaultKind.Published,
  FaultKind.PublishedUnreadable,
]);
/** The same for a caller's connection: an evacuation may restart upstreams. */
const HARMLESS_TO_CALLS = new Set([
  ...HARMLESS_TO_ATTEMPTS,
  FaultKind.Evacuated,
]);

type Check = (history: History) => string[];

const CHECKS: Record<Guarantee, Check> = {
  [Guarantee.OwnResponse]: ({ calls }) =>
    calls
      .filter((c) => c.status === 200)
      .filter((c) => !c.isSigned || c.text !== createResponseBody(c.id))
      .map((c) => `${describe(c)} got "${c.text?.slice(0, 60)}"`),
  [Guarantee.RunsOnce]: (history) => {
    const calls = new Map(history.calls.map((c) => [c.id, c]));
    return [...groupRuns(history)]
      .filter(([id, runs]) => isOrder(calls.get(id)) && runs.length > 1)
      .map(([id, runs]) => `${id} ran ${runs.length} times`);
  },
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
  [Guarantee.InTime]: (history) => {
    const runs = groupRuns(history);
    return history.calls
      .filter((c) =>
        (c.endedAt ?? Infinity) - c.sentAt > c.timeoutMs + RESPONSE_TOLERANCE_MS
      )
      .filter((c) =>
        !isDisturbed(history, c) ||
        c.hasGivenUp === true && runs.has(c.id) &&
          hasOnly(history, c, HARMLESS_TO_CALLS)
      )
      .map((c) => `${describe(c)} of ${c.timeoutMs} ms`);
  },
  [Guarantee.ServesWhileStopping]: (history) => {
    const runs = groupRuns(history);
    return history.calls
      .filter((c) => runs.has(c.id))
      .filter((c) =>
        c.error !== undefined && c.hasGivenUp !== true &&
          hasOnly(history, c, HARMLESS_TO_CALLS) ||
        c.status === 502 && !c.isSigned &&
          hasOnly(history, c, HARMLESS_TO_ATTEMPTS)
      )
      .map((c) => `${describe(c)}: ${c.error ?? "attempt broken off"}`);
  },
  [Guarantee.AnswersInOrder]: ({ calls, strays }) => [
    ...calls
      .filter(({ id, answeredId = id }) => answeredId !== id)
      .map((c) => `${describe(c)} got the answer to ${c.answeredId}`),
    ...strays.map(({ host, bytes }) =>
      `host ${host}: "${bytes.slice(0, 60)}" with no request waiting`
    ),
  ],
  [Guarantee.NothingAfterDeparture]: (history) => {
    const calls = new Map(history.calls.map((c) => [c.id, c]));
    return history.runs.filter((run) => {
      const left = history.departures.find((d) => d.instance === run.instance);
      const call = calls.get(run.id);
      if (left === undefined || run.at <= left.at + DRAIN_MS) return false;
      if (wasLost(history, left)) return false;
      return call !== undefined && !isDisturbed(history, call, run.at);
    }).map((r) => `${r.id} ran at ${r.instance}`);
  },
  [Guarantee.ConfigInForce]: (history) => [
    ...history.finals
      .filter((f) => f.newestRoute === 404 || f.droppedRoute !== 404)
      .map((f) =>
        `host ${f.host}: newest ${f.newestRoute}, dropped ${f.droppedRoute}`
      ),
    ...findVersionCalls(history, VersionRoute.Added)
      .filter(({ call, publishedAt }) =>
        call.status === 404 &&
        hasLearned(history.injected, call.host, {
          from: publishedAt,
          until: call.sentAt,
        }) && !mayHaveOldCopy(history, call, publishedAt)
      )
      .map(({ call }) => `${describe(call)} on version ${call.version}`),
  ],
  [Guarantee.UnreadableRefused]: (history) => [
    ...history.finals
      .filter((f) => f.unreadableRoute !== 503)
      .map((f) => `host ${f.host}: ${f.unreadableRoute}`),
    ...findVersionCalls(history, VersionRoute.Unreadable)
      .filter(({ call, publishedAt, isDegraded }) =>
        isDegraded && call.status === 200 &&
        hasInForce(history, call, call.version!) &&
        !mayHaveOldCopy(history, call, publishedAt)
      )
      .map(({ call }) => `${describe(call)} on version ${call.version}`),
  ],
  [Guarantee.VersionsAdvance]: (history) =>
    history.calls
      .filter((c) =>
        c.route === VersionRoute.Added && c.status === 200 &&
        hasInForce(history, c, c.version! + 1) &&
        !mayHaveOldCopy(history, c, -Infinity)
      )
      .map((c) => `${describe(c)} on version ${c.version}`),
  [Guarantee.Recovers]: ({ finals }) =>
    finals.flatMap(({ host, reads }) =>
      reads.flatMap((status, index) =>
        status === 200 ? [] : [`host ${host}: read ${index} got ${status}`]
      )
    ),
  [Guarantee.StaysUp]: ({ unexpectedExits }) =>
    unexpectedExits.map((e) => `host ${e.host}: ${e.lines.join(" | ")}`),
  [Guarantee.RetriesBounded]: ({ calls, fatalCalls, arrivals }) => {
    const count = calls.length + fatalCalls.length;
    const most = count * (1 + RETRY_RATIO) + RETRY_SLACK;
    return arrivals.length > most
      ? [`${arrivals.length} arrivals for ${count} requests`]
      : [];
  },
  [Guarantee.FatalBounded]: (history) => {
    const third = history.ends[FATAL_ENDS - 1] ?? Infinity;
    const calls = new Map(history.fatalCalls.map((c) => [c.id, c]));
    const later = history.arrivals.filter(({ id, at, isMisdirected }) => {
      const call = calls.get(id);
      // Daemons tell each other without the store, whose faults excuse nothing.
      return call !== undefined && isMisdirected !== true &&
        at > third + RECOVERY_MS &&
        !hasFault(history, call, MISSES_NEWS, call.sentAt - RECOVERY_MS);
    });
    return later.length > FATAL_RETRIES
      ? [`${later.length} arrivals, ${history.ends.length} ends`]
      : [];
  },
  [Guarantee.LimitKept]: (history) =>
    history.limits.flatMap((limit) => {
      const { instance, limitPerS } = limit;
      const allowed = LIMIT_FACTOR * limitPerS * LIMIT_SPAN_MS / 1_000 +
        LIMIT_SLACK;
      const times = findBoundArrivals(history, limit);
      const most = countMostInSpan(times, LIMIT_SPAN_MS);
      return most > allowed
        ? [`${instance} got ${most} of ${limitPerS} a second in 4 s`]
        : [];
    }),
  [Guarantee.NothingAfterLeaving]: (history) => {
    const calls = new Map(history.calls.map((c) => [c.id, c]));
    const told = findTold(history.calls, (c) => c.statesLeaving === true);
    return history.arrivals.filter(({ id, instance }) => {
      const call = calls.get(id);
      const toldAt = call && told.get(`${call.host} ${instance}`);
      return toldAt !== undefined && call!.sentAt > toldAt + DRAIN_MS &&
        !hasFault(history, call!, RESTARTS_AND_FREEZES, toldAt);
    }).map((a) => `${a.id} reached ${a.instance}`);
  },
  [Guarantee.NothingWhileEvacuated]: (history) => {
    const calls = new Map(history.calls.map((c) => [c.id, c]));
    return history.evacuations.flatMap((evacuation) => {
      const { zone, from, until } = evacuation;
      return history.arrivals.filter((a) => {
        const call = calls.get(a.id);
        return a.zone === zone && a.isMisdirected !== true &&
          a.at > from + EVACUATE_MS && a.at < until && call !== undefined &&
          knowsEvacuation(history, call, evacuation, a.at);
      }).map((a) =>
        `${a.id} reached ${a.instance} ${Math.round(a.at - from)} ms after`
      );
    });
  },
  [Guarantee.EndlessClosed]: ({ endlessOpen }) => [...endlessOpen],
  [Guarantee.MemoryBounded]: ({ peakMemory }) =>
    peakMemory
      .filter((p) => p.bytes > MEMORY_LIMIT_BYTES)
      .map((p) => `host ${p.host}: ${p.bytes} bytes`),
  [Guarantee.ColdBoundKept]: ({ arrivals, coldSpans }) =>
    coldSpans.flatMap(({ instance, from, until }) => {
      const times = arrivals.filter((a) =>
        a.instance === instance && a.isMisdirected !== true && a.at >= from &&
        a.at <= until
      ).map((a) => a.at);
      const most = countMostInSpan(times, COLD_SPAN_MS);
      return most > COLD_PER_S * COLD_OVER + COLD_SLACK
        ? [`${instance} got ${most} in a second from ${Math.round(from)} ms`]
        : [];
    }),
};

/** Requests on a route of the version that was the newest until they ended. */
function findVersionCalls(
  { calls, publications }: History,
  route: VersionRoute,
): { call: CallRecord; publishedAt: number; isDegraded: boolean }[] {
  return calls.filter((c) => c.route === route).flatMap((call) => {
    const own = publications.find((p) => p.version === call.version);
    const next = publications.find((p) => p.version === call.version! + 1);
    return own !== undefined && call.endedAt! < (next?.at ?? Infinity)
      ? [{ call, publishedAt: own.at, isDegraded: own.isDegraded }]
      : [];
  });
}

/** True if a host has served a route of a version, or of a later one, before a request was sent. */
function hasInForce(
  { calls }: History,
  { host, sentAt }: CallRecord,
  version: number,
): boolean {
  return calls.some((c) =>
    c.host === host && c.route === VersionRoute.Added && c.status === 200 &&
    c.version! >= version && c.endedAt! < sentAt
  );
}

/** True if a daemon may have started with an older copy of the store since a time in ms, and not have learned since what it lacks. */
function mayHaveOldCopy(
  { injected }: History,
  { host, sentAt, endedAt = Infinity }: CallRecord,
  since: number,
): boolean {
  return injected.some((lost) =>
    lost.kind === FaultKind.StoreRolledBack && lost.until >= since &&
    lost.from <= endedAt && sentAt <= lost.until + EVACUATE_MS &&
    injected.some((f) =>
      RESTARTS.has(f.kind) && f.host === host && f.until >= lost.from &&
      f.from <= lost.until
    )
  );
}

/**
 * True if the daemon that sent a request to an upstream had to know of an
 * evacuation. A daemon that starts learns it before it serves, except from an
 * older copy of the store.
 */
function knowsEvacuation(
  history: History,
  call: CallRecord,
  { from }: Evacuation,
  at: number,
): boolean {
  const { injected } = history;
  const { host, sentAt } = call;
  const latest = Math.max(sentAt, at - (EVACUATE_MS - LEARN_MS));
  return !mayHaveOldCopy(history, call, from) &&
    hasLearned(injected, host, { from, until: latest });
}

/** True if a daemon reached the store for long enough in a span to learn what it has. */
function hasLearned(
  injected: readonly InjectedFault[],
  host: number,
  { from, until }: { from: number; until: number },
): boolean {
  let reachableFrom = from;
  const faults = injected.filter((f) =>
    KEEPS_FROM_LEARNING.has(f.kind) && f.from < until &&
    (FLEET_FAULTS.has(f.kind) || f.host === host)
  );
  for (const fault of faults.sort((a, b) => a.from - b.from)) {
    if (fault.from - reachableFrom >= LEARN_MS) return true;
    reachableFrom = Math.max(
      reachableFrom,
      fault.until + KEEPS_FROM_LEARNING.get(fault.kind)!,
    );
  }
  return until - reachableFrom >= LEARN_MS;
}

/** Time at which each host first passed on a response of an instance, by host and instance. */
function findTold(
  calls: readonly CallRecord[],
  states: (call: CallRecord) => boolean,
): Map<string, number> {
  const told = new Map<string, number>();
  for (const call of calls) {
    if (!states(call)) continue;
    const key = `${call.host} ${call.instance}`;
    told.set(key, Math.min(told.get(key) ?? Infinity, call.endedAt!));
  }
  return told;
}

/** Times of the arrivals that a limit binds. */
function findBoundArrivals(history: History, limit: LimitSpan): number[] {
  const { instance, from, until } = limit;
  const calls = new Map(history.calls.map((c) => [c.id, c]));
  const told = findTold(
    history.calls.filter((c) => c.sentAt > from - RECOVERY_MS),
    (c) => c.statesLimit === true && c.instance === instance,
  );
  const namedAt = Math.min(...told.values());
  return history.arrivals.filter((a) => {
    const call = calls.get(a.id);
    const toldAt = call && told.get(`${call.host} ${instance}`);
    return a.instance === instance && a.at >= from &&
      a.at >= namedAt + RECOVERY_MS && a.at <= until && toldAt !== undefined &&
      a.at >= toldAt + LIMIT_KNOWN_MS &&
      !hasFault(history, call!, EXCUSES_FROM_LIMITS, toldAt);
  }).map((a) => a.at);
}

function countMostInSpan(times: readonly number[], spanMs: number): number {
  const counts = times.map((from) =>
    times.filter((at) => at >= from && at < from + spanMs).length
  );
  return Math.max(0, ...counts);
}

/** True if one of the faults affected the caller's host since a time in ms, until the request ended. */
function hasFault(
  { injected }: History,
  call: CallRecord,
  kinds: ReadonlySet<FaultKind>,
  since: number,
): boolean {
  return injected.some((f) =>
    kinds.has(f.kind) && f.host === call.host && f.until >= since &&
    f.from <= (call.endedAt ?? Infinity)
  );
}

/** True if the store lost a departure before all daemons had to know it. */
function wasLost({ injected }: History, left: Departure): boolean {
  return injected.some((f) =>
    f.kind === FaultKind.StoreRolledBack && f.until >= left.at &&
    f.from <= left.at + DRAIN_MS
  );
}

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

/**
 * The violations of a run; those of bounds in time that disappear without the
 * time in which the soak's process was held up, or in which a request's daemon
 * got no processor, can't be judged.
 */
export function judge(history: History): Verdict {
  const found = findViolations(history);
  const kept = new Set(
    findViolations(leaveOutHeldUp(history)).map(withoutTimes),
  );
  const isUnjudged = (v: Violation) =>
    TIMED.has(v.guarantee) && !kept.has(withoutTimes(v));
  return {
    violations: found.filter((v) => !isUnjudged(v)),
    unjudged: found.filter(isUnjudged),
  };
}

function withoutTimes({ guarantee, detail }: Violation): string {
  return `${guarantee}: ${detail.replaceAll(/-?\d+ ms/g, "")}`;
}

/** The same observations by a clock that stands still while the soak's process is held up; answers come earlier by what their daemon waited for a processor. */
function leaveOutHeldUp(history: History): History {
  const { heldUp, starved } = history;
  const shift = <T extends object>(record: T): T =>
    Object.fromEntries(
      Object.entries(record).map(([name, value]) => [
        name,
        TIME_NAMES.has(name) ? value - sumUntil(heldUp, value) : value,
      ]),
    ) as T;
  const shifted = Object.fromEntries(
    Object.entries(history).map(([name, records]) => [
      name,
      records.map((it: unknown) =>
        typeof it === "object" ? shift(it as object) : it
      ),
    ]),
  ) as unknown as History;
  const calls = history.calls.map((call) => {
    const shiftedCall = shift(call);
    if (call.endedAt === undefined) return shiftedCall;
    const endedAt = shiftedCall.endedAt! - sumStarved(starved, call);
    return { ...shiftedCall, endedAt };
  });
  const ends = history.ends.map((at) => at - sumUntil(heldUp, at));
  const finals = history.finals.map((state) => {
    const heldUpMs = sumUntil(heldUp, state.until) -
      sumUntil(heldUp, state.from);
    if (heldUpMs < SPOILED_READ_MS) return state;
    return { ...state, reads: state.reads.map((s) => s === 504 ? 200 : s) };
  });
  return { ...shifted, calls, ends, finals };
}

/** Time that a request's daemon waited for a processor during it, in ms. */
function sumStarved(
  starved: readonly StarvedSpan[],
  { host, sentAt, endedAt = Infinity }: CallRecord,
): number {
  return starved.filter((s) => s.host === host).reduce((sum, s) => {
    const commonMs = Math.min(s.until, endedAt) - Math.max(s.from, sentAt);
    return sum + Math.max(0, Math.min(s.waitedMs, commonMs));
  }, 0);
}

/** Time in spans before a time, in ms. */
function sumUntil(spans: readonly HeldUpSpan[], at: number): number {
  return spans.reduce(
    (sum, { from, until }) => sum + Math.max(0, Math.min(until, at) - from),
    0,
  );
}

function isOrder(call: CallRecord | undefined): boolean {
  return call !== undefined && call.kind !== CallKind.Read;
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

/** True if no fault of another kind was around a request, at any host. */
function hasOnly(
  { injected }: History,
  call: CallRecord,
  kinds: ReadonlySet<FaultKind>,
): boolean {
  return !injected.some((f) =>
    !kinds.has(f.kind) && f.from <= call.endedAt! &&
    f.until >= call.sentAt - RECOVERY_MS
  );
}

function describe(call: CallRecord): string {
  const took = Math.round((call.endedAt ?? NaN) - call.sentAt);
  return `${call.kind} ${call.id} at host ${call.host} ` +
    `(status ${call.status ?? "none"} after ${took} ms)`;
}
