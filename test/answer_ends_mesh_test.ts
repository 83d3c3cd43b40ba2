/**
 * Store daemons as processes that are killed or stopped while callers read
 * slowly. Guards against a part of an answer that looks like the whole one, as
 * only the end of the connection tells its end.
 */

import { afterEach, beforeEach, expect, test } from "vitest";
import {
  CALLER_PORT,
  type Deployment,
  startDeployment,
} from "./platform/mesh.ts";
import { UpstreamMode } from "./platform/upstream_stand_in.ts";
import { openPipe, type PipedAnswer } from "./support/pipelining_caller.ts";

/** A loopback connection takes some megabytes, so that the cut is within one of the answers of a caller. */
const BYTES = 500_000;
const MIN_ANSWERS = 3;
const CALLERS = 12;
const TIMEOUT_MS = 12_000;
/** Time in which the daemon has written what the connections take, in ms. */
const FILL_MS = 1_500;
/** `graceS` of the settings, in ms. */
const GRACE_MS = 6_000;

let fleet: Deployment;
beforeEach(async () => {
  fleet = await startDeployment(229, ["front", "shop"]);
  fleet.publish(2, { service: "shop", timeoutS: 12 });
  for (const { upstream } of fleet.hosts) {
    upstream.slots = 200;
    upstream.createBody = () => "a".repeat(BYTES);
  }
  for (const host of fleet.hosts) fleet.list(host);
  await fleet.waitInForce();
}, 30_000);
afterEach(() => fleet.close());

const CASES = [UpstreamMode.Unframed, UpstreamMode.Chunked].flatMap((mode) =>
  ["SIGKILL" as const, "SIGTERM" as const, undefined].map((signal) => ({
    mode,
    signal,
  }))
);

test.each(CASES)(
  "no part of an answer passes for the whole: $mode, $signal",
  async ({ mode, signal }) => {
    const [front, back] = fleet.hosts;
    back!.upstream.mode = mode;
    const callers = await Promise.all(
      Array.from({ length: CALLERS }, (_, i) => startCaller(MIN_ANSWERS + i)),
    );
    await pause(FILL_MS);
    if (signal !== undefined) {
      const ended = new Promise((done) => front!.process.once("exit", done));
      front!.process.kill(signal);
      await Promise.race([ended, pause(GRACE_MS)]);
    }
    for (const { pipe } of callers) pipe.resume();
    const answers =
      (await Promise.all(callers.flatMap((caller) => caller.answers))).flat();
    for (const { pipe } of callers) pipe.close();
    expect(answers.filter(isPartTakenForWhole).map(describe)).toEqual([]);
    const lost = answers.filter((it) => !it.isWhole).length;
    if (signal === undefined) expect(lost).toBe(0);
    else expect(lost).toBeGreaterThan(0);
  },
  40_000,
);

async function startCaller(count: number) {
  const pipe = await openPipe(fleet.hosts[0]!.ip, CALLER_PORT);
  pipe.pause();
  const answers = Array.from(
    { length: count },
    (_, i) => pipe.send({ id: `${count}-${i}`, timeoutMs: TIMEOUT_MS }),
  );
  return { pipe, answers };
}

function isPartTakenForWhole({ isWhole, status, body }: PipedAnswer): boolean {
  return isWhole && status === 200 && body.length !== BYTES;
}

function describe({ id, headers, body }: PipedAnswer) {
  return { id, headers, bytes: body.length };
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
