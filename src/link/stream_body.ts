/**
 * Streams a response with back-pressure. Does not use stream.pipeline, which
 * creates and aborts a signal for every response; the cost showed in profiles.
 */

import type { Readable, Writable } from "node:stream";

/** Pipes a body to its end, or destroys both streams on an error; calls `done` once. */
export function streamBody(
  body: Readable,
  out: Writable,
  done: (error: Error | undefined) => void,
): void {
  let isDone = false;
  body.once("error", (error) => finish(error));
  out.once("error", (error) => finish(error));
  out.once("finish", () => finish(undefined));
  out.once("close", () => finish(new Error("receiver closed prematurely")));
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
