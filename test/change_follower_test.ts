/** A daemon that follows another one, which sends bytes without end. */

import { afterEach, expect, test } from "vitest";
import { followSource } from "../src/daemon/change_follower.ts";
import {
  type EndlessServer,
  startEndlessServer,
} from "./support/endless_server.ts";

const IP = "127.0.212.1";
const PORT = 18_300;

let server: EndlessServer | undefined;
afterEach(() => server?.close());

test("a line without end ends the subscription by its size, not by time alone", async () => {
  server = await startEndlessServer({
    ip: IP,
    port: PORT,
    answers: [{
      pattern: "^GET",
      start: 'HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n{"era":"',
      part: "a",
    }],
  });
  const reason = await new Promise((resolve) =>
    followSource({
      address: `${IP}:${PORT}`,
      after: { era: 1, revision: 1 },
      onBatch: () => resolve("a batch"),
      onEnd: resolve,
    })
  );
  expect(reason).toBe("a line without end");
});
