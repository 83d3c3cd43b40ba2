/**
 * A link of one machine: passes connections on at a bounded rate in the
 * direction of the answers, and can go silent.
 */

import { connect, createServer } from "node:net";

const TICK_MS = 10;
const BITS_PER_BYTE = 8;

/** Starts a relay; `mbps` bounds what all its connections bring back together. */
export async function startRelay({ from, to, mbps }) {
  const pairs = new Set();
  const bytesPerMs = mbps * 1_000 / BITS_PER_BYTE;
  const bytesPerTick = bytesPerMs * TICK_MS;
  let passedAt = performance.now();
  const server = createServer({ allowHalfOpen: true }, accept);
  await new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(from.port, from.ip, resolve);
  });
  const timer = setInterval(passOn, TICK_MS);
  return { silence, close };

  function accept(near) {
    const far = connect({ host: to.ip, port: to.port, allowHalfOpen: true });
    const pair = { near, far, held: [], heldBytes: 0, isSilent: false };
    pairs.add(pair);
    near.on("data", (data) => {
      if (!pair.isSilent) far.write(data);
    });
    far.on("data", (data) => {
      pair.held.push(data);
      pair.heldBytes += data.length;
      if (pair.heldBytes > 4 * bytesPerTick) far.pause();
    });
    near.on("end", () => !pair.isSilent && far.end());
    far.on("end", () => pair.isEnded = true);
    for (const [one, other] of [[near, far], [far, near]]) {
      one.on("error", () => {});
      one.on("close", (hasError) => {
        if (pair.isSilent) return;
        if (hasError) other.resetAndDestroy();
        if (one === near) pairs.delete(pair);
      });
    }
  }

  /** Shares what the link carries in one step among its connections. */
  function passOn() {
    // Timers may be late, the link is not.
    const now = performance.now();
    let left = bytesPerMs * (now - passedAt);
    passedAt = now;
    const due = [...pairs].filter((it) => !it.isSilent && it.heldBytes > 0);
    for (const [index, pair] of due.entries()) {
      let share = left / (due.length - index);
      while (share > 0 && pair.held.length > 0) {
        const first = pair.held[0];
        const part = first.subarray(0, Math.ceil(share));
        if (part.length === first.length) pair.held.shift();
        else pair.held[0] = first.subarray(part.length);
        pair.near.write(part);
        pair.heldBytes -= part.length;
        share -= part.length;
        left -= part.length;
      }
      if (pair.heldBytes <= 4 * bytesPerTick) pair.far.resume();
    }
    for (const pair of pairs) {
      if (!pair.isSilent && pair.isEnded && pair.heldBytes === 0) {
        pair.near.end();
      }
    }
  }

  /** The open connections carry nothing more, nor their end; new ones work. */
  function silence() {
    for (const pair of pairs) {
      pair.isSilent = true;
      pair.near.pause();
      pair.far.pause();
    }
  }

  function close() {
    clearInterval(timer);
    server.close();
    for (const { near, far } of pairs) {
      near.destroy();
      far.destroy();
    }
  }
}
