/** Timer queue of the core, a binary heap. */

import type { Millis } from "./types.ts";

interface Wake<T> {
  at: Millis;
  item: T;
}

/** Items ordered by time. */
export interface WakeQueue<T> {
  add(at: Millis, item: T): void;
  /** Time of the earliest item, or undefined when empty. */
  getNext(): Millis | undefined;
  /** Removes and returns the earliest item if it is due, or returns undefined. */
  popDue(now: Millis): T | undefined;
  size(): number;
}

/**
 * Creates an empty queue. The order of items with the same time is unspecified.
 * An item that is not needed at its time is dropped when it is the earliest:
 * most requests end long before they are due, and each wake costs a daemon a
 * turn of its event loop.
 */
export function createWakeQueue<T>(
  isNeeded: (item: T, at: Millis) => boolean = () => true,
): WakeQueue<T> {
  const heap: Wake<T>[] = [];
  return { add, getNext, popDue, size: () => heap.length };

  function add(at: Millis, item: T): void {
    heap.push({ at, item });
    siftUp(heap.length - 1);
  }

  function getNext(): Millis | undefined {
    return getFirst()?.at;
  }

  function popDue(now: Millis): T | undefined {
    const first = getFirst();
    if (first === undefined || first.at > now) return undefined;
    removeFirst();
    return first.item;
  }

  function getFirst(): Wake<T> | undefined {
    for (;;) {
      const first = heap[0];
      if (first === undefined || isNeeded(first.item, first.at)) return first;
      removeFirst();
    }
  }

  function removeFirst(): void {
    const last = heap.pop()!;
    if (heap.length === 0) return;
    heap[0] = last;
    siftDown(0);
  }

  function siftUp(start: number): void {
    let index = start;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (heap[parent]!.at <= heap[index]!.at) return;
      swap(parent, index);
      index = parent;
    }
  }

  function siftDown(start: number): void {
    let index = start;
    while (true) {
      const left = 2 * index + 1;
      if (left >= heap.length) return;
      const right = left + 1;
      const child = right < heap.length && heap[right]!.at < heap[left]!.at
        ? right
        : left;
      if (heap[index]!.at <= heap[child]!.at) return;
      swap(child, index);
      index = child;
    }
  }

  function swap(a: number, b: number): void {
    const temp = heap[a]!;
    heap[a] = heap[b]!;
    heap[b] = temp;
  }
}
