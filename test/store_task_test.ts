/** Calls that a daemon makes to the store. */

import { err, ok } from "neverthrow";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { createCounters } from "../src/core/counters.ts";
import { ReadingRank } from "../src/core/reading_plan.ts";
import { createChangeRelay } from "../src/daemon/change_relay.ts";
import { ListedUpstreamState } from "../src/core/routing_types.ts";
import {
  createStoreTask,
  StoreChangeKind,
  type StoreReader,
} from "../src/daemon/store_task.ts";
import { createTestHost } from "./support/core_host.ts";

const JOIN_INTERVAL_MS = 100;
const STEP_MS = 10;
const POLL_MS = 1;

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

test("a start of the whole fleet: entries that join one by one cost few calls", async () => {
  const host = createTestHost();
  const counters = createCounters();
  let joined = 0;
  const seen = new Set<string>();
  const reader: StoreReader = {
    readAll: () => Promise.resolve(ok({ era: 1, revision: 0, entries: [] })),
    watch: async (after) => {
      while (joined <= after) {
        await new Promise((resolve) => setTimeout(resolve, POLL_MS));
      }
      const keys = Array.from(
        { length: joined - after },
        (_, i) => String(after + i + 1),
      );
      const entries = keys.map((key) => ({ key, text: "{}" }));
      return ok({ era: 1, revision: joined, entries });
    },
    decode: ({ key }) => {
      seen.add(key);
      return [{
        kind: StoreChangeKind.UpstreamListed,
        upstream: {
          instance: key,
          service: "shop",
          address: `10.0.0.${key}:80`,
          failureDomain: "east",
          slots: 4,
          state: ListedUpstreamState.Ready,
        },
      }];
    },
    close: () => Promise.resolve(),
  };
  const task = createStoreTask(host, {
    reader,
    relay: createChangeRelay(host, { counters }),
    counters,
    logger: { debug() {}, info() {}, warn() {}, error() {} },
    promiseMs: 2_000,
    readGapMs: 1_000,
    getPlan: () => ({ rank: ReadingRank.Root, isShared: false, sources: [] }),
    getPeerAddress: (id) => id,
    onSnapshot: () => {},
    onChange: () => {},
    onLost: () => {},
    onRegained: () => {},
    onRolledBack: () => {},
  });
  task.start();
  for (let now = 0; now < 4_000; now += STEP_MS) {
    if (now % JOIN_INTERVAL_MS === 0 && now < 3_000) joined += 1;
    host.advance(STEP_MS);
    await vi.advanceTimersByTimeAsync(STEP_MS);
  }
  expect(seen.size).toBe(30);
  const calls = counters.get("store_watch") + counters.get("store_snapshot");
  // The snapshot, the first watch, then one for each second in which entries join.
  expect(calls).toBeLessThanOrEqual(2 + 4);
  await task.close();
});

test("changes that are too many for one watch are read in pages", async () => {
  const host = createTestHost();
  const counters = createCounters();
  let revision = 1;
  const snapshots: number[] = [];
  const reader: StoreReader = {
    readAll: () => Promise.resolve(ok({ era: 1, revision, entries: [] })),
    watch: async (after) => {
      await new Promise((resolve) => setTimeout(resolve, POLL_MS));
      return after < revision
        ? err({
          call: "watch",
          message: "too large",
          isHistoryGone: false,
          isEndless: true,
        })
        : ok({ era: 1, revision, entries: [] });
    },
    decode: () => [],
    close: () => Promise.resolve(),
  };
  const task = createStoreTask(host, {
    reader,
    relay: createChangeRelay(host, { counters }),
    counters,
    logger: { debug() {}, info() {}, warn() {}, error() {} },
    promiseMs: 2_000,
    readGapMs: 1_000,
    getPlan: () => ({ rank: ReadingRank.Root, isShared: false, sources: [] }),
    getPeerAddress: (id) => id,
    onSnapshot: () => snapshots.push(revision),
    onChange: () => {},
    onLost: () => {},
    onRegained: () => {},
    onRolledBack: () => {},
  });
  task.start();
  for (let now = 0; now < 2_000; now += STEP_MS) {
    if (now === 1_000) revision = 9;
    host.advance(STEP_MS);
    await vi.advanceTimersByTimeAsync(STEP_MS);
  }
  expect(snapshots).toEqual([1, 9]);
  expect(counters.get("store_response_cut_endless")).toBe(1);
  expect(task.isReachable()).toBe(true);
  await task.close();
});
