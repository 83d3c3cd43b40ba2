/**
 * Callers of a gossip daemon that share a connection between requests. Guards
 * against requests that were passed on and get no answer of their own.
 */

import { afterAll, afterEach, beforeAll, expect, test } from "vitest";
import { Header } from "../src/link/wire.ts";
import {
  openPipe,
  type PipedAnswer,
  type PipedRequest,
} from "./support/pipelining_caller.ts";
import { type SmallFleet, startSmallFleet } from "./support/small_fleet.ts";

const BASE_PORT = 25_000;
const BOARDS = 0;
const ORDERS = 2;
const CALLERS = 6;
const BEFORE_MS = 600;
/** More than the kernel buffers for a connection whose caller reads nothing. */
const LARGE_BYTES = 12_000_000;

let fleet: SmallFleet;
let count = 0;

beforeAll(async () => {
  fleet = await startSmallFleet(BASE_PORT, {
    services: { boards: 2, orders: 1, uploads: 1 },
  });
});
afterAll(() => fleet.stop());
afterEach(() => {
  for (const { behaviour } of fleet.upstreams) {
    Object.assign(behaviour, { serviceMs: 2, answerBytes: 0, short: false });
  }
});

function createRead(): PipedRequest {
  count += 1;
  const id = `g-${count}`;
  return {
    id,
    path: `/boards/${id}`,
    headers: { [Header.Account]: "karaca", [Header.RequestId]: id },
  };
}

function getAddress(): [ip: string, port: number] {
  const [ip, port] = fleet.hosts[BOARDS]!.settings.listen.callers.split(":");
  return [ip!, Number(port)];
}

/** Requests that ran and whose answer did not come whole, in the place of no other. */
function findLost(answers: readonly PipedAnswer[]): PipedAnswer[] {
  const ran = new Set(
    fleet.upstreams.flatMap((it) => it.getJournal().map(({ path }) => path)),
  );
  return answers.filter((it) => !it.isWhole && ran.has(`/boards/${it.id}`));
}

function findMixed(answers: readonly PipedAnswer[]): PipedAnswer[] {
  return answers.filter(({ id, status, body }) =>
    status === 200 && JSON.parse(String(body)).path !== `/boards/${id}`
  );
}

test.each([
  { depth: 1, workMs: 5 },
  { depth: 1, workMs: 200 },
  { depth: 3, workMs: 5 },
  { depth: 3, workMs: 200 },
  { depth: 8, workMs: 30 },
])(
  "each of $depth requests of $workMs ms behind each other gets its answer while the gossip daemon stops",
  async ({ depth, workMs }) => {
    for (const { behaviour } of fleet.upstreams) behaviour.serviceMs = workMs;
    const answers: PipedAnswer[] = [];
    /** Those on connections that had answers before. */
    const onKept: PipedAnswer[] = [];
    let isOver = false;
    const run = async () => {
      while (!isOver) {
        const pipe = await openPipe(...getAddress()).catch(() => undefined);
        if (pipe === undefined) return;
        for (let isKept = false; pipe.isOpen() && !isOver; isKept = true) {
          const sent = Array.from(
            { length: depth },
            () => pipe.send(createRead()),
          );
          const settled = await Promise.all(sent);
          answers.push(...settled);
          if (isKept) onKept.push(...settled);
        }
        pipe.close();
      }
    };
    const callers = Array.from({ length: CALLERS }, run);
    await pause(BEFORE_MS);
    await fleet.daemons[BOARDS]!.stop();
    isOver = true;
    await Promise.all(callers);
    await fleet.start(BOARDS);
    expect(answers.filter(({ status }) => status === 200).length)
      .toBeGreaterThan(CALLERS);
    expect(findMixed(answers)).toEqual([]);
    const lost = findLost(answers).map(({ id, status, isBehindClose }) => ({
      id,
      status,
      isBehindClose,
    }));
    expect({ lost, of: answers.length }).toEqual({
      lost: [],
      of: answers.length,
    });
    // What the end of a connection crosses was announced as not read.
    const unanswered = onKept.filter((it) => !it.isWhole && !it.isBehindClose);
    expect({ unanswered: unanswered.length, of: onKept.length })
      .toEqual({ unanswered: 0, of: onKept.length });
  },
  30_000,
);

test(
  "an answer that is read slowly comes whole though the gossip daemon stops",
  async () => {
    for (const { behaviour } of fleet.upstreams) {
      behaviour.answerBytes = LARGE_BYTES;
    }
    const read = createRead();
    const headers = { ...read.headers, [Header.TimeoutMs]: "20000" };
    const pipe = await openPipe(...getAddress());
    pipe.pause();
    const answer = pipe.send({
      ...read,
      path: "/photos",
      method: "PUT",
      body: "x",
      headers,
    });
    await pause(500);
    const stopped = fleet.daemons[BOARDS]!.stop();
    await pause(500);
    pipe.resume();
    const { status, isWhole, body } = await answer;
    await stopped;
    pipe.close();
    await fleet.start(BOARDS);
    expect({ status, isWhole }).toEqual({ status: 200, isWhole: true });
    expect(body.length).toBeGreaterThan(LARGE_BYTES);
  },
  30_000,
);

test("an answer that is cut takes no other answer with it", async () => {
  for (const { behaviour } of fleet.upstreams.slice(0, ORDERS)) {
    Object.assign(behaviour, { short: true, answerBytes: 50_000 });
  }
  const pipe = await openPipe(...getAddress());
  const order = { ...createRead(), path: "/orders", method: "POST", body: "x" };
  const [cut, whole, again] = await Promise.all([
    pipe.send(createRead()),
    pipe.send(order),
    pipe.send({ ...order, id: "again" }),
  ]);
  pipe.close();
  expect([cut, whole, again].map(({ status, isWhole }) => [status, isWhole]))
    .toEqual([[502, true], [200, true], [200, true]]);
});

test("requests that outlast a stop of the gossip daemon are told so behind each other", async () => {
  const short = await startSmallFleet(BASE_PORT + 450, {
    services: { boards: 1 },
    overrides: { stopTimeoutMs: 500 },
  });
  short.upstreams[0]!.behaviour.silent = true;
  const [ip, port] = short.hosts[0]!.settings.listen.callers.split(":");
  const pipe = await openPipe(ip!, Number(port));
  const answers = Promise.all([createRead(), createRead()].map((read) => {
    const headers = { ...read.headers, [Header.TimeoutMs]: "20000" };
    return pipe.send({ ...read, headers });
  }));
  await expect.poll(() => short.upstreams[0]!.getJournal()).toHaveLength(2);
  await short.stop();
  const told = (await answers).map(({ headers, isWhole }) =>
    isWhole && headers[Header.Execution]
  );
  expect(told).toEqual(["may-have-run", "may-have-run"]);
});

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
