/** Settings of a small fleet on one machine, for the demo, tests and the load tool. */

import { z } from "zod";
import { type ListedHost, ListedState } from "../core/config_types.ts";
import type { HostSettings } from "./host_settings.ts";
import { hostSettingsSchema } from "./host_settings.ts";

/** Schema of a fleet file. */
export const fleetSchema = z.strictObject({
  account: z.string().min(1),
  template: z.string().min(1),
  failureDomains: z.array(z.string().min(1)).min(1),
  services: z.record(
    z.string(),
    z.strictObject({
      upstreams: z.int().min(1).max(50),
      slots: z.int().min(1),
      serviceMs: z.number().min(0),
    }),
  ),
});

/** A fleet file. */
export type Fleet = z.output<typeof fleetSchema>;

/** One host of a fleet: its settings and the service time of its upstream stand-in, in ms. */
export interface FleetHost {
  readonly settings: HostSettings;
  readonly serviceMs: number;
}

const LOOPBACK = "127.0.0.1";
/** Distance between the first ports of two kinds of listener. */
const PORT_STRIDE = 100;

/** Creates a host for every upstream of a fleet, with ports above `basePort`. */
export function createFleetHosts(
  fleet: Fleet,
  options: { basePort: number; overrides?: Record<string, unknown> },
): FleetHost[] {
  const { basePort } = options;
  const names = Object.entries(fleet.services).flatMap((
    [service, { upstreams }],
  ) => Array.from({ length: upstreams }, (_, index) => ({ service, index })));
  return names.map(({ service, index }, at) => {
    const { slots, serviceMs } = fleet.services[service]!;
    const settings = hostSettingsSchema.parse({
      host: `${service}-${index + 1}`,
      service,
      failureDomain: fleet.failureDomains[index % fleet.failureDomains.length],
      listen: {
        callers: getAddress(basePort, 1, at),
        peers: getAddress(basePort, 2, at),
        control: getAddress(basePort, 3, at),
        operators: getAddress(basePort, 4, at),
      },
      upstream: {
        address: getAddress(basePort, 5, at),
        slots,
        connections: 250,
        refusesBeforeStart: true,
      },
      platform: { address: `${LOOPBACK}:${basePort}` },
      peers: [getAddress(basePort, 3, (at + 1) % names.length)],
      ...options.overrides,
    });
    return { settings, serviceMs };
  });
}

/** Returns the hosts as the platform lists them. */
export function listFleetHosts(hosts: readonly FleetHost[]): ListedHost[] {
  return hosts.map(({ settings }) => ({
    host: settings.host,
    service: settings.service,
    failureDomain: settings.failureDomain,
    dataAddress: settings.listen.peers,
    controlAddress: settings.listen.control,
    state: ListedState.Live,
  }));
}

function getAddress(base: number, kind: number, index: number): string {
  return `${LOOPBACK}:${base + kind * PORT_STRIDE + index}`;
}
