/**
 * Protocols of upstreams: headers sent with a request and the interpretation of
 * the response head. The client of an upstream uses one of these.
 */

import type { IncomingHttpHeaders } from "node:http";
import type { Millis, ResponseNotice } from "../core/types.ts";
import { getHeader } from "../link/http_headers.ts";
import type { ForwardRequest } from "../link/types.ts";
import { Header } from "../link/wire.ts";

/** Metadata of a request to an upstream. */
export interface UpstreamCall {
  /** Remaining time of the request, in ms. */
  readonly timeoutMs: Millis;
  /** Incarnation that may run the request; any other must not. */
  readonly instance?: string;
  /** True if the request must not run more than once. */
  readonly isAtMostOnce: boolean;
}

/** Classification of a response by its head. */
export enum ResponseClass {
  /** The response to this request. */
  Valid = "own",
  /** The upstream states that it did not run the request. */
  NotExecuted = "not-executed",
  /** From another incarnation at this address, which did not run the request. */
  WrongInstance = "wrong-instance",
  /** The response to another request. */
  Mismatched = "foreign",
  /** Not of the form of the upstream's responses. */
  Malformed = "garbled",
}

/** Status and headers of a response. */
export interface ResponseHead {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
}

/** Load that an upstream reports. */
export interface UpstreamLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** Ratio of the current to the usual processing time. */
  readonly slowdown: number;
}

type Headers = Record<string, string | string[]>;

/** Protocol of one kind of upstream. */
export interface UpstreamProtocol {
  createHeaders(forward: ForwardRequest, call: UpstreamCall): Headers;
  classify(forward: ForwardRequest, response: ResponseHead): ResponseClass;
  /** Incarnation that responded to a health check, or undefined. */
  readInstance(headers: IncomingHttpHeaders): string | undefined;
  /** Time for which a health response states that the upstream is cold, in ms; undefined if that can't be read. */
  readColdMs(headers: IncomingHttpHeaders): Millis | undefined;
  /** Load reported by a response, or undefined. */
  readLoad(headers: IncomingHttpHeaders): UpstreamLoad | undefined;
  /** What a response states about the upstream itself. */
  readNotice(headers: IncomingHttpHeaders): ResponseNotice;
  /**
   * True if responses, except large ones, are buffered until complete, so that
   * truncation is detected.
   */
  readonly buffersResponses: boolean;
}

const REFUSAL_STATUS = 503;

/** Default protocol: request ids may be echoed, and a 503 may mean "not started". */
export function createDefaultProtocol(
  options: { readonly refusesBeforeStart: boolean },
): UpstreamProtocol {
  return {
    createHeaders: (forward) => ({ ...forward.headers }),
    classify: classifyResponse,
    readInstance: () => undefined,
    readColdMs: () => 0,
    readLoad: () => undefined,
    readNotice: () => ({ isLeaving: false, isComplete: true }),
    buffersResponses: false,
  };

  function classifyResponse(
    forward: ForwardRequest,
    { status, headers }: ResponseHead,
  ): ResponseClass {
    const sentId = forward.headers[Header.RequestId];
    const echoedId = getHeader(headers, Header.RequestId);
    if (echoedId !== undefined && echoedId !== sentId) {
      return ResponseClass.Mismatched;
    }
    return options.refusesBeforeStart && status === REFUSAL_STATUS
      ? ResponseClass.NotExecuted
      : ResponseClass.Valid;
  }
}
