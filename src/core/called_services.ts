/**
 * Decides whether a request may start whose kind makes calls to other services.
 *
 * Load pattern "calls refused": a request runs for a while and then makes calls
 * through the daemon beside it. If the called service has no room, the work
 * done so far is lost, and the slot was taken from requests that could end.
 *
 * A guard learns from the ends of its own runs: a run that fails just after a
 * call of its upstream's daemon was refused is lost. Once a notable share of a
 * kind's runs is lost, starts of the kind are clocked by its good ends, as TCP
 * clocks packets by acknowledgements: a good end allows one and a half
 * starts, a lost run allows none, and a few starts are always allowed. Starts
 * thus follow what the called service can take, without steps that could
 * oscillate. Without recent losses nothing is held.
 */

import type { LoadEntry } from "./load_table.ts";
import type { CoreHost, Millis, ServiceName } from "./types.ts";

/** Time after which the weight of an ended run has fallen to a half, in ms; several runs of the longest work (375 ms). */
const HALF_LIFE_MS = 1_000;
/** Recent lost runs, at least, before starts of a kind are held: a few refused calls stop nothing. */
const MIN_LOST = 3;
/**
 * Share of lost runs from which starts are held. At an eighth or a quarter,
 * callers of a fleet with free slots lost more to holding than to lost runs.
 */
const HOLD_SHARE = 1 / 3;
/**
 * Recent lost runs below which holding ends, some seconds after the last loss. Clocked starts have reached what the called service takes by then;
 * resuming at a share of lost runs made starts swing between all and none.
 */
const MIN_FRESH_LOST = 0.5;
/** Starts that a good end allows: a third of them is lost while the called service is full, as at HOLD_SHARE. */
const STARTS_PER_GOOD_END = 1 / (1 - HOLD_SHARE);
/**
 * Time between starts that are allowed whatever was lost, in ms, below the
 * longest objective of callers (1,500 ms). At 250 ms a small fleet lost 0.17 of
 * its requests to refused calls, at 1,000 ms 0.07.
 */
export const PROBE_INTERVAL_MS = 1_000;
/** Starts that may be saved up at least; more of them at once would be refused together. */
const MIN_SAVED_STARTS = 2;
/** As above, as a share of the weight of good ends: those of some 350 ms, a run of the longest work. */
const SAVED_STARTS_SHARE = 1 / 4;
/** Longest time from the refusal of a call to the end of the run that made it, in ms: some passes of a busy daemon. */
const BLAME_MS = 50;
/** Refusals that are kept; more in BLAME_MS are not needed to tell what is lost. */
const MAX_REFUSALS = 64;
/** Age up to which a load report shows that a called service has room, in ms. */
const ROOM_REPORT_MAX_AGE_MS = 50;
/** Kinds with evidence of their own; all others are never held. */
const MAX_KINDS = 256;

/** Evidence on a kind when its starts are held or resumed. */
export interface CalledServiceEvidence {
  readonly route: string;
  /** Service whose refused call lost the latest run. */
  readonly calledService: ServiceName;
  /** Share of recent runs that were lost. */
  readonly lostShare: number;
}

/** Settings of the decision. */
export interface CalledServicesOptions {
  /** True if fresh load reports show room at the service; false or undefined if not or if there are none. */
  hasRoom?(service: ServiceName): boolean | undefined;
  /** Called when holding the starts of a kind begins, and when it ends. */
  onChange?(isHeld: boolean, evidence: CalledServiceEvidence): void;
}

/** How a run at the upstream ended. */
export interface RunEnd {
  readonly startedAt: Millis;
  readonly isGood: boolean;
}

/** Evidence on calls of the local upstream, and what follows for its requests by kind. */
export interface CalledServices {
  /** Records a call of this daemon's callers that was not served. */
  recordRefusal(service: ServiceName, arrivedAt: Millis): void;
  recordStart(route: string | undefined): void;
  /** Records that a request which was assigned a slot did not run. */
  recordUnused(route: string | undefined): void;
  recordEnd(route: string | undefined, end: RunEnd): void;
  /** False while a start of this kind would probably be lost. */
  mayStart(route: string | undefined): boolean;
  /** Expected time until `ahead + 1` held requests of the kind have started, in ms; 0 if none is held. */
  getWaitMs(route: string | undefined, ahead: number): Millis;
  /** Kinds whose starts are held. */
  countHeld(): number;
}

/**
 * True if all fresh load reports of a service's hosts show a free slot and no
 * queue, false if one doesn't, undefined if none is fresh.
 */
export function showsRoom(
  entries: readonly LoadEntry[],
  now: Millis,
): boolean | undefined {
  const fresh = entries.filter(({ report, reportedAt }) =>
    report !== undefined && now - reportedAt <= ROOM_REPORT_MAX_AGE_MS
  );
  if (fresh.length === 0) return undefined;
  return fresh.every(({ report, sentSinceReport }) =>
    report!.queued === 0 && report!.inFlight + sentSinceReport < report!.slots
  );
}

interface Refusal {
  readonly service: ServiceName;
  readonly arrivedAt: Millis;
  readonly at: Millis;
}

