/** Wakes a core machine when it asks to be woken. */

import type { Millis } from "../core/types.ts";
import type { Clock } from "./clock.ts";

/** Longest sleep, so that a missed wake costs little, in ms. */
const MAX_SLEEP_MS = 1_000;
/**
 * From this delay of a timer on, the process itself was held up, in ms; under
 * half of the shortest wait for a silent host.
 */
const LATE_TIMER_MS = 50;

/** A timer that follows the machine's next wake. */
export interface Waker {
  /** Looks at the next wake again; call it after every message. */
  update(): void;
  close(): void;
}

/** Creates a waker; `tick` runs when the machine's next wake is due. */
export function createWaker(
  clock: Clock,
  options: { getNextWake(): Millis | undefined; tick(): void },
): Waker {
  let timer: NodeJS.Timeout | undefined;
  let timerAt: Millis = Infinity;
  let afterReading: NodeJS.Immediate | undefined;
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
   * After a pause of the process, sockets are read before deadlines are looked
   * at: answers that came in the meantime are not taken for silence.
   */
  function fire(): void {
    if (clock.now() - timerAt < LATE_TIMER_MS) return tick();
    clearImmediate(afterReading);
    afterReading = setImmediate(tick);
  }

  function tick(): void {
    timerAt = Infinity;
    options.tick();
    update();
  }

  function close(): void {
    clearTimeout(timer);
    clearImmediate(afterReading);
  }
}
