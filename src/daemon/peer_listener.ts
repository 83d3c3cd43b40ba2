/** Listens for other daemons, whose connections carry either frames or HTTP. */

import { createServer, type RequestListener } from "node:http";
import { createServer as createTcpServer, type Socket } from "node:net";
import { splitAddress } from "../link/address.ts";
import { FrameKind } from "../link/frames.ts";
import { MAX_READ_BYTES } from "../link/small_reads.ts";
import type { FrameServer } from "./frame_server.ts";

/** Keep-alive time of HTTP connections, in ms; longer than peers keep idle ones. */
const KEEP_ALIVE_MS = 75_000;

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
  /** Accepts no further connections, and closes idle HTTP ones. */
  stop(): void;
  /** Closes all connections, also those with requests in progress. */
  close(): void;
}

/** Starts to listen; rejects if it can't. */
export async function startPeerListener(
  options: PeerListenerOptions,
): Promise<PeerListener> {
  const { frames } = options;
  /** Connections that have sent nothing yet. */
  const unread = new Set<Socket>();
  const http = createServer({
    maxHeaderSize: options.maxHeaderBytes,
    requestTimeout: 0,
    keepAliveTimeout: KEEP_ALIVE_MS,
  }, options.handler);
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
    stop: () => {
      tcp.close();
      http.closeIdleConnections();
    },
    close: () => {
      frames.close();
      http.closeAllConnections();
      for (const socket of unread) socket.destroy();
    },
  };

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
      http.emit("connection", socket);
      socket.resume();
    });
  }
}
