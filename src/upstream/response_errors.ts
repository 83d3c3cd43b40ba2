/** Errors with which responses of upstreams end before their end. */

import type { Diagnostic } from "../core/diagnostics.ts";

/** A response ended before its end. */
export class ResponseCutError extends Error {
  readonly diagnostic: Diagnostic;
  constructor(diagnostic: Diagnostic, message: string) {
    super(message);
    this.diagnostic = diagnostic;
  }
}

/** The request was cancelled by this daemon. */
export class AbortError extends Error {
  constructor() {
    super("cancelled: its caller is gone or its time has passed");
  }
}

/** An upstream sent bytes without end in place of a response. */
export class EndlessResponseError extends Error {}

/** Errors of the parser for a head, trailers or a chunk's extensions over the bound. */
const OVERFLOW_CODES = new Set<unknown>([
  "HPE_HEADER_OVERFLOW",
  "HPE_CHUNK_EXTENSIONS_OVERFLOW",
  "UND_ERR_HEADERS_OVERFLOW",
]);

/** True if a response was ended because its head, trailers or informational responses exceed their bound. */
export function isEndlessHead(error: unknown): boolean {
  return error instanceof EndlessResponseError ||
    OVERFLOW_CODES.has((error as { code?: unknown } | null)?.code);
}
