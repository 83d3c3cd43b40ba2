/**
 * Slopes of memory, time and bytes at 1, 2, 4 and 8 times a size, for
 * docs/CAPACITY.md. node --expose-gc dist/bench/slopes.js
 */

import { Buffer } from "node:buffer";
import { createServer } from "node:http";
import { performance } from "node:perf_hooks";
import process from "node:process";
import { ok } from "neverthrow";
import { v7 } from "uuid";
import { createAccountDirectory } from "../client_account/directory.ts";
import { decodeAny } from "../client_account/decode.ts";
import { createConfigState } from "../core/config_state.ts";
import {
  ControlKind,
  ListedState,
  type MemberWord,
} from "../core/config_types.ts";
import { createKeyBook, KeyState } from "../core/key_book.ts";
import { createLoadBook } from "../core/load_book.ts";
import { createMembership } from "../core/membership.ts";
import { createSpread } from "../core/spread.ts";
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
const STEPS = [1, 2, 4, 8] as const;
const host = createCoreHost(createClock());

async function main(): Promise<void> {
  memory("member known by list and word", 300, (n) => {
    const view = createView();
    fillMembers(view, n);
    return view;
  });
  memory("upstream in the load book", 2_400, (n) => {
    const book = createLoadBook(host);
    for (let index = 0; index < n; index++) {
      book.noteSent(`host-${index}`);
      book.takeReport(createReport(`host-${index}`));
    }
    return book;
  });
  memory(
    "protected record, answer of 1 KB",
    1_000,
    (n) => createBook(n, 1_024),
  );
  memory("protected record, sealed", 5_000, (n) => createBook(n, 0));
  memory("client account of four services", 250, createAccounts);
  time("choice among candidates, whole call", 3, timeCall);
  time("guard, submit and answer", 1, timeGuard);
  time("round of the spread, members known", 300, timeRound);
  bytes();
  await links();
}

function memory(
  what: string,
  base: number,
  create: (n: number) => unknown,
): void {
  const cells = STEPS.map((step) => {
    const n = base * step;
    create(n);
    collect();
    const before = process.memoryUsage().heapUsed;
    const kept = create(n);
    collect();
    const used = process.memoryUsage().heapUsed - before;
    return `${n}: ${(used / n).toFixed(0)} B each${
      kept === undefined ? "!" : ""
    }`;
  });
  print(`memory of a ${what}: ${cells.join(", ")}`);
}

function time(
  what: string,
  base: number,
  run: (n: number) => number,
): void {
  const cells = STEPS.map((step) => {
    const n = base * step;
    run(n);
    return `${n}: ${run(n).toFixed(1)} µs`;
  });
  print(`time of a ${what}: ${cells.join(", ")}`);
}

function bytes(): void {
  const view = createView();
  fillMembers(view, 10);
  const msg = {
    kind: ControlKind.Hello as const,
    word: createWord("boards-1"),
    digest: "deadbeef-deadbeef",
    wantsReply: true,
    words: view.getRecentWords(4),
  };
  const hello = encodeEnvelope({ from: createWord("boards-1"), msg }).length;
  print(`bytes of a hello with four words: ${hello}`);
  for (const step of STEPS) {
    const n = 100 * step;
    const revisions = Array.from({ length: n }, (_, index) => ({
      key: `account/account-${index}`,
      revision: 100_000 + index,
    }));
    const index = { kind: ControlKind.Index as const, revisions };
    const size = encodeEnvelope({ from: createWord("boards-1"), msg: index });
    print(`bytes of an index of ${n} documents: ${size.length}`);
  }
}

