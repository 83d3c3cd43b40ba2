/** Reading of settings and log files for commands. */

import { readFile } from "node:fs/promises";
import type { Writable } from "node:stream";
import { text } from "node:stream/consumers";
import process from "node:process";
import { UsageError } from "clipanion";
import type { z } from "zod";
import { decodeYaml, formatProblem } from "../settings/decode.ts";

/** Reads a file, or throws a usage error that names it. */
export async function readText(path: string): Promise<string> {
  try {
    return await readFile(path, "utf8");
  } catch (error) {
    throw new UsageError(`${path}: ${(error as Error).message}`);
  }
}

/** Reads the lines of all files; "-" is standard input. */
export async function readLines(paths: readonly string[]): Promise<string[]> {
  const lines: string[] = [];
  for (const path of paths) {
    const content = path === "-"
      ? await text(process.stdin)
      : await readText(path);
    for (const line of content.split("\n")) lines.push(line);
  }
  return lines;
}

/** Reports how many lines could not be parsed, and the number of the first. */
export function reportUnreadableLines(
  unreadable: readonly number[],
  stderr: Writable,
): void {
  if (unreadable.length === 0) return;
  stderr.write(
    `${unreadable.length} lines can't be parsed, the first is line ` +
      `${unreadable[0]} of all files concatenated\n`,
  );
}

/** Reads a YAML file by a schema, or throws a usage error with all problems. */
export async function readSettings<S extends z.ZodType>(
  path: string,
  schema: S,
): Promise<z.output<S>> {
  const decoded = decodeYaml(await readText(path), { file: path, schema });
  if (decoded.ok) return decoded.val;
  throw new UsageError(decoded.val.map(formatProblem).join("\n"));
}
