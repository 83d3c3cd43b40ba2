/**
 * Upstreams that drain or were removed from the list. If the list comes back
 * from an older copy, it may show them as ready again: an upstream never returns
 * from draining, so that entry is outdated. It is withheld until the list drops
 * it, or until a live upstream must have shown that it is one.
 */

import { type ListedUpstream, ListedUpstreamState } from "./routing_types.ts";
import type { CoreHost, Millis } from "./types.ts";

/**
 * Time after a rollback for which entries count as outdated, in ms: the list
 * drops the entry of a silent upstream after three heartbeats, well before.
 */
const WITHHOLD_MS = 30_000;
/** Time for which a departure is kept, in ms; far longer than an upstream runs after it has left. */
const RETENTION_MS = 600_000;

/** Departures of upstreams. */
export interface Departures {
  /** Records that an upstream drains or was removed. */
  record(upstream: ListedUpstream): void;
  /** Forgets an upstream that was listed as ready later. */
  forget(instance: string): void;
  /** True if an upstream has left. */
  has(instance: string): boolean;
  /** Start time of an upstream that has left, if it was stated. */
  tryGetBornAt(instance: string): number | undefined;
  /** Time since which an upstream has been leaving, in ms; undefined if it is not. */
  tryGetSince(instance: string): Millis | undefined;
  /** Records that the list came back from an older copy. */
  markRolledBack(): void;
  /** True if an entry is from before the departure of its upstream. */
  isOutdated(upstream: ListedUpstream): boolean;
  /** True if the list, back from an older copy, shows an earlier start of a known upstream. */
  isEarlierStart(upstream: ListedUpstream, known: ListedUpstream): boolean;
  /** Time until which outdated entries are withheld, in ms. */
  getWithheldUntil(): Millis;
}

interface Departure {
  readonly bornAt: number | undefined;
  /** Time at which it was last recorded, in ms. */
  readonly at: Millis;
  /** Time at which it was first recorded, in ms. */
  readonly since: Millis;
  /** True once the list has come back from an older copy since. */
  mayBeLost: boolean;
}

function isEarlier(
  bornAt: number | undefined,
  than: number | undefined,
): boolean {
  return bornAt !== undefined && than !== undefined && bornAt < than;
}

/** Creates an empty set. */
export function createDepartures(host: Pick<CoreHost, "now">): Departures {
  const departures = new Map<string, Departure>();
  let rolledBackAt: Millis = -Infinity;
  return {
    record,
    forget: (instance) => void departures.delete(instance),
    has: (instance) => departures.has(instance),
    tryGetBornAt: (instance) => departures.get(instance)?.bornAt,
    tryGetSince: (instance) => departures.get(instance)?.since,
    markRolledBack,
    isOutdated,
    isEarlierStart,
    getWithheldUntil,
  };

  function record({ instance, bornAt }: ListedUpstream): void {
    const now = host.now();
    for (const [id, { at }] of departures) {
      if (now - at <= RETENTION_MS) break;
      departures.delete(id);
    }
    const known = departures.get(instance);
    const since = known?.bornAt === bornAt ? known?.since ?? now : now;
    // Keeps the order of time.
    departures.delete(instance);
    departures.set(instance, { bornAt, at: now, since, mayBeLost: false });
  }

  function markRolledBack(): void {
    rolledBackAt = host.now();
    for (const departure of departures.values()) departure.mayBeLost = true;
  }

  function isOutdated({ instance, bornAt, state }: ListedUpstream): boolean {
    const departure = departures.get(instance);
    return departure?.mayBeLost === true && host.now() < getWithheldUntil() &&
      state === ListedUpstreamState.Ready &&
      (departure.bornAt === bornAt || isEarlier(bornAt, departure.bornAt));
  }

  function isEarlierStart(
    { bornAt }: ListedUpstream,
    known: ListedUpstream,
  ): boolean {
    return host.now() < getWithheldUntil() && isEarlier(bornAt, known.bornAt);
  }

  function getWithheldUntil(): Millis {
    return rolledBackAt + WITHHOLD_MS;
  }
}
