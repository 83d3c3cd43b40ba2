/**
 * What is read of a caller's connection. Pieces of a few bytes cost as much as
 * large ones, so that what takes long to parse is parsed in slices, and the
 * connection takes turns with others.
 */

import { Buffer } from "node:buffer";
import process from "node:process";
import { Socket } from "node:net";
import { createRateLimit } from "../core/rate_limit.ts";
import type { Clock } from "./clock.ts";

/** Bytes that are parsed without a look at the time; 700 chunks of one byte, some ms at most. */
const SLICE_BYTES = 4_096;
/** Time for which slices are parsed in one turn, in ms. */
const TURN_MS = 0.5;
/** Time that a connection may take beyond that without turns, in ms: each ms, and at once. */
const PARSING_RATE = { perMs: 0.05, atOnce: 2 };

/**
 * Bytes that are read of a connection that waits, and kept without being parsed:
 * only reading tells that its caller has left.
 */
const MAX_UNPARSED_BYTES = 65_536;

/** Whether the time that parsing takes is measured. */
enum Measures {
  No,
  /** Once the connection is read. */
  Due,
  Yes,
}

type Parse = (data: Buffer) => void;

/** Settings of the input of one connection. */
export interface CallerInputOptions {
  readonly clock: Clock;
  /** True while requests that were read wait to be passed on. */
  hasHeld(): boolean;
  /** True while what was read of a body waits for its reader. */
  hasUnread(): boolean;
  /** Calls back once its reader reads on, at once if it does. */
  onceReading(listener: () => void): void;
  /** Called when the connection waits for a turn in which it is read on; may be called again. */
  onWaiting(): void;
}

/** The input of one connection. */
export interface CallerInput {
  /** Parses nothing more until `readOn` is called. */
  hold(): void;
  /** True if it waits for `readOn`. */
  isOnHold(): boolean;
  /** Parses on; no effect while Node.js waits for who reads a body or answers. */
  readOn(): void;
  /** From one of the next reads on, parses in slices; no effect if it does. */
  measure(): void;
  /** Reads on without parsing: what is dropped costs no memory, and no byte stays unread. */
  drop(): void;
}

/** Takes over when the connection is read. */
export function createCallerInput(
  socket: Socket,
  { clock, hasHeld, hasUnread, onceReading, onWaiting }: CallerInputOptions,
): CallerInput {
  const pause = socket.pause.bind(socket);
  const parsing = createRateLimit(clock, PARSING_RATE);
  /** True while Node.js waits for who reads a body or answers. */
  let isFull = false;
  let isAwaitingRead = false;
  /** True from `hold` to `readOn`. */
  let isWaiting = false;
  let measures = Measures.No;
  let isDropped = false;
  let unparsed: Buffer[] = [];
  let unparsedBytes = 0;
  let parse: Parse = () => {};
  // Node.js pauses for who reads a body or answers, and resumes behind each
  // request and each answer, whoever has paused.
  socket.pause = () => {
    isFull = true;
    return pause();
  };
  socket.resume = () => {
    isFull = false;
    if (isDropped || !isWaiting && unparsed.length === 0) return resume();
    if (measures === Measures.Yes && unparsedBytes < MAX_UNPARSED_BYTES) {
      resume();
    }
    if (isWaiting) onWaiting();
    else process.nextTick(parseUnparsed);
    return socket;
  };
  return {
    hold,
    isOnHold: () => isWaiting || socket.isPaused(),
    readOn,
    measure,
    drop,
  };

  function hold(): void {
    if (isDropped) return;
    isWaiting = true;
    // Node.js parses what it reads.
    if (measures !== Measures.Yes) pause();
  }

  function readOn(): void {
    // Whoever resumes the socket calls again.
    if (isFull && !isDropped) return;
    if (hasUnread() && !isDropped) return awaitRead();
    isWaiting = false;
    // In a turn of the loop there may be several steps, but only one of a connection.
    if (unparsed.length > 0) process.nextTick(parseUnparsed);
    else resume();
  }

  /** Node.js asks for more of a body before all of it has been read, and then not again. */
  function awaitRead(): void {
    if (isAwaitingRead) return;
    isAwaitingRead = true;
    onceReading(() => {
      isAwaitingRead = false;
      onWaiting();
    });
  }

  function parseUnparsed(): void {
    if (isWaiting || isFull || socket.destroyed) return;
    const data = Buffer.concat(unparsed);
    unparsed = [];
    unparsedBytes = 0;
    if (data.length > 0) parseSlices(data);
    if (!isFull && unparsedBytes < MAX_UNPARSED_BYTES) resume();
  }

  function keep(data: Buffer): void {
    unparsed.push(data);
    unparsedBytes += data.length;
    if (unparsedBytes >= MAX_UNPARSED_BYTES) pause();
  }

  function resume(): Socket {
    Socket.prototype.resume.call(socket);
    if (measures === Measures.Due) process.nextTick(takeOver);
    return socket;
  }

  function measure(): void {
    if (measures !== Measures.No) return;
    measures = Measures.Due;
    // The parser is at work now.
    process.nextTick(takeOver);
  }

  function takeOver(): void {
    // Node.js starts to read a paused connection only as long as it does the parsing.
    if (measures !== Measures.Due || isDropped || socket.isPaused()) return;
    measures = Measures.Yes;
    parse = socket.listeners("data")[0] as Parse;
    socket.removeAllListeners("data");
    socket.on("data", (data: Buffer) => {
      if (isWaiting || unparsed.length > 0) keep(data);
      else parseSlices(data);
    });
  }

  function parseSlices(data: Buffer): void {
    const startedAt = clock.now();
    let tookMs = 0;
    let end = 0;
    do {
      const start = end;
      end += SLICE_BYTES;
      parse.call(socket, data.subarray(start, end));
      tookMs = clock.now() - startedAt;
      if (isDropped || socket.destroyed) return;
    } while (
      end < data.length && tookMs < TURN_MS && !isFull &&
      !hasHeld() && !hasUnread()
    );
    parsing.add(tookMs);
    const rest = data.subarray(end);
    const mustWait = rest.length > 0 || hasUnread() || parsing.getWaitMs() > 0;
    if (mustWait && !isFull) {
      hold();
      onWaiting();
    }
    if (rest.length === 0) return;
    if (!isFull) return keep(rest);
    pause();
    socket.unshift(rest);
  }

  function drop(): void {
    if (isDropped) return;
    isDropped = true;
    unparsed = [];
    // The parser is at work now.
    process.nextTick(() => {
      socket.removeAllListeners("data");
      socket.on("data", () => {});
    });
  }
}
