/** Decides which callers' requests the gateway of a gossip daemon gets, and on what terms. */

import {
  type AccountDirectory,
  tryMatchRoute,
} from "../client_account/directory.ts";
import type { ClientAccount, RouteMatch } from "../client_account/types.ts";
import type { DiagnosticName } from "../core/diagnostics.ts";
import { tryParseKey } from "../core/key_table.ts";
import {
  type Arrival,
  type Millis,
  Repeatability,
  type Verdict,
} from "../core/types.ts";
import { createRefusal } from "./request_explanation.ts";

const DEFAULT_RETRIES = 3;
const MAX_TIMEOUT_MS = 600_000;
/** Retry-after of a daemon that stops, in ms. */
const STOPPING_RETRY_AFTER_MS = 1_000;

/** What is known of a request before its body is read. */
export interface CallerFacts {
  readonly id: string;
  readonly accountName?: string | undefined;
  readonly hostname: string;
  readonly method: string;
  /** Path and query. */
  readonly url: string;
  /** Values of the caller's headers. */
  readonly timeoutText?: string | undefined;
  readonly keyText?: string | undefined;
  readonly retriesText?: string | undefined;
  readonly bodyBytes: number;
  /** True if the body can be buffered so that a retry can send it again. */
  readonly isBufferable: boolean;
  /** True if the body is coded in another way than in chunks. */
  readonly hasUnknownCoding?: boolean;
}

/** A request that the gateway gets, or the reason why it doesn't. */
export type CallerAdmission =
  | { readonly match: RouteMatch; readonly arrival: Arrival }
  | { readonly refusal: DiagnosticName };

/** Settings of the admission. */
export interface CallerAdmissionOptions {
  readonly accounts: AccountDirectory;
  /** Reason to refuse every new request, or undefined. */
  getRefusalReason(): DiagnosticName | undefined;
}

/** Decides whether the gateway gets a request. */
export function admitCall(
  facts: CallerFacts,
  options: CallerAdmissionOptions,
): CallerAdmission {
  if (facts.hasUnknownCoding) return { refusal: "unknown_transfer_coding" };
  const refusal = options.getRefusalReason();
  if (refusal !== undefined) return { refusal };
  const account = tryFindAccount(options.accounts, facts);
  if (account === undefined) return { refusal: "unknown_account" };
  const match = tryMatchRoute(account.account, {
    method: facts.method,
    path: facts.url.split("?")[0]!,
  });
  if (match === undefined) return { refusal: "unknown_route" };
  const arrival = createArrival(facts, account, match);
  if (typeof arrival === "string") return { refusal: arrival };
  const isTooLarge = facts.bodyBytes > account.parameters.maxBodyBytes;
  return isTooLarge ? { refusal: "body_too_large" } : { match, arrival };
}

/** The account that a request names, or that of its hostname. */
export function tryFindAccount(
  accounts: AccountDirectory,
  { accountName, hostname }: Pick<CallerFacts, "accountName" | "hostname">,
): ClientAccount | undefined {
  return accountName === undefined
    ? accounts.tryGetByHostname(hostname)
    : accounts.tryGetAccount(accountName);
}

/** The verdict on a request that the gateway doesn't get. */
export function createCallerRefusal(name: DiagnosticName): Verdict {
  return createRefusal(
    name,
    name === "stopping" ? STOPPING_RETRY_AFTER_MS : undefined,
  );
}

/** Delay that a caller is told, in ms; undefined if a retry makes no sense. */
export function getCallerRetryAfter(
  { diagnostic, retryAfterMs }: Verdict,
): Millis | undefined {
  const mayRetry = diagnostic.status === 503 || diagnostic.status === 504;
  return mayRetry ? retryAfterMs : undefined;
}

function createArrival(
  facts: CallerFacts,
  account: ClientAccount,
  { route, service }: RouteMatch,
): Arrival | DiagnosticName {
  const timeoutMs = readTimeout(
    facts.timeoutText,
    route.timeoutMs ?? account.parameters.timeoutMs,
  );
  if (timeoutMs === undefined) return "malformed_timeout";
  const isAtMostOnce = route.repeatability === Repeatability.AtMostOnce;
  const key = isAtMostOnce ? facts.keyText : undefined;
  if (key !== undefined && tryParseKey(key) === undefined) {
    return "malformed_key";
  }
  return {
    id: facts.id,
    account: account.name,
    service,
    repeatability: route.repeatability,
    ...(key !== undefined && { key }),
    timeoutMs,
    replayable: facts.isBufferable,
    retriesLeft: readRetries(facts.retriesText),
  };
}

function readTimeout(
  text: string | undefined,
  defaultMs: Millis,
): Millis | undefined {
  if (text === undefined) return defaultMs;
  if (!/^[1-9]\d{0,5}$/.test(text)) return undefined;
  const value = Number(text);
  return value <= MAX_TIMEOUT_MS ? Math.min(value, defaultMs) : undefined;
}

function readRetries(text: string | undefined): number {
  if (text === undefined || !/^\d$/.test(text)) return DEFAULT_RETRIES;
  return Math.min(Number(text), DEFAULT_RETRIES);
}
