/**
 * Store daemons as processes that are held up while an upstream's response ends.
 * Guards against a response without a length whose reset is taken for its end.
 */

import { createServer, type Server, type Socket } from "node:net";
import { afterAll, beforeAll, expect, test } from "vitest";
import {
  type CallerResponse,
  type Deployment,
  startDeployment,
} from "./platform/mesh.ts";

const BODY = "payment of 1200 pesos is booked under number 4711";
const TIMEOUT_MS = 2_000;
const WORK_MS = 50;
/** From the first bytes to the end, in ms, and as much until the daemon goes on. */
const END_AFTER_MS = 100;

enum End {
  Close = "closed",
  Reset = "reset",
}
enum Framing {
  None = "no length",
  Length = "a length",
  Chunks = "chunks",
}

interface Plan {
  readonly framing: Framing;
  readonly end: End;
  /** Share of the body that is sent. */
  readonly share: number;
  /** Called before the first bytes are sent, and after the end. */
  hold(): void;
  goOn(): void;
}

let fleet: Deployment;
let plan: Plan;
let count = 0;
const servers: Server[] = [];
const sockets = new Set<Socket>();

beforeAll(async () => {
  // Requests at the second daemon are all served at the first one's upstream.
  fleet = await startDeployment(95, ["shop", "other"]);
  for (const { upstream } of fleet.hosts) {
    await upstream.close();
    const [host, port] = upstream.address.split(":") as [string, string];
    const server = createServer((socket) => {
      sockets.add(socket);
      socket.on("error", () => {});
      socket.on("data", (data) => void serve(socket, data.toString()));
    });
    servers.push(server);
    await new Promise<void>((resolve) =>
      server.listen(Number(port), host, resolve)
    );
  }
});
afterAll(async () => {
  for (const socket of sockets) socket.destroy();
  for (const server of servers) server.close();
  await fleet.close();
});

async function serve(socket: Socket, text: string): Promise<void> {
  if (text.startsWith("GET /healthz")) {
    socket.write(
      "HTTP/1.1 200 OK\r\nx-vanillarock-server-load: 0,0,64,100\r\n" +
        "content-length: 0\r\n\r\n",
    );
    return;
  }
  const id = /x-vanillarock-attempt-id: (\S+)/i.exec(text)?.[1];
  if (id === undefined) return;
  await pause(WORK_MS);
  plan.hold();
  await pause(WORK_MS);
  socket.write(createBytes(id, plan));
  await pause(END_AFTER_MS);
  if (plan.end === End.Reset) socket.resetAndDestroy();
  else socket.end();
  await pause(END_AFTER_MS);
  plan.goOn();
}

function createBytes(id: string, { framing, share }: Plan): string {
  const head = "HTTP/1.1 200 OK\r\nconnection: close\r\n" +
    `x-vanillarock-attempt-id: ${id}\r\n` +
    "x-vanillarock-response-signature: s\r\n";
  const sent = BODY.slice(0, BODY.length * share);
  switch (framing) {
    case Framing.None:
      return `${head}\r\n${sent}`;
    case Framing.Length:
      return `${head}content-length: ${BODY.length}\r\n\r\n${sent}`;
    case Framing.Chunks:
      return `${head}transfer-encoding: chunked\r\n\r\n` +
        `${sent.length.toString(16)}\r\n${sent}\r\n` +
        (share === 1 ? "0\r\n\r\n" : "");
  }
}

const HELD = [
  { held: 0, at: 0, who: "the daemon of both" },
  { held: 0, at: 1, who: "the upstream's daemon" },
  { held: 1, at: 1, who: "the caller's daemon" },
];
const METHODS = ["GET", "POST"] as const;

async function send(
  method: "GET" | "POST",
  { held, at }: { held: number; at: number },
  what: Pick<Plan, "framing" | "end" | "share">,
): Promise<CallerResponse | undefined> {
  const { process } = fleet.hosts[held]!;
  plan = {
    ...what,
    hold: () => void process.kill("SIGSTOP"),
    goOn: () => void process.kill("SIGCONT"),
  };
  const req = {
    id: `held-${count += 1}`,
    path: "/order/1",
    method,
    timeoutMs: TIMEOUT_MS,
    ...(method === "POST" && { body: "x" }),
  };
  const res = await fleet.call(fleet.hosts[at]!, req).catch(() => undefined);
  process.kill("SIGCONT");
  return res;
}

test.each(
  HELD.flatMap((held) =>
    METHODS.flatMap((method) =>
      [Framing.None, Framing.Length, Framing.Chunks].map((framing) => ({
        method,
        framing,
        ...held,
      }))
    )
  ),
)(
  "half a response to a $method with $framing that is reset while $who is held up is no success",
  async ({ method, framing, ...held }) => {
    const what = { framing, end: End.Reset, share: 0.5 };
    const res = await send(method, held, what);
    expect(res?.status).not.toBe(200);
  },
);

test.each(HELD)(
  "a whole response without a length that is reset while $who is held up is no success",
  async (held) => {
    const what = { framing: Framing.None, end: End.Reset, share: 1 };
    expect((await send("POST", held, what))?.status).not.toBe(200);
  },
);

test.each(
  HELD.flatMap((held) =>
    [Framing.None, Framing.Length, Framing.Chunks].map((framing) => ({
      framing,
      ...held,
    }))
  ),
)(
  "a whole response with $framing that is closed while $who is held up is passed on",
  async ({ framing, ...held }) => {
    const what = { framing, end: End.Close, share: 1 };
    const res = await send("POST", held, what);
    expect([res?.status, res?.text]).toEqual([200, BODY]);
  },
);

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
