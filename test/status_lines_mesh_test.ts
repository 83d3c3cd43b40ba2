/**
 * Store daemons as processes beside upstreams whose status lines are spoilt.
 * Guards against a daemon that ends, a request without an answer, and the answer
 * of another request.
 */

import { connect, createServer, type Server, type Socket } from "node:net";
import { request } from "node:http";
import { afterAll, beforeAll, beforeEach, expect, test } from "vitest";
import { encodeFrame, FrameKind } from "../src/link/frames.ts";
import {
  CALLER_PORT,
  type Deployment,
  PEER_PORT,
  startDeployment,
} from "./platform/mesh.ts";

const TIMEOUT_MS = 800;
/** Time in which a final answer is due, in ms: that of the request, and as much for the work of a busy machine. */
const ANSWER_MS = 2_400;
const BODY = "answer";
/** Too large for the frames between daemons. */
const LARGE_BODY = "x".repeat(20_000);

let fleet: Deployment;
const servers: Server[] = [];
const sockets = new Set<Socket>();
/** Status lines, and what follows the head, by the request's id. */
const answers = new Map<string, { line: string; rest: string }>();
let count = 0;

beforeAll(async () => {
  // Requests at the second daemon are all served at the first one's upstream.
  fleet = await startDeployment(96, ["shop", "other"]);
  for (const { upstream } of fleet.hosts) {
    await upstream.close();
    const [host, port] = upstream.address.split(":") as [string, string];
    const server = createServer((socket) => {
      sockets.add(socket);
      socket.on("error", () => {});
      socket.on("data", (data) => serve(socket, data.toString()));
    });
    servers.push(server);
    await new Promise<void>((resolve) =>
      server.listen(Number(port), host, resolve)
    );
  }
});
/** Each case finds daemons that run, also where an earlier one has ended some. */
beforeEach(async () => {
  const ended = fleet.hosts.filter((it) => it.process.exitCode !== null);
  for (const host of ended) fleet.startDaemon(host);
  await Promise.all(ended.map((host) => fleet.waitUntilReady(host)));
});
afterAll(async () => {
  for (const socket of sockets) socket.destroy();
  for (const server of servers) server.close();
  await fleet.close();
});

function serve(socket: Socket, text: string): void {
  if (text.startsWith("GET /healthz")) {
    socket.write(
      "HTTP/1.1 200 OK\r\nx-vanillarock-server-load: 0,0,64,100\r\n" +
        "content-length: 0\r\n\r\n",
    );
    return;
  }
  for (const [, id] of text.matchAll(/x-vanillarock-attempt-id: (\S+)/gi)) {
    const { line, rest } = answers.get(id!) ??
      { line: "HTTP/1.1 200 OK", rest: `\r\n${BODY}` };
    socket.write(
      `${line}\r\nx-vanillarock-attempt-id: ${id}\r\n` +
        "x-vanillarock-response-signature: s\r\n" +
        `content-length: ${BODY.length}\r\n${rest}`,
    );
  }
}

interface Answer {
  readonly status: number;
  readonly text: string;
  readonly id: string | undefined;
}

function send(
  at: number,
  req: { id: string; method: string; body?: string },
): Promise<Answer> {
  return new Promise((resolve, reject) => {
    const out = request({
      host: fleet.hosts[at]!.ip,
      port: CALLER_PORT,
      method: req.method,
      path: "/order/1",
      agent: false,
      timeout: ANSWER_MS,
      headers: {
        host: "shop",
        "x-vanillarock-attempt-id": req.id,
        "x-vanillarock-timeout-ms": String(TIMEOUT_MS),
        ...(req.body !== undefined && { "content-length": req.body.length }),
      },
    }, (res) => {
      let text = "";
      res.on("data", (data) => text += data);
      res.on("end", () =>
        resolve({
          status: res.statusCode!,
          text,
          id: res.headers["x-vanillarock-attempt-id"] as string | undefined,
        }));
      res.on("error", reject);
    });
    out.on("timeout", () => out.destroy(new Error("no answer in time")));
    out.on("error", reject);
    out.end(req.body);
  });
}

/** The daemons run, and answer a sound request. */
async function expectSoundService(): Promise<void> {
  for (const at of [0, 1]) {
    const id = `sound-${count += 1}`;
    const answer = await send(at, { id, method: "POST", body: "x" });
    expect(answer).toEqual({ status: 200, text: BODY, id });
  }
  expect(fleet.hosts.map((it) => it.process.exitCode)).toEqual([null, null]);
}

const PLACES = [
  { at: 0, from: "its own host" },
  { at: 1, from: "another host" },
];
const METHODS = ["GET", "HEAD", "POST", "PUT", "DELETE"];
/** Those that the parser of Node.js takes, and some that it refuses. */
const SPOILT = [
  "000",
  "001",
  "042",
  "099",
  "101",
  "199",
  "600",
  "999",
  "20",
  "2000",
  "abc",
];

test.each(
  SPOILT.flatMap((status) =>
    METHODS.flatMap((method) =>
      PLACES.map((place) => ({ status, method, ...place }))
    )
  ),
)(
  "a response of status $status to a $method ends no daemon and is no success, at $from",
  async ({ status, method, at }) => {
    const id = `spoilt-${count += 1}`;
    answers.set(id, { line: `HTTP/1.1 ${status} Odd`, rest: `\r\n${BODY}` });
    const body = method === "POST" || method === "PUT" ? "x" : undefined;
    const answer = await send(at, { id, method, ...(body && { body }) });
    expect(answer.status).toBe(502);
    await expectSoundService();
  },
);

