/** Explains what a gossip daemon would do with a request, for its operators. */

import type { AccountDirectory } from "../client_account/directory.ts";
import type { DiagnosticName } from "../core/diagnostics.ts";
import type { Gateway } from "../core/gateway_types.ts";
import type { HostId } from "../core/types.ts";
import {
  admitCall,
  createCallerRefusal,
  getCallerRetryAfter,
  tryFindAccount,
} from "./caller_admission.ts";
import { MAX_BUFFERED_BODY_BYTES } from "./caller_server.ts";
import {
  createExplanation,
  type ExplainQuery,
  type RequestExplanation,
} from "./request_explanation.ts";

/** What an explanation depends on. */
export interface GossipExplainOptions {
  readonly host: HostId;
  readonly accounts: AccountDirectory;
  readonly gateway: Pick<Gateway, "explain">;
  /** Revisions of all documents in force, by key. */
  getRevisions(): Readonly<Record<string, number>>;
  /** Reason to refuse every new request, or undefined. */
  getRefusalReason(): DiagnosticName | undefined;
}

/** Explains a request; changes no state. */
export function explainCall(
  query: ExplainQuery,
  options: GossipExplainOptions,
): RequestExplanation {
  const { account, hostname = "", method, path, bodyBytes, timeoutMs } = query;
  const admission = admitCall({
    id: "explain",
    accountName: account,
    hostname,
    method,
    url: path,
    timeoutText: timeoutMs === undefined ? undefined : String(timeoutMs),
    bodyBytes,
    isBufferable: bodyBytes <= MAX_BUFFERED_BODY_BYTES,
  }, options);
  const parts = {
    host: options.host,
    request: query,
    versions: findVersions(account, hostname),
  };
  if ("refusal" in admission) {
    return createExplanation({
      ...parts,
      decision: createCallerRefusal(admission.refusal),
      describeRefusal,
    });
  }
  const { match, arrival } = admission;
  return createExplanation({
    ...parts,
    properties: {
      route: match.route.path,
      service: arrival.service,
      repeatability: arrival.repeatability,
      timeoutMs: arrival.timeoutMs,
      isBodyKept: arrival.replayable,
    },
    decision: options.gateway.explain(arrival),
    describeRefusal,
  });

  /** Revisions of the account and its template. */
  function findVersions(
    accountName: string | undefined,
    hostname: string,
  ): Record<string, number> {
    const found = tryFindAccount(options.accounts, { accountName, hostname });
    if (found === undefined) return {};
    const keys = [
      `account/${found.name}`,
      `template/${found.account.template}`,
    ];
    return Object.fromEntries(
      Object.entries(options.getRevisions()).filter(([key]) =>
        keys.includes(key)
      ),
    );
  }
}

function describeRefusal(...[verdict]: Parameters<typeof getCallerRetryAfter>) {
  const retryAfterMs = getCallerRetryAfter(verdict);
  return {
    status: verdict.diagnostic.status,
    ...(retryAfterMs !== undefined && { retryAfterMs }),
  };
}
