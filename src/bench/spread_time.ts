/**
 * Measures, in virtual time, how long a change that one daemon reads takes to
 * be in force on all daemons, and how many control messages this costs.
 * node dist/bench/spread_time.js
 */

import process from "node:process";
import { OWN_POLICY } from "../lab/policies.ts";
import { createWorld, type World } from "../lab/world.ts";

const SIZES = [75, 150, 300, 600];
const SEEDS = [1, 2, 3];
const MAX_WAIT_MS = 30_000;
const STEP_MS = 10;
const TEMPLATE = `kind: template
name: studio
parameters: { timeoutMs: 2000, weight: 1, retryBudget: 0.1, hedgeBudget: 0.05,
  hedgePercentile: 95, tailWeight: 0.9, maxBodyBytes: 50000000 }
`;

for (const size of SIZES) {
  for (const isCut of [false, true]) {
    const times = SEEDS.map((seed) => measure(size, { seed, isCut }));
    process.stdout.write(
      `${size} daemons${isCut ? ", a failure domain cut off for 10 s" : ""}: ${
        times.map(({ ms, messages }) =>
          `${(ms / 1_000).toFixed(2)} s (${messages.toFixed(1)} messages each)`
        ).join(", ")
      }\n`,
    );
  }
}

/**
 * Returns the time until the change is in force on all daemons, in ms and at
 * most MAX_WAIT_MS, and the number of control messages per daemon.
 */
function measure(
  size: number,
  options: { seed: number; isCut: boolean },
): { ms: number; messages: number } {
  const world = createWorld({
    seed: options.seed,
    hosts: Array.from({ length: size }, (_, index) => ({
      host: `host-${index}`,
      service: `service-${index % 73}`,
      failureDomain: `d${index % 9}`,
      slots: 1,
      serviceMs: 1,
    })),
    policy: OWN_POLICY,
    latency: { sameDomainMs: 0.1, crossDomainMs: 1.5, callerMs: 8 },
    spreads: true,
  });
  const { loop } = world;
  loop.runUntil(1_500);
  const before = countMessages(world);
  if (options.isCut) cutDomain(world);
  const startedAt = loop.now();
  const document = { key: "template/studio", revision: 1, value: TEMPLATE };
  world.getNode("host-1").applyDocuments([document]);
  while (loop.now() < startedAt + MAX_WAIT_MS && !isInForceEverywhere(world)) {
    loop.runUntil(loop.now() + STEP_MS);
  }
  const messages = (countMessages(world) - before) / size;
  return { ms: loop.now() - startedAt, messages };
}

/** Cuts the domain d0 off from all others for 10 s. */
function cutDomain(world: World): void {
  const inside = world.getHosts().filter((h) => h.failureDomain === "d0");
  const outside = world.getHosts().filter((h) => h.failureDomain !== "d0");
  world.network.cut(inside.map((h) => h.host), outside.map((h) => h.host));
  world.loop.schedule(world.loop.now() + 10_000, world.network.heal);
}

function isInForceEverywhere(world: World): boolean {
  return world.getHosts().every(({ host }) =>
    world.getNode(host).config.size() === 1
  );
}

function countMessages(world: World): number {
  let sum = 0;
  for (const { host } of world.getHosts()) {
    world.getNode(host).gossip.counters.forEachCounter((name, value) => {
      if (name.startsWith("control_")) sum += value;
    });
  }
  return sum;
}
