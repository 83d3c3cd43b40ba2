/**
 * Budget of the bytes that a daemon buffers: bodies of requests that are kept
 * for a retry, and bodies of responses that are read to their end before they
 * are passed on. What doesn't fit is streamed instead.
 */

import { Debug } from "./debug.ts";

const BYTES_PER_MB = 1_000_000;
/** Memory limit of a daemon whose settings state none, in MB; the smallest of the deployments. */
const DEFAULT_MEMORY_MB = 250;
/**
 * Memory of the process without buffered bodies, in MB: Node.js and the
 * daemon's code, its tables for 2,400 upstreams, connections, and the young
 * generation of the heap.
 */
const PROCESS_MB = 90;
/**
 * Share of the remaining memory that bodies may use. The other part is for
 * buffers that were released until the garbage collector frees them, and for
 * the fixed number of bytes that each streamed response holds. With a half, a
 * daemon whose budget was used up and whose 300 callers read nothing came to
 * 239 MB, with 600 to 272 MB.
 */
const BODY_SHARE = 1 / 3;
/** Smallest budget, in bytes: some thousand responses of the usual size (some KB). */
const MIN_BUDGET_BYTES = 4_194_304;
/** Share of the limit at or below which an exhausted budget counts as having room again. */
const ROOM_SHARE = 3 / 4;

/** A number of bytes that may be in use at a time. */
export interface MemoryBudget {
  /** Acquires bytes; returns false without effect if they don't fit. */
  tryAcquire(bytes: number): boolean;
  /** True if `tryAcquire` would acquire the bytes now. */
  hasRoom(bytes: number): boolean;
  /** Releases bytes that were acquired. */
  release(bytes: number): void;
  /** Bytes in use. */
  getUsed(): number;
  getLimit(): number;
}

/** Settings of a budget. */
export interface MemoryBudgetOptions {
  readonly limitBytes: number;
  /** Called when bytes were refused, and when three quarters of the limit or less are in use after that. */
  onStateChange?(isExhausted: boolean): void;
}

/** Bytes that a daemon may buffer, from its memory limit in MB. */
export function computeBufferLimit(memoryMb = DEFAULT_MEMORY_MB): number {
  const bytes = (memoryMb - PROCESS_MB) * BYTES_PER_MB * BODY_SHARE;
  return Math.max(MIN_BUDGET_BYTES, Math.floor(bytes));
}

/** Creates a budget of which nothing is in use. */
export function createMemoryBudget(
  options: MemoryBudgetOptions,
): MemoryBudget {
  const { limitBytes } = options;
  let used = 0;
  let isExhausted = false;
  return { tryAcquire, hasRoom, release, getUsed: () => used, getLimit };

  function tryAcquire(bytes: number): boolean {
    if (!hasRoom(bytes)) {
      setExhausted(true);
      return false;
    }
    used += bytes;
    return true;
  }

  function hasRoom(bytes: number): boolean {
    return used + bytes <= limitBytes;
  }

  function release(bytes: number): void {
    used -= bytes;
    Debug.assert(used >= 0, "no byte is released twice");
    if (used <= limitBytes * ROOM_SHARE) setExhausted(false);
  }

  function setExhausted(isNow: boolean): void {
    if (isExhausted === isNow) return;
    isExhausted = isNow;
    options.onStateChange?.(isNow);
  }

  function getLimit(): number {
    return limitBytes;
  }
}
