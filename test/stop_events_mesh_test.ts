/**
 * What else may happen while a store daemon stops, with daemons as processes:
 * guards against requests that lose their answers, and stops that last too long.
 */

import { afterAll, beforeAll, beforeEach, expect, test } from "vitest";
import {
  CALLER_PORT,
  type Deployment,
  type DeploymentHost,
  startDeployment,
} from "./platform/mesh.ts";
import { openPipe } from "./support/pipelining_caller.ts";
import { GRACE_MS, pause, stopUnderLoad } from "./support/stop_callers.ts";

const CALLERS = 10;
const BEFORE_MS = 3_000;
const TIMEOUT_MS = 12_000;
const SLOW_MS = 2_600;
/** Shortest time of a stop, with room for its closing, in ms. */
const IDLE_STOP_MS = 3_500;
/** One request in so many is slow. */
const SLOW_EVERY = 25;

let fleet: Deployment;
let version = 1;
beforeAll(async () => {
  fleet = await startDeployment(182, ["shop", "shop", "shop", "shop"]);
  publish();
  await fleet.waitInForce();
}, 30_000);
beforeEach(async () => {
  for (const host of fleet.hosts) {
    host.upstream.slots = 200;
    host.upstream.getWorkMs = (id) =>
      Number(id.slice(2)) % SLOW_EVERY === 0 ? SLOW_MS : 40;
    if (host.process.exitCode === null && host.process.signalCode === null) {
      continue;
    }
    fleet.startDaemon(host);
    await fleet.waitUntilReady(host);
  }
  await fleet.waitInForce();
}, 30_000);
afterAll(() => fleet.close());

test.each<[string, number, (front: DeploymentHost) => void]>([
  [
    "a second SIGTERM comes",
    3,
    (front) => {
      for (const ms of [0, 1_000, 4_000]) {
        setTimeout(() => front.process.kill("SIGTERM"), ms);
      }
    },
  ],
  [
    "a SIGHUP comes and the configuration changes",
    1,
    (front) => {
      for (const ms of [500, 2_000, 4_000]) {
        setTimeout(() => {
          front.process.kill("SIGHUP");
          publish();
        }, ms);
      }
    },
  ],
  [
    "the daemon gets a third of the processor",
    3,
    (front) => {
      const timer = setInterval(() => {
        front.process.kill("SIGSTOP");
        setTimeout(() => front.process.kill("SIGCONT"), 67);
      }, 100);
      front.process.once("exit", () => clearInterval(timer));
    },
  ],
  [
    "another daemon stops",
    1,
    () => void fleet.hosts[1]!.process.kill("SIGTERM"),
  ],
  [
    "the daemons of half of the hosts stop after it",
    3,
    () => {
      for (const [index, host] of fleet.hosts.slice(1, 3).entries()) {
        setTimeout(() => host.process.kill("SIGTERM"), (index + 1) * 1_000);
      }
    },
  ],
])(
  "no request loses its answer in a stop while %s, %i behind each other",
  async (_name, depth, during) => {
    const front = fleet.hosts[0]!;
    const outcome = await stopUnderLoad(fleet, front, {
      callers: CALLERS,
      beforeMs: BEFORE_MS,
      depth,
      createRequest,
      during: () => during(front),
    });
    await waitForOthers();
    expect(outcome).toMatchObject({ lost: [], exitCode: 0 });
    expect(outcome.served[0]).toBeGreaterThan(CALLERS);
    expect(outcome.exitedMs).toBeLessThan(GRACE_MS);
  },
  40_000,
);

test(
  "a daemon that stops answers what another daemon's callers have at its upstream",
  async () => {
    const pair = await startDeployment(183, ["front", "shop"]);
    try {
      pair.publish(2, { service: "shop", timeoutS: TIMEOUT_MS / 1_000 });
      await pair.waitInForce();
      const [at, stopping] = pair.hosts as [DeploymentHost, DeploymentHost];
      stopping.upstream.slots = 200;
      stopping.upstream.getWorkMs = (id) =>
        Number(id.slice(2)) % SLOW_EVERY === 0 ? SLOW_MS : 40;
      const outcome = await stopUnderLoad(pair, stopping, {
        at,
        callers: CALLERS,
        beforeMs: BEFORE_MS,
        createRequest,
      });
      expect(stopping.upstream.runs.length).toBeGreaterThan(CALLERS);
      expect(outcome).toMatchObject({ unanswered: [], exitCode: 0 });
    } finally {
      await pair.close();
    }
  },
  40_000,
);

