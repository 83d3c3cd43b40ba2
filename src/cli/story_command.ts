/** vanillarock story */

import { Command, Option } from "clipanion";
import { formatLine, tellStory } from "../logs/story.ts";
import { readText } from "./files.ts";

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
    const texts: string[] = [];
    for (const file of this.files) {
      for (const line of (await readText(file)).split("\n")) texts.push(line);
    }
    const { lines, cause, unreadable } = tellStory(texts, this.id);
    const { stdout, stderr } = this.context;
    for (const line of lines) stdout.write(`${formatLine(line)}\n`);
    if (unreadable.length > 0) {
      stderr.write(
        `${unreadable.length} lines can't be read, the first is line ` +
          `${unreadable[0]} of all files together\n`,
      );
    }
    stdout.write(`${cause ?? `no line of request ${this.id}`}\n`);
    return cause === undefined ? 1 : 0;
  }
}
