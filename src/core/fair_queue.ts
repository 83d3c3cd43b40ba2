/**
 * Bounded queue that serves client accounts by weight (start-time fair
 * queueing). A single account may fill the queue; once it is full, the newest
 * item of the account with the longest queue per weight is evicted.
 */

import type { AccountName } from "./types.ts";

/** An item queued on behalf of an account. */
export interface QueueItem {
  readonly account: AccountName;
}

/** A bounded queue: a fair queue, or an urgency queue (createUrgencyQueue). */
export interface AdmissionQueue<T extends QueueItem> {
  /**
   * Adds an item. If the queue is full, returns the evicted item, which may be
   * the new one. A fair queue evicts the newest item of the account furthest
   * over its share, an urgency queue the least urgent item.
   */
  push(item: T): T | undefined;
  /** Removes and returns the next item. An urgency queue skips items that may not start; a fair queue ignores `mayStart`. */
  pop(mayStart?: (item: T) => boolean): T | undefined;
  remove(item: T): boolean;
  /** Items that would be served before a new one of this account. */
  getAhead(account: AccountName): number;
  /** Items that may start and would be served before this one; only an urgency queue has it. */
  getAheadOf?(item: T, mayStart?: (item: T) => boolean): number;
  size(): number;
}

/** Settings of a fair queue. */
export interface FairQueueOptions {
  readonly capacity: number;
  getWeight(account: AccountName): number;
  /** True serves items in order of arrival, as a baseline for measurements. */
  readonly isFirstComeFirstServed?: boolean;
}

/** Queued items of one account. */
interface Flow<T> {
  items: T[];
  /** Virtual start time of the flow's next item. */
  start: number;
}

/** Creates an empty queue. */
export function createFairQueue<T extends QueueItem>(
  options: FairQueueOptions,
): AdmissionQueue<T> {
  const flows = new Map<AccountName, Flow<T>>();
  const singleFlow = "";
  let count = 0;
  let virtualTime = 0;
  return { push, pop, remove, getAhead, size: () => count };

  function push(item: T): T | undefined {
    const leaving = count < options.capacity ? undefined : evictFor(item);
    if (leaving === item) return item;
    const name = getFlowName(item.account);
    const flow = flows.get(name) ?? { items: [], start: virtualTime };
    flows.set(name, flow);
    flow.items.push(item);
    count += 1;
    return leaving;
  }

  function pop(): T | undefined {
    const next = findNextFlow();
    if (next === undefined) return undefined;
    const [name, flow] = next;
    virtualTime = flow.start;
    flow.start += 1 / getWeight(name);
    const item = flow.items.shift();
    count -= 1;
    if (flow.items.length === 0) flows.delete(name);
    return item;
  }

  function remove(item: T): boolean {
    const name = getFlowName(item.account);
    const flow = flows.get(name);
    const index = flow?.items.indexOf(item) ?? -1;
    if (flow === undefined || index < 0) return false;
    flow.items.splice(index, 1);
    count -= 1;
    if (flow.items.length === 0) flows.delete(name);
    return true;
  }

  function getAhead(account: AccountName): number {
    const name = getFlowName(account);
    const own = flows.get(name)?.items.length ?? 0;
    const perWeight = (own + 1) / getWeight(name);
    let ahead = own;
    for (const [other, flow] of flows) {
      if (other === name) continue;
      ahead += Math.min(flow.items.length, perWeight * getWeight(other));
    }
    return ahead;
  }

  function evictFor(item: T): T {
    const name = getFlowName(item.account);
    let most = name;
    let mostShare = ((flows.get(name)?.items.length ?? 0) + 1) /
      getWeight(name);
    for (const [other, flow] of flows) {
      const share = flow.items.length / getWeight(other);
      if (share > mostShare) {
        most = other;
        mostShare = share;
      }
    }
    if (most === name) return item;
    const newest = flows.get(most)!.items.at(-1)!;
    remove(newest);
    return newest;
  }

  function findNextFlow(): [AccountName, Flow<T>] | undefined {
    let best: [AccountName, Flow<T>] | undefined;
    for (const entry of flows) {
      if (best === undefined || entry[1].start < best[1].start) best = entry;
    }
    return best;
  }

  function getFlowName(account: AccountName): AccountName {
    return options.isFirstComeFirstServed ? singleFlow : account;
  }

  function getWeight(name: AccountName): number {
    return name === singleFlow ? 1 : options.getWeight(name);
  }
}
