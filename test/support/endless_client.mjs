/**
 * Faulty callers in a process of their own: each writes a start and then a part
 * without end, and connects again once its connection has closed. Reads its
 * settings as JSON: see endless_client.ts.
 */

import { Buffer } from "node:buffer";
import { connect } from "node:net";
import process from "node:process";
import { text } from "node:stream/consumers";

/** Size of one write, in bytes. */
const WRITE_BYTES = 65_536;
/** Time before another connection, in ms. */
const PAUSE_MS = 20;

const { ip, port, callers, start, part, isRead } = JSON.parse(
  await text(process.stdin),
);
const parts = Buffer.from(part.repeat(Math.ceil(WRITE_BYTES / part.length)));
for (let i = 0; i < callers; i++) open();

function open() {
  const socket = connect(port, ip);
  socket.on("error", () => {});
  socket.once("connect", () => {
    socket.write(start);
    socket.on("drain", send);
    send();
  });
  if (isRead) socket.on("data", report).on("end", () => socket.destroy());
  socket.once("close", () => setTimeout(open, PAUSE_MS));

  function send() {
    if (!socket.destroyed && socket.write(parts)) setImmediate(send);
  }
}

/** Writes the status of each answer. */
function report(data) {
  for (
    const [, status] of data.toString("latin1").matchAll(/HTTP\/1.1 (\d+)/g)
  ) {
    process.stdout.write(`${status}\n`);
  }
}
