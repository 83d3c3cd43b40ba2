/**
 * Writes lines to a file descriptor without ever waiting for its reader: lines
 * are gathered, one write is under way at a time, and what does not fit is
 * dropped and counted.
 */

import { write } from "node:fs";
import { Buffer } from "node:buffer";

/** Longest time that a line is gathered before it is written, in ms. */
const FLUSH_MS = 100;
/** Lines that wait for a slow reader, in bytes; a few seconds of a busy daemon. */
const MAX_WAITING_BYTES = 1_048_576;
/** Longest time that closing waits for the reader, in ms. */
const CLOSE_WAIT_MS = 200;

/** Takes lines. */
export interface LineOutput {
  /** Takes a line with its end; returns at once. */
  write(line: string): void;
  /** Lines that were dropped since the last call. */
  takeDropped(): number;
  /** Writes what waits, unless the reader is too slow. */
  close(): Promise<void>;
}

/** Creates an output on a descriptor, which stays open. */
export function createLineOutput(fd: number): LineOutput {
  let waiting: string[] = [];
  let waitingBytes = 0;
  let dropped = 0;
  let timer: NodeJS.Timeout | undefined;
  let isWriting = false;
  let onIdle: (() => void) | undefined;
  return { write: add, takeDropped, close };

  function add(line: string): void {
    if (waitingBytes + line.length > MAX_WAITING_BYTES) {
      dropped += 1;
      return;
    }
    waiting.push(line);
    waitingBytes += line.length;
    if (timer === undefined && !isWriting) {
      timer = setTimeout(flush, FLUSH_MS);
      timer.unref();
    }
  }

  function flush(): void {
    clearTimeout(timer);
    timer = undefined;
    if (isWriting) return;
    if (waiting.length === 0) return onIdle?.();
    const text = Buffer.from(waiting.join(""));
    waiting = [];
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
      // A closed reader takes no lines any more; there is nowhere to say so.
      if (error !== null) dropped += 1;
      isWriting = false;
      waitingBytes = waiting.reduce((sum, line) => sum + line.length, 0);
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
