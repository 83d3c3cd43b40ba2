/** What is logged of extra attempts. */

import type { HostId, Millis } from "./types.ts";

/** Why an extra attempt was sent. */
export enum ExtraCause {
  /** A recent report shows a slow period at the host of the open attempt. */
  SlowHost = "slow_host",
  /** The guard has not accepted the open attempt, so that the link to it is suspected. */
  SilentLink = "silent_link",
  /** The open attempt takes longer than nearly all others. */
  SlowResponse = "slow_response",
}

/** Start of an extra attempt, for the log. */
export interface ExtraStart {
  readonly id: string;
  readonly to: HostId;
  readonly cause: ExtraCause;
  /** Age of the report, or time since the open attempt was sent, in ms. */
  readonly evidenceAgeMs: Millis;
  /** Time since the open attempt was sent, in ms. */
  readonly afterMs: Millis;
}

/** End of an extra attempt, for the log. */
export interface ExtraEnd {
  readonly id: string;
  readonly cause: ExtraCause;
  readonly hasWon: boolean;
  /** Work of the losing attempt until it was cancelled, in ms. */
  readonly wastedMs: Millis;
  /** Expected remaining time of the open attempt less the time of the extra one, in ms; only if it won. */
  readonly savedMs?: Millis;
}
