/**
 * The operators' listener of a store daemon: metrics, and explanations of
 * requests. Every path other than that of explanations has the metrics.
 */

import type {
  IncomingMessage,
  RequestListener,
  ServerResponse,
} from "node:http";
import type { Gateway } from "../core/gateway_types.ts";
import type { MemoryBudget } from "../core/memory_budget.ts";
import type { PreviewHost } from "../core/preview_random.ts";
import type { HostId, Verdict } from "../core/types.ts";
import type { CallerDialect } from "./caller_dialect.ts";
import {
  addReturn,
  admitIngress,
  computeRetryAfter,
  createIngressArrival,
  type IngressAdmissionOptions,
} from "./ingress_admission.ts";
import { MAX_BUFFERED_BODY_BYTES } from "./ingress_server.ts";
import { canKeepBody } from "./request_body.ts";
import {
  createExplanation,
  createRefusal,
  type ExplainQuery,
  readExplainQuery,
  type RequestExplanation,
} from "./request_explanation.ts";

/** What the listener depends on. */
export interface StoreOperatorOptions extends IngressAdmissionOptions {
  readonly host: Pick<PreviewHost, "previewRandom">;
  readonly self: HostId;
  readonly gateway: Pick<Gateway, "explain">;
  readonly dialect: Pick<CallerDialect, "createVerdictHead">;
  readonly memory: MemoryBudget;
  /** Metrics in Prometheus' text format. */
  formatMetrics(): string;
}

/** Creates the handler of the listener. */
export function createStoreOperatorHandler(
  options: StoreOperatorOptions,
): RequestListener {
  return (req, res) => {
    const [path, query = ""] = (req.url ?? "/").split("?", 2);
    if (path === "/explain") handleExplain(new URLSearchParams(query), res);
    else handleMetrics(res);
  };

  function handleMetrics(res: ServerResponse<IncomingMessage>): void {
    res.writeHead(200, { "content-type": "text/plain; version=0.0.4" });
    res.end(options.formatMetrics());
  }

  function handleExplain(
    params: URLSearchParams,
    res: ServerResponse<IncomingMessage>,
  ): void {
    const query = readExplainQuery(Object.fromEntries(params));
    if (typeof query === "string") return write(res, 400, { message: query });
    if (query.hostname === undefined) {
      return write(res, 400, { message: "hostname is required" });
    }
    write(res, 200, explainIngress(query, options));
  }
}

/** Explains a request; changes no state. */
export function explainIngress(
  query: ExplainQuery,
  options: StoreOperatorOptions,
): RequestExplanation {
  const { hostname = "", path, bodyBytes, timeoutMs } = query;
  // One source for all draws, in the order in which the request would make them.
  const random = options.host.previewRandom();
  const routes = options.getRoutes();
  const admission = admitIngress({ hostname, url: path, bodyBytes }, options);
  const parts = {
    host: options.self,
    request: query,
    versions: routes === undefined
      ? {}
      : { configuration: routes.config.version },
  };
  if ("refusal" in admission) {
    return createExplanation({
      ...parts,
      decision: createRefusal(admission.refusal),
      describeRefusal: (verdict) => describeRefusal(verdict),
    });
  }
  const { route } = admission;
  const isBodyKept = canKeepBody(bodyBytes, {
    memory: options.memory,
    maxBytes: MAX_BUFFERED_BODY_BYTES,
  });
  const arrival = createIngressArrival({ random }, route, {
    id: "explain",
    timeoutMs,
    spentMs: 0,
    replayable: isBodyKept,
    bodyBytes,
  });
  return createExplanation({
    ...parts,
    properties: {
      route: route.name,
      service: arrival.service,
      ...(route.parts.length > 1 && { parts: route.parts }),
      repeatability: route.repeatability,
      timeoutMs: arrival.timeoutMs,
      objectiveMs: route.objectiveMs,
      isBodyKept,
    },
    decision: options.gateway.explain(arrival, random),
    describeRefusal: (verdict) =>
      describeRefusal(verdict, { arrival, tookMs: 0 }),
  });

  function describeRefusal(
    verdict: Verdict,
    sent?: Parameters<typeof computeRetryAfter>[2],
  ) {
    const stated = addReturn(verdict, options);
    const retryAfterMs = computeRetryAfter({ random }, stated, sent);
    const { status } = options.dialect.createVerdictHead(verdict, undefined);
    return { status, ...(retryAfterMs !== undefined && { retryAfterMs }) };
  }
}

function write(
  res: ServerResponse<IncomingMessage>,
  status: number,
  content: object,
): void {
  const body = JSON.stringify(content);
  res.writeHead(status, { "content-type": "application/json" });
  res.end(body);
}
