/**
 * Answers on connections that requests share: an answer that is cut, or that only
 * the end of its connection ends, would take with it what is behind it
 * (docs/design/0022).
 */

import type { IncomingMessage } from "node:http";
import type { MemoryBudget } from "../core/memory_budget.ts";
import type { StreamedResponse } from "../link/types.ts";
import { Header } from "../link/wire.ts";
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
   * bounds, if requests are behind it. Resolves to an error if the body was cut.
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
      return isUndelimited(incoming, response)
        ? setLength(response, response.bytes.length)
        : response;
    }
    const { body } = response;
    body.on("error", ignoreError);
    await place.whenFirst();
    if (body.errored) return body.errored;
    const isWhole = response.isComplete && !isUndelimited(incoming, response);
    if (isWhole || place.isNewest()) return response;
    try {
      const read = await readWhole(response);
      if (!isUndelimited(incoming, read)) return read;
      read.body.destroy();
      return new Error("too large for a caller that doesn't know chunks");
    } catch (error) {
      return error instanceof Error ? error : new Error(String(error));
    }
  }

  async function readWhole(
    response: StreamedResponse,
  ): Promise<StreamedResponse> {
    const { [Header.Unframed]: _, ...headers } = response.headers;
    // The reader states the length of what is in chunks; the end of the rest is told by its error.
    const framed = headers["content-length"] === undefined
      ? { ...headers, "transfer-encoding": "chunked" }
      : headers;
    const result = await reader.read({ ...response, headers: framed });
    if ("response" in result) return result.response;
    throw new Error(result.failure.message);
  }
}

/** True if only the end of the upstream's connection ends the body. */
export function isUnframed({ status, headers }: StreamedResponse): boolean {
  return headers[Header.Unframed] !== undefined && status !== 204 &&
    status !== 304;
}

/** The same for the caller, who may not know chunks. */
export function isUndelimited(
  { httpVersion, method }: IncomingMessage,
  response: StreamedResponse,
): boolean {
  return isUnframed(response) ||
    (httpVersion === "1.0" && method !== "HEAD" &&
      response.headers["content-length"] === undefined);
}

function setLength(
  response: StreamedResponse,
  bytes: number,
): StreamedResponse {
  const { [Header.Unframed]: _, ...headers } = response.headers;
  headers["content-length"] = String(bytes);
  return { ...response, headers };
}

/** What becomes of the error is decided where the body is used. */
function ignoreError(): void {}
