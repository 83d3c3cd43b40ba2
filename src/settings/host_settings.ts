/** Settings of a gossip daemon, as written in its YAML file. */

import { z } from "zod";

const address = z.string().regex(
  /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):([1-9]\d{0,4})$/,
  "an IP address and port, such as 10.0.0.7:7000",
);

const name = z.string().regex(
  /^[a-z0-9][a-z0-9-]{0,62}$/,
  "lower-case letters, digits and hyphens, 63 at most",
);

/** Schema of the daemon's settings. Times in ms, sizes in bytes. */
export const hostSettingsSchema = z.strictObject({
  host: name,
  service: name,
  failureDomain: z.string().min(1),
  listen: z.strictObject({
    callers: address,
    peers: address,
    control: address,
    operators: address,
  }),
  /** Addresses announced to peers if they differ from those of the listeners. */
  announce: z.strictObject({
    peers: address.optional(),
    control: address.optional(),
  }).prefault({}),
  upstream: z.strictObject({
    address,
    slots: z.int().min(1).max(10_000),
    connections: z.int().min(1).max(100_000),
    queue: z.int().min(0).max(100_000).default(64),
    refusesBeforeStart: z.boolean().default(false),
  }),
  platform: z.strictObject({
    address,
    timeoutMs: z.int().min(100).max(60_000).default(2_000),
  }),
  peers: z.array(address).default([]),
  crossDomainMs: z.number().min(0).max(1_000).default(3),
  subset: z.int().min(2).max(1_000).default(24),
  keysKept: z.int().min(1).max(1_000_000).default(20_000),
  grantMs: z.int().min(1).max(60_000).default(1_000),
  reserveTimeoutMs: z.int().min(1).max(60_000).default(250),
  linkSilenceMs: z.int().min(50).max(600_000).default(2_000),
  stopTimeoutMs: z.int().min(100).max(600_000).default(30_000),
  measuring: z.strictObject({
    callsPerSecond: z.number().min(0).max(10_000).default(5),
    bytesPerSecond: z.number().min(0).max(10_000_000).default(14_000),
  }).prefault({}),
  logLevel: z.enum(["debug", "info", "warn", "error"]).default("info"),
});

/** Settings of a gossip daemon. */
export type HostSettings = z.output<typeof hostSettingsSchema>;
