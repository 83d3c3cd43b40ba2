/** Requests that end upstreams: what a daemon knows of them, decides and tells others. */

import { Buffer } from "node:buffer";
import { type AddressInfo, createServer, type Socket } from "node:net";
import fc from "fast-check";
import { expect, test } from "vitest";
import {
  type CrashSuspects,
  createCrashSuspects,
  type Suspect,
} from "../src/core/crash_suspects.ts";
import { createCounters } from "../src/core/counters.ts";
import { Diagnostics } from "../src/core/diagnostics.ts";
import {
  type Arrival,
  Execution,
  GatewayActionKind,
  GatewayMessageKind,
} from "../src/core/types.ts";
import { createSignature } from "../src/daemon/request_signature.ts";
import { createSuspectExchange } from "../src/daemon/suspect_exchange.ts";
import { createUpstreamEnds } from "../src/daemon/upstream_ends.ts";
import {
  createArrival,
  createTestGateway,
  sendArrival,
} from "../src/lab/test_gateway.ts";
import { decodeSuspects, encodeSuspects } from "../src/link/suspects_codec.ts";
import type { GuardLink } from "../src/link/types.ts";
import { decodeVerdict, encodeVerdict } from "../src/link/wire.ts";
import { createTestHost } from "./support/core_host.ts";
import { replayFatal } from "./support/fatal_replay.ts";

const FATAL = arrive("fatal");

function arrive(signature: string): Arrival {
  return createArrival("r", { signature: () => signature });
}

function createTable(origin = "front") {
  const host = createTestHost();
  const observed: Suspect[] = [];
  const changes: boolean[] = [];
  const suspects = createCrashSuspects(host, {
    origin,
    onObserved: (suspect) => void observed.push(suspect),
    onChanged: (_, isQuarantined) => void changes.push(isQuarantined),
  });
  return { host, suspects, observed, changes };
}

function recordEnds(suspects: CrashSuspects, ends: readonly string[]): void {
  for (const end of ends) suspects.recordEnd(FATAL, end);
}

test("a request that ended three upstreams is refused, and others are not", () => {
  const { suspects, changes } = createTable();
  recordEnds(suspects, ["a-1", "b-1", "b-1"]);
  expect(suspects.tryGetQuarantineMs(FATAL)).toBeUndefined();
  recordEnds(suspects, ["a-2"]);
  expect(suspects.tryGetQuarantineMs(FATAL)).toBeGreaterThan(0);
  expect(suspects.tryGetQuarantineMs(arrive("other"))).toBeUndefined();
  expect(changes).toEqual([true]);
});

test("one end is counted once, whichever callers' requests ran there", () => {
  const { suspects } = createTable();
  const ends = ["a-1@front", "a-1@back", "b-1@front", "b-1@back"];
  suspects.merge([{ signature: "fatal", ends, cleared: [] }]);
  expect(suspects.tryGetQuarantineMs(FATAL)).toBeUndefined();
});

test("a success clears the ends that callers of the same service saw before it", () => {
  const { host, suspects, observed, changes } = createTable();
  recordEnds(suspects, ["a-1", "b-1"]);
  suspects.recordSuccess(FATAL);
  host.advance(10_000);
  recordEnds(suspects, ["a-2", "b-2"]);
  expect(suspects.tryGetQuarantineMs(FATAL)).toBeUndefined();
  recordEnds(suspects, ["a-3"]);
  expect(suspects.tryGetQuarantineMs(FATAL)).toBeGreaterThan(0);
  suspects.recordSuccess(FATAL);
  expect(suspects.tryGetQuarantineMs(FATAL)).toBeUndefined();
  expect(changes).toEqual([true, false]);
  expect(observed.at(-1)?.cleared).toHaveLength(5);
});