/** Runs of one kind, with weights that decay. */
interface Kind {
  good: number;
  lost: number;
  decayedAt: Millis;
  calledService: ServiceName | undefined;
  isHeld: boolean;
  /** Starts that are allowed now. */
  starts: number;
  /** Time from which the next probe counts, in ms. */
  probedAt: Millis;
}

/** Creates the decision without evidence. */
export function createCalledServices(
  host: Pick<CoreHost, "now">,
  options: CalledServicesOptions = {},
): CalledServices {
  const kinds = new Map<string, Kind>();
  let refusals: Refusal[] = [];
  return {
    recordRefusal,
    recordStart,
    recordUnused: (route) => allow(route, 1),
    recordEnd,
    mayStart,
    getWaitMs,
    countHeld,
  };

  function recordRefusal(service: ServiceName, arrivedAt: Millis): void {
    const now = host.now();
    refusals = refusals.filter((it) => now - it.at <= BLAME_MS);
    if (refusals.length >= MAX_REFUSALS) refusals.shift();
    refusals.push({ service, arrivedAt, at: now });
  }

  function recordEnd(
    route: string | undefined,
    { startedAt, isGood }: RunEnd,
  ): void {
    const cause = isGood ? undefined : takeRefusal(startedAt);
    if (!isGood && cause === undefined) return allow(route, 1);
    const kind = tryGetKind(route, cause !== undefined);
    if (kind === undefined) return;
    update(route!, kind);
    if (cause === undefined) {
      kind.good += 1;
      allow(route, STARTS_PER_GOOD_END);
    } else {
      kind.lost += 1;
      kind.calledService = cause.service;
    }
    update(route!, kind);
  }

  /** Takes the oldest refusal that can have ended a run which started then. */
  function takeRefusal(startedAt: Millis): Refusal | undefined {
    const now = host.now();
    const index = refusals.findIndex((it) =>
      it.arrivedAt >= startedAt && now - it.at <= BLAME_MS
    );
    return index < 0 ? undefined : refusals.splice(index, 1)[0];
  }

  function recordStart(route: string | undefined): void {
    const kind = tryGetKind(route, false);
    if (kind?.isHeld) kind.starts = Math.max(0, kind.starts - 1);
  }

  function allow(route: string | undefined, starts: number): void {
    const kind = tryGetKind(route, false);
    if (kind?.isHeld) addStarts(kind, starts);
  }

  function addStarts(kind: Kind, starts: number): void {
    const limit = Math.max(MIN_SAVED_STARTS, kind.good * SAVED_STARTS_SHARE);
    kind.starts = Math.min(limit, kind.starts + starts);
  }

  function mayStart(route: string | undefined): boolean {
    const kind = tryGetKind(route, false);
    if (kind === undefined) return true;
    update(route!, kind);
    return !kind.isHeld || kind.starts >= 1 ||
      options.hasRoom?.(kind.calledService!) === true;
  }

  function getWaitMs(route: string | undefined, ahead: number): Millis {
    if (mayStart(route)) return 0;
    const { good, starts } = tryGetKind(route, false)!;
    const goodPerMs = good * Math.LN2 / HALF_LIFE_MS;
    const startsPerMs = goodPerMs * STARTS_PER_GOOD_END + 1 / PROBE_INTERVAL_MS;
    return (ahead + 1 - starts) / startsPerMs;
  }

  function countHeld(): number {
    let count = 0;
    for (const [route, kind] of kinds) {
      update(route, kind);
      if (kind.isHeld) count += 1;
    }
    return count;
  }

  /** Evidence on a kind; it is kept from the first lost run on. */
  function tryGetKind(
    route: string | undefined,
    isCreated: boolean,
  ): Kind | undefined {
    if (route === undefined) return undefined;
    const known = kinds.get(route);
    if (known !== undefined || !isCreated || kinds.size >= MAX_KINDS) {
      return known;
    }
    const kind: Kind = {
      good: 0,
      lost: 0,
      decayedAt: host.now(),
      calledService: undefined,
      isHeld: false,
      starts: 0,
      probedAt: host.now(),
    };
    kinds.set(route, kind);
    return kind;
  }

  function update(route: string, kind: Kind): void {
    const now = host.now();
    const weight = 0.5 ** ((now - kind.decayedAt) / HALF_LIFE_MS);
    kind.good *= weight;
    kind.lost *= weight;
    kind.decayedAt = now;
    const lostShare = kind.lost / Math.max(1, kind.good + kind.lost);
    const isHeld = kind.isHeld
      ? kind.lost >= MIN_FRESH_LOST
      : kind.lost >= MIN_LOST && lostShare >= HOLD_SHARE;
    if (isHeld !== kind.isHeld) {
      kind.isHeld = isHeld;
      kind.starts = Math.floor(kind.good * SAVED_STARTS_SHARE);
      kind.probedAt = now;
      const calledService = kind.calledService!;
      options.onChange?.(isHeld, { route, calledService, lostShare });
    }
    if (!isHeld) return;
    const probes = Math.floor((now - kind.probedAt) / PROBE_INTERVAL_MS);
    kind.probedAt += probes * PROBE_INTERVAL_MS;
    addStarts(kind, probes);
  }
}
