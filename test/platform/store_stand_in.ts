/** The platform's store as tests need it: ranges, watches, and its faults. */

import { Buffer } from "node:buffer";
import { createServer, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";

/** How the store answers. */
export enum StoreMood {
  Serving = "serving",
  /** Takes calls and never answers. */
  Silent = "silent",
  /** Refuses with 503. */
  Busy = "busy",
  /** Resets connections. */
  Reset = "reset",
}

/** A store in this process. */
export interface StoreStandIn {
  readonly address: string;
  /** Calls that were made, by path. */
  readonly calls: Map<string, number>;
  put(key: string, value: unknown): void;
  /** Puts bytes as they are, readable or not. */
  putText(key: string, text: string): void;
  remove(key: string): void;
  setMood(mood: StoreMood): void;
  /** Drops the history: watches from before get 410. */
  compact(): void;
  close(): Promise<void>;
}

interface Item {
  key: string;
  value?: string;
  rev: number;
  /** Revision at which the key came to be. */
  created: number;
  deleted?: boolean;
}

interface Waiting {
  after: number;
  prefix: string;
  res: ServerResponse;
  timer: NodeJS.Timeout;
}

/** Starts a store on a free port of the loopback address. */
export async function startStore(): Promise<StoreStandIn> {
  const items = new Map<string, Item>();
  const calls = new Map<string, number>();
  const waiting = new Set<Waiting>();
  let events: Item[] = [];
  let revision = 1;
  let oldest = 0;
  let mood = StoreMood.Serving;
  const server = createServer((req, res) => {
    const url = new URL(req.url!, "http://store");
    calls.set(url.pathname, (calls.get(url.pathname) ?? 0) + 1);
    if (mood === StoreMood.Silent) return;
    if (mood === StoreMood.Reset) return void req.socket.resetAndDestroy();
    if (mood === StoreMood.Busy) return answer(res, 503, {});
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
    remove: (key) => {
      items.delete(key);
      record({ key, rev: 0, created: 0, deleted: true });
    },
    setMood: (next) => {
      mood = next;
      for (const entry of [...waiting]) {
        waiting.delete(entry);
        clearTimeout(entry.timer);
        entry.res.destroy();
      }
    },
    compact: () => {
      events = [];
      oldest = revision;
    },
    close: async () => {
      for (const entry of waiting) clearTimeout(entry.timer);
      server.closeAllConnections();
      await new Promise((resolve) => server.close(resolve));
    },
  };

  function putText(key: string, text: string): void {
    const value = Buffer.from(text).toString("base64");
    record({ key, value, rev: 0, created: 0 });
  }

  function record(item: Item): void {
    revision += 1;
    item.rev = revision;
    item.created = items.get(item.key)?.created ?? revision;
    if (item.deleted !== true) items.set(item.key, item);
    events.push(item);
    for (const entry of [...waiting]) {
      if (item.key.startsWith(entry.prefix)) wake(entry);
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
    if (after < oldest) return answer(res, 410, {});
    const waitMs = Number(url.searchParams.get("pollTimeoutMs"));
    const timer = setTimeout(() => wake(entry), waitMs);
    const entry = { after, prefix, res, timer };
    waiting.add(entry);
    const isNews = events.some((e) =>
      e.rev > after && e.key.startsWith(prefix)
    );
    if (isNews) wake(entry);
  }

  function wake(entry: Waiting): void {
    waiting.delete(entry);
    clearTimeout(entry.timer);
    const news = events.filter((e) =>
      e.rev > entry.after && e.key.startsWith(entry.prefix)
    );
    answer(entry.res, 200, { events: news, at: revision });
  }
}

function answer(res: ServerResponse, status: number, body: unknown): void {
  res.writeHead(status, { "content-type": "application/json" });
  res.end(JSON.stringify(body));
}
