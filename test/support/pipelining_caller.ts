/** A caller that sends requests behind each other on one connection, without waiting for their answers. */

import { Buffer } from "node:buffer";
import { connect, type Socket } from "node:net";

/** What a caller sends. */
export interface PipedRequest {
  readonly id: string;
  readonly path?: string;
  readonly method?: string;
  readonly body?: string;
  /** In ms. */
  readonly timeoutMs?: number;
  readonly headers?: Record<string, string>;
}

/** What became of a request. */
export interface PipedAnswer {
  readonly id: string;
  /** Absent if not even the head of an answer came. */
  readonly status?: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
  /** True if the answer came to its end, as its framing tells it. */
  readonly isWhole: boolean;
  /** True if an earlier answer announced the end of the connection, so that the request counts as not read. */
  readonly isBehindClose: boolean;
  /** Monotonic times in ms. */
  readonly sentAt: number;
  readonly endedAt: number;
}

/** One connection of a caller. */
export interface Pipe {
  /** Sends a request; resolves to what became of it, never rejects. */
  send(req: PipedRequest): Promise<PipedAnswer>;
  /** Sends bytes as they are. */
  write(bytes: string | Buffer): void;
  /** False once the connection has ended or an answer has announced its end. */
  isOpen(): boolean;
  /** Number of requests without an answer. */
  countWaiting(): number;
  /** Bytes that came while no request waited. */
  getStray(): string;
  /** Ends the writing side only. */
  end(): void;
  /** Reads nothing until `resume`. */
  pause(): void;
  resume(): void;
  close(): void;
}

interface Waiting {
  readonly req: PipedRequest;
  readonly sentAt: number;
  resolve(answer: PipedAnswer): void;
}

interface Head {
  readonly status: number;
  readonly headers: Record<string, string>;
  readonly bytes: number;
}

const HEAD_END = "\r\n\r\n";
const DEFAULT_TIMEOUT_MS = 2_000;

/**
 * Opens a connection; rejects if that fails. It is closed once an answer takes
 * more than `maxAnswerBytes`.
 */
export function openPipe(
  ip: string,
  port: number,
  { maxAnswerBytes = Infinity }: { maxAnswerBytes?: number } = {},
): Promise<Pipe> {
  return new Promise((resolve, reject) => {
    const socket = connect({ host: ip, port, noDelay: true }, () => {
      socket.off("error", reject);
      resolve(createPipe(socket, maxAnswerBytes));
    });
    socket.once("error", reject);
  });
}

