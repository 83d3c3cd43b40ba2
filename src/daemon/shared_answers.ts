/**
 * Answers on connections that requests share: an answer that is cut would take
 * with it what is behind it (docs/design/0022). Also states the length of answers
 * to callers who would else have to take the end of the connection for theirs.
 */

import type { IncomingMessage } from "node:http";
import type { MemoryBudget } from "../core/memory_budget.ts";
import { mayHaveBody } from "../link/final_status.ts";
import type { StreamedResponse } from "../link/types.ts";
import { createResponseReader } from "../upstream/response_reader.ts";
import type { Place } from "./caller_connections.ts";
import type { Clock } from "./clock.ts";

/** Settings of the preparation. */
export interface SharedAnswersOptions {
  readonly clock: Clock;
  /** Budget of the responses that are read whole. */
  readonly memory: MemoryBudget;
}

/** Prepares responses for their connections. */
export interface SharedAnswers {
  /**
   * Waits for the turn of a response. Its body is read to its end before, within
   * bounds, if requests are behind it or its caller doesn't know chunks. Resolves
   * to an error if the body was cut.
   */
  prepare(
    place: Place,
    response: StreamedResponse,
  ): Promise<StreamedResponse | Error>;
}

/** Creates the preparation. */
export function createSharedAnswers(
  { clock, memory }: SharedAnswersOptions,
): SharedAnswers {
  const reader = createResponseReader({
    clock,
    memory,
    protocol: { buffersResponses: true },
  });
  return { prepare };

  async function prepare(
    place: Place,
    response: StreamedResponse,
  ): Promise<StreamedResponse | Error> {
    const { incoming } = place;
    if (response.bytes !== undefined) {
      await place.whenFirst();
      return statesItsEnd(incoming, response)
        ? response
        : setLength(response, response.bytes.length);
    }
    const { body } = response;
    body.on("error", ignoreError);
    await place.whenFirst();
    if (body.errored) return body.errored;
    const mayBeCut = !response.isComplete && !place.isNewest();
    if (!mayBeCut && statesItsEnd(incoming, response)) return response;
    try {
      const read = await readWhole(response);
      if (place.isNewest() || statesItsEnd(incoming, read)) return read;
      read.body.destroy();
      return new Error("too large for a caller that doesn't know chunks");
    } catch (error) {
      return error instanceof Error ? error : new Error(String(error));
    }
  }

  async function readWhole(
    response: StreamedResponse,
  ): Promise<StreamedResponse> {
    const { headers } = response;
    // Other daemons send what has no length in chunks, or as frames with an end.
    const framed = headers["content-length"] === undefined
      ? { ...headers, "transfer-encoding": "chunked" }
      : headers;
    const result = await reader.read({ ...response, headers: framed });
    if ("response" in result) return result.response;
    throw new Error(result.failure.message);
  }
}

/**
 * True if the bytes of an answer tell its end to the caller: by a length, or in
 * chunks, which HTTP/1.0 doesn't know.
 */
export function statesItsEnd(
  { httpVersion, method }: IncomingMessage,
  { status, headers }: StreamedResponse,
): boolean {
  return httpVersion !== "1.0" || headers["content-length"] !== undefined ||
    !mayHaveBody(method, status);
}

function setLength(
  response: StreamedResponse,
  bytes: number,
): StreamedResponse {
  const headers = { ...response.headers, "content-length": String(bytes) };
  return { ...response, headers };
}

/** What becomes of the error is decided where the body is used. */
function ignoreError(): void {}
