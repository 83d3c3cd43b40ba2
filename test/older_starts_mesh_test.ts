/**
 * Store daemons as processes, when an upstream that has started again is leaving
 * and the store comes back from before that start. Guards against daemons that
 * forget that it is leaving.
 */

import { afterAll, beforeAll, expect, test } from "vitest";
import { type Deployment, startDeployment } from "./platform/mesh.ts";
import { StoreMode } from "./platform/store_stand_in.ts";

/** `drainS` of the settings, in ms. */
const DRAIN_MS = 2_000;
const MARGIN_MS = 100;
/** Longer than a change takes to reach all daemons, in ms. */
const KNOWN_MS = 1_000;
const REWRITE_MS = 1_200;
const WATCHED_MS = 2_500;
const SEND_EVERY_MS = 10;

let fleet: Deployment;
beforeAll(async () => {
  fleet = await startDeployment(82, ["shop", "shop", "shop"]);
});
afterAll(() => fleet.close());

test.each([{ isWrittenAgain: true }, { isWrittenAgain: false }])(
  "an upstream that is leaving gets nothing after its store went back to an earlier start, written again $isWrittenAgain",
  async ({ isWrittenAgain }) => {
    const leaver = fleet.hosts[0]!;
    const { upstream } = leaver;
    upstream.instance = `i-82-${isWrittenAgain}`;
    fleet.list(leaver, {}, { born: 1_000 });
    await pause(KNOWN_MS);
    const restartedAt = performance.now();
    fleet.list(leaver, {}, { born: 2_000 });
    await pause(KNOWN_MS);
    upstream.isLeaving = true;
    const isSending = { now: true };
    const sending = fleet.hosts.map(async (host, at) => {
      for (let i = 0; isSending.now; i++) {
        const id = `${isWrittenAgain}-${at}-${i}`;
        await fleet.call(host, { id }).catch(() => undefined);
        await pause(SEND_EVERY_MS);
      }
    });
    await pause(DRAIN_MS + KNOWN_MS);
    const before = upstream.arrived.length;
    fleet.store.setMode(StoreMode.Reset);
    const age = performance.now() - restartedAt + MARGIN_MS;
    const rollback = fleet.store.rollBack(age);
    await pause(300);
    fleet.store.setMode(StoreMode.Serving);
    if (isWrittenAgain) {
      await pause(REWRITE_MS);
      rollback.writeAgain();
    }
    await pause(WATCHED_MS);
    isSending.now = false;
    await Promise.all(sending);
    expect(upstream.arrived.slice(before).map((it) => it.id)).toEqual([]);
    upstream.isLeaving = false;
  },
  30_000,
);

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
