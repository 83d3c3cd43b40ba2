/** Command `vanillarock explain`. */

import { Command, Option } from "clipanion";
import type { Explanation } from "../core/gateway_types.ts";
import { fetchFromDaemon } from "./operator_client.ts";

interface ExplainReply {
  readonly reason?: string;
  readonly service?: string;
  readonly repeatability?: string;
  readonly candidates?: readonly Explanation[];
}

/** Shows where a request would be sent. */
export class ExplainCommand extends Command {
  static override paths = [["explain"]];
  static override usage = Command.Usage({
    description: "Show which upstreams a request could be sent to, and why",
    details:
      "Queries a running daemon. Exits 1 for an unknown account or route.",
    examples: [[
      "A read of a board",
      "vanillarock explain --operators 127.0.0.1:7401 --account karaca --path /boards/7",
    ]],
  });

  operators = Option.String("--operators", { required: true });
  account = Option.String("--account", { required: true });
  method = Option.String("--method", "GET");
  requestPath = Option.String("--path", { required: true });

  async execute(): Promise<number> {
    const query = new URLSearchParams({
      account: this.account,
      method: this.method,
      path: this.requestPath,
    });
    const reply = await fetchFromDaemon<ExplainReply>(
      this.operators,
      `/explain?${query}`,
    );
    this.context.stdout.write(`${formatReply(reply)}\n`);
    return reply.reason === undefined ? 0 : 1;
  }
}

function formatReply(reply: ExplainReply): string {
  if (reply.reason !== undefined) return `refused: ${reply.reason}`;
  const rows = (reply.candidates ?? []).map((c) =>
    `  ${c.host}: expected ${c.expectedMs.toFixed(1)} ms, ` +
    `${c.inFlight} in flight, ${c.queued} queued, report ` +
    (Number.isFinite(c.reportAgeMs) && c.reportAgeMs !== null
      ? `${Math.round(c.reportAgeMs)} ms old`
      : "not received yet") +
    (c.failureShare > 0.01
      ? `, ${Math.round(100 * c.failureShare)}% failed recently`
      : "")
  );
  return [`service ${reply.service} (${reply.repeatability})`, ...rows]
    .join("\n");
}
