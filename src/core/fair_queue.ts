/**
 * Bounded queue that serves client accounts by weight (start-time fair
 * queueing). An account alone may use all of it; where it is full, the account
 * with the most waiting per weight gives way.
 */

import type { AccountName } from "./types.ts";

/** Something that waits on behalf of an account. */
export interface Queued {
  readonly account: AccountName;
}

/** A fair queue. */
export interface FairQueue<T extends Queued> {
  /**
   * Adds an item. Where the queue is full, returns the item that has to leave:
   * the newest of the account furthest over its share, or the one offered.
   */
  push(item: T): T | undefined;
  /** Takes the next item; a queue that orders items passes over those that may not start. */
  pop(mayStart?: (item: T) => boolean): T | undefined;
  remove(item: T): boolean;
  /** Items that leave before a new one of this account would. */
  getAhead(account: AccountName): number;
  /** Items that leave before this one would, where the queue orders items. */
  getAheadOf?(item: T): number;
  size(): number;
}

/** Settings of a fair queue. */
export interface FairQueueOptions {
  readonly capacity: number;
  getWeight(account: AccountName): number;
  /** True serves in order of arrival, as a baseline for measurements. */
  readonly isFirstComeFirstServed?: boolean;
}

interface Lane<T> {
  items: T[];
  /** Virtual time at which the lane's next item starts. */
  start: number;
}

/** Creates an empty queue. */
export function createFairQueue<T extends Queued>(
  options: FairQueueOptions,
): FairQueue<T> {
  const lanes = new Map<AccountName, Lane<T>>();
  const singleLane = "";
  let count = 0;
  let virtualTime = 0;
  return { push, pop, remove, getAhead, size: () => count };

  function push(item: T): T | undefined {
    const leaving = count < options.capacity ? undefined : evictFor(item);
    if (leaving === item) return item;
    const name = getLaneName(item.account);
    const lane = lanes.get(name) ?? { items: [], start: virtualTime };
    lanes.set(name, lane);
    lane.items.push(item);
    count += 1;
    return leaving;
  }

  function pop(): T | undefined {
    const next = findNextLane();
    if (next === undefined) return undefined;
    const [name, lane] = next;
    virtualTime = lane.start;
    lane.start += 1 / getWeight(name);
    const item = lane.items.shift();
    count -= 1;
    if (lane.items.length === 0) lanes.delete(name);
    return item;
  }

  function remove(item: T): boolean {
    const name = getLaneName(item.account);
    const lane = lanes.get(name);
    const index = lane?.items.indexOf(item) ?? -1;
    if (lane === undefined || index < 0) return false;
    lane.items.splice(index, 1);
    count -= 1;
    if (lane.items.length === 0) lanes.delete(name);
    return true;
  }

  function getAhead(account: AccountName): number {
    const name = getLaneName(account);
    const own = lanes.get(name)?.items.length ?? 0;
    const perWeight = (own + 1) / getWeight(name);
    let ahead = own;
    for (const [other, lane] of lanes) {
      if (other === name) continue;
      ahead += Math.min(lane.items.length, perWeight * getWeight(other));
    }
    return ahead;
  }

  function evictFor(item: T): T {
    const name = getLaneName(item.account);
    let most = name;
    let mostShare = ((lanes.get(name)?.items.length ?? 0) + 1) /
      getWeight(name);
    for (const [other, lane] of lanes) {
      const share = lane.items.length / getWeight(other);
      if (share > mostShare) {
        most = other;
        mostShare = share;
      }
    }
    if (most === name) return item;
    const newest = lanes.get(most)!.items.at(-1)!;
    remove(newest);
    return newest;
  }

  function findNextLane(): [AccountName, Lane<T>] | undefined {
    let best: [AccountName, Lane<T>] | undefined;
    for (const entry of lanes) {
      if (best === undefined || entry[1].start < best[1].start) best = entry;
    }
    return best;
  }

  function getLaneName(account: AccountName): AccountName {
    return options.isFirstComeFirstServed ? singleLane : account;
  }

  function getWeight(name: AccountName): number {
    return name === singleLane ? 1 : options.getWeight(name);
  }
}
