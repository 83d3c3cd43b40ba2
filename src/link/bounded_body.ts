/** Reads bodies to their end that may be larger than what a daemon can hold. */

import { Buffer } from "node:buffer";
import type { Readable } from "node:stream";

/** A response has no end within its bound. */
export class EndlessBodyError extends Error {}

/** Bound of a body. */
export interface BodyBound {
  /** Largest body, in bytes. */
  readonly maxBytes: number;
  /** Called for each piece, with its size in bytes. */
  onPiece?(bytes: number): void;
}

/** Reads a body; rejects with an EndlessBodyError beyond the bound, and then closes its connection. */
export async function readBounded(
  body: Readable,
  { maxBytes, onPiece }: BodyBound,
): Promise<Buffer> {
  const pieces: Buffer[] = [];
  let held = 0;
  // Leaving the loop early destroys the body.
  for await (const piece of body as AsyncIterable<Buffer>) {
    onPiece?.(piece.length);
    held += piece.length;
    if (held > maxBytes) {
      throw new EndlessBodyError(`no end of a body after ${maxBytes} bytes`);
    }
    pieces.push(piece);
  }
  return Buffer.concat(pieces);
}
