/** Keeps requests that end upstreams from ending more of them: what this daemon knows, and its exchange with others. */

import type { Counters } from "../core/counters.ts";
import {
  type CrashSuspects,
  createCrashSuspects,
  type Suspect,
} from "../core/crash_suspects.ts";
import type { CoreHost, HostId, Millis, ServiceName } from "../core/types.ts";
import type { GetLink } from "../link/types.ts";
import type { Logger } from "./logger.ts";
import {
  createSuspectExchange,
  type SuspectExchange,
} from "./suspect_exchange.ts";

/** Time for which a host is told of suspects after its upstream has gone, in ms; far longer than upstreams are replaced. */
const HOST_RETENTION_MS = 900_000;

/** The protection of one daemon. */
export interface CrashProtection
  extends Pick<SuspectExchange, "ask" | "receive" | "close"> {
  readonly suspects: CrashSuspects;
  /** Records that another upstream of a host is listed, also of a service that isn't named: its daemon may have started with it. */
  recordListed(host: HostId): void;
  /** Records that no upstream of a host is listed. */
  recordUnlisted(host: HostId): void;
  /** Records that other hosts may be ready than before. */
  recordListChange(): void;
}

/** Settings of the protection. */
export interface CrashProtectionOptions {
  readonly self: HostId;
  /** Service of the callers on this host. */
  readonly origin: ServiceName;
  readonly getLink: GetLink;
  readonly counters: Counters;
  readonly logger: Logger;
  /** Hosts with a ready upstream to use. */
  getReady(): readonly HostId[];
}

/** Creates the protection; it knows no suspects. */
export function createCrashProtection(
  host: Pick<CoreHost, "now">,
  options: CrashProtectionOptions,
): CrashProtection {
  const { counters, logger } = options;
  /** Hosts, with the time at which their upstream left the list, in ms. */
  const hosts = new Map<HostId, Millis | undefined>();
  const suspects = createCrashSuspects(host, {
    origin: options.origin,
    onObserved: (suspect) => {
      log("request_suspected", suspect);
      exchange.report(suspect);
    },
    onChanged: (suspect, isQuarantined) => {
      log(isQuarantined ? "request_quarantined" : "request_released", suspect);
    },
  });
  const exchange = createSuspectExchange({
    ...options,
    suspects,
    getListed: () => getHosts().filter((id) => hosts.get(id) === undefined),
    getHosts,
  });
  return {
    suspects,
    recordListed: (id) => {
      hosts.set(id, undefined);
      exchange.forgetHost(id);
    },
    recordUnlisted: (id) => void hosts.set(id, host.now()),
    recordListChange: exchange.recordListChange,
    ask: exchange.ask,
    receive: exchange.receive,
    close: exchange.close,
  };

  function getHosts(): HostId[] {
    for (const [id, goneAt = Infinity] of hosts) {
      if (host.now() >= goneAt + HOST_RETENTION_MS) hosts.delete(id);
    }
    return [...hosts.keys()];
  }

  function log(event: string, { signature, ends, cleared }: Suspect): void {
    counters.add(event);
    logger.info(event, {
      signature,
      ends: ends.length,
      cleared: cleared.length,
      lastEnd: ends.at(-1),
    });
  }
}
