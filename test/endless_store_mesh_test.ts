/** Daemons as processes whose store or whose peer sends bytes without end. */

import { afterAll, beforeAll, expect, test } from "vitest";
import {
  type Deployment,
  type DeploymentHost,
  PEER_PORT,
  PLATFORM_NODE_ARGS,
  startDeployment,
} from "./platform/mesh.ts";
import { createEndlessAnswers } from "./support/endless_answers.ts";
import { callBeside, type HostOutcome } from "./support/endless_load.ts";
import {
  type EndlessAnswer,
  startEndlessServer,
} from "./support/endless_server.ts";
import { startRelay } from "./support/relay.ts";

const STORE_PORT = 18_306;
/** Memory beyond which the platform kills a daemon, in bytes. */
const MEMORY_LIMIT_BYTES = 250_000_000;
/** Time for which the bytes are sent, in ms. */
const ENDLESS_MS = 1_500;

let fleet: Deployment;

beforeAll(async () => {
  fleet = await startDeployment(210, ["shop", "shop"], {
    hasRelays: true,
    nodeArgs: PLATFORM_NODE_ARGS,
  });
  await fleet.hosts[0]!.links!.store.close();
});
afterAll(() => fleet.close());

const PAGE = JSON.stringify({
  items: Array.from({ length: 500 }, (_, i) => ({
    key: `servers/i-${i}`,
    value: Buffer.from("x".repeat(1_000)).toString("base64"),
    created: 1,
  })),
  hasMore: true,
  at: 1,
});
const STORE_ANSWERS: Record<string, EndlessAnswer> = {
  ...createEndlessAnswers("kv-", "200 OK\r\nstore-era: 1\r\n"),
  "a refusal's body": {
    pattern: "kv-",
    start: "HTTP/1.1 503 Busy\r\ntransfer-encoding: chunked\r\n\r\n",
    part: `1000\r\n${"a".repeat(0x1000)}\r\n`,
  },
  "pages": {
    pattern: "kv-",
    start: "HTTP/1.1 200 OK\r\nstore-era: 2\r\n" +
      `content-length: ${PAGE.length}\r\n\r\n${PAGE}`,
    part: "",
    everyMs: 1_000_000,
  },
};

test.each(Object.keys(STORE_ANSWERS))(
  "a store that sends %s without end: bounded memory, and callers are served",
  async (name) => {
    const [host] = fleet.hosts as [DeploymentHost];
    const server = await startEndlessServer({
      ip: host.ip,
      port: STORE_PORT,
      answers: [STORE_ANSWERS[name]!],
    });
    try {
      const [{ statuses, most }] = await callBeside(
        fleet,
        `store, ${name}`,
        ENDLESS_MS,
      ) as [HostOutcome];
      expect(statuses.filter((status) => status !== 200)).toEqual([]);
      expect(host.process.exitCode).toBeNull();
      expect(most).toBeLessThan(MEMORY_LIMIT_BYTES);
    } finally {
      await server.close();
    }
  },
  20_000,
);

const PEER_IP = "127.0.210.9";
const STATE_ANSWERS = createEndlessAnswers(": state\\r", "200 OK\r\n");

test.each(["a body without a length", "chunks", "headers"])(
  "a peer that sends %s without end as its state: bounded memory, and callers are served",
  async (name) => {
    const [host] = fleet.hosts as [DeploymentHost];
    fleet.store.put("servers/i-peer", {
      address: `${PEER_IP}:18301`,
      info: { service: "other", version: "v1", zone: "west", slots: 1 },
      status: { state: "ready", seq: 1, coldLeftS: 0 },
    });
    const store = await startRelay(
      { ip: host.ip, port: STORE_PORT },
      {
        ip: fleet.store.address.split(":")[0]!,
        port: Number(fleet.store.address.split(":")[1]),
      },
    );
    await expect.poll(
      () => host.lines.some((line) => line.includes("instance=i-peer")),
      { timeout: 5_000 },
    ).toBe(true);
    const server = await startEndlessServer({
      ip: PEER_IP,
      port: PEER_PORT,
      answers: [STATE_ANSWERS[name]!],
    });
    await store.close();
    try {
      const [{ statuses, most }] = await callBeside(
        fleet,
        `peer's state, ${name}`,
        ENDLESS_MS,
      ) as [HostOutcome];
      expect(statuses.filter((status) => status !== 200)).toEqual([]);
      expect(host.process.exitCode).toBeNull();
      expect(most).toBeLessThan(MEMORY_LIMIT_BYTES);
    } finally {
      await server.close();
    }
  },
  20_000,
);
