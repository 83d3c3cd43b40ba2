/** Guards against answers that nobody times once their head has come. */

import { Buffer } from "node:buffer";
import { Readable } from "node:stream";
import { expect, test } from "vitest";
import { watchAnswer } from "../src/daemon/answer_watch.ts";
import { createClock } from "../src/daemon/clock.ts";

const DEADLINE_MS = 200;
/** The source may be silent for 250 ms past the deadline. */
const CUT_MS = DEADLINE_MS + 250 + 150;

function start() {
  const clock = createClock();
  const body = new Readable({ read: () => {}, highWaterMark: 1 });
  const silences: number[] = [];
  let error: Error | undefined;
  body.on("error", (it) => error = it);
  watchAnswer({
    clock,
    body,
    deadline: clock.now() + DEADLINE_MS,
    onSilent: (ms) => void silences.push(ms),
  });
  return { body, silences, getError: () => error };
}

test("a source without a byte is given up past the deadline", async () => {
  const { body, silences, getError } = start();
  body.resume();
  await pause(DEADLINE_MS - 50);
  expect(body.destroyed).toBe(false);
  await pause(CUT_MS - DEADLINE_MS);
  expect(body.destroyed).toBe(true);
  expect(String(getError())).toContain("past the deadline");
  expect(silences).toHaveLength(1);
});

test("a source that goes on past the deadline is not given up", async () => {
  const { body } = start();
  body.resume();
  for (let i = 0; i < 10; i++) {
    body.push(Buffer.from("part"));
    await pause(100);
  }
  expect(body.destroyed).toBe(false);
  body.destroy();
});

test("time in which the receiver doesn't read isn't the source's", async () => {
  const { body, silences } = start();
  await pause(CUT_MS);
  expect(body.destroyed).toBe(false);
  // Nor is what it reads lost before it reads.
  body.push(Buffer.from("whole"));
  body.push(null);
  let text = "";
  for await (const part of body) text += part;
  expect(text).toBe("whole");
  expect(silences).toEqual([]);
});

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
