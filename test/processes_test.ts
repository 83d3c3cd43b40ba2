/** Real processes that are killed and paused under load, judged by the journals. */

import { request } from "undici";
import { afterAll, beforeAll, expect, test } from "vitest";
import { type DemoFleet, FleetRole, startFleet } from "../src/demo/fleet.ts";
import { Header } from "../src/link/wire.ts";
import type { JournalEntry } from "../src/stand_in/upstream.ts";

const BASE_PORT = 23_000;
const OPERATIONS = 150;
const GAP_MS = 12;
const MAX_ASKS = 4;
const HTTP_OK = 200;

let fleet: DemoFleet;

beforeAll(async () => {
  fleet = await startFleet({
    fleetFile: "test/fixtures/orders.yaml",
    documents: [
      "examples/templates/studio.yaml",
      "examples/accounts/karaca.yaml",
    ],
    basePort: BASE_PORT,
    overrides: { linkSilenceMs: 400, reserveTimeoutMs: 150 },
    cli: "dist/cli/main.js",
  });
});

afterAll(() => fleet.stop());

interface Ask {
  readonly operation: number;
  readonly key: string;
  /** Execution that the caller heard; "unknown" without an answer. */
  readonly execution: string;
  readonly id: string;
}

test("a daemon killed under load loses only what was on it", async () => {
  const asks = await underLoad(async () => {
    await pause(300);
    fleet.signal("orders-1", FleetRole.Daemon, "SIGKILL");
    await pause(500);
    await fleet.restart("orders-1", FleetRole.Daemon);
  });
  await expectPromises(asks);
  const answered = asks.filter((a) => a.execution === "ran");
  expect(answered.length).toBeGreaterThan(OPERATIONS / 2);
});

test("a daemon paused and woken runs nothing twice", async () => {
  const asks = await underLoad(async () => {
    await pause(200);
    fleet.signal("orders-2", FleetRole.Daemon, "SIGSTOP");
    await pause(900);
    fleet.signal("orders-2", FleetRole.Daemon, "SIGCONT");
    await pause(300);
  });
  await expectPromises(asks);
});

test("an upstream killed under load leaves no wrong verdict", async () => {
  const before = await readJournal(2);
  const asks = await underLoad(async () => {
    await pause(300);
    fleet.signal("orders-3", FleetRole.Upstream, "SIGKILL");
    await pause(400);
    await fleet.restart("orders-3", FleetRole.Upstream);
  });
  await expectPromises(asks, before);
});

test("the platform out of service changes nothing for callers", async () => {
  await control("outage/on");
  const asks = await underLoad(() => pause(300));
  await control("outage/off");
  await expectPromises(asks);
  expect(asks.every((a) => a.execution === "ran")).toBe(true);
});

/** Sends operations, each asked again as its rules allow, while faults happen. */
async function underLoad(inject: () => Promise<void>): Promise<Ask[]> {
  const asks: Ask[] = [];
  const injected = inject();
  const open: Promise<void>[] = [];
  for (let operation = 0; operation < OPERATIONS; operation++) {
    open.push(operate(operation, asks));
    await pause(GAP_MS);
  }
  await Promise.all([...open, injected]);
  return asks;
}

/** Half of the operations take a key first and ask again with it. */
async function operate(operation: number, asks: Ask[]): Promise<void> {
  const key = operation % 2 === 0 ? await takeKey(operation) : "";
  for (let ask = 0; ask < MAX_ASKS; ask++) {
    const result = await order(operation + ask, key);
    asks.push({ operation, key, ...result });
    const mayAskAgain = key === ""
      ? result.execution === "not-run"
      : result.execution === "may-have-run" || result.execution === "unknown";
    if (!mayAskAgain) return;
    await pause(50);
  }
}

async function takeKey(operation: number): Promise<string> {
  try {
    const res = await request(
      `http://${getCallers(operation)}/-/keys?service=orders`,
      { method: "POST", headers: { [Header.Account]: "karaca" } },
    );
    const body = await res.body.json() as { keys?: string[] };
    return body.keys?.[0] ?? "";
  } catch {
    return "";
  }
}

async function order(
  at: number,
  key: string,
): Promise<{ execution: string; id: string }> {
  try {
    const res = await request(`http://${getCallers(at)}/orders`, {
      method: "POST",
      headers: {
        [Header.Account]: "karaca",
        [Header.TimeoutMs]: "1500",
        ...(key !== "" && { [Header.Key]: key }),
      },
      body: "velvet",
      headersTimeout: 4_000,
    });
    await res.body.dump();
    const execution = String(res.headers[Header.Execution]);
    if (execution === "ran") expect(res.statusCode).toBe(HTTP_OK);
    return { execution, id: String(res.headers[Header.RequestId]) };
  } catch {
    return { execution: "unknown", id: "" };
  }
}

async function expectPromises(
  asks: readonly Ask[],
  earlier: readonly JournalEntry[] = [],
): Promise<void> {
  const started = [...await readJournals(), ...earlier]
    .filter((e) => e.event === "started");
  const ids = started.map((e) => e.id);
  expect(ids.length).toBeGreaterThan(0);
  expect(new Set(ids).size).toBe(ids.length);
  const runsOfKey = new Map<string, Set<string>>();
  for (const { key, id } of started) {
    if (key === "") continue;
    runsOfKey.set(key, (runsOfKey.get(key) ?? new Set()).add(id));
  }
  for (const [key, runs] of runsOfKey) {
    expect([key, runs.size]).toEqual([key, 1]);
  }
  const startedIds = new Set(ids);
  for (const { execution, id, key } of asks) {
    if (execution !== "not-run") continue;
    expect(startedIds).not.toContain(id);
    if (key !== "") expect([key, runsOfKey.has(key)]).toEqual([key, false]);
  }
}

async function readJournals(): Promise<JournalEntry[]> {
  const all = await Promise.all(fleet.hosts.map((_, at) => readJournal(at)));
  return all.flat();
}

async function readJournal(index: number): Promise<JournalEntry[]> {
  const { address } = fleet.hosts[index]!.settings.upstream;
  const res = await request(`http://${address}/control/journal`);
  return await res.body.json() as JournalEntry[];
}

async function control(path: string): Promise<void> {
  const res = await request(`http://${fleet.platformAddress}/control/${path}`, {
    method: "PUT",
  });
  await res.body.dump();
}

function getCallers(index: number): string {
  return fleet.hosts[index % fleet.hosts.length]!.settings.listen.callers;
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
