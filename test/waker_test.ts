/** Timers of the daemon's tasks after a pause of the process. */

import { once } from "node:events";
import { type AddressInfo, connect, createServer } from "node:net";
import { expect, test } from "vitest";
import { createClock } from "../src/daemon/clock.ts";
import { createWaker } from "../src/daemon/waker.ts";

test("after a pause, answers that came are read before deadlines pass", async () => {
  const clock = createClock();
  const server = createServer().listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const accepted = once(server, "connection");
  const client = connect(port, "127.0.0.1");
  const [peer] = await accepted;
  const order: string[] = [];
  client.on("data", () => order.push("answer"));
  let due: number | undefined = clock.now() + 20;
  const ticked = new Promise<void>((resolve) => {
    const waker = createWaker(clock, {
      getNextWake: () => due,
      tick: () => {
        due = undefined;
        order.push("deadline");
        resolve();
      },
    });
    waker.update();
  });
  peer.write("x");
  blockProcess(200);
  await ticked;
  await expect.poll(() => order).toEqual(["answer", "deadline"]);
  client.destroy();
  server.close();
});

function blockProcess(ms: number): void {
  const end = performance.now() + ms;
  while (performance.now() < end) { /* blocks the event loop */ }
}
