/** Requests an explanation from a daemon, writes it and decides the exit code. */

import type { Writable } from "node:stream";
import {
  ExplainedOutcome,
  type RequestExplanation,
} from "../daemon/request_explanation.ts";
import { requestDaemon } from "./daemon_request.ts";
import { formatExplanation } from "./explain_text.ts";

/** Exit codes of the command. */
export enum ExplainExitCode {
  Sent = 0,
  Refused = 1,
  /** Invalid arguments, or no explanation from the daemon. */
  Failed = 2,
}

/** Arguments of the command, as written. */
export interface ExplainArguments {
  /** The operators' address of the daemon. */
  readonly operators: string;
  readonly account?: string | undefined;
  readonly hostname?: string | undefined;
  readonly method?: string | undefined;
  readonly path: string;
  readonly bodyBytes?: string | undefined;
  readonly timeoutMs?: string | undefined;
  readonly json?: boolean;
}

/** Where the command writes. */
export interface ExplainOutput {
  readonly stdout: Writable;
  readonly stderr: Writable;
}

const HTTP_OK = 200;

/** Runs the command. */
export async function runExplain(
  { operators, json = false, ...parameters }: ExplainArguments,
  { stdout, stderr }: ExplainOutput,
): Promise<ExplainExitCode> {
  const query = new URLSearchParams();
  for (const [name, value] of Object.entries(parameters)) {
    if (value !== undefined) query.set(name, value);
  }
  const reply = await requestDaemon(operators, `/explain?${query}`);
  if (reply.err) return fail(reply.val);
  const { status, content } = reply.val;
  if (status !== HTTP_OK) return fail(getMessage(content));
  if (!isExplanation(content)) {
    return fail("the daemon's version gives no such explanations");
  }
  const text = json
    ? JSON.stringify(content, undefined, 2)
    : formatExplanation(content);
  stdout.write(`${text}\n`);
  return content.outcome === ExplainedOutcome.Sent
    ? ExplainExitCode.Sent
    : ExplainExitCode.Refused;

  function fail(message: string): ExplainExitCode {
    stderr.write(`${operators}: ${message}\n`);
    return ExplainExitCode.Failed;
  }
}

function isExplanation(content: unknown): content is RequestExplanation {
  const { outcome } = (content ?? {}) as Partial<RequestExplanation>;
  return outcome !== undefined &&
    Object.values(ExplainedOutcome).includes(outcome);
}

function getMessage(content: unknown): string {
  const { message } = (content ?? {}) as { message?: unknown };
  return typeof message === "string" ? message : "the daemon gave no reason";
}
