/**
 * Requests that ran at upstreams when these ended. Load pattern "a fatal
 * request": a request ends each upstream that begins to run it and comes again,
 * at any daemon, until no upstream of its service is left for the others. One
 * that has ended several upstreams, and succeeded nowhere since, is refused.
 *
 * An end takes down everything that runs beside its cause, so that most suspects
 * are innocent; a success shows it. What daemons know of a suspect are two sets
 * that only grow, so that they can be merged in any order.
 */

import type { Arrival, CoreHost, Millis, ServiceName } from "./types.ts";

/** Upstreams that a request may end before it is refused; the users' pages allow three. */
const MAX_ENDS = 3;
/** Time for which it is refused after the last of them, in ms; then one more end has it refused again. */
const QUARANTINE_MS = 300_000;
/** Time after which a suspect is forgotten, in ms. */
const RETENTION_MS = 3 * QUARANTINE_MS;
/** Suspects that are kept, the newest ones: some hundred ends of busy upstreams. */
const MAX_SUSPECTS = 1_024;
/**
 * Time for which a success shows that a request is none of the causes of an end,
 * in ms. Load pattern "outage": all upstreams end at once, and what callers often
 * ask for ran at several of them.
 */
const SUCCESS_MEMORY_MS = 10_000;
/** Successful requests that are remembered, the newest ones: a daemon's requests of some seconds. */
const MAX_SUCCESSES = 2_048;
/** Ends of one suspect that are kept, the newest ones. */
const MAX_KEPT_ENDS = 16;

/** What is known of one suspect. */
export interface Suspect {
  /** Digest of what identifies the request when it comes again. */
  readonly signature: string;
  /** Ends of upstreams at which it ran, each with the service of its caller. */
  readonly ends: readonly string[];
  /** Those of the ends after which a request of the same caller succeeded. */
  readonly cleared: readonly string[];
}

/** The suspects that one daemon knows. */
export interface CrashSuspects {
  /** Time for which a request is refused, in ms; undefined if it may run. */
  tryGetQuarantineMs(arrival: Arrival): Millis | undefined;
  /** Records that an upstream ended while it ran the request; `end` names that end alike at all daemons. */
  recordEnd(arrival: Pick<Arrival, "signature">, end: string): void;
  /** Records that the request succeeded. */
  recordSuccess(arrival: Arrival): void;
  /** Adds what another daemon knows; returns the signatures of which it told something new. */
  merge(suspects: readonly Suspect[]): ReadonlySet<string>;
  isKnown(signature: string): boolean;
  /** True if requests with this signature are refused now. */
  isQuarantined(signature: string): boolean;
  /** The suspects with these signatures, as far as known. */
  find(signatures: readonly string[]): Suspect[];
  /** The suspects that are refused now. */
  getQuarantined(): Suspect[];
  size(): number;
}

/** Settings of the suspects. */
export interface CrashSuspectsOptions {
  /** Service of the callers on this host. */
  readonly origin: ServiceName;
  /** Called when this daemon itself has learned something of a suspect. */
  onObserved(suspect: Suspect): void;
  /** Called when a suspect begins or ceases to be refused, or ends another upstream although it is. */
  onChanged(suspect: Suspect, isQuarantined: boolean): void;
}

interface Entry {
  readonly signature: string;
  readonly ends: Set<string>;
  readonly cleared: Set<string>;
  lastEndAt: Millis;
}