test("an end says nothing about a request that has just succeeded, but later ones do", () => {
  const { host, suspects } = createTable();
  suspects.recordSuccess(FATAL);
  recordEnds(suspects, ["a-1", "b-1", "c-1"]);
  expect(suspects.size()).toBe(0);
  host.advance(10_000);
  recordEnds(suspects, ["a-2", "b-2", "c-2"]);
  expect(suspects.tryGetQuarantineMs(FATAL)).toBeGreaterThan(0);
});

test("a success of another service's caller leaves a request refused", () => {
  const { suspects } = createTable("back");
  const ends = ["a-1@front", "b-1@front", "c-1@front"];
  suspects.merge([{ signature: "fatal", ends, cleared: [] }]);
  suspects.recordSuccess(FATAL);
  expect(suspects.tryGetQuarantineMs(FATAL)).toBeGreaterThan(0);
});

test("a request may run again after some minutes, and one more end has it refused", () => {
  const { host, suspects } = createTable();
  recordEnds(suspects, ["a-1", "b-1", "c-1"]);
  host.advance(suspects.tryGetQuarantineMs(FATAL)!);
  expect(suspects.tryGetQuarantineMs(FATAL)).toBeUndefined();
  recordEnds(suspects, ["a-2"]);
  expect(suspects.tryGetQuarantineMs(FATAL)).toBeGreaterThan(0);
});

test("a daemon keeps a bounded number of suspects, the newest ones", () => {
  const { suspects } = createTable();
  for (let i = 0; i < 3_000; i++) suspects.recordEnd(arrive(`r-${i}`), "a-1");
  expect(suspects.size()).toBe(1_024);
  expect(suspects.find(["r-2999"])).toHaveLength(1);
  for (let i = 0; i < 100; i++) suspects.recordEnd(FATAL, `a-${i}`);
  expect(suspects.find(["fatal"])[0]!.ends).toHaveLength(16);
  expect(suspects.tryGetQuarantineMs(FATAL)).toBeGreaterThan(0);
});

test("daemons that were told the same know the same, in any order", () => {
  const end = fc.constantFrom("a-1@x", "a-2@x", "b-1@x", "b-1@y", "c-1@y");
  const told = fc.record({
    signature: fc.constantFrom("fatal", "other"),
    ends: fc.array(end, { maxLength: 3 }),
    cleared: fc.array(end, { maxLength: 2 }),
  });
  const pair = fc.array(told, { maxLength: 8 }).chain((list) =>
    fc.tuple(
      fc.constant(list),
      fc.shuffledSubarray(list, { minLength: list.length }),
    )
  );
  fc.assert(fc.property(pair, ([one, other]) => {
    const [a, b] = [createTable(), createTable()];
    a.suspects.merge(one);
    b.suspects.merge([...other, ...other]);
    for (const signature of ["fatal", "other"]) {
      const isRefused = ({ suspects }: typeof a) =>
        suspects.tryGetQuarantineMs(arrive(signature)) !== undefined;
      expect(isRefused(a)).toBe(isRefused(b));
    }
  }));
});

const LOAD = {
  gateways: 14,
  upstreams: 3,
  fatalPerSecond: 10,
  otherPerSecond: 60,
  seconds: 20,
  shareMs: 20,
};

test("a fatal request at any daemon: upstreams end only until it is known", () => {
  const actual = replayFatal(LOAD);
  const baseline = replayFatal({ ...LOAD, isProtected: false });
  expect(actual.laterArrivals).toBeLessThanOrEqual(3);
  expect(actual.ends).toBeLessThanOrEqual(6);
  expect(baseline.ends).toBeGreaterThan(12);
  // All are served but those of the first seconds, when no upstream is left.
  const lostSeconds = 4;
  const served = (LOAD.seconds - lostSeconds) / LOAD.seconds;
  expect(actual.othersServed / actual.others).toBeGreaterThan(served);
  expect(actual.othersQuarantined).toBe(0);
  expect(baseline.othersServed / baseline.others).toBeLessThan(served);
});

