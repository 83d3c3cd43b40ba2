/**
 * A client that sends several requests on its connection before the first one is
 * answered. It reads HTTP/1.1 as RFC 9110 says: answers come in the order of the
 * requests, and those with a status below 200 precede the final one.
 */

import { Buffer } from "node:buffer";
import { connect, type Socket } from "node:net";
import { HOSTNAME, now, type World } from "./world.ts";

/** A request and the final answer that the client takes for its own. */
export interface Exchange {
  readonly id: string;
  readonly sentAt: number;
  /** Statuses below 200 that came before the final answer. */
  readonly interim: number[];
  /** Undefined if the connection ended, or the time passed, without a whole answer. */
  status?: number;
  isSigned?: boolean;
  body?: string;
}

/** A client with one connection, which it opens again when it has closed. */
export interface PipeliningClient {
  /** Sends one GET for each id; resolves once all are answered, the connection has closed or their time has passed. */
  send(ids: readonly string[]): Promise<Exchange[]>;
  close(): void;
}

const HEAD_END = "\r\n\r\n";
const FIRST_FINAL_STATUS = 200;

/** Creates a client of the daemon at an address. */
export function createPipeliningClient(
  world: World,
  { ip, path, timeoutMs }: { ip: string; path: string; timeoutMs: number },
): PipeliningClient {
  let socket: Socket | undefined;
  return { send, close: () => socket?.destroy() };

  function send(ids: readonly string[]): Promise<Exchange[]> {
    if (socket === undefined || socket.destroyed) {
      socket = connect(world.ports.callers, ip);
      socket.setNoDelay(true).on("error", () => {});
    }
    const current = socket;
    const exchanges: Exchange[] = ids.map((id) => ({
      id,
      sentAt: now(),
      interim: [],
    }));
    const text = ids.map((id) =>
      `GET ${path} HTTP/1.1\r\nHost: ${HOSTNAME}\r\n` +
      `X-Vanillarock-Attempt-Id: ${id}\r\n` +
      `X-Vanillarock-Timeout-Ms: ${timeoutMs}${HEAD_END}`
    ).join("");
    return new Promise((resolve) => {
      let received: Buffer = Buffer.alloc(0);
      let next = 0;
      const timer = setTimeout(end, timeoutMs);
      current.on("data", read).once("close", end);
      world.record("sent", { ids, ip });
      current.write(text);

      function end(): void {
        clearTimeout(timer);
        current.off("data", read).off("close", end);
        // A client closes a connection on which answers are missing.
        if (next < exchanges.length) current.destroy();
        for (const { id } of exchanges.slice(next)) {
          world.record("no answer", { id });
        }
        resolve(exchanges);
      }

      function read(chunk: Buffer): void {
        received = Buffer.concat([received, chunk]);
        for (;;) {
          const answer = tryTakeAnswer(received);
          if (answer === undefined) return;
          received = received.subarray(answer.length);
          const exchange = exchanges[next]!;
          const { status, isSigned, body, namedId } = answer;
          world.record("answered", {
            id: exchange.id,
            status,
            signed: isSigned,
            named: namedId,
            body,
          });
          if (status < FIRST_FINAL_STATUS) {
            exchange.interim.push(status);
            continue;
          }
          next += 1;
          Object.assign(exchange, { status, isSigned, body });
          if (answer.isClosing) current.destroy();
          if (answer.isClosing || next === exchanges.length) return end();
        }
      }
    });
  }
}

interface Answer {
  readonly status: number;
  readonly isSigned: boolean;
  readonly isClosing: boolean;
  /** The request that the answer names. */
  readonly namedId: string;
  readonly body: string;
  /** Length of head and body, in bytes. */
  readonly length: number;
}

/** The first answer if it is whole; final answers here state their length. */
function tryTakeAnswer(bytes: Buffer): Answer | undefined {
  const headEnd = bytes.indexOf(HEAD_END);
  if (headEnd < 0) return undefined;
  const head = bytes.toString("latin1", 0, headEnd);
  const status = Number(head.split(" ")[1]);
  // An answer with a status below 200 has no body, whatever its head says.
  const bodyBytes = status < FIRST_FINAL_STATUS
    ? 0
    : Number(/\r\ncontent-length: (\d+)/i.exec(head)?.[1] ?? NaN);
  const bodyAt = headEnd + HEAD_END.length;
  const length = bodyAt + bodyBytes;
  if (Number.isNaN(length)) throw new Error("an answer without a length");
  if (bytes.length < length) return undefined;
  return {
    status,
    isSigned: /\r\nx-vanillarock-response-signature: /i.test(head),
    isClosing: /\r\nconnection: close/i.test(head),
    namedId: /\r\nx-vanillarock-attempt-id: (\S+)/i.exec(head)?.[1] ?? "",
    body: bytes.toString("latin1", bodyAt, length),
    length,
  };
}
