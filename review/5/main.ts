/**
 * DRAIN: the backends of a service hang on part of their requests, so that others
 * wait for a slot at the guards beside them. One of the backends begins to leave.
 * Orders that were waiting there are sent to it later than `drainS` after that,
 * and some are cut off as it exits.
 */

import { Buffer } from "node:buffer";
import { createClient, type Ending } from "../support/client.ts";
import { type Backend, startBackend } from "../support/upstream.ts";
import {
  createWorld,
  isTroubled,
  now,
  Outcome,
  pause,
  runCase,
  type World,
} from "../support/world.ts";

const SERVICE = "normativa";
const OTHER = "consulta";
const SLOTS = 6;
const WORK_MS = 300;
/** Share of their requests that the faulty backends never answer (`srv_grey`, how hang all, x = .55). */
const HANGING_SHARE = 0.55;
/** For so long (`srv_grey`, for_s = 8.5), in ms. */
const HANGING_MS = 8_500;
const TIMEOUT_MS = 6_000;
const DRAIN_MS = 2_000;
/** Added to the bound: more than a message takes here. */
const MARGIN_MS = 100;
/** How much longer than `drainS` the leaving backend runs, in ms; "at times many seconds". */
const LINGER_MS = 4_000;
const CALM_MS = 4_000;
/** The backend begins to leave once so many of its six slots are held by requests that hang. */
const HELD_SLOTS = 5;
/** And after so much more time, in ms, in which others arrive. */
const FULL_MS = 800;
/** It begins to leave after this time at the latest, in ms. */
const LEAVES_WITHIN_MS = 12_000;
const WATCHED_MS = 6_500;
const CLIENTS_PER_HOST = 6;
const PAUSE_MS = 1_600;

runCase(async (folder, onWorld) => {
  const services = [SERVICE, SERVICE, SERVICE, OTHER, OTHER, OTHER, OTHER];
  const world = await createWorld({ folder, services, slots: SLOTS });
  onWorld(world);
  const backends: Backend[] = [];
  let isHanging = false;
  let isLeaving = false;
  /** Requests that hang now. */
  const hanging = new Set<string>();
  for (const [index, host] of world.hosts.entries()) {
    let answers = 0;
    backends.push(
      await startBackend({
        instance: host.instance,
        address: host.upstreamAddress,
        slots: SLOTS,
        workMs: WORK_MS,
        isDraining: () => index === 0 && isLeaving,
        onRun: ({ id }) => world.record("run", { instance: host.instance, id }),
        respond: async (run, res) => {
          answers += 1;
          const isLost = host.service === SERVICE && isHanging &&
            Math.floor(answers * HANGING_SHARE) >
              Math.floor((answers - 1) * HANGING_SHARE);
          if (!isLost) {
            res.writeHead(200).end(`answer to ${run.id}`);
            return;
          }
          world.record("hangs", { instance: host.instance, id: run.id });
          if (index === 0) hanging.add(run.id);
          await new Promise((resolve) => res.once("close", resolve));
          hanging.delete(run.id);
        },
      }),
    );
  }
  world.publish(7, [{
    name: "r-fees",
    prefix: "/fee/",
    kind: "unsafe",
    service: SERVICE,
    timeoutS: TIMEOUT_MS / 1_000,
    sloS: 2,
  }]);
  for (const host of world.hosts) world.startDaemon(host);
  for (const host of world.hosts) await world.waitUntilReady(host);
  const endings: Ending[] = [];
  let until = Infinity;
  const traffic = Promise.all(
    world.hosts.flatMap((host, at) =>
      Array.from({ length: CLIENTS_PER_HOST }, async (_, index) => {
        const client = createClient(world, host.ip);
        await pause(Math.random() * PAUSE_MS);
        for (let i = 1; now() < until; i++) {
          const id = `h${at + 1}c${index}-${i}`;
          endings.push(
            await client.send({
              id,
              path: `/fee/${i}`,
              method: "POST",
              body: Buffer.from(`fee ${id}`),
              timeoutMs: TIMEOUT_MS,
            }),
          );
          await pause(PAUSE_MS);
        }
        client.close();
      })
    ),
  );
  await pause(CALM_MS);
  isHanging = isTroubled;
  setTimeout(() => isHanging = false, HANGING_MS);
  world.record("backends hang on part of their requests", { isHanging });
  const leavesBy = now() + LEAVES_WITHIN_MS;
  while (hanging.size < HELD_SLOTS && now() < leavesBy) await pause(10);
  await pause(FULL_MS);
  isLeaving = true;
  const ackedAt = now();
  world.list(world.hosts[0]!, { state: "draining" });
  until = ackedAt + WATCHED_MS;
  await pause(DRAIN_MS + LINGER_MS);
  world.record("backend exits", { instance: world.hosts[0]!.instance });
  await backends[0]!.end();
  await traffic;
  const isBroken = findLate(world, { ackedAt, endings, left: backends[0]! });
  for (const backend of backends.slice(1)) await backend.end();
  return isBroken ? Outcome.Broken : Outcome.Held;
});

/** Requests that began at the leaving backend later than the bound. */
function findLate(
  world: World,
  { ackedAt, endings, left }: {
    ackedAt: number;
    endings: readonly Ending[];
    left: Backend;
  },
): boolean {
  const late = left.runs.filter((it) => it.at > ackedAt + DRAIN_MS + MARGIN_MS);
  for (const { id, at, isAnswered } of late) {
    const ending = endings.find((it) => it.id === id);
    world.record("DRAIN", {
      id,
      afterAckMs: Math.round(at - ackedAt),
      isAnswered,
      status: ending?.status ?? "none",
    });
  }
  const ended = new Map<string, number>();
  for (const { status = 0 } of endings) {
    ended.set(String(status), (ended.get(String(status)) ?? 0) + 1);
  }
  world.record("sum", {
    requests: endings.length,
    late: late.length,
    byStatus: Object.fromEntries(ended),
  });
  return late.length > 0;
}
