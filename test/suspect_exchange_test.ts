/** Which daemons learn what others observe of a suspect, while hosts come, go and can't be reached. */

import { afterEach, expect, test } from "vitest";
import { createCounters } from "../src/core/counters.ts";
import { createCrashSuspects } from "../src/core/crash_suspects.ts";
import {
  COLLECTOR_COUNT,
  createHeldSuspects,
} from "../src/core/held_suspects.ts";
import { orderByHash } from "../src/core/host_order.ts";
import type { Arrival, HostId } from "../src/core/types.ts";
import {
  createSuspectExchange,
  type SuspectExchange,
} from "../src/daemon/suspect_exchange.ts";
import type { GuardLink } from "../src/link/types.ts";
import { createTestHost } from "./support/core_host.ts";

const SIGNATURE = "fatal";
const FATAL = { signature: () => SIGNATURE } as Arrival;
const HOSTS = Array.from({ length: 30 }, (_, i) => `h${i}`);
/** Longer than four tries, so that hosts that can't be reached are told later. */
const PATIENCE = { timeout: 6_000, interval: 20 };

type Member = ReturnType<Fleet["start"]>;

/** Daemons in this process, each with a list of its own. */
class Fleet {
  readonly members = new Map<HostId, Member>();
  /** True if a message gets through. */
  canPass: (from: HostId, to: HostId) => boolean = () => true;
  messages = 0;

  /** Starts a daemon that knows nothing; an earlier one at the host has ended. */
  start(self: HostId, listed: readonly HostId[] = HOSTS) {
    this.members.get(self)?.exchange.close();
    const member = { listed: [...listed], ...this.#create(self) };
    this.members.set(self, member);
    return member;
  }

  #create(self: HostId) {
    const suspects = createCrashSuspects(createTestHost(), {
      origin: "front",
      onObserved: (suspect) => exchange.report(suspect),
      onChanged: () => {},
    });
    const getListed = () => this.members.get(self)!.listed;
    const exchange: SuspectExchange = createSuspectExchange({
      self,
      suspects,
      counters: createCounters(),
      logger: { debug() {}, info() {}, warn() {}, error() {} },
      getReady: getListed,
      getListed,
      getHosts: getListed,
      getLink: (to) =>
        ({
          exchangeSuspects: async (body: string) => {
            this.messages += 1;
            await Promise.resolve();
            return this.canPass(self, to)
              ? this.members.get(to)?.exchange.receive(body)
              : undefined;
          },
        }) as GuardLink,
    });
    return { suspects, exchange };
  }

  /** Every daemon's list changes alike. */
  list(listed: readonly HostId[]): void {
    for (const { listed: before, exchange } of this.members.values()) {
      const added = listed.filter((it) => !before.includes(it));
      const removed = before.filter((it) => !listed.includes(it));
      before.splice(0, before.length, ...listed);
      added.forEach(exchange.forgetHost);
      if (added.length + removed.length > 0) exchange.recordListChange();
    }
  }

  stop(host: HostId): void {
    this.members.get(host)!.exchange.close();
    this.members.delete(host);
  }

  observe(host: HostId, end: string): void {
    this.members.get(host)!.suspects.recordEnd(FATAL, end);
  }

  countRefusing(): number {
    return [...this.members.values()].filter(({ suspects }) =>
      suspects.isQuarantined(SIGNATURE)
    ).length;
  }

  knowsEnds(host: HostId): number {
    return this.members.get(host)!.suspects.find([SIGNATURE])[0]?.ends.length ??
      0;
  }
}

let fleet: Fleet;
afterEach(() => {
  for (const { exchange } of fleet.members.values()) exchange.close();
});

function startFleet(listed: readonly HostId[] = HOSTS): Fleet {
  fleet = new Fleet();
  for (const host of HOSTS) fleet.start(host, listed);
  return fleet;
}

function getCollectors(hosts: readonly HostId[] = HOSTS): HostId[] {
  return orderByHash(hosts, SIGNATURE).slice(0, COLLECTOR_COUNT);
}

function getObservers(not: readonly HostId[]): HostId[] {
  return HOSTS.filter((it) => !not.includes(it));
}

test("what collectors gathered is known to those that follow them, as they are removed one by one", async () => {
  startFleet();
  let listed = HOSTS;
  const observers = getObservers(orderByHash(HOSTS, SIGNATURE).slice(0, 10));
  for (let i = 0; i < 3; i++) {
    fleet.observe(observers[i]!, `u${i}-1`);
    for (const gone of getCollectors(listed)) {
      listed = listed.filter((it) => it !== gone);
      fleet.list(listed);
      const next = getCollectors(listed).at(-1)!;
      await expect.poll(() => fleet.knowsEnds(next), PATIENCE).toBe(i + 1);
      fleet.stop(gone);
    }
  }
  await expect.poll(() => fleet.countRefusing(), PATIENCE)
    .toBe(listed.length);
});

