/** Validation of any configuration file: host settings, template or account. */

import { parse } from "yaml";
import type { ConfigProblem } from "../core/config_state.ts";
import { decodeYaml } from "../settings/decode.ts";
import { hostSettingsSchema } from "../settings/host_settings.ts";
import { decodeAccountDocument } from "./decode.ts";

/** Returns all problems of one file. */
export function checkFile(file: string, text: string): ConfigProblem[] {
  const decoded = isHostSettings(text)
    ? decodeYaml(text, { file, schema: hostSettingsSchema })
    : decodeAccountDocument(text, file);
  return decoded.ok ? [] : decoded.val;
}

/** Host settings have no field `kind`; account and template documents do. */
function isHostSettings(text: string): boolean {
  try {
    const value = parse(text);
    return typeof value === "object" && value !== null && !("kind" in value);
  } catch {
    return false;
  }
}
