/** Reading of settings files for commands. */

import { readFile } from "node:fs/promises";
import { UsageError } from "clipanion";
import type { z } from "zod";
import { decodeYaml, formatProblem } from "../settings/decode.ts";

/** Reads a file, or ends the command with a message that names it. */
export async function readText(path: string): Promise<string> {
  try {
    return await readFile(path, "utf8");
  } catch (error) {
    throw new UsageError(`${path}: ${(error as Error).message}`);
  }
}

/** Reads a YAML file against a schema, or ends the command with all mistakes. */
export async function readSettings<S extends z.ZodType>(
  path: string,
  schema: S,
): Promise<z.output<S>> {
  const decoded = decodeYaml(await readText(path), { file: path, schema });
  if (decoded.ok) return decoded.val;
  throw new UsageError(decoded.val.map(formatProblem).join("\n"));
}
