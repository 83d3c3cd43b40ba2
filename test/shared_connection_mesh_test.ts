/**
 * Store daemons as processes, whose callers send several requests over one
 * connection. Guards against answers that depend on what else it carries.
 */

import { afterAll, afterEach, beforeAll, expect, test } from "vitest";
import {
  CALLER_PORT,
  type Deployment,
  type DeploymentHost,
  startDeployment,
} from "./platform/mesh.ts";
import { UpstreamMode } from "./platform/upstream_stand_in.ts";
import { openPipe, type Pipe } from "./support/pipelining_caller.ts";

const WORK_MS = 300;

let fleet: Deployment;
let front: DeploymentHost;
let pipe: Pipe;
beforeAll(async () => {
  fleet = await startDeployment(190, ["shop", "shop"]);
  front = fleet.hosts[0]!;
}, 30_000);
afterEach(() => pipe.close());
afterAll(() => fleet.close());

function countRuns(id: string): number {
  return fleet.hosts.flatMap(({ upstream }) => upstream.ran)
    .filter((it) => it === id).length;
}

async function begin(): Promise<void> {
  for (const { upstream } of fleet.hosts) upstream.workMs = WORK_MS;
  pipe = await openPipe(front.ip, CALLER_PORT);
}

test.each([
  { name: "no request", bytes: "BLAH BLAH\r\n\r\n" },
  { name: "CONNECT", bytes: "CONNECT a:1 HTTP/1.1\r\nhost: a\r\n\r\n" },
  { name: "HTTP/2", bytes: "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" },
  {
    name: "a head that is too large",
    bytes: `GET / HTTP/1.1\r\nhost: a\r\na: ${"x".repeat(200_000)}\r\n\r\n`,
  },
])(
  "a read and an order get their answers though $name follows them",
  async ({ name, bytes }) => {
    await begin();
    const ids = [`r-${name}`, `o-${name}`].map((it) => it.replace(/\W/g, "-"));
    const answers = [
      pipe.send({ id: ids[0]! }),
      pipe.send({ id: ids[1]!, path: "/order/1", method: "POST", body: "x" }),
    ];
    await new Promise((resolve) => setTimeout(resolve, WORK_MS / 3));
    pipe.write(bytes);
    const all = await Promise.all(answers);
    expect(all.map((it) => it.status)).toEqual([200, 200]);
    const lines = fleet.hosts.flatMap((it) => it.lines)
      .filter((line) => ids.some((id) => line.includes(id)));
    expect(ids.map(countRuns), lines.join("\n")).toEqual([1, 1]);
  },
);

test("a request without a host is refused, those around it get their answers", async () => {
  await begin();
  const answers = [pipe.send({ id: "host-1" })];
  pipe.write("GET /read/1 HTTP/1.1\r\n\r\n");
  answers.push(pipe.send({ id: "host-2" }), pipe.send({ id: "host-3" }));
  const all = await Promise.all(answers);
  expect(all.map((it) => it.status)).toEqual([200, 400, 200]);
  expect(["host-1", "host-2", "host-3"].map(countRuns)).toEqual([1, 1, 1]);
});

test("requests over HTTP/1.0 that keep the connection get their answers", async () => {
  await begin();
  const paths = ["10-1", "10-2", "10-3"];
  let text = "";
  for (const id of paths) {
    text += `GET /read/1 HTTP/1.0\r\nhost: shop\r\nconnection: keep-alive\r\n` +
      `x-vanillarock-attempt-id: ${id}\r\n\r\n`;
  }
  pipe.write(text);
  for (let i = 0; i < 100; i++) {
    if ((pipe.getStray().match(/ 200 OK/g) ?? []).length === 3) break;
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
  expect(pipe.getStray().match(/HTTP\/1\.1 \d+/g)).toEqual(
    Array(3).fill("HTTP/1.1 200"),
  );
});

test("answers without a length arrive whole on one connection", async () => {
  await begin();
  for (const { upstream } of fleet.hosts) upstream.mode = UpstreamMode.Unframed;
  try {
    const ids = ["len-1", "len-2", "len-3"];
    const all = await Promise.all(ids.map((id) => pipe.send({ id })));
    expect(all.map((it) => [it.status, it.isWhole])).toEqual(
      Array(3).fill([200, true]),
    );
    // Their upstream's connections end; that of their caller doesn't tell their ends.
    expect(all.map((it) => it.headers["connection"])).toEqual(
      Array(3).fill("keep-alive"),
    );
    expect(all.map((it) => it.headers["content-length"])).toEqual(
      all.map((it) => String(it.body.length)),
    );
  } finally {
    for (const { upstream } of fleet.hosts) {
      upstream.mode = UpstreamMode.Serving;
    }
  }
});

test("an answer that is cut leaves the others their answers", async () => {
  await begin();
  const [, second] = fleet.hosts as [DeploymentHost, DeploymentHost];
  const ids = ["cut-1", "cut-2", "cut-3", "cut-4"];
  for (const { upstream } of fleet.hosts) {
    upstream.workMs = 50;
    upstream.createBody = (id) =>
      id.startsWith("cut-") ? "x".repeat(900_000) : "small";
  }
  const answers = ids.map((id) => pipe.send({ id }));
  await new Promise((resolve) => setTimeout(resolve, 60));
  second.process.kill("SIGKILL");
  const all = await Promise.all(answers);
  const lost = all.filter((it) => it.status === undefined || !it.isWhole);
  expect(lost).toEqual([]);
  expect(all.filter((it) => it.status === 200 && it.body.length !== 900_000))
    .toEqual([]);
});

test("no answer goes to another request though one asks for another protocol", async () => {
  await begin();
  const headers = { connection: "upgrade", upgrade: "h2c" };
  const all = await Promise.all([
    pipe.send({ id: "up-0" }),
    pipe.send({ id: "up-1", headers }),
    pipe.send({ id: "up-2" }),
    new Promise<void>((resolve) => setTimeout(resolve, 50)).then(() =>
      pipe.send({ id: "up-3" })
    ),
  ]);
  const answered = all.filter((it) => it.isWhole).map((it) => it.id);
  const ran = all.map((it) => it.id).filter((id) => countRuns(id) === 1);
  expect(answered).toEqual(ran);
  expect(answered).toEqual(["up-0", "up-1"]);
  expect(all.map((it) => it.isBehindClose)).toEqual([
    false,
    false,
    true,
    true,
  ]);
});
