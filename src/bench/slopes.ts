/**
 * Measures how memory, time and message sizes grow at 1, 2, 4 and 8 times a
 * base size, for docs/CAPACITY.md.
 * node --expose-gc dist/bench/slopes.js
 */

import { Buffer } from "node:buffer";
import { createServer } from "node:http";
import { performance } from "node:perf_hooks";
import process from "node:process";
import { ok } from "neverthrow";
import { v7 } from "uuid";
import { createAccountDirectory } from "../client_account/directory.ts";
import { decodeAccountDocument } from "../client_account/decode.ts";
import { createConfigState } from "../core/config_state.ts";
import {
  ControlKind,
  ListedState,
  type MemberAnnouncement,
} from "../core/config_types.ts";
import { createKeyTable, KeyState } from "../core/key_table.ts";
import { createLoadTable } from "../core/load_table.ts";
import { createMembership } from "../core/membership.ts";
import { createGossip } from "../core/gossip.ts";
import {
  GatewayActionKind,
  GatewayMessageKind,
  GuardMessageKind,
  Repeatability,
} from "../core/types.ts";
import { createGateway } from "../core/gateway.ts";
import { createGuard } from "../core/guard.ts";
import { ChoicePolicy } from "../core/choice.ts";
import { createClock } from "../daemon/clock.ts";
import { createCoreHost } from "../daemon/core_host.ts";
import { encodeEnvelope } from "../link/control_codec.ts";
import { createHttpLink } from "../link/http_link.ts";
import type { GuardLink } from "../link/types.ts";

const LINK_PORT = 28_001;
const MULTIPLES = [1, 2, 4, 8] as const;
const host = createCoreHost(createClock());

async function main(): Promise<void> {
  memory("member known by list and announcement", 300, (n) => {
    const view = createView();
    fillMembers(view, n);
    return view;
  });
  memory("upstream in the load table", 2_400, (n) => {
    const table = createLoadTable(host);
    for (let index = 0; index < n; index++) {
      table.recordSend(`host-${index}`);
      table.recordReport(createReport(`host-${index}`));
    }
    return table;
  });
  memory(
    "key record with a response of 1 KB",
    1_000,
    (n) => createFilledKeyTable(n, 1_024),
  );
  memory("key record, sealed", 5_000, (n) => createFilledKeyTable(n, 0));
  memory("client account of four services", 250, createAccounts);
  time("request at a gateway, by candidates", 3, measureGatewayMicros);
  time("request at a guard, by accounts", 1, measureGuardMicros);
  time("gossip round, by known members", 300, measureGossipRoundMicros);
  bytes();
  await links();
}

/** Prints the heap bytes per entry that `create` retains, for each size. */
function memory(
  label: string,
  base: number,
  create: (n: number) => unknown,
): void {
  const cells = MULTIPLES.map((multiple) => {
    const n = base * multiple;
    create(n);
    collectGarbage();
    const before = process.memoryUsage().heapUsed;
    const retained = create(n);
    collectGarbage();
    const used = process.memoryUsage().heapUsed - before;
    // This use keeps the entries reachable until the heap has been measured.
    return `${n}: ${(used / n).toFixed(0)} B each${
      retained === undefined ? "!" : ""
    }`;
  });
  print(`memory per ${label}: ${cells.join(", ")}`);
}

/** Prints the µs that `run` returns, for each size, after one warm-up run. */
function time(
  label: string,
  base: number,
  run: (n: number) => number,
): void {
  const cells = MULTIPLES.map((multiple) => {
    const n = base * multiple;
    run(n);
    return `${n}: ${run(n).toFixed(1)} µs`;
  });
  print(`time per ${label}: ${cells.join(", ")}`);
}

/** Prints the encoded size of control messages. */
function bytes(): void {
  const view = createView();
  fillMembers(view, 10);
  const msg = {
    kind: ControlKind.Hello as const,
    word: createAnnouncement("boards-1"),
    digest: "deadbeef-deadbeef",
    wantsReply: true,
    words: view.getRecentAnnouncements(4),
  };
  const hello =
    encodeEnvelope({ from: createAnnouncement("boards-1"), msg }).length;
  print(`bytes of a hello with four announcements: ${hello}`);
  for (const multiple of MULTIPLES) {
    const n = 100 * multiple;
    const revisions = Array.from({ length: n }, (_, index) => ({
      key: `account/account-${index}`,
      revision: 100_000 + index,
    }));
    const index = { kind: ControlKind.Index as const, revisions };
    const size = encodeEnvelope({
      from: createAnnouncement("boards-1"),
      msg: index,
    });
    print(`bytes of an index of ${n} documents: ${size.length}`);
  }
}

