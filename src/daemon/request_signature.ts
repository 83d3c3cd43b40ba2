/** What identifies a request that comes again, in whichever attempt and at whichever daemon. */

import { Buffer } from "node:buffer";
import { createHash, type Hash } from "node:crypto";
import type { IncomingMessage } from "node:http";

/** Length of a signature; its 96 bits tell far more requests apart than are ever compared. */
const SIGNATURE_LENGTH = 16;

/**
 * Returns a function that computes the digest of method, hostname, path and body
 * once. It is the same however the body is framed, kept or streamed.
 */
export function createSignature(
  incoming: SignedHead,
  body: Buffer | null,
): () => string {
  let signature: string | undefined;
  return () =>
    signature ??= finish(begin(incoming).update(body ?? Buffer.alloc(0)));
}

/** The signature of a request whose body is streamed. */
export interface StreamedSignature {
  /** Adds a piece of the body. */
  update(piece: Buffer): void;
  /** Tells that the body is whole. */
  finish(): void;
  /** The signature; undefined while the body isn't whole, as others may begin like it. */
  get(): string | undefined;
}

/** Creates the digest of a request as its body passes. */
export function createStreamedSignature(
  incoming: SignedHead,
): StreamedSignature {
  const hash = begin(incoming);
  let signature: string | undefined;
  return {
    update: (piece) => void hash.update(piece),
    finish: () => void (signature ??= finish(hash)),
    get: () => signature,
  };
}

type SignedHead = Pick<IncomingMessage, "method" | "headers" | "url">;

function begin({ method, headers, url }: SignedHead): Hash {
  const head = JSON.stringify([method, headers.host, url, null]);
  return createHash("sha256").update(head);
}

function finish(hash: Hash): string {
  return hash.digest("base64url").slice(0, SIGNATURE_LENGTH);
}
