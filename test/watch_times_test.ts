/**
 * Times of watches, and connections to the store that go silent. Guards against
 * a change that is late because a watch outlasts the time for it.
 */

import { createServer, type Server, type Socket } from "node:net";
import { err, ok } from "neverthrow";
import { afterEach, expect, test, vi } from "vitest";
import { createStoreClient } from "../platform/store_client.ts";
import { createCounters } from "../src/core/counters.ts";
import { ReadingRank } from "../src/core/reading_plan.ts";
import { planWatch, type WatchTimes } from "../src/core/watch_times.ts";
import { createChangeRelay } from "../src/daemon/change_relay.ts";
import { createStoreTask, type StoreReader } from "../src/daemon/store_task.ts";
import { createTestHost } from "./support/core_host.ts";

const PROMISES_MS = [500, 1_000, 2_000, 2_500, 17_000];
/** Share of the time for a change that is left for asking again. */
const RETRY_SHARE = 0.1;

test.each(
  PROMISES_MS.flatMap((promiseMs) =>
    [true, false].flatMap((isShared) =>
      [0, 0.3, 0.6].map((idleShare) => ({ promiseMs, isShared, idleShare }))
    )
  ),
)(
  "a change in $promiseMs ms is found in time on a silent connection, shared $isShared, idle for $idleShare of it",
  ({ promiseMs, isShared, idleShare }) => {
    const idleMs = idleShare * promiseMs;
    const times = planWatch({
      promiseMs,
      idleMs,
      isShared,
      isAskedAgain: false,
      isLost: false,
    });
    const foundMs = idleMs + times.waitMs + times.responseMs;
    expect(foundMs).toBeLessThanOrEqual(promiseMs * (1 - RETRY_SHARE));
  },
);

const STEP_MS = 10;

test("the first silence is the connection's, and the store is asked at once", async () => {
  vi.useFakeTimers();
  const host = createTestHost();
  const counters = createCounters();
  const calls: WatchTimes[] = [];
  const events: string[] = [];
  let silences = 0;
  const reader: StoreReader = {
    readAll: () => Promise.resolve(ok({ era: 1, revision: 1, entries: [] })),
    watch: async (_after, times) => {
      calls.push(times);
      await new Promise((resolve) => setTimeout(resolve, times.waitMs));
      if (silences > 0) {
        silences -= 1;
        const call = "watch";
        return err({
          call,
          message: "silent",
          isHistoryGone: false,
          isSilent: true,
        });
      }
      return ok({ era: 1, revision: 1, entries: [] });
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
    readGapMs: 667,
    // A follower whose connection to the store failed asks the store again, not its source.
    getPlan: () => ({
      rank: ReadingRank.Root,
      isShared: true,
      sources: ["10.0.0.9"],
    }),
    getPeerAddress: (id) => `${id}:1`,
    onSnapshot: () => {},
    onChange: () => {},
    onLost: () => events.push("lost"),
    onRegained: () => events.push("regained"),
    onRolledBack: () => {},
  });
  const advance = async (ms: number) => {
    for (let at = 0; at < ms; at += STEP_MS) {
      host.advance(STEP_MS);
      await vi.advanceTimersByTimeAsync(STEP_MS);
    }
  };
  task.start();
  await advance(500);
  silences = 1;
  await advance(2_000);
  expect([events, counters.get("store_connection_silent")]).toEqual([[], 1]);
  expect(counters.get("source_asked")).toBe(0);
  // A second silence has to be known before a change is due.
  const again = calls.findIndex((it) => it.waitMs <= 50);
  expect(calls[again]!.waitMs + calls[again]!.responseMs).toBeLessThan(400);
  silences = 2;
  await advance(1_200);
  expect(events).toEqual(["lost", "regained"]);
  await task.close();
});

let server: Server | undefined;
const sockets = new Set<Socket>();

afterEach(async () => {
  vi.useRealTimers();
  for (const socket of sockets) socket.destroy();
  sockets.clear();
  await new Promise((resolve) => server?.close(resolve) ?? resolve(undefined));
  server = undefined;
});

/** A store that answers watches at once, while it answers. */
async function startStore(isAnswering: () => boolean): Promise<string> {
  const it = createServer((socket) => {
    sockets.add(socket);
    socket.on("error", () => {});
    socket.on("data", () => {
      if (!isAnswering()) return;
      const body = '{"events":[],"at":1}';
      socket.write(
        `HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\n\r\n${body}`,
      );
    });
  });
  server = it;
  await new Promise<void>((resolve) => it.listen(0, "127.0.0.1", resolve));
  return `127.0.0.1:${(it.address() as { port: number }).port}`;
}

test("a silent watch is given up after its wait and the time for a response", async () => {
  const client = createStoreClient(await startStore(() => false));
  const startedAt = performance.now();
  const result = await client.watch(1, { waitMs: 100, responseMs: 200 });
  const tookMs = performance.now() - startedAt;
  await client.close();
  expect(result._unsafeUnwrapErr().isSilent).toBe(true);
  expect(tookMs).toBeGreaterThanOrEqual(295);
  expect(tookMs).toBeLessThan(600);
});

test("a connection that was idle for long is not used again", async () => {
  const client = createStoreClient(await startStore(() => true));
  const times = { waitMs: 10, responseMs: 500 };
  await client.watch(1, times);
  await client.watch(1, times);
  expect(sockets.size).toBe(1);
  await new Promise((resolve) => setTimeout(resolve, 1_100));
  expect((await client.watch(1, times)).isOk()).toBe(true);
  expect(sockets.size).toBe(2);
  await client.close();
});
