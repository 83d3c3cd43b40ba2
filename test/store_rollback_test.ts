/** Seeded schedules of changes and losses of a store, read by the real task and list in virtual time. */

import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { createCounters } from "../src/core/counters.ts";
import { ReadingRank } from "../src/core/reading_plan.ts";
import {
  type ListedUpstream,
  ListedUpstreamState,
} from "../src/core/routing_types.ts";
import { createUpstreamList } from "../src/core/upstream_list.ts";
import { createChangeRelay } from "../src/daemon/change_relay.ts";
import { createStoreTask, StoreChangeKind } from "../src/daemon/store_task.ts";
import { createTestHost } from "./support/core_host.ts";
import {
  createListedUpstream,
  createSimulatedStore,
} from "./support/simulated_store.ts";

const SEEDS = 60;
const UPSTREAMS = 6;
const STEP_MS = 50;
const STEPS = 400;
/** Time within which writers write again what the store lost, in ms. */
const REWRITE_MS = 1_500;
/** `drainS` of the platform, in ms. */
const DRAIN_MS = 2_000;
const LAPSE_GRACE_MS = 2_000;

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

/** Plays a schedule; returns violations of what the list has to hold. */
async function playSchedule(seed: number): Promise<string[]> {
  const generator = xoroshiro128plus(seed);
  const random = () => uniformFloat64(generator);
  const host = createTestHost();
  const counters = createCounters();
  const store = createSimulatedStore();
  /** What the writers intend, and since when; undefined once an upstream has left. */
  const intended = new Map<
    string,
    { upstream: ListedUpstream | undefined; since: number }
  >();
  /** Upstreams that were seen unused after they left. */
  const knownDepartures = new Set<string>();
  const violations: string[] = [];
  let rewriteAt = Infinity;
  let lostKeys = new Set<string>();
  let lastDisturbedAt = -Infinity;
  let count = 0;
  const list = createUpstreamList(host, {
    lapseGraceMs: LAPSE_GRACE_MS,
    getHost: (address) => address,
    onChange: () => {},
  });
  const task = createStoreTask(host, {
    reader: store.reader,
    relay: createChangeRelay(host, { counters }),
    counters,
    logger: { debug() {}, info() {}, warn() {}, error() {} },
    promiseMs: 2_000,
    readGapMs: 600,
    getPlan: () => ({ rank: ReadingRank.Root, isShared: false, sources: [] }),
    getPeerAddress: (id) => id,
    onSnapshot: (changes) =>
      list.replaceAll(
        changes.flatMap((c) =>
          c.kind === StoreChangeKind.UpstreamListed ? [c.upstream] : []
        ),
      ),
    onChange: (change) => {
      if (change.kind === StoreChangeKind.UpstreamListed) {
        list.put(change.upstream);
      } else if (change.kind === StoreChangeKind.UpstreamRemoved) {
        list.remove(change.instance);
      }
    },
    onLost: list.markLost,
    onRegained: list.markRegained,
    onRolledBack: list.markRolledBack,
  });
  for (let i = 0; i < UPSTREAMS; i++) start();
  task.start();
  for (let step = 0; step < STEPS; step++) {
    act();
    host.advance(STEP_MS);
    await vi.advanceTimersByTimeAsync(STEP_MS);
    check();
  }
  await task.close();
  return violations;

  function start(): void {
    count += 1;
    write(createListedUpstream(count));
  }

  function write(upstream: ListedUpstream): void {
    intended.set(upstream.instance, { upstream, since: host.now() });
    store.put(upstream);
  }

  function act(): void {
    if (host.now() >= rewriteAt) writeAgain();
    const draw = random();
    const ready = [...intended.values()].flatMap(({ upstream }) =>
      upstream?.state === ListedUpstreamState.Ready ? [upstream] : []
    );
    const one = ready[Math.floor(random() * ready.length)];
    if (draw < 0.02 && ready.length > 2) {
      write({ ...one!, state: ListedUpstreamState.Draining });
      start();
    } else if (draw < 0.03 && ready.length > 2) leave(one!.instance);
    else if (draw < 0.04) {
      store.setAway(true);
      for (const key of store.rollBack(1 + Math.floor(random() * 5))) {
        lostKeys.add(key);
      }
      rewriteAt = host.now() + random() * REWRITE_MS;
      lastDisturbedAt = rewriteAt;
    } else if (draw < 0.3) store.setAway(false);
  }

  function leave(instance: string): void {
    intended.set(instance, { upstream: undefined, since: host.now() });
    store.remove(instance);
  }

  function writeAgain(): void {
    store.setAway(false);
    for (const key of lostKeys) {
      const { upstream } = intended.get(key)!;
      if (upstream === undefined) store.remove(key);
      else store.put(upstream);
    }
    lostKeys = new Set();
    rewriteAt = Infinity;
    lastDisturbedAt = host.now();
  }

  /** A departure that is known holds at all times; in calm times the list is as intended. */
  function check(): void {
    const used = new Set(list.getCandidates("shop").map((c) => c.instance));
    const isCalm = host.now() - lastDisturbedAt > DRAIN_MS + LAPSE_GRACE_MS;
    for (const [instance, { upstream, since }] of intended) {
      const isUsed = used.has(instance);
      const isSettled = isCalm && host.now() - since > DRAIN_MS;
      const isReady = upstream?.state === ListedUpstreamState.Ready;
      if (isReady) {
        if (isSettled && !isUsed) report(`${instance} is ready and not used`);
      } else if (!isUsed) knownDepartures.add(instance);
      else if (knownDepartures.has(instance) || isSettled) {
        report(`${instance} is used after it left`);
      }
    }
  }

  function report(text: string): void {
    violations.push(`seed ${seed}: ${text} at ${host.now()}`);
  }
}

test(
  "a store that loses writes brings back no upstream that left, and hides none for long",
  async () => {
    const violations: string[] = [];
    for (let seed = 1; seed <= SEEDS; seed++) {
      violations.push(...await playSchedule(seed));
    }
    expect(violations).toEqual([]);
  },
  60_000,
);
