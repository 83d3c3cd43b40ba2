/** The guard and its task: requests that end before they are passed on to the upstream. */

import { EventEmitter } from "node:events";
import { afterEach, beforeEach, expect, test } from "vitest";
import { createPlatformUpstreams } from "../platform/upstreams.ts";
import { createGuard } from "../src/core/guard.ts";
import type { GuardOptions } from "../src/core/guard_types.ts";
import { createMemoryBudget } from "../src/core/memory_budget.ts";
import {
  Execution,
  GuardActionKind,
  GuardMessageKind,
  Repeatability,
  type RequestHead,
} from "../src/core/types.ts";
import { createClock } from "../src/daemon/clock.ts";
import { createCoreHost } from "../src/daemon/core_host.ts";
import {
  createGuardTask,
  type GuardTask,
  type GuardTaskOptions,
} from "../src/daemon/guard_task.ts";
import { type GuardReply, ReplyKind } from "../src/link/types.ts";
import { createUpstreamClient } from "../src/upstream/upstream_client.ts";
import {
  startUpstream,
  type UpstreamStandIn,
} from "./platform/upstream_stand_in.ts";
import { createTestHost } from "./support/core_host.ts";

const platformUpstreams = createPlatformUpstreams();

const SLOTS = 1;
const TICKET = "caller#1/1:r-1/1";
const HEAD: RequestHead = {
  account: "all",
  service: "shop",
  repeatability: Repeatability.Idempotent,
  fingerprint: "",
  timeoutMs: 2_000,
};

let upstream: UpstreamStandIn;
let task: GuardTask | undefined;
beforeEach(async () => {
  upstream = await startUpstream("i-1");
});
afterEach(async () => {
  await task?.close();
  await upstream.close();
});

function createOptions(): GuardOptions {
  return {
    self: "a",
    service: "shop",
    incarnation: "a#1",
    slots: SLOTS,
    queueCapacity: 16,
    grantTtlMs: 1_000,
    keyCapacity: 16,
    getWeight: () => 1,
  };
}

/** Starts a task whose waits the test ends. */
function startTask(
  waits: Pick<GuardTaskOptions, "beforeAdmission" | "waitForSockets">,
): GuardTask {
  const clock = createClock();
  return task = createGuardTask(clock, {
    ...waits,
    host: createCoreHost(clock),
    logger: { debug() {}, info() {}, warn() {}, error() {} },
    upstream: createUpstreamClient({
      address: upstream.address,
      connections: 4,
      clock,
      protocol: platformUpstreams,
      memory: createMemoryBudget({ limitBytes: 1_000_000 }),
    }),
    guard: createOptions(),
  });
}

/** Submits a request that the sender cancels, or whose sender is only seen to be gone. */
function submit(
  sender: { signal?: EventEmitter; isSenderGone?: () => boolean },
): Promise<GuardReply> {
  return task!.submit(TICKET, HEAD, {
    forward: {
      method: "GET",
      path: "/",
      headers: {},
      body: null,
      signal: new EventEmitter(),
      ...sender,
    },
  });
}

async function expectUnsent(reply: Promise<GuardReply>): Promise<void> {
  expect(await reply).toMatchObject({
    kind: ReplyKind.Refused,
    verdict: { execution: Execution.NotRun },
  });
  await new Promise((resolve) => setTimeout(resolve, 50));
  expect(upstream.arrivals).toBe(0);
  expect(task!.guard.getOpenCount()).toBe(0);
}

// The task listened for the cancel only after the reading.
test("a request whose caller leaves during a reading of the upstream is not started", async () => {
  let endReading = () => {};
  startTask({
    beforeAdmission: () => new Promise((resolve) => endReading = resolve),
  });
  const signal = new EventEmitter();
  const reply = submit({ signal });
  signal.emit("abort");
  endReading();
  await expectUnsent(reply);
});

test.each([
  ["cancels", true],
  ["is seen to be gone", false],
])(
  "a request whose sender %s is not sent once the sockets have been read",
  async (_, isCancelled) => {
    let endWait = () => {};
    startTask({
      waitForSockets: () => new Promise((resolve) => endWait = resolve),
    });
    const signal = new EventEmitter();
    let isGone = false;
    const reply = submit({ signal, isSenderGone: () => isGone });
    await new Promise((resolve) => setImmediate(resolve));
    if (isCancelled) signal.emit("abort");
    else isGone = true;
    endWait();
    await expectUnsent(reply);
  },
);

// Load pattern "held up": after a pause, a slot may be freed before timers are checked.
test("a slot that frees up starts no request whose time passed in the queue", () => {
  const host = createTestHost();
  const guard = createGuard(host, createOptions());
  const submit = (ticket: string, timeoutMs: number) =>
    guard.handle({
      kind: GuardMessageKind.Submit,
      ticket,
      head: { ...HEAD, timeoutMs },
    });
  submit("runs", 2_000);
  submit("overdue", 100);
  submit("waits", 2_000);
  host.advance(500);
  const actions = guard.handle({
    kind: GuardMessageKind.UpstreamResponded,
    ticket: "runs",
    status: 200,
  });
  expect(actions).toMatchObject([
    { kind: GuardActionKind.Refuse, ticket: "overdue" },
    { kind: GuardActionKind.Start, ticket: "waits" },
  ]);
});
