/**
 * Priority queue for work with time objectives: lowest rank first, and within a
 * rank the item that has to start soonest. Work that is of little use by now,
 * as it has missed its objective, waits behind all other work, so that under
 * overload some responses are in time rather than none.
 */

import type { AdmissionQueue, QueueItem } from "./fair_queue.ts";
import type { CoreHost, Millis } from "./types.ts";

/** A queued item that should start by a point in time. */
export interface UrgentItem extends QueueItem {
  /** Rank; 0 is the most urgent. */
  readonly rank: number;
  /** Latest start at which the response still meets the request's objective, in ms. */
  readonly startBy: Millis;
  /** Latest start that still serves the caller well; not before `startBy`, in ms. */
  readonly usefulUntil: Millis;
}

/** Creates an empty queue of bounded length. */
export function createUrgencyQueue<T extends UrgentItem>(
  host: CoreHost,
  options: { readonly capacity: number },
): AdmissionQueue<T> {
  /** Sorted by rank, then by startBy. */
  const items: T[] = [];
  return {
    push,
    pop,
    remove,
    getAhead: () => items.length,
    getAheadOf,
    size: () => items.length,
  };

  function push(item: T): T | undefined {
    items.splice(findPlace(item), 0, item);
    return items.length > options.capacity ? items.pop() : undefined;
  }

  /** Removes the first item that is still useful, else the first item. */
  function pop(
    mayStart: (item: T) => boolean = () => true,
  ): T | undefined {
    const now = host.now();
    let next = -1;
    for (const [index, item] of items.entries()) {
      if (!mayStart(item)) continue;
      if (item.usefulUntil >= now) return items.splice(index, 1)[0];
      if (next < 0) next = index;
    }
    return next < 0 ? undefined : items.splice(next, 1)[0];
  }

  function remove(item: T): boolean {
    const index = items.indexOf(item);
    if (index < 0) return false;
    items.splice(index, 1);
    return true;
  }

  /** Items ahead of this one that may start and can still be in time; others take little capacity. */
  function getAheadOf(
    item: T,
    mayStart: (item: T) => boolean = () => true,
  ): number {
    const now = host.now();
    let count = 0;
    for (let i = findPlace(item) - 1; i >= 0; i--) {
      const other = items[i]!;
      if (other.startBy >= now && mayStart(other)) count += 1;
    }
    return count;
  }

  function findPlace(item: T): number {
    let low = 0;
    let high = items.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (isBefore(items[middle]!, item)) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}

function isBefore(a: UrgentItem, b: UrgentItem): boolean {
  return a.rank === b.rank ? a.startBy <= b.startBy : a.rank < b.rank;
}
