/**
 * Reads the body of a response: buffers it to its end, so that a cut is found
 * before the caller gets anything, or streams it where it is large or the budget
 * for buffered bytes is used up. Each kind of body has a bound.
 */

import { Buffer } from "node:buffer";
import type { IncomingHttpHeaders } from "node:http";
import type { Diagnostic } from "../core/diagnostics.ts";
import { Diagnostics } from "../core/diagnostics.ts";
import type { MemoryBudget } from "../core/memory_budget.ts";
import { Execution } from "../core/types.ts";
import type { Clock } from "../daemon/clock.ts";
import { type ByteBuffer, createByteBuffer } from "../link/byte_buffer.ts";
import { getHeader } from "../link/http_headers.ts";
import {
  createSmallResponse,
  MAX_SMALL_RESPONSE_BYTES,
} from "../link/small_response.ts";
import type { StreamedResponse } from "../link/types.ts";
import { createResponseBody } from "./response_body.ts";
import type { UpstreamProtocol } from "./upstream_protocol.ts";

/** Largest head, also of an informational response, and largest trailers, in bytes; the default of Node.js. */
export const MAX_RESPONSE_HEAD_BYTES = 16_384;
/** Informational responses to one request; servers send one or a few (100, 102, 103). */
export const MAX_INFORMATIONAL_RESPONSES = 32;
/**
 * Bodies up to this size are buffered, in bytes. A body whose end is given only
 * by the end of its connection must not be larger, as its end can't be told
 * from a cut.
 */
export const MAX_BUFFERED_RESPONSE_BYTES = 1_048_576;
/**
 * Bound of a chunked body, in bytes: a hundred times the largest response of
 * the deployments (540 KB). A larger response has to state its length.
 */
export const MAX_CHUNKED_RESPONSE_BYTES = 67_108_864;
/** Stated length up to which a response is streamed as it is; it fits into the buffers of its streams. */
const MAX_SMALL_BYTES = 65_536;

/** Settings of a reader. */
export interface ResponseReaderOptions {
  readonly clock: Clock;
  readonly protocol: Pick<UpstreamProtocol, "buffersResponses">;
  readonly memory: MemoryBudget;
  onEndless?(): void;
}

/** A response that may be passed on, or why there is none. */
export type ReadResult =
  | { readonly response: StreamedResponse }
  | {
    readonly failure: {
      readonly execution: Execution;
      readonly diagnostic: Diagnostic;
      readonly message: string;
    };
  };

/** Reads bodies of responses. */
export interface ResponseReader {
  /** Resolves once the body is buffered or is to be streamed; rejects if it is cut before. */
  read(response: StreamedResponse): Promise<ReadResult>;
}

/** Creates a reader. */
export function createResponseReader(
  options: ResponseReaderOptions,
): ResponseReader {
  const { memory, protocol } = options;
  return { read };

  function read(response: StreamedResponse): Promise<ReadResult> {
    const { body } = response;
    // A fault in the bytes after the head may be found before the head is handled.
    if (body.destroyed) {
      return Promise.reject(body.errored ?? new Error("closed after its head"));
    }
    const buffered = createByteBuffer(memory, { isFreedOnRelease: true });
    const length = getLength(response.headers);
    const isBuffered = protocol.buffersResponses &&
      (length ?? 0) <= MAX_BUFFERED_RESPONSE_BYTES &&
      buffered.reserve(length ?? 0);
    if (isBuffered) return buffer(response, buffered);
    return Promise.resolve({ response: stream(response, { buffered }) });
  }

  function buffer(
    response: StreamedResponse,
    buffered: ByteBuffer,
  ): Promise<ReadResult> {
    const { body } = response;
    return new Promise((resolve, reject) => {
      body.on("data", onData).on("end", onEnd);
      body.on("error", onCut).on("close", onCut);
      body.resume();

      function onData(chunk: Buffer): void {
        const size = buffered.size() + chunk.length;
        const isTooLarge = size > MAX_BUFFERED_RESPONSE_BYTES;
        if (!isTooLarge && buffered.append(chunk)) return;
        stopReading();
        if (isTooLarge && isUnframed(response.headers)) {
          buffered.release();
          body.on("error", () => {});
          body.destroy();
          resolve(cutEndless());
          return;
        }
        body.pause();
        const rest = { buffered, pending: chunk };
        resolve({ response: stream(response, rest) });
      }

      function onEnd(): void {
        stopReading();
        resolve({ response: createComplete(response, buffered) });
      }

      function onCut(error?: Error): void {
        stopReading();
        buffered.release();
        reject(error ?? new Error("closed before the end of the response"));
      }

      function stopReading(): void {
        body.off("data", onData).off("end", onEnd);
        body.off("error", onCut).off("close", onCut);
      }
    });
  }

  function cutEndless(): ReadResult {
    options.onEndless?.();
    return {
      failure: {
        execution: Execution.MayHaveRun,
        diagnostic: Diagnostics.response_too_large,
        message:
          `no end and no length after ${MAX_BUFFERED_RESPONSE_BYTES} bytes`,
      },
    };
  }

  function createComplete(
    response: StreamedResponse,
    buffered: ByteBuffer,
  ): StreamedResponse {
    const { status } = response;
    const headers = {
      ...response.headers,
      "content-length": String(buffered.size()),
    };
    if (buffered.size() <= MAX_SMALL_RESPONSE_BYTES) {
      const bytes = buffered.take() ?? Buffer.alloc(0);
      return createSmallResponse({ status, headers }, bytes);
    }
    const body = createResponseBody({ clock: options.clock, buffered });
    return { status, headers, body, isComplete: true };
  }

  function stream(
    response: StreamedResponse,
    read: { buffered: ByteBuffer; pending?: Buffer },
  ): StreamedResponse {
    const { status, headers, body } = response;
    if ((getLength(headers) ?? Infinity) <= MAX_SMALL_BYTES) return response;
    return {
      status,
      headers,
      body: createResponseBody({
        ...read,
        clock: options.clock,
        rest: body,
        maxBytes: getMaxBytes(headers),
        ...(options.onEndless && { onEndless: options.onEndless }),
      }),
    };
  }

  function getMaxBytes(headers: IncomingHttpHeaders): number {
    if (getLength(headers) !== undefined) return Infinity;
    return protocol.buffersResponses && isUnframed(headers)
      ? MAX_BUFFERED_RESPONSE_BYTES
      : MAX_CHUNKED_RESPONSE_BYTES;
  }
}

/** The stated length of a body, in bytes, or undefined. */
function getLength(headers: IncomingHttpHeaders): number | undefined {
  const text = getHeader(headers, "content-length");
  return text === undefined ? undefined : Number(text);
}

/** True if only the end of the connection ends the body. */
export function isUnframed(headers: IncomingHttpHeaders): boolean {
  return headers["content-length"] === undefined &&
    headers["transfer-encoding"] === undefined;
}