function createPipe(socket: Socket, maxAnswerBytes: number): Pipe {
  const waiting: Waiting[] = [];
  let received: Buffer = Buffer.alloc(0);
  let stray = "";
  let isClosing = false;
  let isOver = false;
  socket.on("error", () => {});
  socket.on("data", (chunk: Buffer) => {
    received = Buffer.concat([received, chunk]);
    while (readAnswer(false));
    if (received.length > maxAnswerBytes) socket.destroy();
  });
  socket.once("close", (hadError: boolean) => {
    while (readAnswer(!hadError));
    isOver = true;
    const head = tryReadHead(received);
    for (const [index, it] of waiting.splice(0).entries()) {
      settle(it, {
        ...(index === 0 && head && { status: head.status }),
        headers: index === 0 && head ? head.headers : {},
        body: Buffer.alloc(0),
        isWhole: false,
        isBehindClose: isClosing,
      });
    }
  });
  return {
    send,
    write: (bytes) => void socket.write(bytes),
    isOpen: () => !isOver && !isClosing && socket.writable,
    countWaiting: () => waiting.length,
    getStray: () => stray,
    end: () => socket.end(),
    pause: () => void socket.pause(),
    resume: () => void socket.resume(),
    close: () => socket.destroy(),
  };

  function send(req: PipedRequest): Promise<PipedAnswer> {
    return new Promise((resolve) => {
      const it = { req, sentAt: performance.now(), resolve };
      if (isOver) {
        return settle(it, {
          headers: {},
          body: Buffer.alloc(0),
          isWhole: false,
          isBehindClose: isClosing,
        });
      }
      waiting.push(it);
      socket.write(formatRequest(req));
    });
  }

  function settle(
    { req, sentAt, resolve }: Waiting,
    answer: Omit<PipedAnswer, "id" | "sentAt" | "endedAt">,
  ): void {
    resolve({ ...answer, id: req.id, sentAt, endedAt: performance.now() });
  }

  /** Takes the next whole answer out of what has been received; false if there is none. */
  function readAnswer(isEnded: boolean): boolean {
    const head = tryReadHead(received);
    if (head === undefined) return false;
    if (waiting.length === 0 || isClosing) {
      stray += received.toString("latin1");
      received = Buffer.alloc(0);
      return false;
    }
    const rest = received.subarray(head.bytes);
    const isInformational = head.status < 200;
    const body = isInformational || waiting[0]!.req.method === "HEAD"
      ? { bytes: Buffer.alloc(0), length: 0 }
      : tryReadBody(head, rest, isEnded);
    if (body === undefined) return false;
    received = rest.subarray(body.length);
    if (isInformational) return true;
    const it = waiting.shift()!;
    isClosing ||= head.headers["connection"]?.toLowerCase() === "close";
    settle(it, {
      status: head.status,
      headers: head.headers,
      body: body.bytes,
      isWhole: true,
      isBehindClose: false,
    });
    return true;
  }
}

function formatRequest(
  { id, path = "/read/1", method = "GET", body, headers = {}, ...req }:
    PipedRequest,
): string {
  const lines = [
    `${method} ${path} HTTP/1.1`,
    "host: shop",
    `x-vanillarock-attempt-id: ${id}`,
    `x-vanillarock-timeout-ms: ${req.timeoutMs ?? DEFAULT_TIMEOUT_MS}`,
    ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
    ...(body === undefined
      ? []
      : [`content-length: ${Buffer.byteLength(body)}`]),
  ];
  return lines.join("\r\n") + HEAD_END + (body ?? "");
}

function tryReadHead(received: Buffer): Head | undefined {
  const end = received.indexOf(HEAD_END);
  if (end < 0) return undefined;
  const [first, ...lines] = received.toString("latin1", 0, end).split("\r\n");
  const headers = Object.fromEntries(lines.map((line) => {
    const at = line.indexOf(":");
    return [line.slice(0, at).toLowerCase(), line.slice(at + 1).trim()];
  }));
  const status = Number(first!.split(" ")[1]);
  return { status, headers, bytes: end + HEAD_END.length };
}

/** Returns the body and its length on the wire; undefined if its end is still to come. */
function tryReadBody(
  { status, headers }: Head,
  rest: Buffer,
  isEnded: boolean,
): { bytes: Buffer; length: number } | undefined {
  if (status === 204 || status === 304) {
    return { bytes: Buffer.alloc(0), length: 0 };
  }
  if (headers["transfer-encoding"] !== undefined) return tryReadChunks(rest);
  const stated = headers["content-length"];
  const length = stated === undefined ? rest.length : Number(stated);
  const isThere = stated === undefined ? isEnded : rest.length >= length;
  return isThere ? { bytes: rest.subarray(0, length), length } : undefined;
}

function tryReadChunks(
  rest: Buffer,
): { bytes: Buffer; length: number } | undefined {
  const chunks: Buffer[] = [];
  let at = 0;
  for (;;) {
    const lineEnd = rest.indexOf("\r\n", at);
    if (lineEnd < 0) return undefined;
    const size = parseInt(rest.toString("latin1", at, lineEnd), 16);
    const next = lineEnd + 2 + size + 2;
    if (rest.length < next) return undefined;
    if (size === 0) return { bytes: Buffer.concat(chunks), length: next };
    chunks.push(rest.subarray(lineEnd + 2, lineEnd + 2 + size));
    at = next;
  }
}
