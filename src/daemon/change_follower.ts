/** Follows the store's changes through another daemon. */

import type { Buffer } from "node:buffer";
import { type IncomingMessage, request } from "node:http";
import { createInterface } from "node:readline";
import { z } from "zod";
import type { Millis } from "../core/types.ts";
import type { StorePosition } from "../core/change_log.ts";
import { Header, Step } from "../link/wire.ts";
import type { RelayedBatch } from "./change_relay.ts";
import { decodeJson } from "../settings/json.ts";

/** Timeout for connecting and receiving the first line, in ms; a hundred round trips. */
const FIRST_LINE_TIMEOUT_MS = 400;
/**
 * Longest time between two lines of a source that reads the store, in ms: its
 * watch (500), its delay between two watches (250) and some latency. Detecting a
 * lost source and trying another takes less than the time allowed for applying
 * a departure (`drainMs`).
 */
const LINE_TIMEOUT_MS = 900;
/** Added for each daemon between source and store, in ms, so that it finds another source first. */
const TIMEOUT_PER_HOP_MS = 200;

/** Longest line, in bytes: the largest changes that are relayed, and the keys of 2,400 upstreams. */
const MAX_LINE_BYTES = 1_048_576;

const batchSchema = z.object({
  era: z.int().default(0),
  revision: z.int(),
  hops: z.int().min(0),
  isLarge: z.boolean().default(false),
  entries: z.array(z.object({ key: z.string(), text: z.string().optional() })),
});

/** Source to follow, and the callbacks. */
export interface FollowOptions {
  /** IP address and port of the daemon that is followed. */
  readonly address: string;
  /** Revision after which changes are requested. */
  readonly after: StorePosition;
  onBatch(batch: RelayedBatch): void;
  /** Called once, with the reason for the end. */
  onEnd(reason: string): void;
}

/** An open subscription to another daemon's changes. */
export interface Subscription {
  close(): void;
}

/** Subscribes to the changes that a daemon relays. */
export function followSource(options: FollowOptions): Subscription {
  const { address, after } = options;
  let hasEnded = false;
  const req = request(`http://${address}/`, {
    agent: false,
    headers: {
      [Header.Step]: Step.Follow,
      [Header.After]: String(after.revision),
      [Header.Era]: String(after.era),
    },
  }, read);
  req.on("error", (error) => end(error.message));
  req.end();
  let timer = startLineTimeout(FIRST_LINE_TIMEOUT_MS);
  return { close: () => end("closed") };

  function read(res: IncomingMessage): void {
    if (res.statusCode !== 200) return end(`status ${res.statusCode}`);
    const lines = createInterface({ input: res });
    // readline emits the errors of its input.
    lines.on("error", (error: Error) => end(error.message));
    lines.on("line", handleLine);
    lines.on("close", () => end("source closed the connection"));
    let lineBytes = 0;
    lines.on("line", () => lineBytes = 0);
    res.on("data", (chunk: Buffer) => {
      lineBytes += chunk.length;
      if (lineBytes > MAX_LINE_BYTES) end("a line without end");
    });
  }

  function handleLine(line: string): void {
    if (hasEnded) return;
    const decoded = decodeJson(line, batchSchema);
    if (decoded.err) return end(`malformed line: ${decoded.val}`);
    clearTimeout(timer);
    const batch = decoded.val;
    timer = startLineTimeout(LINE_TIMEOUT_MS + batch.hops * TIMEOUT_PER_HOP_MS);
    options.onBatch(batch);
  }

  function startLineTimeout(limitMs: Millis): NodeJS.Timeout {
    return setTimeout(() => end(`no line within ${limitMs} ms`), limitMs);
  }

  function end(reason: string): void {
    if (hasEnded) return;
    hasEnded = true;
    clearTimeout(timer);
    req.destroy();
    options.onEnd(reason);
  }
}