/** Prints the memory of a link, with both ends of its one connection. */
async function links(): Promise<void> {
  const server = createServer((req, res) => {
    req.resume();
    res.end();
  });
  await new Promise<void>((resolve) =>
    server.listen(LINK_PORT, "127.0.0.1", resolve)
  );
  const cells: string[] = [];
  for (const multiple of MULTIPLES) {
    const n = 50 * multiple;
    collectGarbage();
    const before = process.memoryUsage();
    const open = Array.from({ length: n }, createLink);
    await Promise.all(open.map((link) => link.probe()));
    collectGarbage();
    const after = process.memoryUsage();
    const used = after.heapUsed + after.external - before.heapUsed -
      before.external;
    cells.push(`${n}: ${(used / n / 1_000).toFixed(1)} KB each`);
    await Promise.all(open.map((link) => link.close()));
  }
  server.close();
  print(`memory per link, both ends of its connection: ${cells.join(", ")}`);
}

function createLink(): GuardLink {
  return createHttpLink({
    address: `127.0.0.1:${LINK_PORT}`,
    self: "boards-1",
    peer: "boards-2",
    connections: 64,
    getRevisions: () => "1-1",
    onReplyMetadata: () => {},
    onLinkError: () => {},
  });
}

/** Creates a key table of n records; those without a response are sealed. */
function createFilledKeyTable(n: number, answerBytes: number) {
  const table = createKeyTable(host, {
    home: "orders-1",
    incarnation: v7(),
    capacity: n,
  });
  for (let index = 0; index < n; index++) {
    const record = table.open(table.issue("karaca"), "f".repeat(43));
    record.state = answerBytes > 0 ? KeyState.Answered : KeyState.Sealed;
    if (answerBytes === 0) continue;
    const body = Buffer.alloc(answerBytes, index % 256).toString("base64");
    record.response = { status: 200, contentType: "application/json", body };
  }
  return table;
}

function createAccounts(n: number) {
  const directory = createAccountDirectory();
  directory.apply(decodeAccountDocument(TEMPLATE, "template").unwrap());
  for (let index = 0; index < n; index++) {
    const text = ACCOUNT.replaceAll("NAME", `account-${index}`);
    directory.apply(decodeAccountDocument(text, "account").unwrap());
  }
  return directory;
}

/** Returns the time of one request at a gateway with n candidates, in µs. */
function measureGatewayMicros(n: number): number {
  const candidates = Array.from({ length: n }, (_, index) => ({
    host: `boards-${index}`,
    failureDomain: `d${index % 3}`,
  }));
  const gateway = createGateway(host, {
    self: "boards-0",
    incarnation: "i",
    maxAttempts: 4,
    reserveTimeoutMs: 250,
    suspectAfterMs: 2_000,
    chooser: {
      policy: ChoicePolicy.ExpectedTime,
      failureDomain: "d0",
      crossDomainMs: 3,
    },
    getCandidates: () => candidates,
    getLimits: () => ({
      retryBudget: 0.1,
      hedgeBudget: 0.05,
      hedgePercentile: 95,
    }),
  });
  for (const candidate of candidates) {
    gateway.receiveReport(createReport(candidate.host));
  }
  return measureMicrosPerRun(20_000, (index) => {
    const id = `r${index}`;
    const [action] = gateway.handle({
      kind: GatewayMessageKind.Arrived,
      arrival: {
        id,
        account: "karaca",
        service: "boards",
        repeatability: Repeatability.Idempotent,
        timeoutMs: 1_000,
        replayable: true,
        retriesLeft: 3,
      },
    });
    if (action?.kind !== GatewayActionKind.Submit) throw new Error("no submit");
    const ticket = gateway.getTicket(id, 1);
    const kind = GatewayMessageKind.ResponseReceived;
    gateway.handle({ kind, id, attempt: 1, ticket, status: 200 });
    gateway.handle({ kind: GatewayMessageKind.Completed, id });
    gateway.handle({ kind: GatewayMessageKind.Tick });
  });
}

