/**
 * Connections that read a limited number of bytes at a time. Node.js reads up to
 * 64 KB, and each stream between a connection and its receiver holds at least
 * what one read returned.
 */

import { Buffer } from "node:buffer";
import type { OnReadOpts, Socket } from "node:net";

/** Largest read of a connection that receives responses, in bytes. */
export const MAX_READ_BYTES = 16_384;

/** Options of a connection, for `net.connect` and what is built on it. */
export interface SmallReadOptions {
  readonly highWaterMark: number;
  readonly onread: OnReadOpts;
}

/**
 * Creates the options. All connections with them share one buffer, of which each
 * read is copied at once. `onRead` gets the number of bytes of each read before
 * they are used.
 */
export function createSmallReads(
  onRead?: (bytes: number) => void,
): SmallReadOptions {
  return {
    highWaterMark: MAX_READ_BYTES,
    onread: { buffer: Buffer.allocUnsafeSlow(MAX_READ_BYTES), callback },
  };

  function callback(this: unknown, size: number, buffer: Uint8Array): boolean {
    // Node.js calls it as a method of the socket.
    const socket = this as Socket;
    onRead?.(size);
    if (socket.destroyed) return false;
    return socket.push(Buffer.from(buffer.subarray(0, size)));
  }
}
