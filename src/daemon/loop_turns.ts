/**
 * Shares the event loop: work of sources that want more than their share waits
 * here. Its sources take turns, with few steps in each turn of the loop, so that
 * the work of the others waits for many of them as long as for one.
 */

/**
 * Steps in a turn of the loop. One takes some 0.1 to 0.5 ms, and a request with
 * its answer takes some 20 turns.
 */
const STEPS_PER_TURN = 4;

/** One piece of the work of a source; returns true if there is more. */
export type Step = () => boolean;

/** The sources that wait for their turns. */
export interface LoopTurns {
  /** Calls the step until it returns false; no effect if it waits already. */
  add(step: Step): void;
}

/** Creates the turns of one listener. */
export function createLoopTurns(): LoopTurns {
  const waiting = new Set<Step>();
  let isScheduled = false;
  return { add };

  function add(step: Step): void {
    waiting.add(step);
    schedule();
  }

  function schedule(): void {
    if (isScheduled || waiting.size === 0) return;
    isScheduled = true;
    setImmediate(run);
  }

  function run(): void {
    isScheduled = false;
    for (let i = 0; i < STEPS_PER_TURN; i++) {
      const [step] = waiting;
      if (step === undefined) return;
      waiting.delete(step);
      if (step()) waiting.add(step);
    }
    schedule();
  }
}
