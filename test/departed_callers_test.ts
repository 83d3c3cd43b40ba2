/** Requests whose callers left while a daemon on their way was held up, with daemons as processes. */

import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { afterAll, beforeAll, expect, test } from "vitest";
import { Repeatability } from "../src/core/types.ts";
import { encodeHead, Header } from "../src/link/wire.ts";
import {
  CALLER_PORT,
  type Deployment,
  type DeploymentHost,
  PEER_PORT,
  startDeployment,
} from "./platform/mesh.ts";

/** Longer than the half second within which work for a departed caller has to stop. */
const HELD_UP_MS = 700;
const CALLERS = 12;
/** Time from a request to the close of its connection within which they arrive together, in ms. */
const MAX_GAP_MS = 1;

let fleet: Deployment;
beforeAll(async () => {
  // The callers' host has no upstream of the service, so that two daemons are on the way.
  fleet = await startDeployment(88, ["front", "shop"]);
  fleet.publish(2, { service: "shop" });
  const [front, back] = fleet.hosts as [DeploymentHost, DeploymentHost];
  while (back.upstream.ran.length === 0) {
    await fleet.call(front, { id: "first" });
    await pause(20);
  }
});
afterAll(() => fleet.close());

test.each([
  ["GET /read/1", ""],
  ["POST /order/1", "content-length: 1\r\n"],
])(
  "%s: a caller's daemon that was held up passes on nothing for callers that left",
  async (line, headers) => {
    const [front] = fleet.hosts as [DeploymentHost];
    const before = countRuns();
    const callers = await openCallers(front);
    front.process.kill("SIGSTOP");
    for (const [i, socket] of callers.entries()) {
      sendRequest(socket, { line, headers, id: `late-${i}` });
    }
    await pause(50);
    for (const socket of callers) socket.destroy();
    await pause(HELD_UP_MS);
    front.process.kill("SIGCONT");
    await pause(500);
    expect(countRuns() - before).toBe(0);
  },
  20_000,
);

test(
  "an upstream's daemon that was held up starts nothing for callers that left",
  async () => {
    const [front, back] = fleet.hosts as [DeploymentHost, DeploymentHost];
    const before = countRuns();
    const callers = await openCallers(front);
    back.process.kill("SIGSTOP");
    for (const [i, socket] of callers.entries()) {
      sendRequest(socket, {
        line: "GET /read/1",
        headers: "",
        id: `held-${i}`,
      });
    }
    await pause(50);
    for (const socket of callers) socket.destroy();
    await pause(HELD_UP_MS);
    back.process.kill("SIGCONT");
    await pause(500);
    expect(countRuns() - before).toBe(0);
  },
  20_000,
);

// Packets that are sent again arrive at once, also at a daemon that is in time.
test(
  "a request that arrives with the close of its connection reaches no upstream",
  async () => {
    const [front] = fleet.hosts as [DeploymentHost];
    const left = await leaveAtOnce("both", () => {
      const socket = connect(CALLER_PORT, front.ip);
      const send = (id: string) =>
        sendRequest(socket, { line: "GET /read/1", headers: "", id });
      return { socket, send };
    });
    expect(findRuns(left)).toEqual([]);
  },
  20_000,
);

test(
  "a peer's message that arrives with the close of its connection starts nothing",
  async () => {
    const [, back] = fleet.hosts as [DeploymentHost, DeploymentHost];
    const head = encodeHead({
      account: "all",
      service: "shop",
      repeatability: Repeatability.Idempotent,
      fingerprint: "",
      timeoutMs: 1_000,
    });
    const left = await leaveAtOnce("peer", () => {
      const socket = connect(PEER_PORT, back.ip);
      const send = (id: string) =>
        void socket.write(
          `GET /read/1 HTTP/1.1\r\nhost: peer\r\n${Header.Step}: submit\r\n` +
            `${Header.Ticket}: test#1/1:${id}/1\r\n${Header.Head}: ${head}\r\n` +
            `x-vanillarock-attempt-id: ${id}\r\n\r\n`,
        );
      return { socket, send };
    });
    expect(findRuns(left)).toEqual([]);
  },
  20_000,
);

test("callers that stay are served by daemons that were held up", async () => {
  for (const held of fleet.hosts) {
    held.process.kill("SIGSTOP");
    const calls = Array.from(
      { length: CALLERS },
      (_, i) => fleet.call(fleet.hosts[0]!, { id: `stays-${held.ip}-${i}` }),
    );
    await pause(HELD_UP_MS);
    held.process.kill("SIGCONT");
    const statuses = (await Promise.all(calls)).map((res) => res.status);
    expect(statuses).toEqual(Array(CALLERS).fill(200));
  }
}, 20_000);

/**
 * Sends requests and closes their connections at once. Returns the ids of those
 * whose close followed within MAX_GAP_MS: this process may be held up between
 * the two, and a daemon may pass on a request whose close arrives later.
 */
async function leaveAtOnce(
  name: string,
  open: () => { socket: Socket; send: (id: string) => void },
): Promise<string[]> {
  const ids: string[] = [];
  for (let i = 0; ids.length < CALLERS; i++) {
    const { socket, send } = open();
    socket.on("error", () => {});
    await once(socket, "connect");
    await pause(20);
    const id = `${name}-${i}`;
    const sentAt = performance.now();
    send(id);
    socket.destroy();
    if (performance.now() - sentAt < MAX_GAP_MS) ids.push(id);
  }
  await pause(300);
  return ids;
}

/** The requests of these that an upstream ran. */
function findRuns(ids: readonly string[]): string[] {
  const ran = new Set(fleet.hosts.flatMap((h) => h.upstream.ran));
  return ids.filter((id) => ran.has(id));
}

function countRuns(): number {
  return fleet.hosts.flatMap((h) => h.upstream.ran).length;
}

/** Opens connections that the daemon has accepted. */
async function openCallers(host: DeploymentHost): Promise<Socket[]> {
  const sockets = Array.from(
    { length: CALLERS },
    () => connect(CALLER_PORT, host.ip).on("error", () => {}),
  );
  await pause(100);
  return sockets;
}

function sendRequest(
  socket: Socket,
  { line, headers, id }: { line: string; headers: string; id: string },
): void {
  socket.write(
    `${line} HTTP/1.1\r\nhost: shop\r\nx-vanillarock-attempt-id: ${id}\r\n` +
      `x-vanillarock-timeout-ms: 2000\r\n${headers}\r\n${headers && "x"}`,
  );
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
