/** The store for tests: what its losses leave. */

import { request } from "undici";
import { expect, test } from "vitest";
import { startStore, type StoreStandIn } from "./platform/store_stand_in.ts";

const KEY = "op/config";
const GONE = "op/gone";

async function readAll(store: StoreStandIn): Promise<Record<string, string>> {
  const res = await request(`http://${store.address}/-/kv-range?prefix=`);
  const { items } = await res.body.json() as {
    items: { key: string; value: string }[];
  };
  return Object.fromEntries(
    items.map((it) => [it.key, Buffer.from(it.value, "base64").toString()]),
  );
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

test("what is written again after losses that overlap is the newest of each key", async () => {
  const store = await startStore();
  try {
    store.putText(KEY, "1");
    store.putText(GONE, "here");
    const first = store.rollBack(1_000);
    await pause(5);
    store.putText(KEY, "2");
    store.remove(GONE);
    const second = store.rollBack(2_000);
    expect(await readAll(store)).toEqual({});
    first.writeAgain();
    second.writeAgain();
    expect(await readAll(store)).toEqual({ [KEY]: "2" });
  } finally {
    await store.close();
  }
});
