/**
 * Frames between daemons: a kind, the lengths of a JSON head and of a body, and
 * these two. A connection carries one exchange at a time, as with HTTP/1.1: a
 * request, then a reply. A small request and its reply take one read each, where
 * HTTP takes some hundred calls of its client, server and streams.
 */

import { Buffer } from "node:buffer";

/** Kinds of frames; none is the first byte of an HTTP request or response. */
export enum FrameKind {
  Request = 1,
  /** The guard has accepted the request; its reply follows. */
  Accepted = 2,
  Reply = 3,
  /** Part of the body of a reply whose head announces parts. */
  Part = 4,
  /** Ends such a body; a connection that ends without it has cut the body. */
  End = 5,
}

/** A frame as received. */
export interface Frame {
  readonly kind: FrameKind;
  /** JSON text; empty if the kind has no head. */
  readonly head: string;
  readonly body: Buffer;
}

/** First byte of a response of a peer that knows no frames. */
export const HTTP_FIRST_BYTE = "H".charCodeAt(0);
/** Largest head, in bytes: that of a caller's request and as much for the guard. */
export const MAX_FRAME_HEAD_BYTES = 262_144;
/** Largest body of one frame, in bytes. */
export const MAX_FRAME_BODY_BYTES = 65_536;
/** Kind, length of the head, length of the body. */
const PREFIX_BYTES = 9;
const HEAD_LENGTH_AT = 1;
const BODY_LENGTH_AT = 5;
const NO_BYTES = Buffer.alloc(0);

/** Encodes a frame in one piece, so that it is sent by one write. */
export function encodeFrame(
  kind: FrameKind,
  head = "",
  body: Buffer = NO_BYTES,
): Buffer {
  const headBytes = Buffer.byteLength(head);
  const frame = Buffer.allocUnsafe(PREFIX_BYTES + headBytes + body.length);
  frame[0] = kind;
  frame.writeUInt32BE(headBytes, HEAD_LENGTH_AT);
  frame.writeUInt32BE(body.length, BODY_LENGTH_AT);
  frame.write(head, PREFIX_BYTES);
  body.copy(frame, PREFIX_BYTES + headBytes);
  return frame;
}

/** Reads frames from the bytes of one connection. */
export interface FrameReader {
  /** Reads a chunk; false once the bytes are no frames, after which nothing more is read. */
  read(chunk: Buffer): boolean;
}

/** Creates a reader; `onFrame` is called for each whole frame. */
export function createFrameReader(
  onFrame: (frame: Frame) => void,
): FrameReader {
  let pending: Buffer = NO_BYTES;
  return { read };

  function read(chunk: Buffer): boolean {
    pending = pending.length === 0 ? chunk : Buffer.concat([pending, chunk]);
    while (pending.length > 0) {
      if (!(pending[0]! in FrameKind)) return false;
      if (pending.length < PREFIX_BYTES) return true;
      const headBytes = pending.readUInt32BE(HEAD_LENGTH_AT);
      const bodyBytes = pending.readUInt32BE(BODY_LENGTH_AT);
      const isInBounds = headBytes <= MAX_FRAME_HEAD_BYTES &&
        bodyBytes <= MAX_FRAME_BODY_BYTES;
      if (!isInBounds) return false;
      const bodyAt = PREFIX_BYTES + headBytes;
      const end = bodyAt + bodyBytes;
      if (pending.length < end) return true;
      const frame = {
        kind: pending[0]! as FrameKind,
        head: pending.toString("utf8", PREFIX_BYTES, bodyAt),
        body: pending.subarray(bodyAt, end),
      };
      pending = pending.subarray(end);
      onFrame(frame);
    }
    return true;
  }
}
