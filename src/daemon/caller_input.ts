/**
 * What is read of a caller's connection. Pieces of a few bytes cost as much as
 * large ones, so that what takes long to parse is parsed in slices, and the
 * connection takes turns with others.
 */

import type { Buffer } from "node:buffer";
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
  /** Called when the connection waits for a turn in which it is read on; may be called again. */
  onWaiting(): void;
}

/** The input of one connection. */
export interface CallerInput {
  /** Stops reading until `readOn` is called. */
  hold(): void;
  /** Reads on; no effect while Node.js waits for who reads a body or answers. */
  readOn(): void;
  /** True if Node.js waits for who reads a body or answers; tells `onWaiting` once it doesn't. */
  isFull(): boolean;
  /** From one of the next reads on, parses in slices; no effect if it does. */
  measure(): void;
  /** Reads on without parsing: what is dropped costs no memory, and no byte stays unread. */
  drop(): void;
}

/** Takes over when the connection is read. */
export function createCallerInput(
  socket: Socket,
  { clock, hasHeld, onWaiting }: CallerInputOptions,
): CallerInput {
  const pause = socket.pause.bind(socket);
  const parsing = createRateLimit(clock, PARSING_RATE);
  let isFull = false;
  let isWaiting = false;
  let measures = Measures.No;
  let isDropped = false;
  // Node.js pauses for who reads a body or answers, and resumes behind each
  // request and each answer, whoever has paused.
  socket.pause = () => {
    isFull = true;
    return pause();
  };
  socket.resume = () => {
    isFull = false;
    if (isDropped || !isWaiting) return resume();
    onWaiting();
    return socket;
  };
  return { hold, readOn, isFull: () => isFull, measure, drop };

  function hold(): void {
    if (isDropped) return;
    isWaiting = true;
    pause();
  }

  function readOn(): void {
    if (isFull && !isDropped) return;
    isWaiting = false;
    resume();
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
    const [parse] = socket.listeners("data") as Parse[];
    socket.removeAllListeners("data");
    socket.on("data", (data: Buffer) => parseSlices(data, parse!));
  }

  function parseSlices(data: Buffer, parse: Parse): void {
    const startedAt = clock.now();
    let tookMs = 0;
    let end = 0;
    do {
      const start = end;
      end += SLICE_BYTES;
      parse.call(socket, data.subarray(start, end));
      tookMs = clock.now() - startedAt;
      if (isDropped || socket.destroyed) return;
    } while (end < data.length && tookMs < TURN_MS && !isFull && !hasHeld());
    parsing.add(tookMs);
    const rest = data.subarray(end);
    const mustWait = rest.length > 0 || parsing.getWaitMs() > 0;
    if (mustWait && !isFull) {
      hold();
      onWaiting();
    }
    if (rest.length === 0) return;
    pause();
    socket.unshift(rest);
  }

  function drop(): void {
    if (isDropped) return;
    isDropped = true;
    // The parser is at work now.
    process.nextTick(() => {
      socket.removeAllListeners("data");
      socket.on("data", () => {});
    });
  }
}
