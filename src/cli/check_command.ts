/** Command `vanillarock check`. */

import { Command, Option } from "clipanion";
import { checkFile } from "../client_account/check_file.ts";
import type { ConfigProblem } from "../core/config_state.ts";
import { formatProblem } from "../settings/decode.ts";
import { readText } from "./files.ts";

/** Checks settings, templates and accounts. */
export class CheckCommand extends Command {
  static override paths = [["check"]];
  static override usage = Command.Usage({
    description: "Check host settings, templates and accounts",
    details:
      "Prints every problem of every file: the path of the field, what " +
      "was found and what is allowed. Exits 0 if all files are valid, else 1.",
    examples: [[
      "Check an account and its template",
      "vanillarock check examples/templates/studio.yaml examples/accounts/karaca.yaml",
    ]],
  });

  files = Option.Rest({ required: 1 });

  async execute(): Promise<number> {
    const problems: ConfigProblem[] = [];
    for (const file of this.files) {
      problems.push(...checkFile(file, await readText(file)));
    }
    for (const problem of problems) {
      this.context.stdout.write(`${formatProblem(problem)}\n`);
    }
    const summary = problems.length === 0
      ? `${this.files.length} files are valid`
      : `${problems.length} problems`;
    this.context.stdout.write(`${summary}\n`);
    return problems.length === 0 ? 0 : 1;
  }
}
