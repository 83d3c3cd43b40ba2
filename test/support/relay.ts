/** A TCP relay that cuts connections or makes them silent, for tests of links. */

import { createServer, type Socket } from "node:net";
import { connect } from "node:net";
import { Transform } from "node:stream";

/** A running relay. */
export interface Relay {
  /** Ends all open connections. */
  cut(): void;
  /** Open connections stop passing bytes for good; new ones work. */
  silence(): void;
  close(): Promise<void>;
}

interface Pair {
  readonly left: Socket;
  readonly right: Socket;
}

/** Starts a relay from one loopback port to another; it may delay all bytes. */
export async function startRelay(
  from: number,
  to: number,
  { delayMs = 0 }: { delayMs?: number } = {},
): Promise<Relay> {
  const pairs = new Set<Pair>();
  const server = createServer((left) => {
    const right = connect(to, "127.0.0.1");
    const pair = { left, right };
    pairs.add(pair);
    left.pipe(createDelay(delayMs)).pipe(right);
    right.pipe(createDelay(delayMs)).pipe(left);
    for (const socket of [left, right]) {
      socket.on("error", () => destroy(pair));
      socket.on("close", () => destroy(pair));
    }
  });
  await new Promise<void>((resolve) =>
    server.listen(from, "127.0.0.1", resolve)
  );
  return { cut, silence, close };

  function destroy(pair: Pair): void {
    pairs.delete(pair);
    pair.left.destroy();
    pair.right.destroy();
  }

  function cut(): void {
    for (const pair of [...pairs]) destroy(pair);
  }

  function silence(): void {
    for (const { left, right } of pairs) {
      left.unpipe();
      right.unpipe();
      left.resume();
      right.resume();
    }
  }

  function close(): Promise<void> {
    cut();
    return new Promise((resolve) => server.close(() => resolve()));
  }
}

function createDelay(ms: number): Transform {
  return new Transform({
    transform(chunk, _encoding, done) {
      if (ms === 0) done(null, chunk);
      else setTimeout(() => done(null, chunk), ms);
    },
  });
}
