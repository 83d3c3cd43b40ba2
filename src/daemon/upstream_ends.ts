/** Recognizes that the local upstream has ended, as against a response that was lost. */

import { connect } from "node:net";
import type { Incarnation, Millis } from "../core/types.ts";
import { splitAddress } from "../link/address.ts";
import type { Clock } from "./clock.ts";

/** Longest wait for a connection, in ms; a local one is established or refused at once. */
const CONNECT_TIMEOUT_MS = 100;
/** Time for which a new connection has to last, in ms: a process that is ending closes its listener last. */
const SETTLE_MS = 10;

/** The ends of one upstream. */
export interface UpstreamEnds {
  /**
   * Resolves to the name of the end that interrupted a request sent at a time in
   * ms, alike for all requests that it interrupted; undefined if the upstream
   * accepts connections.
   */
  tryGetEnd(sentAt: Millis): Promise<string | undefined>;
  /** Names the end of an upstream that is known to have ended after a request was sent, at a time in ms. */
  recordEnd(sentAt: Millis): string;
}

/** Observes the upstream at an IP address and port, for one run of the daemon. */
export function createUpstreamEnds(
  address: string,
  { clock, incarnation }: { clock: Clock; incarnation: Incarnation },
): UpstreamEnds {
  let count = 0;
  /** Time at which the upstream was last found to have ended, in ms. */
  let endedAt: Millis = -Infinity;
  let checking: Promise<boolean> | undefined;
  return { tryGetEnd, recordEnd };

  async function tryGetEnd(sentAt: Millis): Promise<string | undefined> {
    checking ??= acceptsConnections(address)
      .finally(() => checking = undefined);
    return await checking ? undefined : recordEnd(sentAt);
  }

  function recordEnd(sentAt: Millis): string {
    // What was sent after an end was taken by the next start, which has ended too.
    // A connection that the end closes may still be used at that moment.
    if (sentAt > endedAt + SETTLE_MS) count += 1;
    endedAt = clock.now();
    return `${incarnation}-${count}`;
  }
}

/** A connection that is neither refused nor established in time shows no end. */
function acceptsConnections(address: string): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = connect(splitAddress(address));
    let timer = setTimeout(() => end(true), CONNECT_TIMEOUT_MS);
    socket.once("connect", () => {
      clearTimeout(timer);
      timer = setTimeout(() => end(true), SETTLE_MS);
    });
    socket.once("error", () => end(false));
    socket.once("close", () => end(false));
    socket.resume();

    function end(isAccepting: boolean): void {
      clearTimeout(timer);
      resolve(isAccepting);
      socket.destroy();
    }
  });
}
