/**
 * DRAIN, an entry of KNOWN-RED.txt: a backend starts again under its id and
 * later says that it leaves. The store comes back from a copy from before that
 * start. The daemons forget that the backend leaves.
 */

import { Buffer } from "node:buffer";
import { createClient } from "../support/client.ts";
import { type Backend, startBackend } from "../support/upstream.ts";
import {
  createWorld,
  type Host,
  isTroubled,
  now,
  Outcome,
  pause,
  runCase,
} from "../support/world.ts";

const SERVICE = "orders";
const CALM_MS = 4_000;
/** From the restart of the backend until it says that it leaves, in ms. */
const LEAVES_AFTER_MS = 700;
/** From then until the store comes back from an older copy, in ms; more than `drainS`. */
const ROLLED_BACK_AFTER_MS = 2_600;
/** Age of the copy, in ms: from before the restart. */
const COPY_AGE_MS = 3_600;
/** After this time operators and backends have written again what was lost, in ms. */
const WRITTEN_AFTER_MS = 1_200;
const WATCHED_MS = 3_000;
const DRAIN_MS = 2_000;
const MARGIN_MS = 100;
const CLIENTS_PER_HOST = 3;
const FIRST_BIRTH = 1_000;
const SECOND_BIRTH = 2_000;

interface Sent {
  readonly at: number;
  readonly ip: string;
}

runCase(async (folder, onWorld) => {
  const world = await createWorld({
    folder,
    services: [SERVICE, SERVICE, SERVICE],
  });
  onWorld(world);
  const leaver = world.hosts[0]!;
  const backends: Backend[] = [];
  let isLeaving = false;
  /** Requests whose answer said that the backend leaves. */
  const told = new Set<string>();
  for (const host of world.hosts) {
    backends.push(
      await startBackend({
        instance: host.instance,
        address: host.upstreamAddress,
        workMs: 20,
        respond: (run, res) => {
          if (host === leaver && isLeaving) {
            told.add(run.id);
            res.setHeader("Server-Leaving", "1");
          }
          res.writeHead(200).end(`answer to ${run.id}`);
        },
      }),
    );
  }
  const list = (host: Host, born: number) => {
    world.store.put(`servers/${host.instance}`, {
      address: host.upstreamAddress,
      born,
      info: { service: SERVICE, version: "v1", zone: host.zone, slots: 12 },
      status: { state: "ready", seq: 1, coldLeftS: 0 },
    });
    world.record("entry acknowledged", { instance: host.instance, born });
  };
  for (const host of world.hosts) list(host, FIRST_BIRTH);
  world.publish(7, [{
    name: "r-orders",
    prefix: "/order/",
    kind: "unsafe",
    service: SERVICE,
  }]);
  for (const host of world.hosts) world.startDaemon(host);
  for (const host of world.hosts) await world.waitUntilReady(host);
  await pause(CALM_MS);
  const sent = new Map<string, Sent>();
  /** Time at which a machine first passed on that the backend leaves, by its address. */
  const passedOn = new Map<string, number>();
  let until = Infinity;
  const traffic = Promise.all(
    world.hosts.flatMap(({ ip }, at) =>
      Array.from({ length: CLIENTS_PER_HOST }, async (_, index) => {
        const client = createClient(world, ip);
        for (let i = 1; now() < until; i++) {
          const id = `h${at + 1}c${index}-${i}`;
          sent.set(id, { at: now(), ip });
          await client.send({
            id,
            path: `/order/${i}`,
            method: "POST",
            body: Buffer.from(`order ${id}`),
            timeoutMs: 1_000,
          });
          if (told.has(id) && !passedOn.has(ip)) {
            passedOn.set(ip, now());
            world.record("passed on that it leaves", { ip, id });
          }
          await pause(15);
        }
        client.close();
      })
    ),
  );
  list(leaver, SECOND_BIRTH);
  await pause(LEAVES_AFTER_MS);
  isLeaving = true;
  world.record("leaves", { instance: leaver.instance });
  await pause(ROLLED_BACK_AFTER_MS);
  if (isTroubled) {
    const lost = world.store.rollBack(COPY_AGE_MS);
    world.record("the store is back from an older copy");
    setTimeout(() => {
      lost.writeAgain();
      world.record("written again");
    }, WRITTEN_AFTER_MS);
  }
  await pause(WATCHED_MS);
  until = now();
  await traffic;
  const late = backends[0]!.runs.filter(({ id }) => {
    const { at, ip } = sent.get(id)!;
    const bound = (passedOn.get(ip) ?? Infinity) + DRAIN_MS + MARGIN_MS;
    return at > bound;
  });
  for (const { id } of late) {
    const { at, ip } = sent.get(id)!;
    world.record("DRAIN", { id, afterMs: Math.round(at - passedOn.get(ip)!) });
  }
  world.record("sum", { requests: sent.size, late: late.length });
  for (const backend of backends) await backend.end();
  return late.length > 0 ? Outcome.Broken : Outcome.Held;
});
