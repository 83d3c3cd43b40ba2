/** What a daemon takes from others while the store doesn't answer it. */

import { err } from "neverthrow";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { createCounters } from "../src/core/counters.ts";
import { ReadingRank } from "../src/core/reading_plan.ts";
import { createChangeRelay } from "../src/daemon/change_relay.ts";
import {
  createPeerStateReader,
  type PeerState,
} from "../src/daemon/peer_state.ts";
import {
  createStoreTask,
  StoreChangeKind,
  type StoreReader,
} from "../src/daemon/store_task.ts";
import type { GuardLink } from "../src/link/types.ts";
import { createTestHost } from "./support/core_host.ts";

const STEP_MS = 10;
const LOGGER = { debug() {}, info() {}, warn() {}, error() {} };

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

test("a daemon that starts without the store takes the state of another one, then its changes", async () => {
  const { run, applied } = createTask([
    { isWhole: true, ...at(7, "a", "b") },
    { isWhole: false, ...at(9, "c") },
  ]);
  await run(3_000);
  expect(applied).toEqual(["a", "b", "c"]);
});

test("an older state of another daemon changes nothing", async () => {
  const { run, applied } = createTask([
    { isWhole: true, ...at(7, "a") },
    { isWhole: true, ...at(6, "older") },
    { isWhole: false, ...at(7, "same") },
  ]);
  await run(3_000);
  expect(applied).toEqual(["a"]);
});

test("the state of a daemon is asked of all seeds at once, and a malformed one is none", async () => {
  const warnings: unknown[] = [];
  const replies: Record<string, Promise<string | undefined>> = {
    down: new Promise(() => {}),
    unreadable: Promise.resolve('{"era":1,"revision":"x"}'),
    good: Promise.resolve(JSON.stringify({ isWhole: true, ...at(7, "a") })),
  };
  const reader = createPeerStateReader({
    self: "self",
    getPeers: () => ["self", ...Object.keys(replies)],
    getLink: (peer) =>
      ({ readState: () => replies[peer] }) as unknown as GuardLink,
    logger: { ...LOGGER, warn: (...line) => void warnings.push(line) },
  });
  expect(await reader.read(undefined)).toMatchObject({ revision: 7 });
  expect(warnings).toEqual([
    ["peer_nonsense", expect.objectContaining({ peer: "unreadable" })],
  ]);
});

test("a daemon passes on what it knows: changes after a position, or everything", () => {
  const counters = createCounters();
  const relay = createChangeRelay(createTestHost(), { counters });
  expect(relay.tryGetState(undefined)).toBeUndefined();
  relay.adopt({ isWhole: true, ...at(7, "a", "b") });
  relay.adopt({ isWhole: false, ...at(9, "c") });
  expect(relay.tryGetState({ era: 1, revision: 7 }))
    .toEqual({ isWhole: false, ...at(9, "c") });
  const all = { isWhole: true, ...at(9, "a", "b", "c") };
  expect(relay.tryGetState(undefined)).toEqual(all);
  expect(relay.tryGetState({ era: 0, revision: 7 })).toEqual(all);
});

function at(revision: number, ...keys: string[]) {
  return {
    era: 1,
    revision,
    entries: keys.map((key) => ({ key, text: "{}" })),
  };
}

/** A task whose store fails all calls, beside a daemon that returns one state after the other. */
function createTask(states: PeerState[]) {
  const host = createTestHost();
  const counters = createCounters();
  const applied: string[] = [];
  const failure = err({ call: "any", message: "down", isHistoryGone: false });
  const reader: StoreReader = {
    readAll: () => Promise.resolve(failure),
    watch: () => Promise.resolve(failure),
    decode: ({ key }) => {
      applied.push(key);
      return [{ kind: StoreChangeKind.Unreadable, key, message: "" }];
    },
    close: () => Promise.resolve(),
  };
  const task = createStoreTask(host, {
    reader,
    peers: { read: () => Promise.resolve(states.shift()) },
    relay: createChangeRelay(host, { counters }),
    counters,
    logger: LOGGER,
    promiseMs: 2_000,
    readGapMs: 600,
    getPlan: () => ({ rank: ReadingRank.Root, isShared: false, sources: [] }),
    getPeerAddress: (id) => id,
    onSnapshot: () => {},
    onChange: () => {},
    onLost: () => {},
    onRegained: () => {},
    onRolledBack: () => {},
  });
  return { run, applied };

  async function run(forMs: number): Promise<void> {
    task.start();
    for (let now = 0; now < forMs; now += STEP_MS) {
      host.advance(STEP_MS);
      await vi.advanceTimersByTimeAsync(STEP_MS);
    }
    await task.close();
  }
}
