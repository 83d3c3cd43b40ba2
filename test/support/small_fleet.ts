/**
 * A few gossip daemons with a simulated platform and upstreams, in one process
 * over real sockets.
 */

import { readFileSync } from "node:fs";
import { request } from "undici";
import {
  type GossipDaemon,
  startGossipDaemon,
} from "../../src/daemon/gossip_daemon.ts";
import type { Logger } from "../../src/daemon/logger.ts";
import { Header } from "../../src/link/wire.ts";
import {
  createFleetHosts,
  type FleetHost,
  listFleetHosts,
} from "../../src/settings/fleet_settings.ts";
import {
  type PlatformStandIn,
  startPlatform,
} from "../../src/stand_in/platform.ts";
import {
  startUpstream,
  type UpstreamStandIn,
} from "../../src/stand_in/upstream.ts";

/** A running fleet that serves the account `karaca`. */
export interface SmallFleet {
  readonly hosts: readonly FleetHost[];
  readonly platform: PlatformStandIn;
  readonly daemons: GossipDaemon[];
  readonly upstreams: readonly UpstreamStandIn[];
  start(index: number): Promise<void>;
  call(index: number, options: CallOptions): Promise<CallResult>;
  counter(index: number, name: string): number;
  stop(): Promise<void>;
}

/** A caller's request. */
export interface CallOptions {
  readonly method?: "GET" | "POST";
  readonly path: string;
  readonly headers?: Record<string, string>;
  readonly body?: string;
}

/** The response and the parts of its headers that tests check. */
export interface CallResult {
  readonly status: number;
  readonly execution: string;
  readonly reason: string;
  readonly key: string;
  readonly replayed: boolean;
  readonly retryAfterMs: number;
  readonly text: string;
}

const DISCARDING_LOGGER: Logger = {
  debug: () => {},
  info: () => {},
  warn: () => {},
  error: () => {},
};

/**
 * Starts platform, upstreams and daemons on loopback ports starting at
 * `basePort`.
 */
export async function startSmallFleet(
  basePort: number,
  options: {
    services: Record<string, number>;
    overrides?: Record<string, unknown>;
    adjust?(host: FleetHost, index: number): FleetHost;
  },
): Promise<SmallFleet> {
  const services = Object.fromEntries(
    Object.entries(options.services).map((
      [name, upstreams],
    ) => [name, { upstreams, slots: 4, serviceMs: 2 }]),
  );
  const adjust = options.adjust ?? ((host: FleetHost) => host);
  const hosts = createFleetHosts({
    account: "karaca",
    template: "studio",
    failureDomains: ["Kadıköy", "Beşiktaş", "Üsküdar"],
    services,
  }, { basePort, overrides: { logLevel: "error", ...options.overrides } })
    .map(adjust);
  const platform = await startPlatform({ address: `127.0.0.1:${basePort}` });
  platform.publish("template/studio", read("templates/studio.yaml"));
  platform.publish("account/karaca", read("accounts/karaca.yaml"));
  platform.setHosts(
    listFleetHosts(hosts).map((row, index) => ({
      ...row,
      dataAddress: hosts[index]!.settings.announce.peers ?? row.dataAddress,
      controlAddress: hosts[index]!.settings.announce.control ??
        row.controlAddress,
    })),
  );
  const upstreams = await Promise.all(
    hosts.map(({ settings }, index) =>
      startUpstream({
        address: settings.upstream.address,
        seed: index + 1,
        behaviour: { slots: 4, serviceMs: 2 },
      })
    ),
  );
  const daemons: GossipDaemon[] = [];
  await Promise.all(hosts.map((_, index) => start(index)));
  return { hosts, platform, daemons, upstreams, start, call, counter, stop };

  async function start(index: number): Promise<void> {
    const { settings } = hosts[index]!;
    daemons[index] = await startGossipDaemon({
      settings,
      logger: DISCARDING_LOGGER,
    });
  }

  async function call(
    index: number,
    options: CallOptions,
  ): Promise<CallResult> {
    const address = hosts[index]!.settings.listen.callers;
    const res = await request(`http://${address}${options.path}`, {
      method: options.method ?? "GET",
      headers: { [Header.Account]: "karaca", ...options.headers },
      body: options.body ?? null,
    });
    const text = await res.body.text();
    const header = (name: string) => String(res.headers[name] ?? "");
    return {
      status: res.statusCode,
      execution: header(Header.Execution),
      reason: header(Header.Reason),
      key: header(Header.Key),
      replayed: header(Header.Replayed) === "true",
      retryAfterMs: Number(header(Header.RetryAfterMs)),
      text,
    };
  }

  function counter(index: number, name: string): number {
    return daemons[index]!.getStatus().counters[name] ?? 0;
  }

  async function stop(): Promise<void> {
    await Promise.all(daemons.map((daemon) => daemon.stop()));
    await Promise.all(upstreams.map((upstream) => upstream.close()));
    await platform.close();
  }
}

function read(path: string): string {
  return readFileSync(`examples/${path}`, "utf8");
}
