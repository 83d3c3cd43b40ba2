/**
 * LOST: one of two backends of the boards spoils one of 50 answers: its status
 * line has a code that no response has. The daemon of the caller ends by itself,
 * and with it the orders that sound backends of another service are running.
 */

import { Buffer } from "node:buffer";
import { type Client, createClient, type Ending } from "../support/client.ts";
import { type Backend, startBackend } from "../support/upstream.ts";
import {
  createWorld,
  type Host,
  isTroubled,
  Outcome,
  pause,
  runCase,
  type World,
} from "../support/world.ts";

const BOARDS = "boards";
const ORDERS = "orders";
/** One in so many answers of the faulty backend is spoilt (`garble`, x = .02). */
const SPOILT_ONE_IN = 50;
/** For so long (`garble`, for_s = 5), in ms. */
const SPOILT_MS = 5_000;
const CLIENTS_PER_HOST = 10;
const ORDER_WORK_MS = 150;
const BOARD_WORK_MS = 40;
/** `stableS` and a little more: the daemons are in touch from then on. */
const CALM_MS = 4_000;
const TRAFFIC_MS = 8_000;
const TIMEOUT_MS = 1_000;
/** Pause before a daemon that has ended is started again, as the platform does. */
const RESTART_MS = 500;
/** More requests than this that one machine loses break the rule. */
const MAX_LOST = 3;

runCase(async (folder, onWorld) => {
  const world = await createWorld({
    folder,
    services: [BOARDS, BOARDS, ORDERS, ORDERS],
  });
  onWorld(world);
  const backends: Backend[] = [];
  let isSpoiling = false;
  for (const [index, host] of world.hosts.entries()) {
    backends.push(
      await startBoardsOrOrders(
        world,
        host,
        () => index === 0 && isSpoiling,
      ),
    );
  }
  world.publish(7, [
    { name: "r-boards", prefix: "/board/", kind: "safe", service: BOARDS },
    { name: "r-orders", prefix: "/order/", kind: "unsafe", service: ORDERS },
  ]);
  for (const host of world.hosts) world.startDaemon(host);
  for (const host of world.hosts) await world.waitUntilReady(host);
  await pause(CALM_MS);
  isSpoiling = isTroubled;
  setTimeout(() => isSpoiling = false, SPOILT_MS);
  const endings: Ending[] = [];
  const until = performance.now() + TRAFFIC_MS;
  const restarting = restartEnded(world, until);
  await Promise.all(
    world.hosts.flatMap((host, at) =>
      Array.from({ length: CLIENTS_PER_HOST }, async (_, index) => {
        const name = `h${at + 1}c${index}`;
        const client: Client = createClient(world, host.ip);
        const isOrdering = index > 0;
        for (let i = 1; performance.now() < until; i++) {
          const ending = await client.send({
            id: `${name}-${i}`,
            path: isOrdering ? `/order/${i}` : `/board/${i}`,
            timeoutMs: TIMEOUT_MS,
            ...(isOrdering && {
              method: "POST",
              body: Buffer.from(`order ${i} of ${name}`),
            }),
          });
          endings.push(ending);
          await pause(ending.status === undefined ? 200 : 20);
        }
        client.close();
      })
    ),
  );
  await restarting;
  const isBroken = findLost(world, endings, backends.slice(1));
  for (const backend of backends) await backend.end();
  return isBroken ? Outcome.Broken : Outcome.Held;
});

function startBoardsOrOrders(
  world: World,
  host: Host,
  isSpoiling: () => boolean,
): Promise<Backend> {
  let answers = 0;
  return startBackend({
    instance: host.instance,
    address: host.upstreamAddress,
    workMs: host.service === BOARDS ? BOARD_WORK_MS : ORDER_WORK_MS,
    onRun: ({ id }) => world.record("run", { instance: host.instance, id }),
    respond: (run, res) => {
      answers += 1;
      const isSpoilt = isSpoiling() && answers % SPOILT_ONE_IN === 0;
      if (!isSpoilt) {
        res.writeHead(200).end(`answer to ${run.id}`);
        return;
      }
      world.record("spoilt", { instance: host.instance, id: run.id });
      res.socket!.write(
        "HTTP/1.1 042 OK\r\n" +
          `X-Vanillarock-Attempt-Id: ${run.id}\r\n` +
          `X-Vanillarock-Response-Signature: sig.${run.id}\r\n` +
          "Content-Length: 2\r\n\r\nok",
      );
      res.socket!.end();
    },
  });
}

/** Starts daemons that have ended again until a time. */
async function restartEnded(world: World, until: number): Promise<void> {
  const seen = new Set<unknown>();
  while (performance.now() < until) {
    for (const host of world.hosts) {
      const { child } = host;
      if (host.ended === undefined || seen.has(child)) continue;
      seen.add(child);
      const cause = host.lines.filter((it) => /Error/.test(it)).at(-1);
      world.record("ended by itself", { ip: host.ip, end: host.ended, cause });
      setTimeout(() => {
        delete host.ended;
        world.startDaemon(host);
      }, RESTART_MS);
    }
    await pause(50);
  }
  await pause(RESTART_MS + 50);
}

/** Requests from kept connections that ran at a sound backend and whose connection closed without an answer. */
function findLost(
  world: World,
  endings: readonly Ending[],
  sound: readonly Backend[],
): boolean {
  const ran = new Set(sound.flatMap((it) => it.runs).map((it) => it.id));
  const lost = endings.filter((it) =>
    it.status === undefined && it.isKept && ran.has(it.id)
  );
  for (const { id, error } of lost) world.record("LOST", { id, error });
  const counts = world.hosts.map((_, at) =>
    lost.filter((it) => it.id.startsWith(`h${at + 1}c`)).length
  );
  world.record("sum", { requests: endings.length, lostByMachine: counts });
  return Math.max(...counts) > MAX_LOST;
}