test.each(PLACES)(
  "a response of status 042 to a request that is too large for a frame ends no daemon, at $from",
  async ({ at }) => {
    const id = `spoilt-${count += 1}`;
    answers.set(id, { line: "HTTP/1.1 042 Odd", rest: `\r\n${BODY}` });
    const req = { id, method: "POST", body: LARGE_BODY };
    expect((await send(at, req)).status).toBe(502);
    await expectSoundService();
  },
);

const SWITCH = "connection: upgrade\r\nupgrade: odd\r\n";

test.each(
  METHODS.flatMap((method) =>
    ["101 Switching", "200 OK"].flatMap((line) =>
      PLACES.map((place) => ({ method, line, ...place }))
    )
  ),
)(
  "a $method whose upstream answers $line with an upgrade gets an answer, at $from",
  async ({ method, line, at }) => {
    const id = `upgrade-${count += 1}`;
    answers.set(id, {
      line: `HTTP/1.1 ${line}`,
      rest: `${SWITCH}\r\n${BODY}`,
    });
    const body = method === "POST" || method === "PUT" ? "x" : undefined;
    const { status } = await send(at, { id, method, ...(body && { body }) });
    expect(status).toBe(line === "200 OK" ? 200 : 502);
    await expectSoundService();
  },
);

const BEHIND = ["bytes", `HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n`, "\0"];

test.each(
  BEHIND.flatMap((bytes) => PLACES.map((place) => ({ bytes, ...place }))),
)(
  "a HEAD whose response is followed by $bytes gets its answer, at $from",
  async ({ bytes, at }) => {
    const id = `head-${count += 1}`;
    answers.set(id, { line: "HTTP/1.1 200 OK", rest: `\r\n${bytes}` });
    const answer = await send(at, { id, method: "HEAD" });
    expect(answer).toEqual({ status: 200, text: "", id });
    await expectSoundService();
  },
);

test.each(
  ["042", "101"].flatMap((status) =>
    PLACES.map((place) => ({ status, ...place }))
  ),
)(
  "callers that pipeline get their own answers beside one of status $status, at $from",
  async ({ status, at }) => {
    const ids = [1, 2, 3, 4].map(() => `piped-${count += 1}`);
    answers.set(ids[1]!, {
      line: `HTTP/1.1 ${status} Odd`,
      rest: `\r\n${BODY}`,
    });
    const text = await pipeline(at, ids);
    const heads = text.split("HTTP/1.1 ").slice(1);
    expect(heads.map((head) => head.slice(0, 3)))
      .toEqual(["200", "502", "200", "200"]);
    const found = heads.map((head) =>
      /x-vanillarock-attempt-id: (\S+)/i.exec(head)?.[1]
    );
    expect(found).toEqual(ids);
    await expectSoundService();
  },
);

/** Sends reads on one connection at once; resolves to what came in time. */
function pipeline(at: number, ids: readonly string[]): Promise<string> {
  const { ip } = fleet.hosts[at]!;
  return new Promise((resolve) => {
    let text = "";
    const socket = connect(CALLER_PORT, ip, () => {
      for (const id of ids) {
        socket.write(
          `GET /read/1 HTTP/1.1\r\nhost: shop\r\n` +
            `x-vanillarock-attempt-id: ${id}\r\n` +
            `x-vanillarock-timeout-ms: ${TIMEOUT_MS}\r\n\r\n`,
        );
      }
    });
    socket.on("error", () => {});
    socket.on("data", (data) => {
      text += data.toString();
      if (text.split("HTTP/1.1 ").length > ids.length) socket.end();
    });
    socket.on("close", () => resolve(text));
    socket.setTimeout(ANSWER_MS, () => socket.destroy());
  });
}

test.each(["0", "42", "101", "1e3", "200.5", '"200"', "null"])(
  "a peer's reply of status %s in a frame is no answer and ends no daemon",
  async (status) => {
    // The second daemon's requests go to a peer in this process in place of the first daemon.
    const [first] = fleet.hosts;
    const ended = new Promise((resolve) =>
      first!.process.once("exit", resolve)
    );
    first!.process.kill("SIGKILL");
    await ended;
    const peer = await startPeer(first!.ip, status);
    try {
      const id = `peer-${count += 1}`;
      const answer = await send(1, { id, method: "POST", body: "x" });
      expect([502, 504]).toContain(answer.status);
    } finally {
      await peer.close();
      fleet.startDaemon(first!);
      await fleet.waitUntilReady(first!);
    }
    await expectSoundService();
  },
);

/** A peer that grants reservations and answers each run with the status. */
async function startPeer(ip: string, status: string) {
  const open = new Set<Socket>();
  const server = createServer((socket) => {
    open.add(socket);
    socket.on("error", () => {});
    socket.on("data", (data) => {
      const text = data.toString("latin1");
      const ticket = /"ticket":"([^"]+)"/.exec(text)?.[1];
      if (ticket === undefined) return void socket.destroy();
      const isRun = !text.includes('"step":"reserve"');
      const head = isRun
        ? `{"meta":{},"ticket":"${ticket}","headers":{},"status":${status}}`
        : `{"meta":{},"ticket":"${ticket}","grant":"g","key":""}`;
      socket.write(encodeFrame(FrameKind.Reply, head));
    });
  });
  await new Promise<void>((resolve) => server.listen(PEER_PORT, ip, resolve));
  return {
    close: () => {
      for (const socket of open) socket.destroy();
      return new Promise((resolve) => server.close(resolve));
    },
  };
}
