/** Store daemons as processes: one that starts while the store doesn't answer it. */

import { once } from "node:events";
import { afterAll, beforeAll, expect, test } from "vitest";
import { type Deployment, startDeployment } from "./platform/mesh.ts";
import { RelayMode } from "./support/relay.ts";

/** Bound of the operators on the time until a change is in force, in ms. */
const IN_FORCE_MS = 2_000;

let fleet: Deployment;
beforeAll(async () => {
  fleet = await startDeployment(74, ["shop", "shop", "shop"], {
    hasRelays: true,
  });
});
afterAll(() => fleet.close());

test(
  "a daemon that starts without the store serves what the others know, and learns of changes",
  async () => {
    const host = fleet.hosts[2]!;
    const { store } = host.links!;
    store.setMode(RelayMode.DropsAll);
    store.cut();
    host.process.kill("SIGKILL");
    await once(host.process, "exit");
    fleet.startDaemon(host);
    await fleet.waitUntilReady(host);
    expect((await fleet.call(host, { id: "first" })).status).toBe(200);

    fleet.publish(2, { added: "/later/" });
    await pause(IN_FORCE_MS);
    const later = await fleet.call(host, { id: "later", path: "/later/1" });
    expect(later.status).toBe(200);
    expect((await fleet.call(host, { id: "gone", path: "/added/1" })).status)
      .toBe(404);
    expect(host.lines.some((l) => l.includes("event=peer_state_used"))).toBe(
      true,
    );

    store.setMode(RelayMode.Forwarding);
    store.cut();
    fleet.publish(3, { added: "/last/" });
    await pause(IN_FORCE_MS);
    const last = await fleet.call(host, { id: "last", path: "/last/1" });
    expect(last.status).toBe(200);
  },
  30_000,
);

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
