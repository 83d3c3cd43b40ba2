/** Command `vanillarock story`. */

import { Command, Option } from "clipanion";
import { formatLine } from "../logs/log_lines.ts";
import { traceRequest } from "../logs/story.ts";
import { readLines, reportUnreadableLines } from "./files.ts";

/** Traces one request through log files. */
export class StoryCommand extends Command {
  static override paths = [["story"]];
  static override usage = Command.Usage({
    description: "Trace one request through the logs of hosts",
    details: "Exits 1 if no line of the request is found.",
    examples: [[
      "A request reported by its caller",
      "vanillarock story --id 9c41d07be2a35f68 boards-1.log boards-2.log",
    ]],
  });

  id = Option.String("--id", { required: true });
  files = Option.Rest({ required: 1, name: "FILE" });

  async execute(): Promise<number> {
    const { lines, context, cause, unreadable } = traceRequest(
      await readLines(this.files),
      this.id,
    );
    const { stdout, stderr } = this.context;
    for (const line of lines) stdout.write(`${formatLine(line)}\n`);
    if (context.length > 0) stdout.write("at the same time on its hosts:\n");
    for (const line of context) stdout.write(`  ${formatLine(line)}\n`);
    reportUnreadableLines(unreadable, stderr);
    stdout.write(`${cause ?? `no log line of request ${this.id}`}\n`);
    return cause === undefined ? 1 : 0;
  }
}
