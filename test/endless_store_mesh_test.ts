/** Daemons as processes whose store or whose peer sends bytes without end. */

import { afterAll, beforeAll, expect, test } from "vitest";
import {
  type Deployment,
  type DeploymentHost,
  startDeployment,
} from "./platform/mesh.ts";
import { createEndlessAnswers } from "./support/endless_answers.ts";
import { callBeside, type HostOutcome } from "./support/endless_load.ts";
import {
  type EndlessAnswer,
  startEndlessServer,
} from "./support/endless_server.ts";

const STORE_PORT = 18_306;
/** Memory beyond which the platform kills a daemon, in bytes. */
const MEMORY_LIMIT_BYTES = 250_000_000;
/** Time for which the bytes are sent, in ms. */
const ENDLESS_MS = 3_000;

let fleet: Deployment;

beforeAll(async () => {
  fleet = await startDeployment(210, ["shop", "shop"], { hasRelays: true });
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
