/**
 * UNASKED: requests with a body in chunks whose method is DELETE. The body is
 * text of the caller's own, which has the form of a request.
 */

import { Buffer } from "node:buffer";
import { request } from "node:http";
import { type Backend, startBackend } from "../support/upstream.ts";
import {
  createWorld,
  HOSTNAME,
  isTroubled,
  Outcome,
  pause,
  runCase,
  type World,
} from "../support/world.ts";

const SERVICE = "orders";
const REQUESTS = 6;
const SETTLE_MS = 1_500;

interface Sent {
  readonly id: string;
  readonly method: string;
  readonly path: string;
  readonly body: Buffer;
}

runCase(async (folder, onWorld) => {
  const world = await createWorld({
    folder,
    services: [SERVICE, SERVICE],
  });
  onWorld(world);
  const backends = await Promise.all(world.hosts.map((host) =>
    startBackend({
      instance: host.instance,
      address: host.upstreamAddress,
      onRun: ({ id, method, path, body }) =>
        world.record("run", {
          instance: host.instance,
          id,
          method,
          path,
          body: body.toString(),
        }),
    })
  ));
  world.publish(7, [{
    name: "r-orders",
    prefix: "/order/",
    kind: "unsafe",
    service: SERVICE,
  }]);
  for (const host of world.hosts) world.startDaemon(host);
  for (const host of world.hosts) await world.waitUntilReady(host);
  const sent: Sent[] = [];
  for (let i = 1; i <= REQUESTS; i++) {
    const id = `client-${i}`;
    const body = Buffer.from(
      `DELETE /order/other${i} HTTP/1.1\r\nHost: ${HOSTNAME}\r\n` +
        `X-Vanillarock-Attempt-Id: nobody-${i}\r\n\r\n`,
    );
    const it = { id, method: "DELETE", path: `/order/${i}`, body };
    sent.push(it);
    await send(world, it, world.hosts[i % world.hosts.length]!.ip);
    await pause(100);
  }
  await pause(SETTLE_MS);
  const isBroken = findBreaches(world, sent, backends);
  for (const backend of backends) await backend.end();
  return isBroken ? Outcome.Broken : Outcome.Held;
});

/** Sends one request, whose body is in chunks or, without the disruption, has a length. */
function send(world: World, it: Sent, ip: string): Promise<void> {
  const framing = isTroubled
    ? { "Transfer-Encoding": "chunked" }
    : { "Content-Length": String(it.body.length) };
  world.record("sent", { ip, id: it.id, ...framing });
  return new Promise((resolve) => {
    const req = request({
      host: ip,
      port: world.ports.callers,
      method: it.method,
      path: it.path,
      agent: false,
      headers: {
        Host: HOSTNAME,
        "X-Vanillarock-Attempt-Id": it.id,
        "X-Vanillarock-Timeout-Ms": "1000",
        ...framing,
      },
    });
    req.on("response", (res) => {
      world.record("answered", { id: it.id, status: res.statusCode });
      res.resume();
      res.once("close", resolve);
    });
    req.on("error", (error) => {
      world.record("no answer", { id: it.id, error: String(error) });
      resolve();
    });
    req.end(it.body);
  });
}

/** Runs with an id that no client sent, or with another method, path or body than sent. */
function findBreaches(
  world: World,
  sent: readonly Sent[],
  backends: readonly Backend[],
): boolean {
  const byId = new Map(sent.map((it) => [it.id, it]));
  let isBroken = false;
  for (const run of backends.flatMap((it) => it.runs)) {
    const origin = byId.get(run.id);
    const isSame = origin !== undefined && origin.method === run.method &&
      origin.path === run.path && origin.body.equals(run.body);
    if (isSame) continue;
    isBroken = true;
    world.record("UNASKED", {
      id: run.id,
      why: origin === undefined ? "no client sent this id" : "changed",
    });
  }
  return isBroken;
}
