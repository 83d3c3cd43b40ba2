/**
 * CONFIG: the open connections between the daemons and the store go silent, new
 * ones work. A configuration that is acknowledged just after that is not in
 * force when the machines are in touch again.
 */

import { type Relay, startRelay } from "../../test/support/relay.ts";
import { Buffer } from "node:buffer";
import type { StoreStandIn } from "../../test/platform/store_stand_in.ts";
import { createClient } from "../support/client.ts";
import { type Backend, startBackend } from "../support/upstream.ts";
import {
  createWorld,
  isTroubled,
  now,
  Outcome,
  pause,
  type Route,
  runCase,
} from "../support/world.ts";

const OLD = "orders";
const NEW = "boards";
const CONFIG_MS = 2_000;
const STABLE_MS = 3_000;
/** Added to both bounds: more than any request takes on its way here. */
const MARGIN_MS = 100;
/** From the silence to the acknowledgement of the configuration. */
const PUBLISH_AFTER_MS = 50;
const CALM_MS = 3_500;
const WATCHED_MS = 6_000;
const REQUEST_EVERY_MS = 50;
const ROUNDS = 3;
const WATCH_PATH = "/-/kv-watch";
/** Longer than any watch of a daemon. */
const LONGEST_WAIT_MS = 4_500;

interface Sent {
  readonly id: string;
  readonly at: number;
}

runCase(async (folder, onWorld) => {
  const relays: Relay[] = [];
  const world = await createWorld({
    folder,
    services: [OLD, OLD, NEW, NEW],
    async getStoreAddress(_host, store) {
      const [ip, port] = store.address.split(":") as [string, string];
      const from = { ip: "127.0.0.1", port: await findPort() };
      relays.push(await startRelay(from, { ip, port: Number(port) }));
      return `${from.ip}:${from.port}`;
    },
  });
  onWorld(world);
  const backends: Backend[] = [];
  for (const host of world.hosts) {
    backends.push(
      await startBackend({
        instance: host.instance,
        address: host.upstreamAddress,
        onRun: ({ id }) =>
          world.record("run", { id, by: host.service, at: host.instance }),
      }),
    );
  }
  let version = 7;
  world.publish(version, [createRoute(OLD)]);
  for (const host of world.hosts) world.startDaemon(host);
  for (const host of world.hosts) await world.waitUntilReady(host);
  const late: string[] = [];
  for (let round = 1; round <= ROUNDS; round++) {
    await pause(CALM_MS);
    const [from, to] = round % 2 === 1 ? [OLD, NEW] : [NEW, OLD];
    await waitForWatches(world.store, world.hosts.length);
    const silencedAt = now();
    if (isTroubled) {
      for (const relay of relays) relay.silence();
      world.record("silenced", { connections: "all daemons to the store" });
    }
    await pause(PUBLISH_AFTER_MS);
    version += 3;
    world.publish(version, [createRoute(to)]);
    const boundAt = Math.max(
      now() + CONFIG_MS,
      silencedAt + (isTroubled ? STABLE_MS : 0),
    ) + MARGIN_MS;
    const sent: Sent[] = [];
    const until = now() + WATCHED_MS;
    await Promise.all(world.hosts.map(async ({ ip }, index) => {
      const client = createClient(world, ip);
      for (let i = 1; now() < until; i++) {
        const id = `r${round}h${index + 1}-${i}`;
        sent.push({ id, at: now() });
        await client.send({
          id,
          path: `/order/${i}`,
          method: "POST",
          body: Buffer.from(`order ${id}`),
          timeoutMs: 800,
        });
        await pause(REQUEST_EVERY_MS);
      }
      client.close();
    }));
    const oldRuns = new Set(
      backends.filter((_, at) => world.hosts[at]!.service === from)
        .flatMap((it) => it.runs).map((it) => it.id),
    );
    const breaches = sent.filter((it) => it.at > boundAt && oldRuns.has(it.id));
    for (const { id, at } of breaches) {
      const afterBoundMs = Math.round(at - boundAt);
      world.record("CONFIG", { id, by: from, afterBoundMs });
      late.push(id);
    }
    world.record("round", { round, breaches: breaches.length });
  }
  for (const backend of backends) await backend.end();
  for (const relay of relays) await relay.close();
  return late.length > 0 ? Outcome.Broken : Outcome.Held;
});

function createRoute(service: string): Route {
  return { name: "r-orders", prefix: "/order/", kind: "unsafe", service };
}

/** Resolves once each daemon has begun another watch, at the latest after one whole wait. */
async function waitForWatches(
  store: StoreStandIn,
  daemons: number,
): Promise<void> {
  const count = () => store.calls.get(WATCH_PATH) ?? 0;
  const before = count();
  const until = now() + LONGEST_WAIT_MS;
  while (count() < before + daemons && now() < until) await pause(10);
}

/** A free port of the loopback address. */
async function findPort(): Promise<number> {
  const { createServer } = await import("node:net");
  return await new Promise((resolve) => {
    const server = createServer();
    server.listen(0, "127.0.0.1", () => {
      const { port } = server.address() as { port: number };
      server.close(() => resolve(port));
    });
  });
}
