/**
 * A TCP relay that delays, resets or stalls connections, for tests of links.
 */

import { connect, createServer, type Socket } from "node:net";

/** An IP address and a port. */
export interface Endpoint {
  readonly ip: string;
  readonly port: number;
}

/** How a relay treats the bytes that it receives. */
export enum RelayMode {
  Forwarding = "passing",
  /** Drops bytes in both directions. */
  DropsAll = "silent",
  /** Drops what the target sends. */
  DropsReplies = "deaf",
}

/** A running relay. */
export interface Relay {
  /**
   * A connection that has lost bytes forwards nothing more, also after a change
   * of mode.
   */
  setMode(mode: RelayMode): void;
  /** Delays all bytes by a time in ms. */
  setDelay(ms: number): void;
  /** Bounds what each connection carries in each direction, in bytes per ms. */
  setBandwidth(bytesPerMs: number): void;
  /** Resets all open connections. */
  cut(): void;
  /** Stalls all open connections permanently; new ones are forwarded. */
  silence(): void;
  close(): Promise<void>;
}

interface ConnectionPair {
  readonly left: Socket;
  readonly right: Socket;
  dropsBytes: boolean;
}

/** Starts a relay that listens on one address and forwards to another. */
export async function startRelay(
  from: Endpoint,
  to: Endpoint,
  options: { delayMs?: number } = {},
): Promise<Relay> {
  const pairs = new Set<ConnectionPair>();
  let mode = RelayMode.Forwarding;
  let delayMs = options.delayMs ?? 0;
  let bandwidth = Infinity;
  const server = createServer((left) => {
    const right = connect(to.port, to.ip);
    const pair = { left, right, dropsBytes: false };
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
    setBandwidth: (bytesPerMs) => void (bandwidth = bytesPerMs),
    cut: () => {
      for (const pair of [...pairs]) destroy(pair);
    },
    silence: () => {
      for (const pair of pairs) pair.dropsBytes = true;
    },
    close,
  };

  function forward(pair: ConnectionPair, source: Socket, target: Socket): void {
    let forwardAt = 0;
    source.on("data", (chunk) => {
      const drops = mode === RelayMode.DropsAll ||
        (mode === RelayMode.DropsReplies && source === pair.right);
      if (drops) pair.dropsBytes = true;
      if (pair.dropsBytes) return;
      // Keeps bytes in order when the delay gets shorter.
      forwardAt = Math.max(forwardAt, Date.now() + delayMs) +
        chunk.length / bandwidth;
      const waitMs = forwardAt - Date.now();
      if (waitMs <= 0) target.write(chunk);
      else {
        setTimeout(() => {
          if (!pair.dropsBytes) target.write(chunk);
        }, waitMs);
      }
    });
    source.on("end", () => {
      if (!pair.dropsBytes) setTimeout(() => target.end(), delayMs);
    });
  }

  function destroy(pair: ConnectionPair): void {
    if (!pairs.delete(pair)) return;
    for (const socket of [pair.left, pair.right]) {
      // A reset after `end` would leave the handle open.
      if (socket.connecting || socket.writableEnded) socket.destroy();
      else socket.resetAndDestroy();
    }
  }

  function close(): Promise<void> {
    for (const pair of [...pairs]) destroy(pair);
    return new Promise((resolve) => server.close(() => resolve()));
  }
}
