/**
 * Streams an answer with back-pressure. Written out because stream.pipeline
 * makes and aborts a signal for every answer, which showed in profiles.
 */

import type { Readable, Writable } from "node:stream";

/** Pipes a body to its end, or destroys both sides; `done` hears once. */
export function streamAnswer(
  body: Readable,
  out: Writable,
  done: (error: Error | undefined) => void,
): void {
  let isDone = false;
  body.once("error", (error) => finish(error));
  out.once("error", (error) => finish(error));
  out.once("finish", () => finish(undefined));
  out.once("close", () => finish(new Error("the receiver closed early")));
  body.pipe(out);

  function finish(error: Error | undefined): void {
    if (isDone) return;
    isDone = true;
    if (error !== undefined) {
      body.on("error", () => {});
      body.destroy();
      out.destroy();
    }
    done(error);
  }
}
