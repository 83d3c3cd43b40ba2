/**
 * Opens connections with a short timeout. The timers of undici's own connector
 * have a resolution of half a second.
 */

import { connect, type NetConnectOpts, type Socket } from "node:net";
import type { buildConnector } from "undici";
import type { Millis } from "../core/types.ts";

/** Code of the error of a connection that is not established in time, as undici's connector has it. */
export const CONNECT_TIMEOUT_CODE = "UND_ERR_CONNECT_TIMEOUT";

/** Idle time after which TCP tests whether the peer is still there, in ms; undici's default. */
const KEEP_ALIVE_DELAY_MS = 60_000;

/** Address and options of a connection. */
export type QuickConnectOptions = Partial<NetConnectOpts> & {
  readonly host: string;
  readonly port: number;
  readonly timeoutMs: Millis;
};

/** Creates a connector for unencrypted connections; a failure proves that nothing was sent. */
export function createQuickConnector(
  options: { readonly timeoutMs: Millis } & Partial<NetConnectOpts>,
): buildConnector.connector {
  return ({ hostname, port }, callback) =>
    connectQuickly(
      { ...options, host: hostname, port: Number(port) },
      (error, socket) =>
        socket === null ? callback(error, null) : callback(null, socket),
    );
}

/** Opens a connection; a failure proves that nothing was sent. */
export function connectQuickly(
  { timeoutMs, ...options }: QuickConnectOptions,
  callback: (
    ...result: [error: Error, socket: null] | [error: null, socket: Socket]
  ) => void,
): void {
  const { host, port } = options;
  const socket = connect(options);
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
    const message = `no connection to ${host}:${port} in ${timeoutMs} ms`;
    const code = CONNECT_TIMEOUT_CODE;
    socket.destroy(Object.assign(new Error(message), { code }));
  }
}
