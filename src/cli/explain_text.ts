/** Text of an explanation for operators. */

import type {
  ExplainedAttempt,
  ExplainedCandidate,
  ReasonAgainst,
} from "../core/explain_types.ts";
import type {
  ExplainedRefusal,
  RequestExplanation,
} from "../daemon/request_explanation.ts";

/** Share of failures from which it is shown. */
const MIN_FAILURE_SHARE = 0.01;

/** Formats an explanation. */
export function formatExplanation(explanation: RequestExplanation): string {
  const { host, request, refusal, attempts, candidates } = explanation;
  const call = `${request.method} ${request.path}`;
  const outcome = refusal === undefined
    ? `${host} would send ${call} to ${attempts[0]?.host}`
    : `${host} would refuse ${call}: ${formatRefusal(refusal)}`;
  return [
    outcome,
    ...formatProperties(explanation),
    ...(attempts.length === 0 ? [] : [
      "attempts, each if the guards of all earlier ones refuse for lack of room:",
      ...attempts.map(formatAttempt),
    ]),
    ...(candidates.length === 0 ? [] : ["hosts of the service:"]),
    ...candidates.map(formatCandidate),
  ].join("\n");
}

function formatRefusal(refusal: ExplainedRefusal): string {
  const { reason, status, execution, message, retryAfterMs } = refusal;
  const comeBack = retryAfterMs === undefined
    ? "no time to retry"
    : `retry after ${Math.round(retryAfterMs)} ms`;
  return `${reason} (${status}, ${execution}), ${message}; ${comeBack}`;
}

function formatProperties(
  { versions, request, ...it }: RequestExplanation,
): string[] {
  const names = Object.entries(versions).map((v) => v.join(" "));
  const configuration = `configuration in force: ${names.join(", ") || "none"}`;
  if (it.route === undefined) return [configuration];
  const parts = it.parts === undefined
    ? ""
    : ` (drawn from ${
      it.parts.map((p) => `${p.service} ${p.weight}`).join(", ")
    })`;
  const body = request.bodyBytes === 0
    ? "no body"
    : `body of ${request.bodyBytes} bytes, ${
      it.isBodyKept ? "kept for a retry" : "streamed"
    }`;
  const objective = it.objectiveMs === undefined
    ? ""
    : `, objective ${it.objectiveMs} ms`;
  return [
    `route ${it.route} (${it.repeatability}), service ${it.service}${parts}`,
    `${body}; time left ${it.timeoutMs} ms${objective}`,
    configuration,
  ];
}

function formatAttempt(it: ExplainedAttempt): string {
  const terms = it.mayQueue
    ? "may queue"
    : `starts within ${it.maxWaitMs} ms or is refused`;
  return [
    `  ${it.attempt}. ${it.host}: ${terms}`,
    ...(it.reserves ? ["reserves a slot first"] : []),
    ...(it.isLastChoice ? ["last choice"] : []),
    `expected ${it.expectedMs.toFixed(1)} ms`,
    ...(it.isExpectedInTime ? [] : ["longer than the time left"]),
  ].join(", ");
}

function formatCandidate(it: ExplainedCandidate): string {
  const { attempt, reportAgeMs, limitPerS, reasons } = it;
  const instance = it.instance === undefined ? "" : ` ${it.instance}`;
  const load = reportAgeMs === null ? "no load report yet" : [
    `${it.freeSlots} of ${it.slots} slots free`,
    `${it.queued} queued`,
    `report ${Math.round(reportAgeMs)} ms old`,
  ].join(", ");
  return [
    `  ${it.host}${instance} (${it.failureDomain}): ${load}`,
    `expected ${it.expectedMs.toFixed(1)} ms`,
    ...(it.slowdown > 1 ? [`${it.slowdown.toFixed(1)} times slower`] : []),
    ...(limitPerS === undefined ? [] : [`limit ${limitPerS}/s`]),
    ...(it.startsInMs > 0
      ? [`next start in ${Math.ceil(it.startsInMs)} ms`]
      : []),
    ...(it.failureShare > MIN_FAILURE_SHARE
      ? [`${Math.round(100 * it.failureShare)}% failed recently`]
      : []),
    ...(attempt === undefined ? [] : [`attempt ${attempt}`]),
    ...(reasons.length === 0
      ? []
      : [`against it: ${reasons.map(formatReason).join(" ")}`]),
  ].join(", ");
}

function formatReason({ reason, endsInMs }: ReasonAgainst): string {
  return endsInMs === undefined
    ? reason
    : `${reason} (for ${Math.ceil(endsInMs)} ms)`;
}
