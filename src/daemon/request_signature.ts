/** What identifies a request that comes again, in whichever attempt and at whichever daemon. */

import type { Buffer } from "node:buffer";
import { createHash } from "node:crypto";
import type { IncomingMessage } from "node:http";

/** Length of a signature; its 96 bits tell far more requests apart than are ever compared. */
const SIGNATURE_LENGTH = 16;

/**
 * Returns a function that computes the digest of method, hostname, path and body
 * once. A body that is streamed counts by its stated length only.
 */
export function createSignature(
  { method, headers, url }: Pick<IncomingMessage, "method" | "headers" | "url">,
  body: Buffer | null,
): () => string {
  let signature: string | undefined;
  return () => signature ??= compute();

  function compute(): string {
    const length = body === null ? headers["content-length"] : undefined;
    const hash = createHash("sha256");
    hash.update(JSON.stringify([method, headers.host, url, length ?? null]));
    if (body !== null) hash.update(body);
    return hash.digest("base64url").slice(0, SIGNATURE_LENGTH);
  }
}
