/** Bodies of requests: whether there is one, and reading it whole. */

import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import { finished } from "node:stream";

/** True for a request that announces a body. */
export function hasBody(incoming: IncomingMessage): boolean {
  const { headers } = incoming;
  return headers["transfer-encoding"] !== undefined ||
    Number(headers["content-length"] ?? 0) > 0;
}

/** Reads a body to its end; undefined where there is none. */
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

/** True where a body of a stated, moderate size can be held for another send. */
export function canBufferBody(
  incoming: IncomingMessage,
  maxBytes: number,
): boolean {
  if (!hasBody(incoming)) return true;
  const length = incoming.headers["content-length"];
  return length !== undefined && Number(length) <= maxBytes;
}
