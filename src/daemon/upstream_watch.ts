/**
 * Reads the local upstream's own word on its load, many times a second, since
 * a host's neighbours change how fast it works within a tenth of a second.
 */

import { Client } from "undici";
import type { Counters } from "../core/counters.ts";
import type { UpstreamView } from "../core/guard_types.ts";
import type { Millis } from "../core/types.ts";
import type {
  UpstreamLoad,
  UpstreamProtocol,
} from "../upstream/upstream_protocol.ts";
import type { Clock } from "./clock.ts";

/** Time between two readings, in ms; a small part of how long a speed lasts. */
const INTERVAL_MS = 50;
/** Age at which a reading says nothing any more, in ms. */
const MAX_AGE_MS = 500;
const TIMEOUT_MS = 500;
/** Share of its slots that an upstream can use before it slows down. */
const USABLE_SLOT_SHARE = 0.8;

/** Settings of the watch. */
export interface UpstreamWatchOptions {
  /** IP address and port. */
  readonly address: string;
  readonly protocol: UpstreamProtocol;
  readonly counters: Counters;
  /** Path of the health check, or undefined while it is not known. */
  getHealthPath(): string | undefined;
  /** Slots where the upstream has not stated them yet. */
  getListedSlots(): number;
}

/** The watch of one upstream. */
export interface UpstreamWatch extends UpstreamView {
  start(): void;
  /** Takes what an answer stated. */
  note(load: UpstreamLoad): void;
  close(): Promise<void>;
}

/** Creates a watch. */
export function createUpstreamWatch(
  clock: Clock,
  options: UpstreamWatchOptions,
): UpstreamWatch {
  const { counters } = options;
  const client = new Client(`http://${options.address}`, {
    connect: { timeout: TIMEOUT_MS },
    headersTimeout: TIMEOUT_MS,
    bodyTimeout: TIMEOUT_MS,
  });
  let load: UpstreamLoad | undefined;
  let readAt: Millis = -Infinity;
  let timer: NodeJS.Timeout | undefined;
  let isClosed = false;
  return { start, note, getUsableSlots, getSlowdown, close };

  function start(): void {
    timer = setTimeout(() => void read(), INTERVAL_MS);
  }

  async function read(): Promise<void> {
    const path = options.getHealthPath();
    const isFresh = clock.now() - readAt < INTERVAL_MS / 2;
    if (path !== undefined && !isFresh) await probe(path);
    if (!isClosed) start();
  }

  async function probe(path: string): Promise<void> {
    counters.add("upstream_probed");
    try {
      const res = await client.request({ method: "GET", path });
      await res.body.dump();
      const stated = options.protocol.readLoad(res.headers);
      if (stated !== undefined) note(stated);
    } catch (error) {
      const code = (error as { code?: string }).code ?? "unknown";
      counters.add(`upstream_probe_failed_${code}`);
    }
  }

  function note(stated: UpstreamLoad): void {
    load = stated;
    readAt = clock.now();
  }

  function getUsableSlots(): number {
    const slots = load?.slots ?? options.getListedSlots();
    return Math.max(1, Math.floor(slots * USABLE_SLOT_SHARE));
  }

  function getSlowdown(): number {
    const isKnown = load !== undefined && clock.now() - readAt < MAX_AGE_MS;
    return isKnown ? load!.slowdown : 1;
  }

  async function close(): Promise<void> {
    isClosed = true;
    clearTimeout(timer);
    await client.destroy();
  }
}
