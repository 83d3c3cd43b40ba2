/** Headers that a deployment's callers send and receive. */

import type { IncomingHttpHeaders } from "node:http";
import type { Millis, ServiceName, Verdict } from "../core/types.ts";

/** Headers by name. */
export type Headers = Record<string, string | string[]>;

/** Metadata of a request, from its headers. */
export interface CallerMetadata {
  /** The caller's own id of this request, if it sent a valid one. */
  readonly id?: string;
  /** The caller's timeout, in ms, if it sent one. */
  readonly timeoutMs?: Millis;
}

/** The header conventions of a deployment's callers. */
export interface CallerDialect {
  read(headers: IncomingHttpHeaders): CallerMetadata;
  /** Headers to forward to the upstream, among them the origin of the request. */
  createForwardHeaders(
    headers: IncomingHttpHeaders,
    origin: ServiceName,
  ): Headers;
  /** Headers of an upstream's response that are passed on to the caller. */
  createResponseHeaders(headers: IncomingHttpHeaders): Headers;
  /** Status and headers for a request that ends without an upstream's response. */
  createVerdictHead(
    verdict: Verdict,
    id: string | undefined,
  ): { status: number; headers: Headers };
}
