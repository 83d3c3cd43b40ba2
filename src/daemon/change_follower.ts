/** Follows the store's changes through another daemon that reads the store. */

import { type IncomingMessage, request } from "node:http";
import { createInterface } from "node:readline";
import { z } from "zod";
import type { StoreBatch } from "../core/change_log.ts";
import type { Millis } from "../core/types.ts";
import { Header, Step } from "../link/wire.ts";
import { decodeJson } from "../settings/json.ts";

/** Time to connect and to hear the first line, in ms; a hundred round trips. */
const FIRST_LINE_MS = 400;
/**
 * Longest silence of a reader, in ms: its wait for changes (800), its pause
 * between two watches (250) and one and a half for delay. Finding a lost
 * reader and asking another stays within the bound on departures.
 */
const MAX_SILENCE_MS = 1_300;

const batchSchema = z.object({
  revision: z.int(),
  entries: z.array(z.object({ key: z.string(), text: z.string().optional() })),
});

/** What a follower asks for. */
export interface FollowOptions {
  /** IP address and port of the reader's daemon. */
  readonly address: string;
  /** Changes are wanted after this revision. */
  readonly after: number;
  onBatch(batch: StoreBatch): void;
  /** Called once, with what ended it. */
  onEnd(reason: string): void;
}

/** A following that can be left. */
export interface Following {
  close(): void;
}

/** Starts to follow a reader. */
export function followReader(options: FollowOptions): Following {
  const { address, after } = options;
  let hasEnded = false;
  const req = request(`http://${address}/`, {
    agent: false,
    headers: { [Header.Step]: Step.Follow, [Header.After]: String(after) },
  }, read);
  req.on("error", (error) => end(error.message));
  req.end();
  let timer = expectLine(FIRST_LINE_MS);
  return { close: () => end("closed") };

  function read(res: IncomingMessage): void {
    if (res.statusCode !== 200) return end(`status ${res.statusCode}`);
    const lines = createInterface({ input: res });
    // The interface passes on the errors of its input.
    lines.on("error", (error: Error) => end(error.message));
    lines.on("line", take);
    lines.on("close", () => end("reader left"));
  }

  function take(line: string): void {
    if (hasEnded) return;
    const decoded = decodeJson(line, batchSchema);
    if (decoded.err) return end(`malformed line: ${decoded.val}`);
    clearTimeout(timer);
    timer = expectLine(MAX_SILENCE_MS);
    options.onBatch(decoded.val);
  }

  function expectLine(limitMs: Millis): NodeJS.Timeout {
    return setTimeout(() => end(`silent for ${limitMs} ms`), limitMs);
  }

  function end(reason: string): void {
    if (hasEnded) return;
    hasEnded = true;
    clearTimeout(timer);
    req.destroy();
    options.onEnd(reason);
  }
}
