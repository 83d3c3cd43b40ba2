/** vanillarock story */

import { Command, Option } from "clipanion";
import { formatLine } from "../logs/log_lines.ts";
import { tellStory } from "../logs/story.ts";
import { readLines, reportUnreadableLines } from "./files.ts";

/** Tells what became of one request, from log files. */
export class StoryCommand extends Command {
  static override paths = [["story"]];
  static override usage = Command.Usage({
    description: "Tell what became of one request, from the logs of hosts",
    details: "Exits 1 where no line of the request is found.",
    examples: [[
      "A request whose caller complains",
      "vanillarock story --id 9c41d07be2a35f68 boards-1.log boards-2.log",
    ]],
  });

  id = Option.String("--id", { required: true });
  files = Option.Rest({ required: 1, name: "FILE" });

  async execute(): Promise<number> {
    const { lines, context, cause, unreadable } = tellStory(
      await readLines(this.files),
      this.id,
    );
    const { stdout, stderr } = this.context;
    for (const line of lines) stdout.write(`${formatLine(line)}\n`);
    if (context.length > 0) stdout.write("meanwhile at its hosts:\n");
    for (const line of context) stdout.write(`  ${formatLine(line)}\n`);
    reportUnreadableLines(unreadable, stderr);
    stdout.write(`${cause ?? `no line of request ${this.id}`}\n`);
    return cause === undefined ? 1 : 0;
  }
}
