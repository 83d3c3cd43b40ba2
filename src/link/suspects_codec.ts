/** Body of the messages in which daemons exchange suspects; validated on receipt. */

import { z } from "zod";
import type { Suspect } from "../core/crash_suspects.ts";
import { decodeJson } from "../settings/json.ts";
import type { Result } from "../settings/results.ts";

const MAX_TEXT_LENGTH = 200;
const MAX_ENDS = 64;
const MAX_SUSPECTS = 1_024;

const text = z.string().min(1).max(MAX_TEXT_LENGTH);
const suspectsSchema = z.array(z.object({
  signature: text,
  ends: z.array(text).max(MAX_ENDS),
  cleared: z.array(text).max(MAX_ENDS),
})).max(MAX_SUSPECTS);

/** Encodes suspects. */
export function encodeSuspects(suspects: readonly Suspect[]): string {
  return JSON.stringify(suspects);
}

/** Decodes suspects, or returns what is wrong with them. */
export function decodeSuspects(
  body: string,
): Result<readonly Suspect[], string> {
  return decodeJson(body, suspectsSchema);
}
