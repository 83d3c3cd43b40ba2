/**
 * The platform's key-value store for tests: range reads, watches and injected
 * faults.
 */

import { Buffer } from "node:buffer";
import { createServer, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";

/** How the store responds. */
export enum StoreMode {
  Serving = "serving",
  /** Accepts requests and never responds. */
  Unresponsive = "silent",
  /** Responds 503. */
  Busy = "busy",
  /** Resets connections. */
  Reset = "reset",
}

/** A loss of writes. */
export interface Rollback {
  /** Writes again what the store lacks of what was last written under each key, whichever loss it is due to. */
  writeAgain(): void;
}

/** A store in this process. */
export interface StoreStandIn {
  readonly address: string;
  /** Number of requests by path. */
  readonly calls: Map<string, number>;
  put(key: string, value: unknown): void;
  /** Stores a text as it is, valid JSON or not. */
  putText(key: string, text: string): void;
  remove(key: string): void;
  /** Sets the mode and closes all pending watches. */
  setMode(mode: StoreMode): void;
  /** Drops the history; watches of earlier revisions get 410. */
  compact(): void;
  /** Goes back to the content of a time in ms ago, in a new era. */
  rollBack(ageMs: number): Rollback;
  close(): Promise<void>;
}

interface Item {
  key: string;
  value?: string;
  rev: number;
  /** Revision at which the key was created. */
  created: number;
  deleted?: boolean;
  /** Monotonic time of the change, in ms. */
  at: number;
}

interface PendingWatch {
  after: number;
  prefix: string;
  res: ServerResponse;
  timer: NodeJS.Timeout;
}

/** Starts a store on a free port of the loopback address. */
export async function startStore(): Promise<StoreStandIn> {
  const items = new Map<string, Item>();
  const calls = new Map<string, number>();
  const pendingWatches = new Set<PendingWatch>();
  /** What was last written under each key, undefined if it was removed. */
  const written = new Map<string, string | undefined>();
  let events: Item[] = [];
  let revision = 1;
  let oldestRevision = 0;
  let era = 1;
  /** All changes of this era, and of earlier ones as far as they were kept. */
  let changes: Item[] = [];
  let mode = StoreMode.Serving;
  const server = createServer((req, res) => {
    res.setHeader("store-era", String(era));
    const url = new URL(req.url!, "http://store");
    calls.set(url.pathname, (calls.get(url.pathname) ?? 0) + 1);
    if (mode === StoreMode.Unresponsive) return;
    if (mode === StoreMode.Reset) return void req.socket.resetAndDestroy();
    if (mode === StoreMode.Busy) return answer(res, 503, {});
    if (url.pathname === "/-/kv-range") range(url, res);
    else if (url.pathname === "/-/kv-watch") watch(url, res);
    else answer(res, 404, {});
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${port}`,
    calls,
    put: (key, value) => putText(key, JSON.stringify(value)),
    putText,
    remove,
    setMode: (next) => {
      mode = next;
      for (const entry of [...pendingWatches]) {
        pendingWatches.delete(entry);
        clearTimeout(entry.timer);
        entry.res.destroy();
      }
    },
    rollBack,
    compact: () => {
      events = [];
      oldestRevision = revision;
    },
    close: async () => {
      for (const entry of pendingWatches) clearTimeout(entry.timer);
      server.closeAllConnections();
      await new Promise((resolve) => server.close(resolve));
    },
  };

  function putText(key: string, text: string): void {
    const value = Buffer.from(text).toString("base64");
    written.set(key, value);
    append({ key, value });
  }

  function rollBack(ageMs: number): Rollback {
    const since = performance.now() - ageMs;
    changes = changes.filter((c) => c.at < since);
    items.clear();
    for (const item of changes) {
      if (item.deleted) items.delete(item.key);
      else items.set(item.key, item);
    }
    era += 1;
    revision = changes.at(-1)?.rev ?? 1;
    events = events.filter((e) => e.rev <= revision);
    return { writeAgain };
  }

  function writeAgain(): void {
    for (const [key, value] of written) {
      if (items.get(key)?.value === value) continue;
      if (value === undefined) remove(key);
      else append({ key, value });
    }
  }

  function remove(key: string): void {
    written.set(key, undefined);
    items.delete(key);
    append({ key, deleted: true });
  }

  function append(change: Pick<Item, "key" | "value" | "deleted">): void {
    revision += 1;
    const created = items.get(change.key)?.created ?? revision;
    const at = performance.now();
    const item: Item = { ...change, rev: revision, created, at };
    changes.push(item);
    if (item.deleted !== true) items.set(item.key, item);
    events.push(item);
    for (const entry of [...pendingWatches]) {
      if (item.key.startsWith(entry.prefix)) respond(entry);
    }
  }

  function range(url: URL, res: ServerResponse): void {
    const prefix = url.searchParams.get("prefix") ?? "";
    const found = [...items.values()]
      .filter((i) => i.key.startsWith(prefix))
      .sort((a, b) => a.key < b.key ? -1 : 1);
    answer(res, 200, { items: found, hasMore: false, at: revision });
  }

  function watch(url: URL, res: ServerResponse): void {
    const after = Number(url.searchParams.get("after"));
    const prefix = url.searchParams.get("prefix") ?? "";
    if (after < oldestRevision || after > revision) {
      return answer(res, 410, {});
    }
    const waitMs = Number(url.searchParams.get("pollTimeoutMs"));
    const timer = setTimeout(() => respond(entry), waitMs);
    const entry = { after, prefix, res, timer };
    pendingWatches.add(entry);
    const hasEvents = events.some((e) =>
      e.rev > after && e.key.startsWith(prefix)
    );
    if (hasEvents) respond(entry);
  }

  function respond(entry: PendingWatch): void {
    pendingWatches.delete(entry);
    clearTimeout(entry.timer);
    const newEvents = events.filter((e) =>
      e.rev > entry.after && e.key.startsWith(entry.prefix)
    );
    answer(entry.res, 200, { events: newEvents, at: revision });
  }
}

function answer(res: ServerResponse, status: number, body: unknown): void {
  res.writeHead(status, { "content-type": "application/json" });
  res.end(JSON.stringify(body));
}
