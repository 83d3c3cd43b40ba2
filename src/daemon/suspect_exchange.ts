/**
 * Tells other daemons which requests are suspected to end upstreams. A few hosts,
 * the same for all daemons, collect what is observed of a suspect; once it is to
 * be refused, they tell all. A daemon that starts asks a few others.
 */

import type { Counters } from "../core/counters.ts";
import type { CrashSuspects, Suspect } from "../core/crash_suspects.ts";
import { orderByHash } from "../core/host_order.ts";
import type { HostId } from "../core/types.ts";
import type { GetLink } from "../link/types.ts";
import { decodeSuspects, encodeSuspects } from "../link/suspects_codec.ts";
import type { Logger } from "./logger.ts";

/** Hosts that collect what is observed of one suspect, so that two may be lost. */
const COLLECTOR_COUNT = 3;
/** Tries to tell a host, and the time between two, in ms: 2 s in all, less than the 3 s for which retries aren't counted. */
const MAX_TRIES = 5;
const RETRY_MS = 500;

/** The exchange of one daemon. */
export interface SuspectExchange {
  /** Tells the hosts that collect what is known of a suspect. */
  report(suspect: Suspect): void;
  /** Tells all hosts if this one collects what is known of the suspect. */
  announce(suspect: Suspect): void;
  /** Asks a few hosts for the requests that are refused now. */
  ask(): void;
  /** Handles another daemon's message; returns the reply, or undefined if it is malformed. */
  receive(text: string): string | undefined;
  close(): void;
}

/** Settings of an exchange. */
export interface SuspectExchangeOptions {
  readonly self: HostId;
  readonly suspects: CrashSuspects;
  readonly getLink: GetLink;
  readonly counters: Counters;
  readonly logger: Logger;
  /** All hosts, also those whose upstream is gone: their daemons may still pass on requests. */
  getHosts(): readonly HostId[];
}

/** Creates an exchange. */
export function createSuspectExchange(
  options: SuspectExchangeOptions,
): SuspectExchange {
  const { self, suspects, counters, logger } = options;
  const timers = new Set<NodeJS.Timeout>();
  return {
    report: (suspect) => {
      const collectors = getCollectors(suspect);
      const { signature } = suspect;
      logger.info("suspect_reported", { signature, to: collectors.join() });
      for (const host of collectors) tell(host, [suspect]);
    },
    announce: (suspect) => {
      if (!getCollectors(suspect).includes(self)) return;
      for (const host of options.getHosts()) tell(host, [suspect]);
    },
    ask: () => {
      const others = options.getHosts().filter((host) => host !== self);
      const asked = orderByHash(others, `asked by ${self}`)
        .slice(0, COLLECTOR_COUNT);
      for (const host of asked) tell(host, []);
    },
    receive,
    close: () => timers.forEach((timer) => clearTimeout(timer)),
  };

  function getCollectors({ signature }: Suspect): HostId[] {
    return orderByHash(options.getHosts(), signature)
      .slice(0, COLLECTOR_COUNT);
  }

  function tell(host: HostId, told: readonly Suspect[], tries = 1): void {
    if (host !== self) void exchange(host, told, tries);
  }

  async function exchange(
    host: HostId,
    told: readonly Suspect[],
    tries: number,
  ): Promise<void> {
    const reply = await options.getLink(host)?.exchangeSuspects?.(
      encodeSuspects(told),
    );
    if (reply !== undefined) return void tryMerge(reply, host);
    if (tries === MAX_TRIES) {
      counters.add("suspects_untold");
      return logger.warn("suspects_untold", { peer: host, tries });
    }
    const timer = setTimeout(() => {
      timers.delete(timer);
      tell(host, told, tries + 1);
    }, RETRY_MS);
    timers.add(timer.unref());
  }

  /** The reply holds what is known of the same suspects, or of all that are refused if none was told. */
  function receive(text: string): string | undefined {
    const told = tryMerge(text);
    if (told === undefined) return undefined;
    return encodeSuspects(
      told.length === 0
        ? suspects.getQuarantined()
        : suspects.find(told.map((it) => it.signature)),
    );
  }

  function tryMerge(
    text: string,
    peer?: HostId,
  ): readonly Suspect[] | undefined {
    const decoded = decodeSuspects(text);
    if (decoded.err) {
      counters.add("malformed_peer_message");
      logger.warn("peer_nonsense", { peer, message: decoded.val });
      return undefined;
    }
    suspects.merge(decoded.val);
    return decoded.val;
  }
}
