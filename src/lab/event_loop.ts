/** Virtual time: events run in order of time, then of scheduling. */

import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import type { Millis } from "../core/types.ts";
import { createWakeQueue } from "../core/wake_queue.ts";

/** A loop of events in virtual time. */
export interface EventLoop {
  now(): Millis;
  random(): number;
  schedule(at: Millis, run: () => void): void;
  /** Runs events up to a time. */
  runUntil(until: Millis): void;
}

/** Events at the same time are kept apart by this much, in ms. */
const ORDER_STEP_MS = 1e-9;

/** Creates a loop at time 0. */
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
      let event = events.takeDue(until);
      event !== undefined;
      event = events.takeDue(until)
    ) {
      now = Math.max(now, event.at);
      event.run();
    }
    now = Math.max(now, until);
  }
}
