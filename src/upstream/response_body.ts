/**
 * Body of a response that is passed on: first the bytes that were buffered,
 * then the rest as its receiver reads it. Ends with an error that tells why a
 * response was cut.
 */

import { Buffer } from "node:buffer";
import { Readable } from "node:stream";
import { Diagnostics } from "../core/diagnostics.ts";
import type { Millis } from "../core/types.ts";
import type { Clock } from "../daemon/clock.ts";
import type { ByteBuffer } from "../link/byte_buffer.ts";
import {
  AbortError,
  isEndlessHead,
  ResponseCutError,
} from "./response_errors.ts";

/**
 * Time that a receiver lets a response wait in all, in ms, from which a cut is
 * attributed to the receiver: upstreams cut responses that stay unread for some
 * seconds, of which the buffers on the way hide a part.
 */
const MIN_UNREAD_MS = 1_000;

/** What a body consists of. */
export interface ResponseBodyOptions {
  readonly clock: Clock;
  readonly buffered: ByteBuffer;
  /** Bytes after the buffered ones that were read already. */
  readonly pending?: Buffer;
  /** The paused rest; absent if all is buffered. */
  readonly rest?: Readable;
  /** Number of bytes at which the response is cut as endless; infinite if its length is stated. */
  readonly maxBytes?: number;
  /** Called when the response is cut as endless. */
  onEndless?(): void;
}

/** Creates the body; destroying it also closes the connection of the rest and frees the buffered bytes. */
export function createResponseBody(options: ResponseBodyOptions): Readable {
  const { buffered, rest, clock, maxBytes = Infinity } = options;
  let { pending } = options;
  let size = buffered.size() + (pending?.length ?? 0);
  let isFlowing = false;
  let isRestEnded = rest === undefined;
  let unreadMs: Millis = 0;
  let unreadSince: Millis | undefined = clock.now();
  // Holds one chunk at most; what follows waits in the connection.
  const body = new Readable({ read, destroy, highWaterMark: 1 });
  rest?.on("data", receive);
  // Adding a listener for data starts the flow of a stream that was never paused.
  rest?.pause();
  rest?.once("end", () => {
    isRestEnded = true;
    if (isFlowing) body.push(null);
  });
  rest?.on("error", (error) => body.destroy(toCut(error)));
  rest?.once("close", () => {
    if (!rest.readableEnded) body.destroy(toCut(new Error("closed")));
  });
  return body;

  function read(): void {
    if (unreadSince !== undefined) {
      unreadMs += clock.now() - unreadSince;
      unreadSince = undefined;
    }
    const piece = buffered.take() ?? pending;
    if (piece !== undefined) {
      if (piece === pending) pending = undefined;
      pause();
      body.push(piece);
    } else if (isRestEnded) body.push(null);
    else if (!isFlowing) {
      isFlowing = true;
      rest?.resume();
    }
  }

  function receive(chunk: Buffer): void {
    size += chunk.length;
    if (size > maxBytes) {
      options.onEndless?.();
      body.destroy(
        new ResponseCutError(
          Diagnostics.response_too_large,
          `no end after ${maxBytes} bytes`,
        ),
      );
      return;
    }
    // A receiver that has no room pauses the body while it takes the chunk.
    if (!body.push(chunk) || body.isPaused()) pause();
  }

  function pause(): void {
    isFlowing = false;
    rest?.pause();
    unreadSince ??= clock.now();
  }

  function toCut(error: Error): Error {
    if (error instanceof AbortError) {
      return new ResponseCutError(Diagnostics.upstream_timeout, error.message);
    }
    if (isEndlessHead(error)) {
      options.onEndless?.();
      return new ResponseCutError(
        Diagnostics.response_too_large,
        error.message,
      );
    }
    const waitedMs = unreadMs +
      (unreadSince === undefined ? 0 : clock.now() - unreadSince);
    return new ResponseCutError(
      waitedMs >= MIN_UNREAD_MS
        ? Diagnostics.response_unread
        : Diagnostics.upstream_lost,
      `${error.message}; unread for ${Math.round(waitedMs)} ms`,
    );
  }

  function destroy(
    error: Error | null,
    done: (error: Error | null) => void,
  ): void {
    buffered.release();
    pending = undefined;
    rest?.destroy();
    done(error);
  }
}
