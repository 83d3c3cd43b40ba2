/**
 * JSON heads of the frames between daemons. Their fields are checked by a table:
 * a schema library takes a twentieth of a daemon's processor time here.
 */

import { Repeatability, type RequestHead, type Ticket } from "../core/types.ts";
import { isFinalStatus } from "./final_status.ts";
import { Step } from "./wire.ts";

/** Header names with their values. */
export type FrameHeaders = Readonly<Record<string, string | string[]>>;

/** Head of a request frame. */
export interface RequestFrameHead {
  readonly step: Step;
  readonly ticket: Ticket;
  /** Of reservations and submissions. */
  readonly head?: RequestHead;
  readonly grant?: string;
  readonly method?: string;
  readonly path?: string;
  readonly headers?: FrameHeaders;
  /** True if the sender knows signs of life. */
  readonly knowsSigns?: boolean;
}

/** Head of a reply frame. */
export interface ReplyFrameHead {
  /** The load report, under the names of the HTTP headers. */
  readonly meta: FrameHeaders;
  /** Encoded verdict of a refusal. */
  readonly verdict?: string;
  /** Names the request of a refusal: the hash of its ticket, which is shorter. */
  readonly of?: number;
  readonly grant?: string;
  readonly key?: string;
  readonly ticket?: Ticket;
  /** A kept response. */
  readonly replay?: unknown;
  readonly status?: number;
  readonly headers?: FrameHeaders;
  /** True if the body follows in parts. */
  readonly hasParts?: boolean;
}

type Check = (value: unknown) => boolean;

const isText: Check = (value) => typeof value === "string";
const isName: Check = (value) => typeof value === "string" && value !== "";
const isFlag: Check = (value) => typeof value === "boolean";
const isNumber: Check = (value) =>
  typeof value === "number" && Number.isFinite(value);
const isTime: Check = (value) => isNumber(value) && value as number >= 0;
const isAnything: Check = () => true;
const isOptional = (check: Check): Check => (value) =>
  value === undefined || check(value);
const isOneOf = (values: readonly unknown[]): Check => (value) =>
  values.includes(value);

const checkHead = createCheck<RequestHead>({
  account: isName,
  service: isText,
  repeatability: isOneOf(Object.values(Repeatability)),
  key: isOptional(isText),
  fingerprint: isText,
  timeoutMs: isTime,
  objectiveMs: isOptional(isNumber),
  priority: isOptional(isNumber),
  route: isOptional(isText),
  mayQueue: isOptional(isFlag),
  maxWaitMs: isOptional(isTime),
  isLastChoice: isOptional(isFlag),
  isReturned: isOptional(isFlag),
  instance: isOptional(isText),
  limitPerS: isOptional(isTime),
  bornAt: isOptional(isNumber),
});

const checkRequest = createCheck<RequestFrameHead>({
  step: isOneOf(Object.values(Step)),
  ticket: isName,
  head: isOptional(checkHead),
  grant: isOptional(isText),
  method: isOptional(isName),
  path: isOptional((value) =>
    typeof value === "string" && value.startsWith("/")
  ),
  headers: isOptional(areHeaders),
  knowsSigns: isOptional(isFlag),
});

const checkReply = createCheck<ReplyFrameHead>({
  meta: areHeaders,
  verdict: isOptional(isText),
  of: isOptional(isNumber),
  grant: isOptional(isText),
  key: isOptional(isText),
  ticket: isOptional(isText),
  replay: isAnything,
  status: isOptional((value) =>
    isNumber(value) && isFinalStatus(value as number)
  ),
  headers: isOptional(areHeaders),
  hasParts: isOptional(isFlag),
});

/** Decodes the head of a request; undefined if it is malformed. */
export function decodeRequestFrame(text: string): RequestFrameHead | undefined {
  return decode(text, checkRequest) as RequestFrameHead | undefined;
}

/** Decodes the head of a reply; undefined if it is malformed. */
export function decodeReplyFrame(text: string): ReplyFrameHead | undefined {
  return decode(text, checkReply) as ReplyFrameHead | undefined;
}

/** Creates a check of an object's known fields; it ignores others. */
function createCheck<T>(fields: { [K in keyof Required<T>]: Check }): Check {
  const checks = Object.entries<Check>(fields);
  return (value) =>
    isObject(value) && checks.every(([name, check]) => check(value[name]));
}

function areHeaders(value: unknown): boolean {
  if (!isObject(value)) return false;
  for (const name in value) {
    const it = value[name];
    const isValid = typeof it === "string" ||
      (Array.isArray(it) && it.every(isText));
    if (!isValid) return false;
  }
  return true;
}

function isObject(value: unknown): value is Record<string, unknown> {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

function decode(text: string, check: Check): unknown {
  try {
    const value: unknown = JSON.parse(text);
    return check(value) ? value : undefined;
  } catch {
    return undefined;
  }
}