test("an outage of all upstreams: what callers often ask for is served after it", () => {
  const outageAt = 5_000;
  const load = { ...LOAD, fatalPerSecond: 0, otherPerSecond: 200 };
  const actual = replayFatal({ ...load, outageAt });
  expect(actual.ends).toBe(3);
  expect(actual.othersQuarantined).toBe(0);
});

test("a fatal request while daemons restart: what others know reaches them", () => {
  const actual = replayFatal({ ...LOAD, restartsAt: 8_000 });
  expect(actual.laterArrivals).toBeLessThanOrEqual(3);
});

function createProtectedGateway() {
  const { suspects } = createTable();
  const candidates = ["a", "b", "c", "d"].map((host) => ({
    host,
    failureDomain: "east",
  }));
  const gateway = createTestGateway(createTestHost(), {
    suspects,
    getCandidates: () => candidates,
    retriesFailureResponses: true,
    retryAllowance: { recordRequest: () => {}, tryAcquire: () => true },
  });
  return { suspects, gateway };
}

const ENDED = {
  execution: Execution.MayHaveRun,
  diagnostic: Diagnostics.upstream_ended,
};

test("a gateway refuses such a request as not run, and tells when it may come back", () => {
  const { suspects, gateway } = createProtectedGateway();
  recordEnds(suspects, ["a-1", "b-1", "c-1"]);
  expect(sendArrival(gateway, "r", FATAL)).toMatchObject([{
    kind: GatewayActionKind.Finish,
    verdict: {
      execution: Execution.NotRun,
      diagnostic: Diagnostics.request_quarantined,
      retryAfterMs: suspects.tryGetQuarantineMs(FATAL),
    },
  }]);
});

test("a gateway retries a request whose upstream ended only until it is refused", () => {
  const { suspects, gateway } = createProtectedGateway();
  recordEnds(suspects, ["x-1", "y-1"]);
  sendArrival(gateway, "r", FATAL);
  const verdict = { ...ENDED, end: "z-1" };
  const kind = GatewayMessageKind.Refused;
  expect(gateway.handle({ kind, id: "r", attempt: 1, verdict }))
    .toMatchObject([{
      kind: GatewayActionKind.Finish,
      verdict: {
        execution: Execution.MayHaveRun,
        diagnostic: Diagnostics.request_quarantined,
      },
    }]);
});

test("a failure response that is ready is delivered although the request is refused by now", () => {
  const { suspects, gateway } = createProtectedGateway();
  sendArrival(gateway, "r", FATAL);
  recordEnds(suspects, ["a-1", "b-1", "c-1"]);
  const kind = GatewayMessageKind.ResponseReceived;
  const ticket = gateway.getTicket("r", 1);
  expect(gateway.handle({ kind, id: "r", attempt: 1, ticket, status: 500 }))
    .toEqual([{ kind: GatewayActionKind.Deliver, id: "r", attempt: 1 }]);
});

test("a verdict names the end, and earlier versions take it for a lost response", () => {
  const text = encodeVerdict({ ...ENDED, end: "a#1-1" });
  expect(decodeVerdict(text).unwrap()).toEqual({ ...ENDED, end: "a#1-1" });
  expect(JSON.parse(text).reason).toBe("upstream_lost");
});

test("suspects are read from another daemon only if they are well-formed and few", () => {
  const suspect = { signature: "s", ends: ["a-1@x"], cleared: [] };
  expect(decodeSuspects(encodeSuspects([suspect])).unwrap())
    .toEqual([suspect]);
  for (
    const bad of [
      "",
      "{}",
      '[{"signature":""}]',
      encodeSuspects(Array(2_000).fill(suspect)),
    ]
  ) {
    expect(decodeSuspects(bad).err).toBe(true);
  }
});

test("a signature depends on method, hostname, path and body only", () => {
  const req = { method: "GET", headers: { host: "shop" }, url: "/a?b=1" };
  const sign = (change = {}, body = "x") =>
    createSignature({ ...req, ...change }, Buffer.from(body))();
  expect(sign({ headers: { host: "shop", "x-other": "1" } })).toBe(sign());
  const others = [
    sign({ method: "POST" }),
    sign({ headers: { host: "bar" } }),
    sign({ url: "/a?b=2" }),
    sign({}, "y"),
  ];
  expect(new Set([sign(), ...others]).size).toBe(5);
});

