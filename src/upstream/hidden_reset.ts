/**
 * Bodies that only the end of their connection ends. Where a process is held up
 * between the last bytes and a reset, libuv reads both at once and reports the
 * reset as an end; the kernel tells of it on the next write.
 */

import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import { Transform } from "node:stream";

/** An empty line, which a server ignores in front of a request. */
const PROBE = Buffer.from("\r\n");

/** Returns the body of a response, which fails if its connection was reset; to be called as its head arrives. */
export function failOnHiddenReset(res: IncomingMessage): Transform {
  const { socket } = res;
  /** Resolves to the error of a write after the end. */
  let probe: Promise<Error | undefined> | undefined;
  // Otherwise Node.js ends the socket by itself, and nothing can be written.
  socket.allowHalfOpen = true;
  socket.prependOnceListener("end", () => {
    probe = new Promise((resolve) =>
      socket.write(PROBE, (error) => resolve(error ?? undefined))
    );
  });
  const body = new Transform({
    transform: (chunk, _encoding, done) => done(null, chunk),
    flush: (done) => {
      if (probe === undefined) return done();
      void probe.then((error) => done(error));
    },
  });
  res.on("error", (error) => body.destroy(error));
  res.once("close", () => {
    if (!res.readableEnded) body.destroy(new Error("closed before its end"));
  });
  body.once("close", () => res.destroy());
  body.on("error", () => {});
  res.pipe(body);
  return body;
}
