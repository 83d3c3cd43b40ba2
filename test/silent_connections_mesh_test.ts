/**
 * Store daemons as processes whose open connections go silent without a reset,
 * while new ones work. Guards against a change that is late because a daemon
 * waits on such a connection.
 */

import { afterAll, beforeAll, expect, test } from "vitest";
import {
  type Deployment,
  type DeploymentHost,
  startDeployment,
} from "./platform/mesh.ts";

const WATCH_PATH = "/-/kv-watch";
/** `configS` and `drainS` of the settings, in ms. */
const IN_FORCE_MS = 2_000;
/** `stableS`: time from a silence until all bounds hold again, in ms. */
const STABLE_MS = 3_000;
/** Longer than any watch, in ms. */
const LONGEST_WATCH_MS = 4_000;
/** Time for a response and its way, in ms. */
const MARGIN_MS = 100;
const POLL_MS = 10;
const CALM_MS = 1_000;
/** Time of the last start of an upstream, in ms since 1970. */
let born = 1_700_000_000_000;

interface Fleet {
  readonly base: number;
  readonly hosts: number;
  /** True if one daemon reads the store for the others. */
  readonly isShared: boolean;
}

enum Links {
  Store = "to the store",
  All = "to the store and between daemons",
}

enum Change {
  Config = "a configuration",
  Draining = "an upstream that drains",
  Gone = "an upstream that is gone",
}

/** When the silence begins. */
enum Moment {
  Begin = "just after a watch began",
  Middle = "in the middle of a watch",
  Batch = "just after another change",
}

const FLEETS: readonly Fleet[] = [
  { base: 73, hosts: 3, isShared: false },
  { base: 78, hosts: 20, isShared: true },
];

for (const fleet of FLEETS) testFleet(fleet);

function testFleet({ base, hosts, isShared }: Fleet): void {
  let fleet: Deployment;
  let version = 1;

  beforeAll(async () => {
    fleet = await startDeployment(base, Array(hosts).fill("shop"), {
      hasRelays: true,
    });
    await pause(CALM_MS);
  }, 60_000);
  afterAll(() => fleet.close());

  const cases = Object.values(Change).flatMap((change) =>
    [
      { moment: Moment.Begin, links: Links.Store },
      { moment: Moment.Middle, links: Links.Store },
      { moment: Moment.Batch, links: Links.Store },
      { moment: Moment.Begin, links: Links.All },
      { moment: Moment.Middle, links: Links.All },
    ].map((it) => ({ change, ...it, hosts, isShared }))
  );

  test.each(cases)(
    "$change is in force in time where the connections $links go silent $moment, $hosts hosts",
    async ({ change, moment, links }) => {
      await waitForMoment(moment);
      const silencedAt = performance.now();
      silence(links);
      await pause(50);
      const isInForce = make(change);
      const dueAt = MARGIN_MS + Math.max(
        performance.now() + IN_FORCE_MS,
        silencedAt + STABLE_MS,
      );
      const late = () => getOthers().filter((it) => !isInForce(it));
      while (late().length > 0 && performance.now() < dueAt) {
        await pause(POLL_MS);
      }
      expect(late().map((it) => it.ip)).toEqual([]);
      undo(change);
      await pause(CALM_MS);
    },
    20_000,
  );

  test(
    `silent connections to the store are no outage of it, ${hosts} hosts`,
    async () => {
      const before = countLines(/event=store_lost /);
      await waitForMoment(Moment.Begin);
      silence(Links.Store);
      await pause(LONGEST_WATCH_MS);
      expect(countLines(/event=store_lost /)).toBe(before);
    },
    20_000,
  );

  /** The upstream of the last host changes; the others have to learn of it. */
  function getOthers(): DeploymentHost[] {
    return fleet.hosts.slice(0, -1);
  }

  async function waitForMoment(moment: Moment): Promise<void> {
    if (moment === Moment.Batch) {
      version += 1;
      fleet.publish(version);
      await pause(POLL_MS);
      return;
    }
    await waitForWatches(isShared ? 1 : hosts);
    if (moment === Moment.Middle) await pause(isShared ? 250 : 700);
  }

  function silence(links: Links): void {
    for (const host of fleet.hosts) {
      host.links!.store.silence();
      if (links === Links.All) host.links!.peers.silence();
    }
  }

  /** Makes a change; the result tells whether a daemon has it in force. */
  function make(change: Change): (host: DeploymentHost) => boolean {
    const subject = fleet.hosts.at(-1)!;
    if (change === Change.Config) {
      version += 1;
      fleet.publish(version);
      return hasLine(new RegExp(`config_in_force.* version=${version} `));
    }
    const { instance } = subject.upstream;
    const marks = new Map(fleet.hosts.map((it) => [it, it.lines.length]));
    if (change === Change.Draining) {
      fleet.list(subject, { state: "draining", seq: 2 });
    } else fleet.store.remove(`servers/${instance}`);
    const event = change === Change.Draining
      ? "upstream_draining"
      : "upstream_(gone|lapsed)";
    const pattern = new RegExp(`event=${event} .*instance=${instance} `);
    return (host) =>
      host.lines.slice(marks.get(host)).some((l) => pattern.test(l));
  }

  function undo(change: Change): void {
    if (change === Change.Config) return;
    const subject = fleet.hosts.at(-1)!;
    // A later start of it, as an upstream that has left does not come back.
    born += 1;
    fleet.list(subject, { seq: 1 }, { born });
  }

  /** Resolves once as many watches began, at the latest after one whole watch. */
  async function waitForWatches(count: number): Promise<void> {
    const getCount = () => fleet.store.calls.get(WATCH_PATH) ?? 0;
    const before = getCount();
    const until = performance.now() + LONGEST_WATCH_MS;
    while (getCount() < before + count && performance.now() < until) {
      await pause(POLL_MS);
    }
  }

  function countLines(pattern: RegExp): number {
    return fleet.hosts.flatMap((it) => it.lines)
      .filter((line) => pattern.test(line)).length;
  }
}

function hasLine(pattern: RegExp): (host: DeploymentHost) => boolean {
  return ({ lines }) => lines.some((line) => pattern.test(line));
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
