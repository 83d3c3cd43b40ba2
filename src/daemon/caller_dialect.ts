/** How callers of a deployment state their requests and are answered. */

import type { IncomingHttpHeaders } from "node:http";
import type { Millis, ServiceName, Verdict } from "../core/types.ts";

/** Headers by name. */
export type Headers = Record<string, string | string[]>;

/** What a caller states beside its request. */
export interface CallerMetadata {
  /** The caller's own name for this request, if it gave a usable one. */
  readonly id?: string;
  /** How long the caller waits, in ms, if it said so. */
  readonly timeoutMs?: Millis;
}

/** One way of speaking with callers. */
export interface CallerDialect {
  read(headers: IncomingHttpHeaders): CallerMetadata;
  /** Headers that go on to the upstream; states where the request began. */
  createForwardHeaders(
    headers: IncomingHttpHeaders,
    origin: ServiceName,
  ): Headers;
  /** Headers of an upstream's answer that go on to the caller. */
  createAnswerHeaders(headers: IncomingHttpHeaders): Headers;
  /** Status and headers of a final word without an answer. */
  createVerdictHead(
    verdict: Verdict,
    id: string | undefined,
  ): { status: number; headers: Headers };
}
