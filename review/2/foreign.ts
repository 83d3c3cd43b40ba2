/**
 * MIXED: one backend of two spoils one of 50 answers: its status line has the
 * code 101. The daemon passes it on as the final answer. Clients that send
 * several requests before the first one is answered take the next request's
 * answer for that of the spoilt one.
 */

import {
  createPipeliningClient,
  type Exchange,
} from "../support/pipelining_client.ts";
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

const SERVICE = "boards";
/** One in so many answers of the faulty backend is spoilt (`garble`, x = .02). */
const SPOILT_ONE_IN = 50;
/** For so long (`garble`, for_s = 5), in ms. */
const SPOILT_MS = 5_000;
const WORK_MS = 40;
const TIMEOUT_MS = 800;
const CALM_MS = 4_000;
const TRAFFIC_MS = 7_000;
const CLIENTS_PER_HOST = 4;
/** Requests that a client sends together. */
const TOGETHER = 3;
const PAUSE_MS = 40;

runCase(async (folder, onWorld) => {
  const world = await createWorld({ folder, services: [SERVICE, SERVICE] });
  onWorld(world);
  const backends: Backend[] = [];
  let isSpoiling = false;
  for (const [index, host] of world.hosts.entries()) {
    let answers = 0;
    backends.push(
      await startBackend({
        instance: host.instance,
        address: host.upstreamAddress,
        workMs: WORK_MS,
        onRun: ({ id }) => world.record("run", { instance: host.instance, id }),
        respond: (run, res) => {
          answers += 1;
          const isSpoilt = isSpoiling && index === 0 &&
            answers % SPOILT_ONE_IN === 0;
          if (!isSpoilt) {
            res.writeHead(200).end(`answer to ${run.id}`);
            return;
          }
          world.record("spoilt", { instance: host.instance, id: run.id });
          res.socket!.write(
            "HTTP/1.1 101 OK\r\n" +
              `X-Vanillarock-Attempt-Id: ${run.id}\r\n` +
              `X-Vanillarock-Response-Signature: sig.${run.id}\r\n` +
              "Content-Length: 2\r\n\r\nok",
          );
          res.socket!.end();
        },
      }),
    );
  }
  world.publish(7, [{
    name: "r-boards",
    prefix: "/board/",
    kind: "safe",
    service: SERVICE,
    timeoutS: 0.8,
  }]);
  for (const host of world.hosts) world.startDaemon(host);
  for (const host of world.hosts) await world.waitUntilReady(host);
  await pause(CALM_MS);
  isSpoiling = isTroubled;
  setTimeout(() => isSpoiling = false, SPOILT_MS);
  const exchanges: Exchange[] = [];
  const until = now() + TRAFFIC_MS;
  await Promise.all(
    world.hosts.flatMap((host, at) =>
      Array.from({ length: CLIENTS_PER_HOST }, async (_, index) => {
        const client = createPipeliningClient(world, {
          ip: host.ip,
          path: "/board/1",
          timeoutMs: TIMEOUT_MS,
        });
        for (let i = 1; now() < until; i++) {
          const ids = Array.from(
            { length: TOGETHER },
            (_, nth) => `h${at + 1}c${index}-${i}-${nth}`,
          );
          exchanges.push(...await client.send(ids));
          await pause(PAUSE_MS);
        }
        client.close();
      })
    ),
  );
  const isBroken = findMixed(world, exchanges);
  for (const backend of backends) await backend.end();
  return isBroken ? Outcome.Broken : Outcome.Held;
});

/** Successes that belong to another request. */
function findMixed(world: World, exchanges: readonly Exchange[]): boolean {
  const mixed = exchanges.filter(({ id, status, body }) =>
    status === 200 && body !== `answer to ${id}`
  );
  for (const { id, interim, body } of mixed) {
    world.record("MIXED", { id, interim, body });
  }
  const unanswered = exchanges.filter((it) => it.status === undefined).length;
  world.record("sum", {
    requests: exchanges.length,
    mixed: mixed.length,
    unanswered,
  });
  return mixed.length > 0;
}