/** Returns the time of one request at a guard with n accounts, in µs. */
function measureGuardMicros(accounts: number): number {
  const guard = createGuard(host, {
    self: "boards-1",
    service: "boards",
    incarnation: "i",
    slots: 12,
    queueCapacity: 64,
    grantTtlMs: 1_000,
    keyCapacity: 1_000,
    getWeight: () => 1,
  });
  return measureMicrosPerRun(20_000, (index) => {
    const ticket = `t${index}`;
    guard.handle({
      kind: GuardMessageKind.Submit,
      ticket,
      head: {
        account: `account-${index % accounts}`,
        service: "boards",
        repeatability: Repeatability.Idempotent,
        fingerprint: "",
        timeoutMs: 1_000,
      },
    });
    guard.handle({
      kind: GuardMessageKind.UpstreamResponded,
      ticket,
      status: 200,
    });
  });
}

/** Returns the time to send and handle one hello with n known members, in µs. */
function measureGossipRoundMicros(n: number): number {
  const view = createView();
  fillMembers(view, n);
  const config = createConfigState({ validate: (_, value) => ok(value) });
  const gossip = createGossip(host, {
    place: createAnnouncement("boards-1"),
    incarnation: "i",
    config,
    membership: view,
    fanout: 3,
    onAccepted: () => {},
    onRejected: () => {},
  });
  return measureMicrosPerRun(500, () => {
    const [send] = gossip.tick();
    if (send === undefined) throw new Error("gossip round sent no hello");
    gossip.handle(send.to, send.msg);
    view.isWatcher(2, 5_000);
  });
}

/** Returns the mean time of a run, in µs. */
function measureMicrosPerRun(
  runs: number,
  run: (index: number) => void,
): number {
  const startedAt = performance.now();
  for (let index = 0; index < runs; index++) run(index);
  return 1_000 * (performance.now() - startedAt) / runs;
}

function createView() {
  return createMembership(host, {
    self: "boards-1",
    failureDomain: "d0",
    subsetSize: 24,
  });
}

function fillMembers(
  view: ReturnType<typeof createView>,
  n: number,
): void {
  const announcements = Array.from(
    { length: n },
    (_, index) => createAnnouncement(`host-${index}`, index),
  );
  view.applyList(
    announcements.map((a) => ({ ...a, state: ListedState.Live })),
  );
  for (const a of announcements) view.applyAnnouncement(a, { isDirect: true });
}

function createAnnouncement(name: string, index = 0): MemberAnnouncement {
  return {
    host: name,
    service: `service-${index % 73}`,
    failureDomain: `d${index % 9}`,
    dataAddress: "10.20.30.40:7201",
    controlAddress: "10.20.30.40:7301",
    incarnation: v7(),
    sequence: 1,
    draining: false,
  };
}

function createReport(name: string) {
  return {
    host: name,
    incarnation: "ebb5c8c5",
    sequence: 1,
    slots: 12,
    inFlight: 3,
    queued: 0,
    serviceMs: 20,
    draining: false,
    ageMs: 1_000_000,
  };
}

function collectGarbage(): void {
  const { gc } = globalThis as { gc?: () => void };
  if (gc === undefined) throw new Error("start node with --expose-gc");
  gc();
  gc();
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

const TEMPLATE = `kind: template
name: studio
parameters: { timeoutMs: 2000, weight: 1, retryBudget: 0.1, hedgeBudget: 0.05,
  hedgePercentile: 95, tailWeight: 0.9, maxBodyBytes: 50000000 }
`;
const ACCOUNT = `kind: account
name: NAME
template: studio
hostnames: [NAME.example]
failureDomains: [a, b, c]
services:
  boards: { routes: [{ path: /boards, methods: [GET, HEAD], repeatability: idempotent }] }
  orders: { routes: [{ path: /orders, methods: [POST], repeatability: at-most-once }] }
  uploads: { routes: [{ path: /photos, methods: [PUT], repeatability: idempotent }] }
  archive: { routes: [{ path: /archive, methods: [GET], repeatability: idempotent }] }
`;

await main();