test("daemons that know other hosts than the rest agree with them", async () => {
  startFleet();
  const all = getCollectors();
  const older = HOSTS.filter((it) => !all.includes(it));
  const behind = older.slice(0, 10);
  for (const host of behind) {
    const { listed } = fleet.members.get(host)!;
    listed.splice(0, listed.length, ...older);
  }
  fleet.observe(behind[0]!, "u0-1");
  fleet.observe(behind[1]!, "u1-1");
  fleet.observe(older.at(-1)!, "u2-1");
  await expect.poll(() => fleet.countRefusing(), PATIENCE).toBe(HOSTS.length);
});

test(
  "hosts of a cut-off failure domain agree, and with the others once it is back",
  async () => {
    startFleet();
    const isCut = (host: HostId) => Number(host.slice(1)) % 3 === 0;
    fleet.canPass = (from, to) => isCut(from) === isCut(to);
    const cut = HOSTS.filter(isCut);
    for (const [i, host] of cut.slice(0, 3).entries()) {
      fleet.observe(host, `u${i}-1`);
    }
    await expect.poll(() => fleet.countRefusing(), PATIENCE).toBe(cut.length);
    fleet.canPass = () => true;
    await expect.poll(() => fleet.countRefusing(), PATIENCE).toBe(HOSTS.length);
  },
  15_000,
);

test("a host that is listed anew is told what is refused, though its daemon never asks", async () => {
  startFleet();
  for (let i = 0; i < 3; i++) fleet.observe(HOSTS[i]!, `u${i}-1`);
  await expect.poll(() => fleet.countRefusing(), PATIENCE).toBe(HOSTS.length);
  const host = HOSTS.at(-1)!;
  fleet.list(HOSTS.slice(0, -1));
  fleet.start(host);
  expect(fleet.countRefusing()).toBe(HOSTS.length - 1);
  fleet.list(HOSTS);
  await expect.poll(() => fleet.countRefusing(), PATIENCE).toBe(HOSTS.length);
});

test("a daemon that starts asks further hosts if the first ones don't reply", async () => {
  startFleet();
  for (let i = 0; i < 3; i++) fleet.observe(HOSTS[i]!, `u${i}-1`);
  await expect.poll(() => fleet.countRefusing(), PATIENCE).toBe(HOSTS.length);
  const self = HOSTS[7]!;
  const others = HOSTS.filter((it) => it !== self);
  const first = orderByHash(others, `asked by ${self}`).slice(0, 3);
  fleet.canPass = (_, to) => !first.includes(to);
  fleet.start(self).exchange.ask();
  await expect.poll(() => fleet.countRefusing(), PATIENCE).toBe(HOSTS.length);
});

test("a daemon that starts before it knows any host asks later", async () => {
  startFleet();
  for (let i = 0; i < 3; i++) fleet.observe(HOSTS[i]!, `u${i}-1`);
  await expect.poll(() => fleet.countRefusing(), PATIENCE).toBe(HOSTS.length);
  const { exchange, listed } = fleet.start(HOSTS[7]!, []);
  exchange.ask();
  expect(fleet.countRefusing()).toBe(HOSTS.length - 1);
  listed.push(...HOSTS);
  await expect.poll(() => fleet.countRefusing(), PATIENCE).toBe(HOSTS.length);
});

test("an observation costs one message a collector, and a refused request one a host and collector", async () => {
  startFleet();
  const [one, two, three] = getObservers(getCollectors());
  fleet.observe(one!, "u0-1");
  fleet.observe(two!, "u1-1");
  await expect.poll(() => fleet.knowsEnds(getCollectors()[0]!)).toBe(2);
  expect(fleet.messages).toBe(2 * COLLECTOR_COUNT);
  fleet.observe(three!, "u2-1");
  await expect.poll(() => fleet.countRefusing(), PATIENCE).toBe(HOSTS.length);
  expect(fleet.messages).toBeLessThanOrEqual(
    COLLECTOR_COUNT * (3 + HOSTS.length),
  );
});

test("whom to tell of 200 suspects in a fleet of 300 hosts is known in 100 ms after a change of the list", () => {
  startFleet();
  const hosts = Array.from({ length: 300 }, (_, i) => `10.1.${i % 9}.${i}`);
  const held = createHeldSuspects({
    self: "10.1.0.0",
    suspects: { isKnown: () => true, isQuarantined: () => false },
    getReady: () => hosts,
    getListed: () => hosts,
    getHosts: () => hosts,
    canReach: () => true,
  });
  for (let i = 0; i < 200; i++) held.recordObserved(`signature-${i}`);
  expect(held.takeTellings()).toHaveLength(200);
  hosts.splice(17, 1);
  held.recordHostsChanged();
  const startedAt = performance.now();
  const tellings = held.takeTellings();
  expect(performance.now() - startedAt).toBeLessThan(100);
  // Only the suspects that the host collected have a new collector.
  expect(tellings.length).toBeLessThan(10);
  expect(tellings.every(({ to }) => to.length === 1)).toBe(true);
});
