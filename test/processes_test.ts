/**
 * Processes are killed and paused under load; the result is checked against the
 * upstreams' journals.
 */

import { request } from "undici";
import { afterAll, beforeAll, expect, test } from "vitest";
import { type DemoFleet, FleetRole, startFleet } from "../src/demo/fleet.ts";
import { Header } from "../src/link/wire.ts";
import type { JournalEntry } from "../src/stand_in/upstream.ts";

const BASE_PORT = 23_000;
const OPERATIONS = 150;
const INTERVAL_MS = 12;
const MAX_CALLER_ATTEMPTS = 4;
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

interface CallerAttempt {
  readonly operation: number;
  readonly key: string;
  /** Execution that the response stated; "unknown" without a response. */
  readonly execution: string;
  readonly id: string;
}

test("a daemon killed under load loses only what was on it", async () => {
  const attempts = await runUnderLoad(async () => {
    await pause(300);
    fleet.signal("orders-1", FleetRole.Daemon, "SIGKILL");
    await pause(500);
    await fleet.restart("orders-1", FleetRole.Daemon);
  });
  await expectGuarantees(attempts);
  const answered = attempts.filter((a) => a.execution === "ran");
  expect(answered.length).toBeGreaterThan(OPERATIONS / 2);
});

test("a daemon paused and woken runs nothing twice", async () => {
  const attempts = await runUnderLoad(async () => {
    await pause(200);
    fleet.signal("orders-2", FleetRole.Daemon, "SIGSTOP");
    await pause(900);
    fleet.signal("orders-2", FleetRole.Daemon, "SIGCONT");
    await pause(300);
  });
  await expectGuarantees(attempts);
});

test("an upstream killed under load leaves no wrong verdict", async () => {
  const before = await readJournal(2);
  const attempts = await runUnderLoad(async () => {
    await pause(300);
    fleet.signal("orders-3", FleetRole.Upstream, "SIGKILL");
    await pause(400);
    await fleet.restart("orders-3", FleetRole.Upstream);
  });
  await expectGuarantees(attempts, before);
});

test("the platform out of service changes nothing for callers", async () => {
  await control("outage/on");
  const attempts = await runUnderLoad(() => pause(300));
  await control("outage/off");
  await expectGuarantees(attempts);
  expect(attempts.every((a) => a.execution === "ran")).toBe(true);
});

/**
 * Sends operations, with the retries that are allowed to callers, while faults
 * are injected.
 */
async function runUnderLoad(
  inject: () => Promise<void>,
): Promise<CallerAttempt[]> {
  const attempts: CallerAttempt[] = [];
  const injected = inject();
  const open: Promise<void>[] = [];
  for (let operation = 0; operation < OPERATIONS; operation++) {
    open.push(runOperation(operation, attempts));
    await pause(INTERVAL_MS);
  }
  await Promise.all([...open, injected]);
  return attempts;
}

/** Every second operation gets a key first and is retried with it. */
async function runOperation(
  operation: number,
  attempts: CallerAttempt[],
): Promise<void> {
  const key = operation % 2 === 0 ? await takeKey(operation) : "";
  for (let attempt = 0; attempt < MAX_CALLER_ATTEMPTS; attempt++) {
    const result = await sendOrder(operation + attempt, key);
    attempts.push({ operation, key, ...result });
    const mayRetry = key === ""
      ? result.execution === "not-run"
      : result.execution === "may-have-run" || result.execution === "unknown";
    if (!mayRetry) return;
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

async function sendOrder(
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

async function expectGuarantees(
  attempts: readonly CallerAttempt[],
  earlierEntries: readonly JournalEntry[] = [],
): Promise<void> {
  const started = [...await readJournals(), ...earlierEntries]
    .filter((e) => e.event === "started");
  const ids = started.map((e) => e.id);
  expect(ids.length).toBeGreaterThan(0);
  expect(new Set(ids).size).toBe(ids.length);
  const runIdsByKey = new Map<string, Set<string>>();
  for (const { key, id } of started) {
    if (key === "") continue;
    runIdsByKey.set(key, (runIdsByKey.get(key) ?? new Set()).add(id));
  }
  for (const [key, runs] of runIdsByKey) {
    expect([key, runs.size]).toEqual([key, 1]);
  }
  const startedIds = new Set(ids);
  for (const { execution, id, key } of attempts) {
    if (execution !== "not-run") continue;
    expect(startedIds).not.toContain(id);
    if (key !== "") expect([key, runIdsByKey.has(key)]).toEqual([key, false]);
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
