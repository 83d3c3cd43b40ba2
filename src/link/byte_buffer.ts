/**
 * Collects the bytes of a body in one piece of memory that is counted against a
 * budget. Chunks are copied, as thousands of small ones would occupy many times
 * their own size.
 */

import { Buffer } from "node:buffer";
import type { MemoryBudget } from "../core/memory_budget.ts";

/** Largest piece that is handed out, in bytes; what a stream holds beyond the budget. */
const MAX_PIECE_BYTES = 16_384;

/** Smallest memory that is freed on release, in bytes; smaller ones are garbage soon after. */
const MIN_FREED_BYTES = 65_536;
/**
 * Share of the budget in use from which memory is freed on release. With a half,
 * a daemon whose 380 streams nobody read came to 265 MB.
 */
const FREED_SHARE = 1 / 8;

/** An ArrayBuffer of ES2024, as Node.js 20 has it. */
interface ResizableBuffer extends ArrayBuffer {
  readonly resizable: boolean;
  resize(bytes: number): void;
}
const ResizableArrayBuffer = ArrayBuffer as unknown as new (
  bytes: number,
  options: { maxByteLength: number },
) => ResizableBuffer;

/** Settings of a buffer. */
export interface ByteBufferOptions {
  /** True if nothing uses what `peek` returned after the release. */
  readonly isFreedOnRelease?: boolean;
}

/** Bytes of a body. */
export interface ByteBuffer {
  /** Number of bytes that are held. */
  size(): number;
  /** Makes room for as many bytes in all; false if they don't fit in the budget. */
  reserve(bytes: number): boolean;
  /** Adds a chunk; false without effect if it doesn't fit in the budget. */
  append(chunk: Buffer): boolean;
  /** All bytes; they remain held and must not be changed. */
  peek(): Buffer;
  /** Takes the next bytes in order, or undefined once all are taken; the last ones release the memory. */
  take(): Buffer | undefined;
  /** Drops the bytes and returns the memory to the budget; may be called again. */
  release(): void;
}

/** Creates an empty buffer. */
export function createByteBuffer(
  budget: MemoryBudget,
  { isFreedOnRelease = false }: ByteBufferOptions = {},
): ByteBuffer {
  let memory: Buffer = Buffer.alloc(0);
  let acquired = 0;
  let start = 0;
  let end = 0;
  return { size: () => end - start, reserve, append, peek, take, release };

  function reserve(bytes: number): boolean {
    if (bytes <= acquired) return true;
    const before = acquired;
    if (!budget.tryAcquire(bytes)) return false;
    acquired = bytes;
    budget.release(before);
    return true;
  }

  function append(chunk: Buffer): boolean {
    const needed = end + chunk.length;
    if (end === 0 && chunk.length >= acquired) {
      // Most bodies consist of one chunk, which needs no copy.
      if (!reserve(chunk.length)) return false;
      memory = chunk;
      end = needed;
      return true;
    }
    const capacity = needed <= acquired
      ? acquired
      : Math.max(needed, 2 * acquired);
    if (!reserve(capacity) && !reserve(needed)) return false;
    if (memory.length < needed) {
      const grown = allocate(acquired);
      memory.copy(grown, 0, 0, end);
      free(memory);
      memory = grown;
    }
    chunk.copy(memory, end);
    end = needed;
    return true;
  }

  function peek(): Buffer {
    return memory.subarray(start, end);
  }

  function take(): Buffer | undefined {
    if (start === end) {
      release();
      return undefined;
    }
    const next = Math.min(end, start + MAX_PIECE_BYTES);
    // A part of the memory would keep all of it alive while its receiver is slow.
    const piece = next - start === memory.length
      ? memory
      : Buffer.from(memory.subarray(start, next));
    start = next;
    if (start === end) release();
    return piece;
  }

  function release(): void {
    budget.release(acquired);
    acquired = 0;
    start = 0;
    end = 0;
    free(memory);
    memory = Buffer.alloc(0);
  }

  /**
   * The garbage collector frees released memory only after some 60 MB more, so
   * that a daemon whose budget is used up exceeds its limit. Memory that is
   * freed at once costs 1 ms for 540 KB, so that it is used only while much is
   * buffered.
   */
  function allocate(bytes: number): Buffer {
    const isFreed = isFreedOnRelease && bytes >= MIN_FREED_BYTES &&
      budget.getUsed() >= budget.getLimit() * FREED_SHARE;
    if (!isFreed) return Buffer.allocUnsafeSlow(bytes);
    const resizable = new ResizableArrayBuffer(bytes, { maxByteLength: bytes });
    return Buffer.from(resizable);
  }
}

function free(memory: Buffer): void {
  const { buffer } = memory as unknown as { buffer: ResizableBuffer };
  if (buffer.resizable) buffer.resize(0);
}
