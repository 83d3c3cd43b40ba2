/**
 * What an upstream is told beside a request and what its answer's head means.
 * The client of an upstream speaks through one of these tables.
 */

import type { IncomingHttpHeaders } from "node:http";
import type { Millis } from "../core/types.ts";
import { getHeader } from "../link/http_headers.ts";
import type { ForwardRequest } from "../link/types.ts";
import { Header } from "../link/wire.ts";

/** What goes along with a request. */
export interface UpstreamCall {
  /** Time left, in ms. */
  readonly timeoutMs: Millis;
  /** The incarnation that is meant; any other must not run the request. */
  readonly instance?: string;
  /** True where the request must not run again. */
  readonly isProtected: boolean;
}

/** What the head of an answer says. */
export enum AnswerStanding {
  Own = "own",
  /** The upstream states that it did not run the request. */
  NotExecuted = "not-executed",
  /** Another incarnation has the address; it did not run the request. */
  WrongInstance = "wrong-instance",
  /** The answer to another request. */
  Foreign = "foreign",
  /** Not a form in which the upstream answers. */
  Garbled = "garbled",
}

/** Head of an answer. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
}

/** Load that an upstream states of itself. */
export interface UpstreamLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** How many times longer than usual work takes now. */
  readonly slowdown: number;
}

type Headers = Record<string, string | string[]>;

/** How one kind of upstream is spoken to. */
export interface UpstreamProtocol {
  createHeaders(forward: ForwardRequest, call: UpstreamCall): Headers;
  judge(forward: ForwardRequest, answer: AnswerHead): AnswerStanding;
  /** The incarnation that answered a health check, or undefined. */
  readInstance(headers: IncomingHttpHeaders): string | undefined;
  /** Load stated by an answer, or undefined. */
  readLoad(headers: IncomingHttpHeaders): UpstreamLoad | undefined;
  /** True holds answers back until they are whole, so that a cut one is noticed. */
  readonly buffersResponses: boolean;
}

const REFUSAL_STATUS = 503;

/** The product's own way: request ids are echoed, a 503 may mean "not started". */
export function createOwnProtocol(
  options: { readonly refusesBeforeStart: boolean },
): UpstreamProtocol {
  return {
    createHeaders: (forward) => ({ ...forward.headers }),
    judge: classifyResponse,
    readInstance: () => undefined,
    readLoad: () => undefined,
    buffersResponses: false,
  };

  function classifyResponse(
    forward: ForwardRequest,
    { status, headers }: AnswerHead,
  ): AnswerStanding {
    const sentId = forward.headers[Header.RequestId];
    const answeredId = getHeader(headers, Header.RequestId);
    if (answeredId !== undefined && answeredId !== sentId) {
      return AnswerStanding.Foreign;
    }
    return options.refusesBeforeStart && status === REFUSAL_STATUS
      ? AnswerStanding.NotExecuted
      : AnswerStanding.Own;
  }
}
