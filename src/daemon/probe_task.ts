/**
 * Probes hosts whose newest load report is old, within the measuring budget.
 * Every response carries a report, so a busy service needs no probes.
 */

import type { AccountDirectory } from "../client_account/directory.ts";
import type { Counters } from "../core/counters.ts";
import type { Gateway } from "../core/gateway_types.ts";
import { createTokenBucket } from "../core/token_bucket.ts";
import type { CoreHost, HostId, ServiceName } from "../core/types.ts";
import type { GetLink } from "../link/types.ts";

const ROUND_MS = 250;
/** Age from which a load report is refreshed by a probe, in ms. */
const STALE_MS = 1_000;
/** Bytes reserved for a probe and its response before it is sent. */
const PROBE_BYTES = 900;
/** Smallest tail weight of an account for which probes are sent. */
const MIN_TAIL_WEIGHT = 0.5;

/** Settings of the task. */
export interface ProbeTaskOptions {
  readonly gateway: Gateway;
  readonly accounts: AccountDirectory;
  readonly counters: Counters;
  readonly getLink: GetLink;
  readonly callsPerSecond: number;
  readonly bytesPerSecond: number;
}

/** Sends probes until it is closed. */
export interface ProbeTask {
  start(): void;
  close(): void;
}

/** Creates the task; probing begins with `start`. */
export function createProbeTask(
  host: CoreHost,
  options: ProbeTaskOptions,
): ProbeTask {
  const { counters } = options;
  const calls = createTokenBucket(host, {
    capacity: Math.max(1, options.callsPerSecond),
    perSecond: options.callsPerSecond,
    isEmptyAtStart: true,
  });
  const bytes = createTokenBucket(host, {
    capacity: Math.max(PROBE_BYTES, options.bytesPerSecond),
    perSecond: options.bytesPerSecond,
    isEmptyAtStart: true,
  });
  let timer: NodeJS.Timeout | undefined;
  return { start, close: () => clearInterval(timer) };

  function start(): void {
    timer = setInterval(probeStale, ROUND_MS);
    timer.unref();
  }

  function probeStale(): void {
    for (const service of getProbedServices()) {
      for (const id of options.gateway.getStaleHosts(service, STALE_MS)) {
        if (!tryAcquireBudget()) return;
        void probe(id);
      }
    }
  }

  function tryAcquireBudget(): boolean {
    if (bytes.getTokens() < PROBE_BYTES || !calls.tryAcquire()) return false;
    return bytes.tryAcquire(PROBE_BYTES);
  }

  async function probe(id: HostId): Promise<void> {
    counters.add("probe_sent");
    const size = await options.getLink(id)?.probe() ?? 0;
    counters.add("probe_bytes", size);
  }

  function getProbedServices(): Set<ServiceName> {
    const services = new Set<ServiceName>();
    options.accounts.forEachAccount(({ account, parameters }) => {
      if (parameters.tailWeight < MIN_TAIL_WEIGHT) return;
      for (const name of Object.keys(account.services)) services.add(name);
    });
    return services;
  }
}
