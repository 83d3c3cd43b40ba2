/**
 * A faulty server in a process of its own. Answers each request whose bytes match
 * a pattern by a start and then a part without end, and all others as an upstream
 * of the platform. Reads its settings as JSON: see endless_server.ts.
 */

import { Buffer } from "node:buffer";
import { createServer } from "node:net";
import process from "node:process";
import { text } from "node:stream/consumers";

/** Size of one write, in bytes. */
const WRITE_BYTES = 65_536;
const BODY = "the upstream's answer";

const { ip, port, instance, answers } = JSON.parse(await text(process.stdin));
const known = answers.map(({ pattern, start, part, everyMs }) => ({
  pattern: new RegExp(pattern, "s"),
  start: Buffer.from(start, "latin1"),
  parts: everyMs > 0 ? Buffer.from(part, "latin1") : Buffer.from(
    part.repeat(Math.ceil(WRITE_BYTES / Math.max(1, part.length))),
    "latin1",
  ),
  everyMs,
}));

createServer((socket) => {
  socket.on("error", () => {});
  socket.on("data", (data) => serve(socket, data.toString("latin1")));
}).listen(port, ip, () => process.stdout.write("listening\n"));

function serve(socket, request) {
  const answer = known.find(({ pattern }) => pattern.test(request));
  const id = /x-vanillarock-attempt-id: ([^\r]*)/i.exec(request)?.[1] ?? "";
  if (answer === undefined) return socket.write(createAnswer(request, id));
  socket.write(answer.start.toString("latin1").replace("{id}", id), "latin1");
  if (answer.everyMs > 0) {
    const timer = setInterval(() => socket.write(answer.parts), answer.everyMs);
    socket.once("close", () => clearInterval(timer));
  } else {
    socket.on("drain", send);
    send();
  }

  function send() {
    if (!socket.destroyed && socket.write(answer.parts)) setImmediate(send);
  }
}

function createAnswer(request, id) {
  const isHealth = request.startsWith("GET /healthz");
  return "HTTP/1.1 200 OK\r\nx-vanillarock-server-load: 0,0,10,100\r\n" +
    (isHealth
      ? `x-vanillarock-instance-id: ${instance}\r\ncontent-length: 0\r\n\r\n`
      : `x-vanillarock-attempt-id: ${id}\r\n` +
        "x-vanillarock-response-signature: s\r\n" +
        `content-length: ${BODY.length}\r\n\r\n${BODY}`);
}
