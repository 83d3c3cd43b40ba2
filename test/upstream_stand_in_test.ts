/** The upstream of the tests states its notices for the instance that it names. */

import { expect, test } from "vitest";
import {
  INSTANCE_HEADER,
  startUpstream,
} from "./platform/upstream_stand_in.ts";

// A response that began before the replacement named the new instance as leaving.
test("a response states no leaving of an instance that replaced the one that left", async () => {
  const upstream = await startUpstream("i-1");
  try {
    upstream.workMs = 50;
    upstream.isLeaving = true;
    const pending = fetch(`http://${upstream.address}/read/1`);
    await expect.poll(() => upstream.ran.length).toBe(1);
    upstream.isLeaving = false;
    upstream.instance = "i-2";
    const { headers } = await pending;
    expect(headers.get(INSTANCE_HEADER)).toBe("i-2");
    expect(headers.get("server-leaving")).toBeNull();
  } finally {
    await upstream.close();
  }
});
