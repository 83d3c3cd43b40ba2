/** Probes never exceed the measuring budget. */

import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { createAccountDirectory } from "../src/client_account/directory.ts";
import { decodeAccountDocument } from "../src/client_account/decode.ts";
import { createCounters } from "../src/core/counters.ts";
import type { Gateway } from "../src/core/gateway_types.ts";
import { createProbeTask } from "../src/daemon/probe_task.ts";
import type { GuardLink } from "../src/link/types.ts";
import { readFileSync } from "node:fs";

const SECONDS = 20;
const PROBE_BYTES = 900;

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

test.each([
  { callsPerSecond: 3, bytesPerSecond: 100_000 },
  { callsPerSecond: 100, bytesPerSecond: 1_800 },
  { callsPerSecond: 0, bytesPerSecond: 100_000 },
])("probes stay within %o", async ({ callsPerSecond, bytesPerSecond }) => {
  const probes = await countProbes({
    template: "studio",
    account: "karaca",
    callsPerSecond,
    bytesPerSecond,
  });
  expect(probes).toBeLessThanOrEqual(callsPerSecond * SECONDS + 1);
  expect(probes * PROBE_BYTES).toBeLessThanOrEqual(
    bytesPerSecond * SECONDS + PROBE_BYTES,
  );
  if (callsPerSecond > 0) expect(probes).toBeGreaterThan(SECONDS);
});

test("an account that saves on measuring sends no probes", async () => {
  const probes = await countProbes({
    template: "office",
    account: "mesas",
    callsPerSecond: 100,
    bytesPerSecond: 100_000,
  });
  expect(probes).toBe(0);
});

async function countProbes(options: {
  template: string;
  account: string;
  callsPerSecond: number;
  bytesPerSecond: number;
}): Promise<number> {
  const counters = createCounters();
  const accounts = createAccountDirectory();
  for (
    const file of [
      `templates/${options.template}`,
      `accounts/${options.account}`,
    ]
  ) {
    const text = readFileSync(`examples/${file}.yaml`, "utf8");
    accounts.apply(decodeAccountDocument(text, file).unwrap());
  }
  const link = {
    probe: () => Promise.resolve(PROBE_BYTES),
  } as unknown as GuardLink;
  const gateway = {
    getStaleHosts: () => ["a", "b", "c", "d", "e"],
  } as unknown as Gateway;
  const host = { now: Date.now, random: () => 0.5, sign: () => "" };
  const task = createProbeTask(host, {
    ...options,
    gateway,
    accounts,
    counters,
    getLink: () => link,
  });
  task.start();
  await vi.advanceTimersByTimeAsync(SECONDS * 1_000);
  task.close();
  return counters.get("probe_sent");
}
