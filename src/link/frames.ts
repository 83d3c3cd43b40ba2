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
  /** The guard reads no further request on the connection; one that it has not begun to answer never runs. */
  Closing = 6,
  /**
   * A sign of life of a guard, which belongs to no message; from the first one on
   * they go on. Sent only to peers that have stated that they know them.
   */
  Alive = 7,
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
  writePrefix(frame, kind, { headBytes, bodyBytes: body.length });
  frame.write(head, PREFIX_BYTES);
  body.copy(frame, PREFIX_BYTES + headBytes);
  return frame;
}

/** The frame of a sign of life. */
export const ALIVE: Buffer = encodeFrame(FrameKind.Alive);

/** Encodes what precedes the bytes of a part, which need no copy. */
export function encodePartPrefix(bodyBytes: number): Buffer {
  const prefix = Buffer.allocUnsafe(PREFIX_BYTES);
  writePrefix(prefix, FrameKind.Part, { headBytes: 0, bodyBytes });
  return prefix;
}

function writePrefix(
  to: Buffer,
  kind: FrameKind,
  { headBytes, bodyBytes }: { headBytes: number; bodyBytes: number },
): void {
  to[0] = kind;
  to.writeUInt32BE(headBytes, HEAD_LENGTH_AT);
  to.writeUInt32BE(bodyBytes, BODY_LENGTH_AT);
}

/** Reads frames from the bytes of one connection. */
export interface FrameReader {
  /** Reads a chunk; false once the bytes are no frames, after which nothing more is read. */
  read(chunk: Buffer): boolean;
}

/**
 * Creates a reader; `onFrame` is called for each whole frame, but for a part of a
 * body with its bytes as they arrive: streams that wait hold one read each.
 */
export function createFrameReader(
  onFrame: (frame: Frame) => void,
): FrameReader {
  /** Holds the bytes of a frame that is not whole, and has room for more. */
  let pending: Buffer = NO_BYTES;
  let pendingBytes = 0;
  /** Bytes of the present part that have not arrived. */
  let partBytes = 0;
  return { read };

  function read(chunk: Buffer): boolean {
    const bytes = pendingBytes === 0 ? chunk : append(chunk);
    let rest = bytes;
    while (rest.length > 0) {
      const taken = partBytes > 0 ? takePart(rest) : takeFrame(rest);
      if (taken === undefined) return false;
      if (taken === 0) break;
      rest = rest.subarray(taken);
    }
    if (rest.length < bytes.length || pendingBytes === 0) {
      pending = rest.length < PREFIX_BYTES ? Buffer.from(rest) : rest;
    }
    pendingBytes = rest.length;
    return true;
  }

  /** Copies each byte a few times at most, however small the chunks are. */
  function append(chunk: Buffer): Buffer {
    const length = pendingBytes + chunk.length;
    if (length > pending.length) {
      const larger = Buffer.allocUnsafe(Math.max(length, 2 * pendingBytes));
      pending.copy(larger, 0, 0, pendingBytes);
      pending = larger;
    }
    chunk.copy(pending, pendingBytes);
    pendingBytes = length;
    return pending.subarray(0, length);
  }

  function takePart(bytes: Buffer): number {
    const body = bytes.subarray(0, partBytes);
    partBytes -= body.length;
    onFrame({ kind: FrameKind.Part, head: "", body });
    return body.length;
  }

  /** Returns the number of bytes taken, 0 if the frame is not whole, undefined if it is none. */
  function takeFrame(bytes: Buffer): number | undefined {
    const kind = bytes[0]! as FrameKind;
    if (!(kind in FrameKind)) return undefined;
    if (bytes.length < PREFIX_BYTES) return 0;
    const headBytes = bytes.readUInt32BE(HEAD_LENGTH_AT);
    const bodyBytes = bytes.readUInt32BE(BODY_LENGTH_AT);
    const isInBounds = headBytes <= MAX_FRAME_HEAD_BYTES &&
      bodyBytes <= MAX_FRAME_BODY_BYTES;
    if (!isInBounds) return undefined;
    if (kind === FrameKind.Part && headBytes === 0) {
      // None is sent, and without end they would be as many as the bytes allow.
      if (bodyBytes === 0) return undefined;
      partBytes = bodyBytes;
      return PREFIX_BYTES;
    }
    const bodyAt = PREFIX_BYTES + headBytes;
    const end = bodyAt + bodyBytes;
    if (bytes.length < end) return 0;
    const head = bytes.toString("utf8", PREFIX_BYTES, bodyAt);
    onFrame({ kind, head, body: bytes.subarray(bodyAt, end) });
    return end;
  }
}
