/** Detects and buffers request bodies. */

import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import { finished, Readable } from "node:stream";
import type { MemoryBudget } from "../core/memory_budget.ts";
import type { Millis } from "../core/types.ts";
import { createByteBuffer } from "../link/byte_buffer.ts";

/** True if the headers of a request announce a body. */
export function hasBody(incoming: IncomingMessage): boolean {
  const { headers } = incoming;
  return headers["transfer-encoding"] !== undefined ||
    Number(headers["content-length"] ?? 0) > 0;
}

/**
 * True if a body is coded in another way than in chunks. Its bytes mean nothing
 * without the coding, which is valid for one connection only.
 */
export function hasUnknownCoding({ headers }: IncomingMessage): boolean {
  const coding = headers["transfer-encoding"];
  return coding !== undefined && coding.trim().toLowerCase() !== "chunked";
}

/** Reads a whole body; undefined if there is none, "cut-off" if it ends early. */
export function readBody(
  incoming: IncomingMessage,
): Promise<Buffer | undefined | "cut-off"> {
  if (!hasBody(incoming)) return Promise.resolve(undefined);
  const chunks: Buffer[] = [];
  return new Promise((resolve) => {
    incoming.on("data", (chunk: Buffer) => chunks.push(chunk));
    finished(incoming, { writable: false }, (error) => {
      resolve(error ? "cut-off" : Buffer.concat(chunks));
    });
  });
}

/** True if a request can be buffered for a retry: without a body, or with a known length up to `maxBytes`. */
export function canBufferBody(
  incoming: IncomingMessage,
  maxBytes: number,
): boolean {
  if (!hasBody(incoming)) return true;
  const length = incoming.headers["content-length"];
  return length !== undefined && Number(length) <= maxBytes;
}

/** True if a body of a known length would be kept for a retry now. */
export function canKeepBody(
  bytes: number,
  { memory, maxBytes }: { memory: MemoryBudget; maxBytes: number },
): boolean {
  return bytes === 0 || (bytes <= maxBytes && memory.hasRoom(bytes));
}

/** How a body may be received. */
export interface BodyTerms {
  readonly memory: MemoryBudget;
  /** Largest body that is kept whole, so that a retry can send it again, in bytes. */
  readonly maxKeptBytes: number;
  /** Largest body that may be sent, in bytes. */
  readonly maxBytes: number;
  /** Time for a kept body to arrive, in ms. */
  readonly timeoutMs: Millis;
  /** Called with each piece of a body that is streamed, in order. */
  onStreamed?(piece: Buffer): void;
  /** Called when a streamed body has ended; its last piece is dropped, and the body fails, if the result is false. */
  mayEnd?(): boolean;
}

/** Why a body was not received. */
export enum BodyFailure {
  CutOff = "cut-off",
  Overdue = "overdue",
  TooLarge = "too-large",
}

/** True for a body that was not received. */
export function isBodyFailure(content: unknown): content is BodyFailure {
  return typeof content === "string";
}

/** The body of a request on its way. */
export interface ReceivedBody {
  /** Resolves to the kept bytes, null if there is no body, or a stream without a retry once it was sent. */
  readonly content: Promise<Buffer | null | Readable | BodyFailure>;
  /** Returns the kept bytes to the budget and keeps no further ones; may be called again. */
  release(): void;
}

/**
 * Starts to receive a body. One that is small and fits in the budget is kept,
 * whether it comes with a length or in chunks; any other is streamed.
 */
