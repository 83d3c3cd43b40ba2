/** Responses whose small body has been received; passing on its bytes needs no stream. */

import type { Buffer } from "node:buffer";
import type { IncomingHttpHeaders, ServerResponse } from "node:http";
import { Readable } from "node:stream";
import type { StreamedResponse } from "./types.ts";

/** Largest body that counts as small, in bytes: one read of a connection. */
export const MAX_SMALL_RESPONSE_BYTES = 16_384;

/** Creates such a response; its stream is created on first use. */
export function createSmallResponse(
  head: { readonly status: number; readonly headers: IncomingHttpHeaders },
  bytes: Buffer,
): StreamedResponse {
  let body: Readable | undefined;
  return {
    ...head,
    isComplete: true,
    bytes,
    get body() {
      return body ??= createStream(bytes);
    },
  };
}

function createStream(bytes: Buffer): Readable {
  return new Readable({
    read() {
      if (bytes.length > 0) this.push(bytes);
      this.push(null);
    },
  });
}

/** Sends the body as the end of a response whose head is written; calls `done` once. */
export function sendBytes(
  bytes: Buffer,
  out: ServerResponse,
  done: (error: Error | undefined) => void,
): void {
  out.on("error", () => {});
  out.once("finish", () => done(undefined));
  out.once("close", () => {
    if (out.writableFinished) return;
    done(new Error("receiver closed prematurely"));
  });
  out.end(bytes);
}
