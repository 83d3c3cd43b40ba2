/**
 * A store daemon as a process that is stopped while callers go on sending until
 * it is gone. Guards against requests that are taken late in the grace time and
 * broken off at its end while their upstream is at work.
 */

import { afterAll, afterEach, beforeAll, expect, test } from "vitest";
import {
  type Deployment,
  type DeploymentHost,
  startDeployment,
} from "./platform/mesh.ts";
import { UpstreamMode } from "./platform/upstream_stand_in.ts";
import { GRACE_MS, stopUnderLoad } from "./support/stop_callers.ts";

const CALLERS = 14;
const BEFORE_MS = 4_000;
const TIMEOUT_MS = 12_000;
/** Whole time of the slowest answers, in ms. */
const SLOW_MS = 2_600;
/** Size of a body that is passed on as it arrives. */
const UPLOAD_BYTES = 600_000;
/** One answer in so many is slow. */
const SLOW_EVERY = 40;

let fleet: Deployment;
beforeAll(async () => {
  fleet = await startDeployment(181, ["front", "shop", "shop"]);
  fleet.publish(2, {
    service: "shop",
    timeoutS: TIMEOUT_MS / 1_000,
    sloS: TIMEOUT_MS / 1_000,
  });
  await fleet.waitInForce();
}, 30_000);
afterEach(() => {
  for (const { upstream } of fleet.hosts) {
    upstream.mode = UpstreamMode.Serving;
    delete upstream.getWorkMs;
  }
});
afterAll(() => fleet.close());

test.each(["GET", "POST"])(
  "one %s in forty that takes far longer than the others is not broken off while its upstream is at work",
  async (method) => {
    const front = prepare((id) =>
      Number(id.slice(2)) % SLOW_EVERY === 0 ? SLOW_MS : 50
    );
    const outcome = await stopUnderLoad(fleet, front, {
      callers: CALLERS,
      beforeMs: BEFORE_MS,
      createRequest: (count) => createRequest(`s-${count}`, method),
    });
    expect(outcome).toMatchObject({ lost: [], exitCode: 0 });
    expect(outcome.exitedMs).toBeLessThan(GRACE_MS);
    // Later, what runs at most once may have to be refused: 2.6 s with a quarter more.
    expect(outcome.served[0]).toBeGreaterThan(CALLERS);
  },
  40_000,
);

test(
  "an upload that takes far longer than the others is not broken off while its upstream is at work",
  async () => {
    const front = prepare((id) =>
      Number(id.slice(2)) % SLOW_EVERY === 0 ? SLOW_MS : 50
    );
    const outcome = await stopUnderLoad(fleet, front, {
      callers: CALLERS,
      beforeMs: BEFORE_MS,
      createRequest: (count) => ({
        ...createRequest(`u-${count}`, "POST"),
        path: "/photo/1",
        body: "u".repeat(UPLOAD_BYTES),
      }),
    });
    expect(outcome).toMatchObject({ lost: [], exitCode: 0 });
    expect(outcome.exitedMs).toBeLessThan(GRACE_MS);
    const served = outcome.served.reduce((sum, it) => sum + it, 0);
    expect(served).toBeGreaterThanOrEqual(CALLERS);
  },
  40_000,
);

test("a long body is not cut at the end of the stop", async () => {
  const front = prepare(() => 20);
  for (const { upstream } of fleet.hosts) {
    upstream.mode = UpstreamMode.SlowBody;
    upstream.createBody = () => "b".repeat(2_000_000);
  }
  const outcome = await stopUnderLoad(fleet, front, {
    callers: CALLERS,
    beforeMs: BEFORE_MS,
    createRequest: (count) => createRequest(`b-${count}`, "GET"),
  });
  expect(outcome).toMatchObject({ lost: [], exitCode: 0 });
  expect(outcome.exitedMs).toBeLessThan(GRACE_MS);
  const served = outcome.served.reduce((sum, it) => sum + it, 0);
  expect(served).toBeGreaterThanOrEqual(CALLERS);
}, 40_000);

test(
  "what outlasts the whole stop is not taken late, and the log names what the end breaks off",
  async () => {
    const front = prepare((id) =>
      Number(id.slice(2)) % SLOW_EVERY === 0 ? GRACE_MS * 2 : 50
    );
    front.lines.length = 0;
    const outcome = await stopUnderLoad(fleet, front, {
      callers: CALLERS,
      // Too short for the first answer of such a request.
      beforeMs: GRACE_MS / 3,
      createRequest: (count) => createRequest(`h-${count}`, "GET"),
    });
    expect(outcome).toMatchObject({ lost: [], exitCode: 0 });
    const cut = front.lines.filter((it) => it.includes("event=stop_broke_off"));
    expect(cut.length).toBeGreaterThan(0);
    expect(cut.map((it) => /req=(\S+)/.exec(it)![1]!).sort())
      .toEqual(outcome.unanswered.map(({ id }) => id).sort());
    for (const line of cut) {
      expect(line).toMatch(
        /role=gateway req=h-\d+0 route=reads phase=at_host at=\S+ ageMs=\d+/,
      );
    }
    const [stopping] = front.lines.filter((it) =>
      it.includes("event=stopping")
    );
    expect(stopping).toMatch(/open=\d+ callers=\d+ peers=0 guard=0/);
  },
  40_000,
);

// Their callers came back at once, to a daemon that went on stopping.
test(
  "what a stopping daemon refuses is told when to come back, within a third of its time left",
  async () => {
    const front = prepare(() => GRACE_MS * 2);
    if (front.process.exitCode !== null) {
      fleet.startDaemon(front);
      await fleet.waitUntilReady(front);
    }
    // It doesn't know how long orders take.
    const order = { method: "POST", path: "/order/1", body: "x" } as const;
    const call = (id: string, timeoutMs: number) =>
      fleet.call(front, { ...order, id, timeoutMs });
    const exited = new Promise((resolve) =>
      front.process.once("exit", resolve)
    );
    front.process.kill("SIGTERM");
    await expect.poll(() => fleet.getReadyStatus(front)).not.toBe(200);
    const refused = await Promise.all(
      [9_000, 60_000].map((timeoutMs, i) => call(`t-${i}`, timeoutMs)),
    );
    expect(refused.map(({ status }) => status)).toEqual([503, 503]);
    const [third, whole] = refused.map(({ headers }) =>
      Number(headers["retry-after"]) * 1_000
    );
    expect(third).toBeGreaterThan(9_000 / 6 - 100);
    expect(third).toBeLessThanOrEqual(9_000 / 3);
    expect(whole).toBeGreaterThan(GRACE_MS - 1_000);
    expect(whole).toBeLessThan(GRACE_MS + 1_000);
    await exited;
  },
  40_000,
);

function prepare(getWorkMs: (id: string) => number): DeploymentHost {
  for (const { upstream } of fleet.hosts) {
    upstream.slots = 200;
    upstream.getWorkMs = getWorkMs;
  }
  return fleet.hosts[0]!;
}

function createRequest(id: string, method: string) {
  return {
    id,
    method,
    path: method === "POST" ? "/order/1" : "/read/1",
    timeoutMs: TIMEOUT_MS,
    ...(method === "POST" && { body: "x" }),
  };
}
