/**
 * Writes lines to a file descriptor without blocking on a slow reader: lines are
 * buffered, one write is in progress at a time, and lines that don't fit into the
 * buffer are dropped and counted.
 */

import { write } from "node:fs";
import { Buffer } from "node:buffer";

/** Delay before buffered lines are written, and before a write that failed with EAGAIN is repeated, in ms. */
const FLUSH_MS = 250;
/** Size of the buffer, in characters; a few seconds of a busy daemon's lines. */
const MAX_BUFFERED_CHARS = 1_048_576;
/** Longest time that closing waits for the reader, in ms. */
const CLOSE_WAIT_MS = 200;

/** A buffered output of lines. */
export interface LineOutput {
  /** Buffers a line, which includes its line break; never blocks. */
  write(line: string): void;
  /** Returns the number of lines dropped since the last call, and resets it. */
  takeDropped(): number;
  /** Writes the buffered lines, within a timeout. */
  close(): Promise<void>;
}

/** Creates an output to a file descriptor, which it does not close. */
export function createLineOutput(fd: number): LineOutput {
  let buffered: string[] = [];
  let bufferedChars = 0;
  let dropped = 0;
  let timer: NodeJS.Timeout | undefined;
  let isWriting = false;
  let onIdle: (() => void) | undefined;
  return { write: add, takeDropped, close };

  function add(line: string): void {
    if (bufferedChars + line.length > MAX_BUFFERED_CHARS) {
      dropped += 1;
      return;
    }
    buffered.push(line);
    bufferedChars += line.length;
    if (timer === undefined && !isWriting) {
      timer = setTimeout(flush, FLUSH_MS);
      timer.unref();
    }
  }

  function flush(): void {
    clearTimeout(timer);
    timer = undefined;
    if (isWriting) return;
    if (buffered.length === 0) return onIdle?.();
    const text = Buffer.from(buffered.join(""));
    buffered = [];
    isWriting = true;
    writeAll(text);
  }

  function writeAll(text: Buffer): void {
    write(fd, text, (error, written) => {
      const isTryAgain = error?.code === "EAGAIN";
      if (error === null && written < text.length) {
        return writeAll(text.subarray(written));
      }
      if (isTryAgain) {
        setTimeout(() => writeAll(text), FLUSH_MS).unref();
        return;
      }
      // Most likely the reader has closed its end; there is nowhere to log this.
      // The lines of the failed write count as one.
      if (error !== null) dropped += 1;
      isWriting = false;
      bufferedChars = buffered.reduce((sum, line) => sum + line.length, 0);
      flush();
    });
  }

  function takeDropped(): number {
    const count = dropped;
    dropped = 0;
    return count;
  }

  function close(): Promise<void> {
    return new Promise((resolve) => {
      onIdle = resolve;
      setTimeout(resolve, CLOSE_WAIT_MS);
      flush();
    });
  }
}
