/** Runs for which a gateway has stopped waiting, kept until their guards may tell that an upstream ended with them. */

import type { Arrival, CoreHost, Millis, Ticket } from "./types.ts";
import { hashTicket } from "./ticket_hash.ts";

/** Time for which a run is kept, in ms: longer than guards tell of an end. */
const RETENTION_MS = 45_000;
/** Runs that are kept, the newest ones. */
const MAX_RUNS = 2_048;

/** The runs of one gateway. */
export interface GivenUpRuns {
  add(ticket: Ticket, arrival: Pick<Arrival, "signature">): void;
  /** Removes a run by the hash of its ticket; what identifies its request, or undefined. */
  take(hash: number): Pick<Arrival, "signature"> | undefined;
}

/** Creates an empty set. */
export function createGivenUpRuns(host: Pick<CoreHost, "now">): GivenUpRuns {
  /** The newest one comes last. */
  const runs = new Map<number, { signature: string; at: Millis }>();
  return { add, take };

  /** Keeps the signature, not the request with its body. */
  function add(ticket: Ticket, arrival: Pick<Arrival, "signature">): void {
    const signature = arrival.signature?.();
    if (signature === undefined) return;
    for (const [hash, { at }] of runs) {
      const isOld = host.now() - at > RETENTION_MS;
      if (!isOld && runs.size < MAX_RUNS) break;
      runs.delete(hash);
    }
    runs.set(hashTicket(ticket), { signature, at: host.now() });
  }

  function take(hash: number): Pick<Arrival, "signature"> | undefined {
    const run = runs.get(hash);
    if (run === undefined) return undefined;
    runs.delete(hash);
    return { signature: () => run.signature };
  }
}
