/** Decoding of JSON text by a schema; reports the first problem. */

import type { z } from "zod";
import { Err, Ok, type Result } from "./results.ts";

/** Decodes a text, or returns the first problem. */
export function decodeJson<S extends z.ZodType>(
  text: string,
  schema: S,
): Result<z.output<S>, string> {
  let parsed: unknown;
  try {
    parsed = JSON.parse(text);
  } catch (error) {
    return new Err(String(error));
  }
  const checked = schema.safeParse(parsed);
  return checked.success
    ? new Ok(checked.data)
    : new Err(describeIssue(checked.error));
}

/** Formats the first problem: its path and what is wrong. */
export function describeIssue(error: z.ZodError): string {
  const issue = error.issues[0]!;
  return `${issue.path.join(".")}: ${issue.message}`;
}