/** Exchanges of daemons whose messages the test may lose. */
function createExchanges(ids: readonly string[], lost = new Set<string>()) {
  const members = new Map(ids.map((self) => {
    const suspects = createCrashSuspects(createTestHost(), {
      origin: "front",
      onObserved: (suspect) => exchange.report(suspect),
      onChanged: () => {},
    });
    const exchange = createSuspectExchange({
      self,
      suspects,
      counters: createCounters(),
      logger: { debug() {}, info() {}, warn() {}, error() {} },
      getReady: () => ids,
      getListed: () => ids,
      getHosts: () => ids,
      getLink: (to) =>
        ({
          exchangeSuspects: (body: string) =>
            Promise.resolve(
              lost.has(to) || lost.has(self)
                ? undefined
                : members.get(to)!.exchange.receive(body),
            ),
        }) as GuardLink,
    });
    return [self, { suspects, exchange }];
  }));
  return members;
}

const HOSTS = Array.from({ length: 40 }, (_, i) => `h${i}`);

test("ends that many daemons observe, one each, are known to all", async () => {
  const members = createExchanges(HOSTS);
  for (const [i, id] of ["h1", "h2", "h3"].entries()) {
    members.get(id)!.suspects.recordEnd(FATAL, `u${i}-1`);
  }
  await expect.poll(() => countRefusing(members)).toBe(HOSTS.length);
});

test("a daemon that was cut off is told later, and one that starts asks", async () => {
  const lost = new Set(["h7"]);
  const members = createExchanges(HOSTS, lost);
  recordEnds(members.get("h1")!.suspects, ["a-1", "b-1", "c-1"]);
  await expect.poll(() => countRefusing(members)).toBe(HOSTS.length - 1);
  lost.clear();
  await expect.poll(() => countRefusing(members), { timeout: 3_000 })
    .toBe(HOSTS.length);
  const [started] = createExchanges(["h0", ...HOSTS]).values();
  const { suspects, exchange } = started!;
  expect(suspects.size()).toBe(0);
  exchange.receive(members.get("h3")!.exchange.receive("[]")!);
  expect(suspects.getQuarantined()).toHaveLength(1);
});

function countRefusing(members: ReturnType<typeof createExchanges>): number {
  return [...members.values()].filter(({ suspects }) =>
    suspects.getQuarantined().length === 1
  ).length;
}

test("an upstream that lost a response has not ended; one that refuses connections has", async () => {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => void sockets.add(socket));
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const clock = createTestHost();
  const ends = createUpstreamEnds(`127.0.0.1:${port}`, {
    clock,
    incarnation: "d#1",
  });
  expect(await ends.tryGetEnd(0)).toBeUndefined();
  for (const socket of sockets) socket.destroy();
  await new Promise((resolve) => server.close(resolve));
  clock.advance(100);
  const [one, other] = await Promise.all([10, 90].map(ends.tryGetEnd));
  expect([one, other]).toEqual(["d#1-1", "d#1-1"]);
  clock.advance(5);
  // On a connection that was about to close.
  expect(await ends.tryGetEnd(103)).toBe("d#1-1");
  // Whatever came in between, a request sent after an end was taken by another start.
  clock.advance(500);
  expect(await ends.tryGetEnd(400)).toBe("d#1-2");
  expect(await ends.tryGetEnd(410)).toBe("d#1-2");
});

test("an upstream that closes new connections at once is ending", async () => {
  const server = createServer((socket) => socket.destroy());
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const ends = createUpstreamEnds(`127.0.0.1:${port}`, {
    clock: createTestHost(),
    incarnation: "d#1",
  });
  expect(await ends.tryGetEnd(0)).toBe("d#1-1");
  await new Promise((resolve) => server.close(resolve));
});
