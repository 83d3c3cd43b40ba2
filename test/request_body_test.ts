/** Bodies of requests as a daemon receives them, whatever their framing. */

import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import { PassThrough, Readable } from "node:stream";
import { expect, test } from "vitest";
import { createMemoryBudget } from "../src/core/memory_budget.ts";
import {
  BodyFailure,
  type BodyTerms,
  receiveBody,
} from "../src/daemon/request_body.ts";
import {
  createSignature,
  createStreamedSignature,
} from "../src/daemon/request_signature.ts";

const KEPT_BYTES = 1_000;
const MAX_BYTES = 3_000;

/** A body in chunks, or with a length. */
function send(body: Buffer, isChunked: boolean): IncomingMessage {
  const incoming = new PassThrough();
  for (let at = 0; at < body.length; at += 400) {
    incoming.write(body.subarray(at, at + 400));
  }
  incoming.end();
  return Object.assign(incoming, {
    method: "POST",
    url: "/order/1",
    headers: {
      host: "shop",
      ...(isChunked
        ? { "transfer-encoding": "chunked" }
        : { "content-length": String(body.length) }),
    },
  }) as unknown as IncomingMessage;
}

function receive(incoming: IncomingMessage, terms: Partial<BodyTerms> = {}) {
  return receiveBody(incoming, {
    memory: createMemoryBudget({ limitBytes: 10_000 }),
    maxKeptBytes: KEPT_BYTES,
    maxBytes: MAX_BYTES,
    timeoutMs: 200,
    ...terms,
  });
}

async function readAll(body: Readable): Promise<Buffer> {
  const pieces: Buffer[] = [];
  for await (const piece of body) pieces.push(piece as Buffer);
  return Buffer.concat(pieces);
}

const FRAMINGS = [true, false];

test.each(
  FRAMINGS.flatMap((isChunked) =>
    [1, KEPT_BYTES, KEPT_BYTES + 1, MAX_BYTES].map((bytes) => ({
      isChunked,
      bytes,
    }))
  ),
)(
  "a body has the same bytes and signature, kept or streamed: $bytes bytes, in chunks: $isChunked",
  async ({ isChunked, bytes }) => {
    const expected = Buffer.from("0123456789".repeat(bytes)).subarray(0, bytes);
    const incoming = send(expected, isChunked);
    const streamed = createStreamedSignature(incoming);
    const { content } = receive(incoming, {
      onStreamed: streamed.update,
      mayEnd: () => {
        streamed.finish();
        return true;
      },
    });
    const body = await content;
    expect(body instanceof Readable).toBe(bytes > KEPT_BYTES);
    const all = body instanceof Readable ? await readAll(body) : body as Buffer;
    expect(all.equals(expected)).toBe(true);
    const signature = createSignature(incoming, expected)();
    if (body instanceof Readable) expect(streamed.get()).toBe(signature);
  },
);

test.each(FRAMINGS)(
  "a streamed body that may not end is cut before its last piece, in chunks: %s",
  async (isChunked) => {
    const incoming = send(Buffer.alloc(2_000, "b"), isChunked);
    const { content } = receive(incoming, { mayEnd: () => false });
    let size = 0;
    const body = await content as Readable;
    body.on("data", (piece: Buffer) => size += piece.length);
    await new Promise((resolve) => body.once("close", resolve));
    expect(body.errored).toBeInstanceOf(Error);
    expect(size).toBeLessThan(2_000);
  },
);

test("a body in chunks has the bound of one with a length", async () => {
  const large = await receive(send(Buffer.alloc(MAX_BYTES + 1), true)).content;
  await expect(readAll(large as Readable)).rejects.toThrow("more than");
  const small = receive(send(Buffer.alloc(500), true), { maxBytes: 400 });
  expect(await small.content).toBe(BodyFailure.TooLarge);
});

test.each(FRAMINGS)(
  "without room in the budget a body is streamed, and all is returned, in chunks: %s",
  async (isChunked) => {
    const memory = createMemoryBudget({ limitBytes: 500 });
    const received = receive(send(Buffer.alloc(900, "b"), isChunked), {
      memory,
    });
    const body = await received.content;
    expect(await readAll(body as Readable)).toHaveLength(900);
    received.release();
    expect(memory.getUsed()).toBe(0);
  },
);

test("a kept body that stops halfway has its time, and keeps nothing after it", async () => {
  const memory = createMemoryBudget({ limitBytes: 10_000 });
  const incoming = new PassThrough();
  Object.assign(incoming, { headers: { "content-length": "900" } });
  incoming.write(Buffer.alloc(100));
  const received = receive(incoming as unknown as IncomingMessage, { memory });
  expect(await received.content).toBe(BodyFailure.Overdue);
  received.release();
  incoming.write(Buffer.alloc(100));
  expect(memory.getUsed()).toBe(0);
});
