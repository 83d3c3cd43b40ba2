#!/usr/bin/env node
/** Entry point of the command line. */

import process from "node:process";
import { Builtins, Cli, type Command, UsageError } from "clipanion";
import { suggest } from "../settings/decode.ts";
import { CheckCommand } from "./check_command.ts";
import { ExplainCommand } from "./explain_command.ts";
import { LoadCommand } from "./load_command.ts";
import { OutageCommand } from "./outage_command.ts";
import { RoomCommand } from "./room_command.ts";
import { RunCommand } from "./run_command.ts";
import { PlatformCommand, UpstreamCommand } from "./stand_in_commands.ts";
import { StatusCommand } from "./status_command.ts";
import { StoryCommand } from "./story_command.ts";

const COMMANDS = [
  RunCommand,
  CheckCommand,
  ExplainCommand,
  StatusCommand,
  StoryCommand,
  OutageCommand,
  RoomCommand,
  LoadCommand,
  PlatformCommand,
  UpstreamCommand,
];
const USAGE_EXIT_CODE = 2;

await main(process.argv.slice(2));

async function main(args: string[]): Promise<void> {
  const unknownCommand = tryDescribeUnknownCommand(args);
  if (unknownCommand !== undefined) {
    process.stderr.write(`${unknownCommand}\n`);
    process.exitCode = USAGE_EXIT_CODE;
    return;
  }
  const cli = new Cli({
    binaryLabel: "vanillarock",
    binaryName: "vanillarock",
    binaryVersion: "0.1.0",
  });
  for (const command of COMMANDS) cli.register(command);
  cli.register(Builtins.HelpCommand);
  cli.register(Builtins.VersionCommand);
  const command = tryParse(cli, args);
  process.exitCode = command === undefined
    ? USAGE_EXIT_CODE
    : await cli.run(command, Cli.defaultContext);
}

/** The command that the arguments name; writes a message if they are invalid. */
function tryParse(cli: Cli, args: string[]): Command | undefined {
  try {
    return cli.process(args, Cli.defaultContext);
  } catch (error) {
    process.stdout.write(cli.error(error));
    return undefined;
  }
}

function tryDescribeUnknownCommand(
  args: readonly string[],
): string | undefined {
  const first = args[0];
  if (first === undefined || first.startsWith("-")) return undefined;
  const names = COMMANDS.flatMap((c) => c.paths ?? []).map((p) => p[0]!);
  if (names.includes(first)) return undefined;
  const nearest = suggest(first, names);
  const hint = nearest.some ? `; did you mean ${nearest.val}?` : "";
  const known = [...new Set(names)].join(", ");
  return new UsageError(
    `unknown command ${first}${hint} (commands: ${known})`,
  ).message;
}
