/** A TCP relay that delays, cuts or silences connections, for tests of links. */

import { connect, createServer, type Socket } from "node:net";

/** An IP address and a port. */
export interface Endpoint {
  readonly ip: string;
  readonly port: number;
}

/** What a relay does with bytes. */
export enum RelayMode {
  Passing = "passing",
  /** Swallows bytes both ways. */
  Silent = "silent",
  /** Swallows what the target sends. */
  Deaf = "deaf",
}

/** A running relay. */
export interface Relay {
  /** A connection that lost bytes stays silent, also when the mode changes. */
  setMode(mode: RelayMode): void;
  /** Delays all bytes. */
  setDelay(ms: number): void;
  /** Resets all open connections. */
  cut(): void;
  /** Open connections stop passing bytes for good; new ones work. */
  silence(): void;
  close(): Promise<void>;
}

interface Pair {
  readonly left: Socket;
  readonly right: Socket;
  isSilent: boolean;
}

/** Starts a relay from one address to another. */
export async function startRelay(
  from: Endpoint,
  to: Endpoint,
  options: { delayMs?: number } = {},
): Promise<Relay> {
  const pairs = new Set<Pair>();
  let mode = RelayMode.Passing;
  let delayMs = options.delayMs ?? 0;
  const server = createServer((left) => {
    const right = connect(to.port, to.ip);
    const pair = { left, right, isSilent: false };
    pairs.add(pair);
    forward(pair, left, right);
    forward(pair, right, left);
    for (const socket of [left, right]) {
      socket.setNoDelay(true);
      socket.on("error", () => destroy(pair));
      socket.on("close", () => destroy(pair));
    }
  });
  await new Promise<void>((resolve) =>
    server.listen(from.port, from.ip, resolve)
  );
  return {
    setMode: (next) => void (mode = next),
    setDelay: (ms) => void (delayMs = ms),
    cut: () => {
      for (const pair of [...pairs]) destroy(pair);
    },
    silence: () => {
      for (const pair of pairs) pair.isSilent = true;
    },
    close,
  };

  function forward(pair: Pair, source: Socket, target: Socket): void {
    let passesAt = 0;
    source.on("data", (chunk) => {
      const swallows = mode === RelayMode.Silent ||
        (mode === RelayMode.Deaf && source === pair.right);
      if (swallows) pair.isSilent = true;
      if (pair.isSilent) return;
      // A shorter delay must not let later bytes overtake.
      passesAt = Math.max(passesAt, Date.now() + delayMs);
      const waitMs = passesAt - Date.now();
      if (waitMs <= 0) target.write(chunk);
      else setTimeout(() => target.write(chunk), waitMs);
    });
    source.on("end", () => {
      if (!pair.isSilent) setTimeout(() => target.end(), delayMs);
    });
  }

  function destroy(pair: Pair): void {
    if (!pairs.delete(pair)) return;
    for (const socket of [pair.left, pair.right]) {
      // A reset after a shutdown would leave the handle open.
      if (socket.connecting || socket.writableEnded) socket.destroy();
      else socket.resetAndDestroy();
    }
  }

  function close(): Promise<void> {
    for (const pair of [...pairs]) destroy(pair);
    return new Promise((resolve) => server.close(() => resolve()));
  }
}
