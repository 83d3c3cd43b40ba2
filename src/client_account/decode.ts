/** Decoding of template and account documents; reports all problems at once. */

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

/** Largest document that the platform stores, in bytes. */
export const MAX_DOCUMENT_BYTES = 1_000_000;

/** Key under which the platform publishes a document. */
export function getDocumentKey(document: AccountDocument): string {
  return `${document.kind}/${document.name}`;
}

/** Decodes a document published under a key, which its kind and name have to match. */
export function decodeDocument(
  key: string,
  text: string,
): Result<AccountDocument, ConfigProblem[]> {
  if (Buffer.byteLength(text) > MAX_DOCUMENT_BYTES) {
    return problem(key, "", `${text.length} characters`, "at most 1 MB");
  }
  const decoded = decodeAccountDocument(text, key);
  if (decoded.err) return decoded;
  const expected = getDocumentKey(decoded.val);
  if (expected === key) return decoded;
  return problem(key, "name", expected, `kind and name of the key, ${key}`);
}

/** Like decodeDocument, with the result type that createConfigState expects. */
export function validateDocument(
  key: string,
  text: string,
): OperationResult<AccountDocument, ConfigProblem[]> {
  const decoded = decodeDocument(key, text);
  return decoded.ok ? ok(decoded.val) : err(decoded.val);
}

/** Decodes a document; its field `kind` selects the schema. */
export function decodeAccountDocument(
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