/** Creates an empty table. */
export function createCrashSuspects(
  host: Pick<CoreHost, "now">,
  options: CrashSuspectsOptions,
): CrashSuspects {
  /** The one that changed last comes last. */
  const entries = new Map<string, Entry>();
  /** Times of the last successes by signature, in ms; the newest one comes last. */
  const successes = new Map<string, Millis>();
  return {
    tryGetQuarantineMs,
    recordEnd,
    recordSuccess,
    merge,
    isKnown: (signature) => entries.has(signature),
    isQuarantined: (signature) => {
      const entry = entries.get(signature);
      return entry !== undefined && isQuarantined(entry);
    },
    find: (signatures) =>
      signatures.flatMap((it) => entries.get(it) ?? []).map(toSuspect),
    getQuarantined: () =>
      [...entries.values()].filter(isQuarantined).map(toSuspect),
    size: () => entries.size,
  };

  function tryGetQuarantineMs(arrival: Arrival): Millis | undefined {
    if (entries.size === 0) return undefined;
    // One that isn't known yet is like no other, and refused for none.
    const entry = entries.get(arrival.signature?.() ?? "");
    return entry !== undefined && isQuarantined(entry)
      ? entry.lastEndAt + QUARANTINE_MS - host.now()
      : undefined;
  }

  function recordEnd(
    arrival: Pick<Arrival, "signature">,
    end: string,
  ): void {
    const signature = arrival.signature?.();
    if (signature === undefined || hasSucceeded(signature)) return;
    const ends = [`${end}@${options.origin}`];
    options.onObserved(toSuspect(add({ signature, ends, cleared: [] })));
  }

  /** A success clears only callers of the same service: others may send the same with another effect. */
  function recordSuccess(arrival: Arrival): void {
    const signature = arrival.signature?.();
    if (signature === undefined) return;
    rememberSuccess(signature);
    const entry = entries.get(signature);
    if (entry === undefined) return;
    const cleared = [...entry.ends].filter((end) =>
      end.endsWith(`@${options.origin}`) && !entry.cleared.has(end)
    );
    if (cleared.length === 0) return;
    options.onObserved(toSuspect(add({ signature, ends: [], cleared })));
  }

  function rememberSuccess(signature: string): void {
    successes.delete(signature);
    successes.set(signature, host.now());
    if (successes.size <= MAX_SUCCESSES) return;
    for (const oldest of successes.keys()) {
      successes.delete(oldest);
      return;
    }
  }

  function hasSucceeded(signature: string): boolean {
    const at = successes.get(signature) ?? -Infinity;
    return host.now() - at < SUCCESS_MEMORY_MS;
  }

  function merge(suspects: readonly Suspect[]): ReadonlySet<string> {
    const news = suspects.filter(({ signature, ends, cleared }) => {
      const entry = entries.get(signature);
      return entry === undefined ||
        ends.some((end) => !entry.ends.has(end)) ||
        cleared.some((end) => !entry.cleared.has(end));
    });
    for (const suspect of news) add(suspect);
    return new Set(news.map((it) => it.signature));
  }

  function add({ signature, ends, cleared }: Suspect): Entry {
    dropOld();
    const entry = entries.get(signature) ?? createEntry(signature, host.now());
    const wasQuarantined = isQuarantined(entry);
    const newEnds = ends.filter((end) => !entry.ends.has(end));
    for (const end of newEnds) entry.ends.add(end);
    for (const end of cleared) entry.cleared.add(end);
    trim(entry.ends);
    trim(entry.cleared);
    if (newEnds.length > 0) entry.lastEndAt = host.now();
    entries.delete(signature);
    entries.set(signature, entry);
    const isNow = isQuarantined(entry);
    if (isNow !== wasQuarantined || (isNow && newEnds.length > 0)) {
      options.onChanged(toSuspect(entry), isNow);
    }
    return entry;
  }

  function isQuarantined(entry: Entry): boolean {
    return countEnds(entry) >= MAX_ENDS &&
      host.now() < entry.lastEndAt + QUARANTINE_MS;
  }

  function dropOld(): void {
    for (const [signature, { lastEndAt }] of entries) {
      const isOld = host.now() >= lastEndAt + RETENTION_MS;
      if (!isOld && entries.size < MAX_SUSPECTS) return;
      entries.delete(signature);
    }
  }
}

/** What is cleared may be known before the end itself, and has to be kept as long. */
function createEntry(signature: string, now: Millis): Entry {
  return { signature, ends: new Set(), cleared: new Set(), lastEndAt: now };
}

/** Upstreams that it ended; several callers' requests may have run at one. */
function countEnds({ ends, cleared }: Entry): number {
  const counted = [...ends].filter((end) => !cleared.has(end));
  return new Set(counted.map((end) => end.slice(0, end.indexOf("@")))).size;
}

function trim(set: Set<string>): void {
  for (const oldest of set) {
    if (set.size <= MAX_KEPT_ENDS) return;
    set.delete(oldest);
  }
}

function toSuspect({ signature, ends, cleared }: Entry): Suspect {
  return { signature, ends: [...ends], cleared: [...cleared] };
}
