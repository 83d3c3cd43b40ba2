/**
 * Ends the wait for the rest of an answer. Until its head has come, a request
 * ends at its deadline; from then on the time that the source of the body takes
 * is bounded here, whatever the link and the framing are. Time in which the
 * caller doesn't read isn't the source's.
 */

import type { Readable } from "node:stream";
import type { Millis } from "../core/types.ts";
import type { Clock } from "./clock.ts";

/** Time without a byte of the source after which an answer past its deadline is given up, in ms. */
const MAX_SILENCE_MS = 250;
/** Delay of a timer, in ms, from which the process is assumed to have paused. */
const LATE_TIMER_MS = 50;

/** What is watched. */
export interface AnswerWatchOptions {
  readonly clock: Clock;
  /** Body of the answer, which its caller hasn't begun to read. */
  readonly body: Readable;
  /** Time until which the source may be silent, in ms by the clock. */
  readonly deadline: Millis;
  /** Called before the body is destroyed, with the time without a byte in ms. */
  onSilent(silentMs: Millis): void;
}

/** Destroys the body with an error if its source is silent for too long; ends with the body. */
export function watchAnswer(options: AnswerWatchOptions): void {
  const { clock, body, deadline, onSilent } = options;
  let heardAt = clock.now();
  let dueAt: Millis;
  let timer: NodeJS.Timeout;
  // A listener for data would start the flow of a stream that was never paused.
  body.pause();
  body.on("data", () => heardAt = clock.now());
  body.once("end", stop).once("close", stop);
  schedule();

  function stop(): void {
    clearTimeout(timer);
  }

  function schedule(): void {
    const now = clock.now();
    const waitMs = Math.max(deadline - now, heardAt + MAX_SILENCE_MS - now);
    dueAt = now + waitMs;
    timer = setTimeout(check, Math.ceil(waitMs));
  }

  function check(): void {
    const now = clock.now();
    const hasPaused = now - dueAt >= LATE_TIMER_MS;
    if (hasPaused || body.readableFlowing !== true) heardAt = now;
    const silentMs = now - heardAt;
    if (now < deadline || silentMs < MAX_SILENCE_MS) return schedule();
    onSilent(silentMs);
    const message = `no byte for ${Math.round(silentMs)} ms, past the deadline`;
    body.destroy(new Error(message));
  }
}
