/** Daemons of a large failure domain share the reading of the store. */

import { afterAll, beforeAll, expect, test } from "vitest";
import { createChangeLog } from "../src/core/change_log.ts";
import { planReading } from "../src/core/reading_plan.ts";
import { type Mesh, type MeshHost, startMesh } from "./platform/mesh.ts";

const HOSTS = 12;
/** Two in each of the two failure domains. */
const READERS = 4;
/** Bound on a change of configuration, in ms; the smallest of the deployments. */
const IN_FORCE_MS = 2_000;

test("every daemon names the same two readers of its failure domain", () => {
  const hosts = Array.from({ length: 20 }, (_, i) => ({
    host: `10.0.0.${i}`,
    failureDomain: i < 14 ? "east" : "west",
  }));
  const east = hosts.slice(0, 14);
  const plans = east.map((self) => planReading(self, hosts));
  const readers = east.filter((_, i) => plans[i]!.isReader).map((h) => h.host);
  expect(readers).toHaveLength(2);
  for (const plan of plans.filter((p) => !p.isReader)) {
    expect([...plan.readers].sort()).toEqual([...readers].sort());
  }
  const preferred = new Set(plans.map((p) => p.readers[0]).filter(Boolean));
  expect(preferred.size).toBe(2);
  const without = hosts.filter((h) => h.host !== readers[0]);
  const after = east.map((self) => planReading(self, without).isReader);
  expect(after.filter(Boolean)).toHaveLength(2);
});

test("daemons of a small failure domain all read the store", () => {
  const hosts = Array.from({ length: 5 }, (_, i) => ({
    host: `10.0.0.${i}`,
    failureDomain: "east",
  }));
  for (const self of hosts) {
    expect(planReading(self, hosts)).toEqual({
      isReader: true,
      isShared: false,
      readers: [],
    });
  }
});

test("a log brings a follower up to date from any revision that it knows", () => {
  const log = createChangeLog();
  expect(log.tryGetSince(0)).toBeUndefined();
  log.restart({ revision: 10, entries: [{ key: "a", text: "1" }] });
  log.take({ revision: 12, entries: [{ key: "b", text: "1" }] });
  log.take({ revision: 15, entries: [{ key: "a" }, { key: "b", text: "2" }] });
  expect(log.tryGetSince(9)).toBeUndefined();
  expect(log.tryGetSince(10)).toEqual({
    revision: 15,
    entries: [{ key: "a" }, { key: "b", text: "2" }],
  });
  expect(log.tryGetSince(15)!.entries).toEqual([]);
  for (let i = 0; i < 1_000; i++) {
    log.take({ revision: 16 + i, entries: [{ key: `gone-${i}` }] });
  }
  // The removal of "a" is forgotten: what a follower at 14 lacks isn't known.
  expect(log.tryGetSince(14)).toBeUndefined();
  expect(log.tryGetSince(15)!.entries).toHaveLength(1_000);
});

let mesh: Mesh;
let version = 1;

beforeAll(async () => {
  mesh = await startMesh(72, Array.from({ length: HOSTS }, () => "shop"));
}, 20_000);
afterAll(() => mesh.close());

test("all but the readers follow one soon after the start", async () => {
  await expect.poll(countFollowers, { timeout: 4_000 })
    .toBe(HOSTS - READERS);
}, 8_000);

test("a change costs the store a call for each reader, not for each daemon", async () => {
  const before = mesh.store.calls.get("/-/kv-watch")!;
  const changes = 6;
  for (let i = 0; i < changes; i++) {
    publish();
    await pause(400);
  }
  const made = mesh.store.calls.get("/-/kv-watch")! - before;
  // One for each change and one for each idle wait of 800 ms.
  expect(made).toBeLessThanOrEqual(READERS * (changes + 3));
  await waitInForce(mesh.hosts);
});

test("a change is in force in time while all readers are frozen", async () => {
  const readers = findReaders();
  expect(readers).toHaveLength(READERS);
  for (const reader of readers) reader.process.kill("SIGSTOP");
  publish();
  await waitInForce(mesh.hosts.filter((h) => !readers.includes(h)));
  for (const reader of readers) reader.process.kill("SIGCONT");
  await waitInForce(readers);
});

test("a change is in force in time when a reader is killed", async () => {
  const [reader] = findReaders();
  reader!.process.kill("SIGKILL");
  publish();
  await waitInForce(mesh.hosts.filter((h) => h !== reader));
  mesh.startDaemon(reader!);
  await mesh.waitReady(reader!);
});

function publish(): void {
  version += 1;
  mesh.publish(version);
}

async function waitInForce(hosts: readonly MeshHost[]): Promise<void> {
  const hasIt = new RegExp(`config_in_force.* version=${version} `);
  const countLacking = () =>
    hosts.filter(({ lines }) => !lines.some((l) => hasIt.test(l))).length;
  await expect.poll(countLacking, { timeout: IN_FORCE_MS }).toBe(0);
}

function countFollowers(): number {
  return mesh.hosts.filter(isFollower).length;
}

function findReaders(): MeshHost[] {
  return mesh.hosts.filter((h) => !isFollower(h));
}

function isFollower({ lines }: MeshHost): boolean {
  return lines.some((l) => l.includes("reader_followed"));
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
