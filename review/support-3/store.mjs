/** Stand-in of the platform's store: range reads and watches of its keys. */

import { Buffer } from "node:buffer";
import { createServer } from "node:http";

const MAX_POLL_MS = 30_000;

/** Starts a store at an IP address and port. */
export async function startStore({ ip, port }) {
  const items = new Map();
  const watches = new Set();
  let events = [];
  let revision = 100;
  const server = createServer((req, res) => {
    const url = new URL(req.url, "http://store");
    if (url.pathname === "/-/kv-range") return readRange(url, res);
    if (url.pathname === "/-/kv-watch") return watch(url, res);
    if (url.pathname === "/-/kv-key") return readKey(url, res);
    answer(res, 404, {});
  });
  await new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, ip, resolve);
  });
  return { address: `${ip}:${port}`, put, remove, close };

  function put(key, value) {
    append({
      key,
      value: Buffer.from(JSON.stringify(value)).toString("base64"),
      lease: 0,
    });
  }

  function remove(key) {
    if (items.has(key)) append({ key, deleted: true });
  }

  function append(change) {
    revision += 1;
    const created = items.get(change.key)?.created ?? revision;
    const item = change.deleted
      ? { ...change, rev: revision }
      : { ...change, rev: revision, created };
    if (change.deleted) items.delete(change.key);
    else items.set(change.key, item);
    events.push(item);
    for (const it of [...watches]) {
      if (item.key.startsWith(it.prefix)) respond(it);
    }
  }

  function readKey(url, res) {
    const item = items.get(url.searchParams.get("key") ?? "");
    if (item === undefined) return answer(res, 404, {});
    answer(res, 200, { ...item, at: revision });
  }

  function readRange(url, res) {
    const prefix = url.searchParams.get("prefix") ?? "";
    const after = url.searchParams.get("after") ?? "";
    const found = [...items.values()]
      .filter((it) => it.key.startsWith(prefix) && it.key > after)
      .sort((a, b) => a.key < b.key ? -1 : 1);
    answer(res, 200, { items: found, hasMore: false, at: revision });
  }

  function watch(url, res) {
    const after = Number(url.searchParams.get("after"));
    const pollMs = Number(url.searchParams.get("pollTimeoutMs"));
    if (after > revision) return answer(res, 410, {});
    const it = { prefix: url.searchParams.get("prefix") ?? "", after, res };
    const isDue = events.some((e) =>
      e.rev > after && e.key.startsWith(it.prefix)
    );
    if (isDue) return respond(it);
    it.timer = setTimeout(() => respond(it), Math.min(pollMs, MAX_POLL_MS));
    watches.add(it);
    res.once("close", () => {
      clearTimeout(it.timer);
      watches.delete(it);
    });
  }

  function respond(it) {
    watches.delete(it);
    clearTimeout(it.timer);
    const found = events.filter((e) =>
      e.rev > it.after && e.key.startsWith(it.prefix)
    );
    answer(it.res, 200, { events: found, at: revision });
  }

  function close() {
    events = [];
    server.close();
    server.closeAllConnections();
  }
}

function answer(res, status, body) {
  res.writeHead(status, { "content-type": "application/json" });
  res.end(JSON.stringify(body));
}
