/** Decoding of template and account documents, with all mistakes at once. */

import { Buffer } from "node:buffer";
import { err, ok, type Result as OperationResult } from "neverthrow";
import { Err, type Result } from "../settings/results.ts";
import { z } from "zod";
import type { ConfigProblem } from "../core/config_state.ts";
import { decodeYaml } from "../settings/decode.ts";
import {
  type AccountDocument,
  accountSchema,
  templateSchema,
} from "./types.ts";

const schemas = {
  template: templateSchema,
  account: accountSchema,
} as const;

/** Largest document, as the platform holds it, in bytes. */
export const MAX_DOCUMENT_BYTES = 1_000_000;

/** Key under which the platform publishes a document. */
export function getDocumentKey(document: AccountDocument): string {
  return `${document.kind}/${document.name}`;
}

/** Reads a document published under a key, which it has to match. */
export function decodeDocument(
  key: string,
  text: string,
): Result<AccountDocument, ConfigProblem[]> {
  if (Buffer.byteLength(text) > MAX_DOCUMENT_BYTES) {
    return problem(key, "", `${text.length} characters`, "at most 1 MB");
  }
  const decoded = decodeAny(text, key);
  if (decoded.err) return decoded;
  const expected = getDocumentKey(decoded.val);
  if (expected === key) return decoded;
  return problem(key, "name", expected, `the key's own name, ${key}`);
}

/** The same as a result of an operation, for the state of the configuration. */
export function validateDocument(
  key: string,
  text: string,
): OperationResult<AccountDocument, ConfigProblem[]> {
  const decoded = decodeDocument(key, text);
  return decoded.ok ? ok(decoded.val) : err(decoded.val);
}

/** Reads a document from a file, whose kind says which schema it has. */
export function decodeAny(
  text: string,
  file: string,
): Result<AccountDocument, ConfigProblem[]> {
  const kind = decodeYaml(text, { file, schema: kindSchema });
  if (kind.err) return kind;
  return decodeYaml(text, { file, schema: schemas[kind.val.kind] });
}

const kindSchema = z.looseObject({ kind: z.enum(["template", "account"]) });

function problem(
  file: string,
  path: string,
  found: string,
  allowed: string,
): Result<never, ConfigProblem[]> {
  return new Err([{ file, path, found, allowed }]);
}
