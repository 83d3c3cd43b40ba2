/** Body of the messages in which daemons exchange suspects; validated on receipt. */

import { z } from "zod";
import type { Suspect } from "../core/crash_suspects.ts";
import type { HostId } from "../core/types.ts";
import { decodeJson } from "../settings/json.ts";
import type { Result } from "../settings/results.ts";

const MAX_TEXT_LENGTH = 200;
const MAX_ENDS = 64;
const MAX_SUSPECTS = 1_024;
const MAX_COLLECTORS = 16;

/** A suspect as one daemon tells it to another. */
export interface ToldSuspect extends Suspect {
  /** Hosts that are told to collect it, if the receiver is one of them. */
  readonly collectors?: readonly HostId[] | undefined;
}

const text = z.string().min(1).max(MAX_TEXT_LENGTH);
const suspectsSchema = z.array(z.object({
  signature: text,
  ends: z.array(text).max(MAX_ENDS),
  cleared: z.array(text).max(MAX_ENDS),
  collectors: z.array(text).max(MAX_COLLECTORS).optional(),
})).max(MAX_SUSPECTS);

/** Encodes suspects. */
export function encodeSuspects(suspects: readonly ToldSuspect[]): string {
  return JSON.stringify(suspects);
}

/** Decodes suspects, or returns what is wrong with them. */
export function decodeSuspects(
  body: string,
): Result<readonly ToldSuspect[], string> {
  return decodeJson(body, suspectsSchema);
}
