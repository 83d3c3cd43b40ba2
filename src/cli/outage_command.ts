/** Command `vanillarock outage`. */

import { Command, Option } from "clipanion";
import { formatLine } from "../logs/log_lines.ts";
import { formatSecond, summarizeOutage } from "../logs/outage.ts";
import { readLines, reportUnreadableLines } from "./files.ts";

/** Summarizes failures and refusals in a time range, from log files. */
export class OutageCommand extends Command {
  static override paths = [["outage"]];
  static override usage = Command.Usage({
    description: "Summarize an outage, from the logs of hosts",
    details: "Per second: requests accepted, answered, failed by their " +
      "upstream, abandoned by their caller and refused by reason; then state " +
      "changes of the hosts. Above the log's rate limit, the lines of " +
      "requests are a representative sample. Exits 1 if no line is found.",
    examples: [[
      "A period of two minutes",
      "vanillarock outage --from 2026-01-01T20:01 --until 2026-01-01T20:03 *.log",
    ]],
  });

  from = Option.String("--from", {
    description: "UTC, as the log writes it",
  });
  until = Option.String("--until", {
    description: "UTC, as the log writes it",
  });
  files = Option.Rest({ required: 1, name: "FILE" });

  async execute(): Promise<number> {
    const { seconds, changes, unreadable } = summarizeOutage(
      await readLines(this.files),
      {
        ...(this.from !== undefined && { from: this.from }),
        ...(this.until !== undefined && { until: this.until }),
      },
    );
    const { stdout, stderr } = this.context;
    for (const second of seconds) stdout.write(`${formatSecond(second)}\n`);
    for (const change of changes) stdout.write(`${formatLine(change)}\n`);
    reportUnreadableLines(unreadable, stderr);
    if (seconds.length + changes.length > 0) return 0;
    stderr.write("no log line in this time range\n");
    return 1;
  }
}
