/** Daemons as processes, one of which has callers that send bytes without end. */

import { afterAll, beforeAll, expect, test } from "vitest";
import {
  CALLER_PORT,
  type Deployment,
  PLATFORM_NODE_ARGS,
  startDeployment,
} from "./platform/mesh.ts";
import { startEndlessClient } from "./support/endless_client.ts";
import { callBeside, countStatuses } from "./support/endless_load.ts";

/** Memory beyond which the platform kills a daemon, in bytes. */
const MEMORY_LIMIT_BYTES = 250_000_000;
const ENDLESS_MS = 2_000;
/** Connections of faulty callers at a time. */
const FAULTY = 12;

let fleet: Deployment;
beforeAll(async () => {
  fleet = await startDeployment(213, ["shop", "shop"], {
    nodeArgs: PLATFORM_NODE_ARGS,
  });
});
afterAll(() => fleet.close());

const HOST = "host: shop\r\nx-vanillarock-attempt-id: faulty\r\n" +
  "x-vanillarock-timeout-ms: 2000\r\n";
const POST = `POST /order/1 HTTP/1.1\r\n${HOST}`;
const CHUNKED = `${POST}transfer-encoding: chunked\r\n\r\n`;
const GET = `GET /read/1 HTTP/1.1\r\n${HOST}\r\n`;
const UNKNOWN = `GET /unknown HTTP/1.1\r\n${HOST}\r\n`;
const CHUNK = `1000\r\n${"a".repeat(0x1000)}\r\n`;
const HEADER = "x-filler: aaaaaaaaaaaaaaaa\r\n";

const REQUESTS: Record<
  string,
  { start: string; part: string; isRead?: boolean }
> = {
  "no request": { start: "", part: "nonsense " },
  "empty lines": { start: "", part: "\r\n" },
  "a path": { start: "GET /", part: "a" },
  "one header": { start: `${POST}x-filler: `, part: "a" },
  "headers": { start: POST, part: HEADER },
  "a body of 10 TB": {
    start: `${POST}content-length: 10000000000000\r\n\r\n`,
    part: "a",
  },
  "chunks": { start: CHUNKED, part: CHUNK },
  "chunks of one byte": { start: CHUNKED, part: "1\r\na\r\n" },
  "extensions of a chunk": { start: `${CHUNKED}1;`, part: "a" },
  "chunks with extensions": {
    start: CHUNKED,
    part: `1;${"a".repeat(8_000)}\r\na\r\n`,
  },
  "trailers": { start: `${CHUNKED}1\r\na\r\n0\r\n`, part: HEADER },
  "requests": { start: "", part: GET },
  "requests whose answers it doesn't read": {
    start: "",
    part: GET,
    isRead: false,
  },
  "refused requests": { start: "", part: UNKNOWN },
  "refused requests whose answers it doesn't read": {
    start: "",
    part: UNKNOWN,
    isRead: false,
  },
};

test.each(Object.keys(REQUESTS))(
  "callers that send %s without end: bounded memory, and others are served",
  async (name) => {
    const { isRead = true, ...sent } = REQUESTS[name]!;
    const [host] = fleet.hosts;
    const client = startEndlessClient({
      ip: host!.ip,
      port: CALLER_PORT,
      callers: FAULTY,
      isRead,
      ...sent,
    });
    try {
      const outcomes = await callBeside(fleet, `callers, ${name}`, ENDLESS_MS);
      console.log(`callers, ${name}: ${countStatuses(client.statuses)}`);
      for (const { process } of fleet.hosts) {
        expect(process.exitCode).toBeNull();
      }
      for (const { most } of outcomes) {
        expect(most).toBeLessThan(MEMORY_LIMIT_BYTES);
      }
      for (const { statuses } of outcomes) {
        expect(statuses.filter((status) => status !== 200)).toEqual([]);
      }
    } finally {
      await client.close();
    }
  },
  60_000,
);
