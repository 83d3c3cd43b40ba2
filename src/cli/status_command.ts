/** Command `vanillarock status`. */

import { Command, Option } from "clipanion";
import type { DaemonStatus } from "../daemon/operator_server.ts";
import { fetchFromDaemon } from "./operator_client.ts";

/** Shows the status that a daemon reports. */
export class StatusCommand extends Command {
  static override paths = [["status"]];
  static override usage = Command.Usage({
    description: "Show the status of a running daemon",
    details: "Revisions in force, members, open requests, and refusals and " +
      "retries by reason. Exits 1 if the daemon can't be reached.",
    examples: [
      ["For people", "vanillarock status --operators 127.0.0.1:7401"],
      ["As JSON", "vanillarock status --operators 127.0.0.1:7401 --json"],
    ],
  });

  operators = Option.String("--operators", { required: true });
  json = Option.Boolean("--json", false);

  async execute(): Promise<number> {
    const status = await fetchFromDaemon<DaemonStatus>(
      this.operators,
      "/status",
    );
    const text = this.json
      ? JSON.stringify(status, undefined, 2)
      : formatStatus(status);
    this.context.stdout.write(`${text}\n`);
    return 0;
  }
}

function formatStatus(status: DaemonStatus): string {
  const { host, service, failureDomain, open } = status;
  const state = status.draining
    ? "draining"
    : status.ready
    ? "ready"
    : "not ready";
  const lines = [
    `${host} (${service}, ${failureDomain}): ${state}`,
    `open requests: ${open.gateway} as gateway, ${open.guard} as guard`,
    `watching the platform: ${status.watchingPlatform ? "yes" : "no"}`,
    "revisions in force:",
    ...Object.entries(status.revisions).map(([key, r]) => `  ${key} ${r}`),
    "members:",
    ...status.members.map((m) =>
      `  ${m.host} ${m.service} ${m.failureDomain}${
        m.leaving ? " leaving" : ""
      }` +
      (m.wordAgeMs === null
        ? " no announcement yet"
        : ` last announcement ${m.wordAgeMs} ms ago`)
    ),
    "counters:",
    ...Object.entries(status.counters).map(([name, n]) => `  ${name} ${n}`),
  ];
  return lines.join("\n");
}
