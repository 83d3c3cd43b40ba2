/**
 * The body of a chunked response. A chunk of one byte costs as much processor
 * time as one of 16 KB, so that small ones are passed on in one piece for each
 * read, and read no faster than at a bounded rate.
 */

import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import { Readable } from "node:stream";
import type { RateLimit } from "../core/rate_limit.ts";
import { weighPiece } from "../link/small_pieces.ts";
import { EndlessResponseError } from "./response_errors.ts";

/**
 * Bytes that frame a body: its head, sizes and extensions of chunks, trailers. A
 * larger body may have as many as its own size, which chunks of 6 bytes have.
 */
const MAX_FRAMING_BYTES = 1_048_576;
/** Creates the body; to be called as the head arrives. Destroying it closes the connection of the response. */
export function createChunkedBody(
  res: IncomingMessage,
  smallChunks: RateLimit,
): Readable {
  const { socket } = res;
  let pieces: Buffer[] = [];
  let wireBytes = 0;
  let bodyBytes = 0;
  let isWanted = false;
  let holdTimer: NodeJS.Timeout | undefined;
  // Holds what one read returned at most; what follows waits in the connection.
  const body = new Readable({ read, destroy, highWaterMark: 1 });
  // A response that isn't read resumes its connection as long as its buffer has room.
  const readMore = res._read.bind(res);
  res._read = (size) => {
    if (holdTimer === undefined) readMore(size);
  };
  res.pause();
  res.on("data", receive);
  res.pause();
  res.once("end", () => {
    leaveConnection();
    flush();
    body.push(null);
  });
  res.on("error", (error) => body.destroy(error));
  res.once("close", () => {
    if (!res.readableEnded) body.destroy(new Error("closed before its end"));
  });
  socket.on("data", count);
  body.on("error", () => {});
  return body;

  function read(): void {
    isWanted = true;
    if (holdTimer === undefined) res.resume();
  }

  function receive(piece: Buffer): void {
    bodyBytes += piece.length;
    smallChunks.add(weighPiece(piece));
    if (pieces.push(piece) === 1) queueMicrotask(flush);
  }

  /** Passes on what one read returned. */
  function flush(): void {
    if (pieces.length === 0 || body.destroyed) return;
    const piece = pieces.length === 1 ? pieces[0]! : Buffer.concat(pieces);
    pieces = [];
    isWanted = false;
    if (!body.push(piece)) res.pause();
  }

  function count(chunk: Buffer): void {
    wireBytes += chunk.length;
    const framing = wireBytes - bodyBytes - res.readableLength;
    if (framing > Math.max(MAX_FRAMING_BYTES, bodyBytes)) {
      body.destroy(new EndlessResponseError("chunks are framed without end"));
    } else limitRate();
  }

  function limitRate(): void {
    const waitMs = smallChunks.getWaitMs();
    if (waitMs === 0 || holdTimer !== undefined) return;
    holdTimer = setTimeout(release, waitMs);
    res.pause();
    socket.pause();
  }

  function release(): void {
    holdTimer = undefined;
    if (body.destroyed) return;
    readMore(0);
    if (isWanted) res.resume();
  }

  /** The connection may serve another exchange before the body has been read. */
  function leaveConnection(): void {
    socket.off("data", count);
    if (holdTimer === undefined) return;
    clearTimeout(holdTimer);
    holdTimer = undefined;
    socket.resume();
  }

  function destroy(
    error: Error | null,
    done: (error: Error | null) => void,
  ): void {
    clearTimeout(holdTimer);
    socket.off("data", count);
    pieces = [];
    if (!res.readableEnded) res.destroy(error ?? undefined);
    done(error);
  }
}
