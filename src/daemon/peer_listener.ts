/** Listens for other daemons, whose connections carry either frames or HTTP. */

import { createServer, type RequestListener } from "node:http";
import { createServer as createTcpServer, type Socket } from "node:net";
import { performance } from "node:perf_hooks";
import type { Millis } from "../core/types.ts";
import { splitAddress } from "../link/address.ts";
import { FrameKind } from "../link/frames.ts";
import { MAX_READ_BYTES } from "../link/small_reads.ts";
import type { FrameServer } from "./frame_server.ts";
import { waitForSockets } from "./unread_sockets.ts";

/** Keep-alive time of HTTP connections, in ms; longer than peers keep idle ones. */
const KEEP_ALIVE_MS = 75_000;

/** Time between two checks for connections that peers have not closed, in ms. */
const LINGER_POLL_MS = 5;

/** Settings of the listener. */
export interface PeerListenerOptions {
  /** IP address and port. */
  readonly address: string;
  /** Largest head of an HTTP request, in bytes. */
  readonly maxHeaderBytes: number;
  readonly frames: FrameServer;
  readonly handler: RequestListener;
}

/** A listener for other daemons. */
export interface PeerListener {
  /** Accepts no further connections. */
  stop(): void;
  /**
   * Closes all connections once they carry no request; those that still do after
   * a time are cut, which is asked for in ms once the others were told.
   */
  close(getLeftMs: () => Millis): Promise<void>;
}

/** Starts to listen; rejects if it can't. */
export async function startPeerListener(
  options: PeerListenerOptions,
): Promise<PeerListener> {
  const { frames } = options;
  /** Connections that have sent nothing yet. */
  const unread = new Set<Socket>();
  /** HTTP connections; the HTTP server knows only those that it accepted itself. */
  const httpSockets = new Set<Socket>();
  const http = createServer({
    maxHeaderSize: options.maxHeaderBytes,
    requestTimeout: 0,
    keepAliveTimeout: KEEP_ALIVE_MS,
  }, options.handler);
  // Also within an exchange: a peer that reads slowly takes some bytes, or has cut it before.
  http.setTimeout(KEEP_ALIVE_MS);
  const tcp = createTcpServer({
    noDelay: true,
    highWaterMark: MAX_READ_BYTES,
    allowHalfOpen: true,
  }, accept);
  const { host, port } = splitAddress(options.address);
  await new Promise<void>((resolve, reject) => {
    tcp.once("error", reject);
    tcp.listen(port, host, resolve);
  });
  return {
    stop: () => void tcp.close(),
    close,
  };

  async function close(getLeftMs: () => Millis): Promise<void> {
    frames.drain();
    const closesAt = performance.now() + getLeftMs();
    while (countOpen() > 0 && performance.now() < closesAt) {
      await new Promise((resolve) => setTimeout(resolve, LINGER_POLL_MS));
    }
    frames.close();
    for (const socket of [...httpSockets, ...unread]) socket.destroy();
    // What was cut is logged as its connection closes.
    await waitForSockets();
  }

  /** Connections on which a request may be open or on its way; HTTP has no message for its end. */
  function countOpen(): number {
    return frames.countOpen() + httpSockets.size + unread.size;
  }

  function accept(socket: Socket): void {
    unread.add(socket);
    const end = () => void socket.destroy();
    socket.on("error", end).on("end", end);
    socket.once("close", () => unread.delete(socket));
    socket.once("data", (first: Buffer) => {
      unread.delete(socket);
      socket.off("error", end).off("end", end);
      if (first[0] === FrameKind.Request) return frames.accept(socket, first);
      socket.pause();
      socket.unshift(first);
      httpSockets.add(socket);
      socket.once("close", () => httpSockets.delete(socket));
      http.emit("connection", socket);
      socket.resume();
    });
  }
}
