/**
 * Decoding of YAML text by a schema; reports all problems at once.
 */

import { distance } from "fastest-levenshtein";
import { Err, None, Ok, type Option, type Result, Some } from "./results.ts";
import { parseDocument } from "yaml";
import { z } from "zod";
import type { ConfigProblem } from "../core/config_state.ts";

/** Characters of a value that a problem shows, at most. */
const MAX_VALUE_LENGTH = 60;
/** Levels of nesting that a problem shows, at most. */
const MAX_VALUE_DEPTH = 4;
/** Largest edit distance at which a known name is suggested. */
const MAX_SUGGESTION_DISTANCE = 3;

/** Decodes YAML by a schema; `file` names the source in every problem. */
export function decodeYaml<S extends z.ZodType>(
  text: string,
  options: { file: string; schema: S },
): Result<z.output<S>, ConfigProblem[]> {
  const { file, schema } = options;
  const parsed = parseYaml(text, file);
  if (parsed.err) return parsed;
  const checked = schema.safeParse(parsed.val);
  if (checked.success) return new Ok(checked.data);
  return new Err(
    checked.error.issues.flatMap((issue) =>
      toProblems(issue, { file, schema, value: parsed.val })
    ),
  );
}

/** Formats a problem as one line: file, path, what was found, what is allowed. */
export function formatProblem(problem: ConfigProblem): string {
  const { file, path, found, allowed } = problem;
  return `${file}: ${path || "(top)"}: found ${found}; allowed: ${allowed}`;
}

/** Returns the known name that is closest to a misspelt one, if any is similar. */
export function suggest(
  name: string,
  known: readonly string[],
): Option<string> {
  const nearest =
    [...known].sort((a, b) => distance(name, a) - distance(name, b))[0];
  if (nearest === undefined) return None;
  return distance(name, nearest) <= MAX_SUGGESTION_DISTANCE
    ? new Some(nearest)
    : None;
}

function parseYaml(
  text: string,
  file: string,
): Result<unknown, ConfigProblem[]> {
  const document = parseDocument(text, { uniqueKeys: true });
  if (document.errors.length === 0) return new Ok(document.toJS());
  return new Err(document.errors.map((error) => ({
    file,
    path: `line ${error.linePos?.[0].line ?? 1}`,
    found: error.message.split("\n")[0]!,
    allowed: "valid YAML",
  })));
}

interface Context {
  readonly file: string;
  readonly schema: z.ZodType;
  readonly value: unknown;
}

function toProblems(
  issue: z.core.$ZodIssue,
  context: Context,
): ConfigProblem[] {
  const { file, schema, value } = context;
  const path = issue.path.map(String);
  if (issue.code === "unrecognized_keys") {
    const known = getKnownFields(schema, path);
    return issue.keys.map((key) => ({
      file,
      path: [...path, key].join("."),
      found: "an unknown field",
      allowed: describeFields(key, known),
    }));
  }
  return [{
    file,
    path: path.join("."),
    found: formatValue(getValueAt(value, issue.path)),
    allowed: describeAllowed(issue),
  }];
}

function describeFields(key: string, known: readonly string[]): string {
  const nearest = suggest(key, known);
  const list = known.join(", ");
  return nearest.some ? `${list} (did you mean ${nearest.val}?)` : list;
}

function describeAllowed(issue: z.core.$ZodIssue): string {
  switch (issue.code) {
    case "invalid_type":
      return `a value of type ${issue.expected}`;
    case "invalid_value":
      return `one of ${issue.values.map(String).join(", ")}`;
    case "too_small":
      return `${issue.inclusive ? "at least" : "more than"} ${issue.minimum}`;
    case "too_big":
      return `${issue.inclusive ? "at most" : "less than"} ${issue.maximum}`;
    default:
      return issue.message;
  }
}

function getKnownFields(schema: z.ZodType, path: readonly string[]): string[] {
  let at: unknown = schema;
  for (const step of path) at = getChildSchema(unwrapSchema(at), step);
  const inner = unwrapSchema(at);
  return inner instanceof z.ZodObject ? Object.keys(inner.shape) : [];
}

function getChildSchema(schema: unknown, step: string): unknown {
  if (schema instanceof z.ZodObject) return schema.shape[step];
  if (schema instanceof z.ZodArray) return schema.element;
  if (schema instanceof z.ZodRecord) return schema.valueType;
  return undefined;
}

function unwrapSchema(schema: unknown): unknown {
  let inner = schema;
  while (
    inner instanceof z.ZodDefault || inner instanceof z.ZodOptional ||
    inner instanceof z.ZodPrefault
  ) inner = inner.unwrap();
  return inner;
}

function getValueAt(value: unknown, path: readonly PropertyKey[]): unknown {
  let at = value;
  for (const step of path) {
    if (typeof at !== "object" || at === null) return undefined;
    at = (at as Record<PropertyKey, unknown>)[step];
  }
  return at;
}

/** Formats a value as JSON of limited depth and length, or as "nothing" if it is absent. */
export function formatValue(value: unknown): string {
  if (value === undefined) return "nothing";
  const text = JSON.stringify(prune(value, MAX_VALUE_DEPTH));
  return text.length > MAX_VALUE_LENGTH
    ? `${text.slice(0, MAX_VALUE_LENGTH)}…`
    : text;
}

/** Copies what a problem may show of a value; deeply nested ones overflow the stack of JSON.stringify. */
function prune(value: unknown, depth: number): unknown {
  if (typeof value !== "object" || value === null) return value;
  if (depth === 0) return "…";
  if (Array.isArray(value)) {
    return value.slice(0, MAX_VALUE_LENGTH).map((it) => prune(it, depth - 1));
  }
  const fields = Object.entries(value).slice(0, MAX_VALUE_LENGTH);
  return Object.fromEntries(
    fields.map(([name, field]) => [name, prune(field, depth - 1)]),
  );
}
