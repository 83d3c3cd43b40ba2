/**
 * Opens connections with a short timeout. The timers of undici's own connector
 * have a resolution of half a second.
 */

import { connect, type NetConnectOpts } from "node:net";
import type { buildConnector } from "undici";
import type { Millis } from "../core/types.ts";

/** Code of the error of a connection that is not established in time, as undici's connector has it. */
export const CONNECT_TIMEOUT_CODE = "UND_ERR_CONNECT_TIMEOUT";

/** Idle time after which TCP tests whether the peer is still there, in ms; undici's default. */
const KEEP_ALIVE_DELAY_MS = 60_000;

/** Creates a connector for unencrypted connections; a failure proves that nothing was sent. */
export function createQuickConnector(
  { timeoutMs, ...options }:
    & { readonly timeoutMs: Millis }
    & Partial<
      NetConnectOpts
    >,
): buildConnector.connector {
  return ({ hostname, port }, callback) => {
    const socket = connect({ ...options, host: hostname, port: Number(port) });
    // After a pause of the process the timer fires before a connection that is ready is seen.
    const timer = setTimeout(() => setImmediate(endIfConnecting), timeoutMs);
    socket.setNoDelay(true).setKeepAlive(true, KEEP_ALIVE_DELAY_MS);
    socket.once("error", onError);
    socket.once("connect", () => {
      clearTimeout(timer);
      socket.off("error", onError);
      callback(null, socket);
    });

    function onError(error: Error): void {
      clearTimeout(timer);
      callback(error, null);
    }

    function endIfConnecting(): void {
      if (!socket.connecting) return;
      const message = `no connection to ${hostname}:${port} in ${timeoutMs} ms`;
      const code = CONNECT_TIMEOUT_CODE;
      socket.destroy(Object.assign(new Error(message), { code }));
    }
  };
}
