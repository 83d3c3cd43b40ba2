/** Discrete-event loop in virtual time. Simultaneous events run in order of scheduling. */

import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import type { Millis } from "../core/types.ts";
import { createWakeQueue } from "../core/wake_queue.ts";

/** An event loop with a virtual clock and a seeded random generator. */
export interface EventLoop {
  now(): Millis;
  /** A uniform number in [0, 1). */
  random(): number;
  /** Schedules a callback; a time in the past means now. */
  schedule(at: Millis, run: () => void): void;
  /** Runs all events that are due by a time and advances the clock to it. */
  runUntil(until: Millis): void;
}

/** Offset between events with the same time, which keeps their order, in ms. */
const ORDER_STEP_MS = 1e-9;

/** Creates an event loop whose clock starts at 0. */
export function createEventLoop(seed: number): EventLoop {
  const generator = xoroshiro128plus(seed);
  const events = createWakeQueue<{ at: Millis; run: () => void }>();
  let now: Millis = 0;
  let order = 0;
  return {
    now: () => now,
    random: () => uniformFloat64(generator),
    schedule,
    runUntil,
  };

  function schedule(at: Millis, run: () => void): void {
    const due = Math.max(at, now);
    order = (order + 1) % 1_000_000;
    events.add(due + order * ORDER_STEP_MS, { at: due, run });
  }

  function runUntil(until: Millis): void {
    for (
      let event = events.popDue(until);
      event !== undefined;
      event = events.popDue(until)
    ) {
      now = Math.max(now, event.at);
      event.run();
    }
    now = Math.max(now, until);
  }
}