/** Links with one open connection each, both ends in this process. */
async function links(): Promise<void> {
  const server = createServer((req, res) => {
    req.resume();
    res.end();
  });
  await new Promise<void>((resolve) =>
    server.listen(LINK_PORT, "127.0.0.1", resolve)
  );
  const cells: string[] = [];
  for (const step of STEPS) {
    const n = 50 * step;
    collect();
    const before = process.memoryUsage();
    const open = Array.from({ length: n }, createLink);
    await Promise.all(open.map((link) => link.probe()));
    collect();
    const after = process.memoryUsage();
    const used = after.heapUsed + after.external - before.heapUsed -
      before.external;
    cells.push(`${n}: ${(used / n / 1_000).toFixed(1)} KB each`);
    await Promise.all(open.map((link) => link.close()));
  }
  server.close();
  print(`memory of a link, both ends of its connection: ${cells.join(", ")}`);
}

function createLink(): GuardLink {
  return createHttpLink({
    address: `127.0.0.1:${LINK_PORT}`,
    self: "boards-1",
    peer: "boards-2",
    connections: 64,
    getRevisions: () => "1-1",
    onHeard: () => {},
    onNonsense: () => {},
  });
}

function createBook(n: number, answerBytes: number) {
  const book = createKeyBook(host, {
    home: "orders-1",
    incarnation: v7(),
    capacity: n,
  });
  for (let index = 0; index < n; index++) {
    const record = book.open(book.issue("karaca"), "f".repeat(43));
    record.state = answerBytes > 0 ? KeyState.Answered : KeyState.Sealed;
    if (answerBytes === 0) continue;
    const body = Buffer.alloc(answerBytes, index % 256).toString("base64");
    record.answer = { status: 200, contentType: "application/json", body };
  }
  return book;
}

function createAccounts(n: number) {
  const directory = createAccountDirectory();
  directory.take(decodeAny(TEMPLATE, "template").unwrap());
  for (let index = 0; index < n; index++) {
    const text = ACCOUNT.replaceAll("NAME", `account-${index}`);
    directory.take(decodeAny(text, "account").unwrap());
  }
  return directory;
}

/** Arrival, choice, answer and completion at a gateway with n candidates. */
function timeCall(n: number): number {
  const candidates = Array.from({ length: n }, (_, index) => ({
    host: `boards-${index}`,
    failureDomain: `d${index % 3}`,
  }));
  const gateway = createGateway(host, {
    self: "boards-0",
    incarnation: "i",
    maxAttempts: 4,
    reserveTimeoutMs: 250,
    silenceMs: 2_000,
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
    gateway.takeReport(createReport(candidate.host));
  }
  return perRun(20_000, (index) => {
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
    const kind = GatewayMessageKind.Answered;
    gateway.handle({ kind, id, attempt: 1, ticket, status: 200 });
    gateway.handle({ kind: GatewayMessageKind.Completed, id });
    gateway.handle({ kind: GatewayMessageKind.Tick });
  });
}

function timeGuard(accounts: number): number {
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
  return perRun(20_000, (index) => {
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
      kind: GuardMessageKind.UpstreamAnswered,
      ticket,
      status: 200,
    });
  });
}

/** One greeting sent and one taken, with n members known. */
function timeRound(n: number): number {
  const view = createView();
  fillMembers(view, n);
  const config = createConfigState({ validate: (_, value) => ok(value) });
  const spread = createSpread(host, {
    place: createWord("boards-1"),
    incarnation: "i",
    config,
    membership: view,
    fanout: 3,
    onAccepted: () => {},
    onRejected: () => {},
  });
  return perRun(500, () => {
    const [send] = spread.tick();
    if (send === undefined) throw new Error("no greeting");
    spread.handle(send.to, send.msg);
    view.isWatcher(2, 5_000);
  });
}

function perRun(runs: number, run: (index: number) => void): number {
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
  const words = Array.from(
    { length: n },
    (_, index) => createWord(`host-${index}`, index),
  );
  view.takeList(words.map((word) => ({ ...word, state: ListedState.Live })));
  for (const word of words) view.takeWord(word, { isDirect: true });
}

function createWord(name: string, index = 0): MemberWord {
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

function collect(): void {
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