test(
  "a stop without requests doesn't wait for callers that left behind unanswered ones",
  async () => {
    const front = fleet.hosts[0]!;
    for (const { upstream } of fleet.hosts) upstream.getWorkMs = () => 400;
    const pipes = await Promise.all(
      Array.from({ length: 5 }, () => openPipe(front.ip, CALLER_PORT)),
    );
    const sent = pipes.flatMap((pipe, index) =>
      [0, 1, 2].map((place) => pipe.send({ id: `g-${index}${place}1` }))
    );
    const isAtWork = () =>
      fleet.hosts.some(({ upstream }) => upstream.ran.includes("g-421"));
    while (!isAtWork()) await pause(5);
    for (const pipe of pipes) pipe.close();
    await Promise.all(sent);
    await pause(500);
    const outcome = await stopUnderLoad(fleet, front, {
      callers: 0,
      beforeMs: 0,
      createRequest,
    });
    expect(outcome.exitCode).toBe(0);
    expect(outcome.exitedMs).toBeLessThan(IDLE_STOP_MS);
  },
  40_000,
);

test(
  "a daemon that gets SIGTERM as soon as it listens stops gracefully",
  async () => {
    const host = fleet.hosts[0]!;
    for (let i = 0; i < 3; i++) {
      if (host.process.exitCode === null) {
        await stopUnderLoad(fleet, host, {
          callers: 0,
          beforeMs: 0,
          createRequest,
        });
      }
      fleet.startDaemon(host);
      const exited = new Promise((resolve) =>
        host.process.once("exit", (code, signal) => resolve({ code, signal }))
      );
      const pipe = await connectSoon(host);
      host.process.kill("SIGTERM");
      const answer = await pipe.send({ id: `e-${i}1` });
      expect(await exited).toEqual({ code: 0, signal: null });
      expect(answer.isWhole).toBe(true);
    }
  },
  40_000,
);

test(
  "no request loses its answer in a stop that begins once the upstream has ended",
  async () => {
    const front = fleet.hosts[3]!;
    const outcome = await stopUnderLoad(fleet, front, {
      callers: CALLERS,
      beforeMs: BEFORE_MS,
      createRequest,
      beforeStop: async () => {
        fleet.list(front, { state: "draining", seq: 2 });
        await pause(SLOW_MS);
        await front.upstream.close();
        fleet.store.remove(`servers/${front.upstream.instance}`);
      },
    });
    expect(outcome).toMatchObject({ lost: [], exitCode: 0 });
    expect(outcome.served[0]).toBeGreaterThan(CALLERS);
    expect(outcome.exitedMs).toBeLessThan(GRACE_MS);
  },
  40_000,
);

async function connectSoon(
  host: DeploymentHost,
): Promise<Awaited<ReturnType<typeof openPipe>>> {
  for (;;) {
    const pipe = await openPipe(host.ip, CALLER_PORT).catch(() => undefined);
    if (pipe !== undefined) return pipe;
  }
}

function createRequest(count: number) {
  return { id: `e-${count}`, timeoutMs: TIMEOUT_MS };
}

function publish(): void {
  const seconds = TIMEOUT_MS / 1_000;
  fleet.publish(version += 1, { timeoutS: seconds, sloS: seconds });
}

/** Waits until each daemon that was told to stop is gone. */
async function waitForOthers(): Promise<void> {
  for (const { process, lines } of fleet.hosts) {
    const isStopping = lines.join("\n").includes("event=stopping");
    while (isStopping && process.exitCode === null) await pause(50);
    lines.length = 0;
  }
}
