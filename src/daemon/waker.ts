/** Calls a core state machine back at the time of its next wake. */

import type { Millis } from "../core/types.ts";
import type { Clock } from "./clock.ts";

/** Longest sleep, in ms, so that a missed wake delays little. */
const MAX_SLEEP_MS = 1_000;
/**
 * Delay of a timer, in ms, from which the process is assumed to have paused;
 * less than half of the shortest timeout for an unresponsive host.
 */
const LATE_TIMER_MS = 50;

/** A timer for the next wake of a state machine. */
export interface Waker {
  /** Sets the timer to the next wake; to be called after every message. */
  update(): void;
  close(): void;
}

/** Creates a waker; `tick` is called when the next wake is due. */
export function createWaker(
  clock: Clock,
  options: {
    getNextWake(): Millis | undefined;
    tick(): void;
    /** Called for a timer that fires 50 ms or more too late; with that time in ms. */
    onLate?: ((lateMs: Millis) => void) | undefined;
  },
): Waker {
  let timer: NodeJS.Timeout | undefined;
  let timerAt: Millis = Infinity;
  let immediate: NodeJS.Immediate | undefined;
  return { update, close };

  function update(): void {
    const next = options.getNextWake();
    if (next === undefined || next >= timerAt) return;
    clearTimeout(timer);
    const delay = Math.min(Math.max(0, next - clock.now()), MAX_SLEEP_MS);
    timerAt = clock.now() + delay;
    timer = setTimeout(fire, Math.ceil(delay));
    timer.unref();
  }

  /**
   * After a pause of the process, sockets are read before deadlines are checked,
   * so that a host whose response came during the pause does not time out.
   */
  function fire(): void {
    const lateMs = clock.now() - timerAt;
    if (lateMs < LATE_TIMER_MS) return tick();
    options.onLate?.(lateMs);
    clearImmediate(immediate);
    immediate = setImmediate(tick);
  }

  /** The wake for which the timer was set may not be needed by now. */
  function tick(): void {
    timerAt = Infinity;
    if ((options.getNextWake() ?? Infinity) <= clock.now()) options.tick();
    update();
  }

  function close(): void {
    clearTimeout(timer);
    clearImmediate(immediate);
  }
}
