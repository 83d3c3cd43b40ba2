/**
 * Store daemons as processes whose callers stop to send in the middle of a body.
 * Guards against a request that nobody answers.
 */

import { afterAll, beforeAll, expect, test } from "vitest";
import {
  CALLER_PORT,
  type Deployment,
  startDeployment,
} from "./platform/mesh.ts";
import { openPipe } from "./support/pipelining_caller.ts";

const TIMEOUT_MS = 2_000;
const LATE_MS = 500;
/** Larger than what a daemon keeps of a body for a retry. */
const LARGE_BYTES = 900_000;

let fleet: Deployment;
beforeAll(async () => {
  fleet = await startDeployment(249, ["front", "shop"]);
  fleet.publish(2, { service: "shop", timeoutS: TIMEOUT_MS / 1_000 });
  await fleet.waitInForce();
}, 30_000);
afterAll(() => fleet.close());

const CASES = ["/photo/1", "/order/1", "/read/1"].flatMap((path) =>
  [40_000, LARGE_BYTES, undefined].flatMap((length) =>
    [20_000, 300].map((callerMs) => ({ path, length, callerMs }))
  )
);

test.each(CASES)(
  "a body that stops halfway is answered in the request's time: $path, length $length, $callerMs ms",
  async ({ path, length, callerMs }) => {
    const pipe = await openPipe(fleet.hosts[0]!.ip, CALLER_PORT);
    const sentAt = performance.now();
    const answer = pipe.send({
      id: `stalled-${length}-${callerMs}-${path.slice(1, -2)}`,
      method: "POST",
      path,
      timeoutMs: callerMs,
      headers: length === undefined
        ? { "transfer-encoding": "chunked" }
        : { "content-length": String(length) },
    });
    pipe.write(`1f40\r\n${"b".repeat(5_000)}`);
    const { status, endedAt } = await answer;
    pipe.close();
    expect(endedAt - sentAt).toBeLessThan(
      Math.min(callerMs, TIMEOUT_MS) + LATE_MS,
    );
    expect(status).toBeOneOf([408, 502, 503, 504]);
  },
  20_000,
);