export function receiveBody(
  incoming: IncomingMessage,
  terms: BodyTerms,
): ReceivedBody {
  if (!hasBody(incoming)) {
    return { content: Promise.resolve(null), release: () => {} };
  }
  const { memory, maxKeptBytes } = terms;
  const buffered = createByteBuffer(memory);
  const stated = incoming.headers["content-length"];
  const length = stated === undefined ? 0 : Number(stated);
  if (length > maxKeptBytes || !buffered.reserve(length)) {
    const content = Promise.resolve(streamBody(incoming, terms));
    return { content, release: buffered.release };
  }
  let stop = () => {};
  const content = new Promise<Buffer | Readable | BodyFailure>((resolve) => {
    const timer = setTimeout(
      () => resolve(BodyFailure.Overdue),
      terms.timeoutMs,
    );
    const stopWaiting = finished(incoming, { writable: false }, (error) => {
      stop();
      resolve(error ? BodyFailure.CutOff : takeKept());
    });
    stop = () => {
      clearTimeout(timer);
      incoming.off("data", receive);
    };
    incoming.on("data", receive);

    function receive(piece: Buffer): void {
      const isKept = buffered.size() + piece.length <= maxKeptBytes &&
        buffered.append(piece);
      if (isKept) return;
      stop();
      stopWaiting();
      // They stay in the budget until the request has ended.
      resolve(streamBody(incoming, terms, [buffered.peek(), piece]));
    }
  });
  return { content, release };

  function takeKept(): Buffer | BodyFailure {
    const bytes = buffered.peek();
    return bytes.length > terms.maxBytes ? BodyFailure.TooLarge : bytes;
  }

  function release(): void {
    stop();
    buffered.release();
  }
}

/** A body that has more bytes than a request may have. */
class BodyTooLargeError extends Error {}

/** A streamed body whose end is not to be sent. */
class BodyRefusedError extends Error {}

/**
 * Streams a body whose first pieces were read. Its last piece is held back until
 * it has ended, so that a request may still be kept from being whole.
 */
function streamBody(
  incoming: IncomingMessage,
  { maxBytes, onStreamed, mayEnd }: BodyTerms,
  first: readonly Buffer[] = [],
): Readable {
  let size = 0;
  let last: Buffer | undefined;
  return gatherBody(incoming, {
    first,
    pass(piece) {
      size += piece.length;
      if (size > maxBytes) {
        return new BodyTooLargeError(`more than ${maxBytes} bytes`);
      }
      onStreamed?.(piece);
      const before = last;
      last = piece;
      return before;
    },
    end() {
      if (mayEnd?.() === false) {
        return new BodyRefusedError("a request that may not run");
      }
      return last;
    },
  });
}

/** What a gathered body consists of. */
export interface GatheredOptions {
  /** Pieces that were read before. */
  readonly first?: readonly Buffer[];
  /** Returns what is passed on in place of a piece, if anything; an error ends the body. */
  pass?(piece: Buffer): Buffer | Error | undefined;
  /** Returns what is passed on last, if anything; an error ends the body. */
  end?(): Buffer | Error | undefined;
}

/**
 * The body of a request as a stream that passes on in one piece what one read
 * returned of it: each small piece would cost as much as a large one wherever it
 * passes. Destroying it reads the rest and drops it.
 */
export function gatherBody(
  incoming: IncomingMessage,
  options: GatheredOptions = {},
): Readable {
  const { first = [], pass = (piece) => piece, end = () => undefined } =
    options;
  let pieces: Buffer[] = first.filter(({ length }) => length > 0);
  const body = new Readable({
    read: () => void incoming.resume(),
    destroy,
    highWaterMark: 1,
  });
  body.on("error", () => {});
  incoming.pause();
  incoming.on("data", receive);
  incoming.pause();
  if (pieces.length > 0) queueMicrotask(flush);
  incoming.once("end", () => {
    flush();
    if (body.destroyed) return;
    push(end());
    if (!body.destroyed) body.push(null);
  });
  incoming.on("error", (error) => body.destroy(error));
  incoming.once("close", () => {
    if (!incoming.readableEnded) {
      body.destroy(new Error("closed before its end"));
    }
  });
  return body;

  function receive(piece: Buffer): void {
    if (pieces.push(piece) === 1) queueMicrotask(flush);
  }

  function flush(): void {
    if (pieces.length === 0 || body.destroyed) return;
    const gathered = pieces.length === 1 ? pieces[0]! : Buffer.concat(pieces);
    pieces = [];
    push(pass(gathered));
  }

  function push(piece: Buffer | Error | undefined): void {
    if (piece instanceof Error) body.destroy(piece);
    else if (piece !== undefined && !body.destroyed && !body.push(piece)) {
      incoming.pause();
    }
  }

  function destroy(
    error: Error | null,
    done: (error: Error | null) => void,
  ): void {
    pieces = [];
    incoming.off("data", receive);
    incoming.resume();
    done(error);
  }
}
