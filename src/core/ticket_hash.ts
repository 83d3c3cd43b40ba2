/** Hashes of tickets, by which messages name them in few bytes. */

import murmurhash from "murmurhash";
import type { Ticket } from "./types.ts";

/** Hash by which a message names the ticket of a request. */
export function hashTicket(ticket: Ticket): number {
  return murmurhash.v3(ticket);
}
