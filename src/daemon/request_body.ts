/** Detects and buffers request bodies. */

import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import { finished } from "node:stream";

/** True if the headers of a request announce a body. */
export function hasBody(incoming: IncomingMessage): boolean {
  const { headers } = incoming;
  return headers["transfer-encoding"] !== undefined ||
    Number(headers["content-length"] ?? 0) > 0;
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
