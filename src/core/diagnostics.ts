/**
 * Table of diagnostics: every refusal, retry and rejection has a code, a
 * reason for counters and headers, an HTTP status and a text.
 */

/** Categories of diagnostics. */
export enum DiagnosticCategory {
  Refusal = "refusal",
  Link = "link",
  Input = "input",
  Config = "config",
}

/** One row of the table. */
export interface Diagnostic {
  readonly code: number;
  readonly category: DiagnosticCategory;
  /** Name in counters, headers and logs; equal to the key of the row. */
  readonly reason: string;
  /** HTTP status of the response to a caller. */
  readonly status: number;
  /** Message for callers and operators. */
  readonly text: string;
}

const { Refusal, Link, Input, Config } = DiagnosticCategory;

/** All messages. Codes: 1xxx guard, 2xxx gateway, 3xxx input, 4xxx configuration. */
export const Diagnostics = {
  queue_full: row(1001, Refusal, "queue_full", 503, "the queue is full"),
  deadline_too_short: row(
    1002,
    Refusal,
    "deadline_too_short",
    503,
    "the expected wait exceeds the time left",
  ),
  draining: row(1003, Refusal, "draining", 503, "the host is draining"),
  grant_expired: row(
    1004,
    Refusal,
    "grant_expired",
    503,
    "the grant expired before it was used",
  ),
  grant_used: row(
    1005,
    Refusal,
    "grant_used",
    409,
    "the grant was used before",
  ),
  over_fair_share: row(
    1006,
    Refusal,
    "over_fair_share",
    503,
    "the account is over its fair share of a full queue",
  ),
  deadline_in_queue: row(
    1007,
    Refusal,
    "deadline_in_queue",
    503,
    "the deadline passed in the queue",
  ),
  cancelled: row(
    1008,
    Refusal,
    "cancelled",
    499,
    "the gateway cancelled the request",
  ),
  no_room_now: row(
    1009,
    Refusal,
    "no_room_now",
    503,
    "the upstream can't start the request at once at its usual speed",
  ),
  key_in_progress: row(
    1010,
    Refusal,
    "key_in_progress",
    409,
    "a request with this key is in progress",
  ),
  key_sealed: row(
    1011,
    Refusal,
    "key_sealed",
    410,
    "the key is sealed: its request never ran and never will",
  ),
  key_in_doubt: row(
    1012,
    Refusal,
    "key_in_doubt",
    409,
    "the request of this key got no answer from the upstream",
  ),
  key_forgotten: row(
    1013,
    Refusal,
    "key_forgotten",
    409,
    "the key is below the horizon of its home",
  ),
  key_of_earlier_incarnation: row(
    1014,
    Refusal,
    "key_of_earlier_incarnation",
    409,
    "the home of this key has restarted since",
  ),
  answer_not_kept: row(
    1015,
    Refusal,
    "answer_not_kept",
    409,
    "the request ran; its answer was too large to keep",
  ),
  upstream_refused: row(
    1020,
    Refusal,
    "upstream_refused",
    503,
    "the upstream refused before it started",
  ),
  upstream_unreachable: row(
    1021,
    Link,
    "upstream_unreachable",
    502,
    "no connection to the upstream",
  ),
  upstream_lost: row(
    1022,
    Link,
    "upstream_lost",
    502,
    "the upstream's connection ended before its answer",
  ),
  upstream_timeout: row(
    1023,
    Link,
    "upstream_timeout",
    504,
    "the upstream did not answer in time",
  ),
  answer_mismatch: row(
    1024,
    Link,
    "answer_mismatch",
    502,
    "the answer belongs to another request",
  ),
  answered_failure: row(
    1025,
    Link,
    "answered_failure",
    502,
    "the upstream answered with a failure of its own",
  ),
  answer_garbled: row(
    1026,
    Link,
    "answer_garbled",
    502,
    "the upstream's answer is incomplete or not its own",
  ),
  wrong_instance: row(
    1027,
    Refusal,
    "wrong_instance",
    503,
    "another incarnation of an upstream has the address",
  ),
  instance_replaced: row(
    1028,
    Refusal,
    "instance_replaced",
    503,
    "another incarnation runs at the host than was meant",
  ),
  upstream_leaving: row(
    1029,
    Refusal,
    "upstream_leaving",
    503,
    "the upstream states that it is leaving",
  ),
  over_upstream_limit: row(
    1030,
    Refusal,
    "over_upstream_limit",
    503,
    "the upstream's limit on requests allows none in time",
  ),
  domain_evacuated: row(
    1031,
    Refusal,
    "domain_evacuated",
    503,
    "the failure domain of the upstream is evacuated",
  ),
  objective_missed: row(
    1036,
    Refusal,
    "objective_missed",
    503,
    "the latency objective has passed, and no slot is left by requests that can meet theirs",
  ),
  called_service_full: row(
    1034,
    Refusal,
    "called_service_full",
    503,
    "a service that such requests call has no room for their calls",
  ),
  response_too_large: row(
    1032,
    Link,
    "response_too_large",
    502,
    "the upstream's response exceeds the bound for its kind",
  ),
  response_unread: row(
    1033,
    Link,
    "response_unread",
    502,
    "the upstream ended a response that its caller was slow to read",
  ),
  upstream_ended: row(
    1035,
    Link,
    "upstream_ended",
    502,
    "the upstream ended while it ran the request",
  ),
  no_upstream: row(
    2001,
    Refusal,
    "no_upstream",
    503,
    "no live upstream serves this service",
  ),
  deadline_passed: row(
    2002,
    Refusal,
    "deadline_passed",
    504,
    "the deadline passed",
  ),
  retry_budget_empty: row(
    2003,
    Refusal,
    "retry_budget_empty",
    503,
    "the account's retry budget is empty",
  ),
  home_unreachable: row(
    2005,
    Link,
    "home_unreachable",
    502,
    "the home of this key can't be reached",
  ),
  link_lost: row(
    2006,
    Link,
    "link_lost",
    502,
    "the link to the guard ended before its answer",
  ),
  reserve_timeout: row(
    2007,
    Link,
    "reserve_timeout",
    504,
    "the guard did not answer the reservation",
  ),
  stopping: row(2009, Refusal, "stopping", 503, "this daemon is stopping"),
  not_ready: row(
    2010,
    Refusal,
    "not_ready",
    503,
    "this daemon has no configuration yet",
  ),
  answer_cut_short: row(
    2011,
    Link,
    "answer_cut_short",
    502,
    "the answer ended before its stated length",
  ),
  caller_gone: row(
    2012,
    Refusal,
    "caller_gone",
    499,
    "the caller closed its connection",
  ),
  request_quarantined: row(
    2013,
    Refusal,
    "request_quarantined",
    503,
    "upstreams that ran this request have ended",
  ),
  unknown_account: row(
    3001,
    Input,
    "unknown_account",
    404,
    "no client account has this name",
  ),
  unknown_route: row(
    3002,
    Input,
    "unknown_route",
    404,
    "the account has no route for this method and path",
  ),
  malformed_key: row(
    3003,
    Input,
    "malformed_key",
    400,
    "Idempotency-Key is not one that this system issued",
  ),
  key_mismatch: row(
    3004,
    Input,
    "key_mismatch",
    422,
    "the key was used for another request",
  ),
  malformed_timeout: row(
    3005,
    Input,
    "malformed_timeout",
    400,
    "Vanillarock-Timeout-Ms must be a whole number from 1 to 600000",
  ),
  malformed_peer_message: row(
    3006,
    Input,
    "malformed_peer_message",
    400,
    "a peer's message can't be read",
  ),
  body_cut_off: row(
    3007,
    Input,
    "body_cut_off",
    400,
    "the request's body ended before its stated length",
  ),
  malformed_request: row(
    3008,
    Input,
    "malformed_request",
    400,
    "the request is not valid HTTP",
  ),
  headers_too_large: row(
    3009,
    Input,
    "headers_too_large",
    431,
    "the request's headers are too large",
  ),
  request_timeout: row(
    3014,
    Input,
    "request_timeout",
    408,
    "the request did not arrive in time",
  ),
  body_too_large: row(
    3011,
    Input,
    "body_too_large",
    413,
    "the request's body is larger than the account allows",
  ),
  wrong_host: row(
    3010,
    Input,
    "wrong_host",
    421,
    "the message is for another host",
  ),
  handler_failed: row(
    2014,
    Link,
    "handler_failed",
    502,
    "a daemon could not handle the request or its answer",
  ),
  unknown_transfer_coding: row(
    3012,
    Input,
    "unknown_transfer_coding",
    501,
    "the request's body has a transfer coding other than chunked",
  ),
  config_invalid: row(
    4001,
    Config,
    "config_invalid",
    422,
    "a published value failed validation",
  ),
  config_older: row(
    4002,
    Config,
    "config_older",
    409,
    "a value with a lower revision was ignored",
  ),
  config_conflict: row(
    4003,
    Config,
    "config_conflict",
    409,
    "two values carry the same revision",
  ),
  platform_unavailable: row(
    4004,
    Config,
    "platform_unavailable",
    503,
    "the platform's service does not answer",
  ),
  route_unreadable: row(
    4005,
    Config,
    "route_unreadable",
    503,
    "the configuration of this route can't be read",
  ),
} as const;

/** Name of a row. */
export type DiagnosticName = keyof typeof Diagnostics;

/** The row of a reason, or undefined if this version doesn't know it. */
export function tryGetDiagnostic(reason: string): Diagnostic | undefined {
  return Object.hasOwn(Diagnostics, reason)
    ? Diagnostics[reason as DiagnosticName]
    : undefined;
}

function row(
  code: number,
  category: DiagnosticCategory,
  reason: string,
  status: number,
  text: string,
): Diagnostic {
  return { code, category, reason, status, text };
}
