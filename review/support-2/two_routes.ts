/** A deployment with a first route, and one that was added later for another service. */

import {
  type Answer,
  type Deployment,
  type Machine,
  pause,
} from "./deployment.ts";
import { countStatuses } from "./run_case.ts";

/** On each route, 14 of each machine. */
const REQUESTS = 70;
const EVERY_MS = 40;
/** "20 or more requests on routes that were added later". */
const MIN_REQUESTS = 20;
/** "less than a quarter as often as those on the first routes". */
const MIN_SHARE = 0.25;

const FIRST = {
  name: "boards",
  prefix: "/boards/",
  kind: "safe",
  service: "boards",
  timeoutS: 2,
  sloS: 0.3,
} as const;
const ADDED = {
  ...FIRST,
  name: "archive",
  prefix: "/archive/",
  service: "archive",
};

/** Answers on both routes. */
export interface BothAnswers {
  readonly first: readonly Answer[];
  readonly added: readonly Answer[];
}

/** A running deployment with both routes. */
export interface TwoRoutes {
  /** Machines whose backends serve the added route. */
  readonly archive: readonly Machine[];
  /** Sends a request on the added route from the next machine. */
  sendAdded(label: string): Promise<Answer>;
  /** Sends as many requests on each route, from all machines in turn. */
  sendBoth(label: string): Promise<BothAnswers>;
}

/** Starts the machines, three of them for the second route, which is added while they run. */
export async function startTwoRoutes(fleet: Deployment): Promise<TwoRoutes> {
  for (const service of ["boards", "archive", "boards", "archive", "archive"]) {
    await fleet.addMachine(service);
  }
  const archive = fleet.machines.filter((it) => it.service === "archive");
  fleet.publish(1, [FIRST]);
  await Promise.all(fleet.machines.map(fleet.waitUntilReady));
  await pause(1_000);
  fleet.publish(2, [FIRST, ADDED]);
  await pause(3_000);
  /** Requests so far, by route. */
  const counts = new Map<string, number>();
  return {
    archive,
    sendAdded: (label) => read(label, ADDED.prefix),
    sendBoth,
  };

  async function sendBoth(label: string): Promise<BothAnswers> {
    const first: Promise<Answer>[] = [];
    const added: Promise<Answer>[] = [];
    for (let i = 0; i < REQUESTS; i++) {
      first.push(read(label, FIRST.prefix));
      added.push(read(label, ADDED.prefix));
      await pause(EVERY_MS);
    }
    return {
      first: await Promise.all(first),
      added: await Promise.all(added),
    };
  }

  function read(label: string, prefix: string): Promise<Answer> {
    const count = (counts.get(prefix) ?? 0) + 1;
    counts.set(prefix, count);
    const machine = fleet.machines[count % fleet.machines.length]!;
    const path = `${prefix}${count}`;
    const id = `${label}${path.replaceAll("/", "-")}`;
    return fleet.call(machine, { id, path });
  }
}

/** The answers on both routes by status. */
export function describeBoth({ first, added }: BothAnswers): string {
  return `first route ${countStatuses(first)}; added route ${
    countStatuses(added)
  }`;
}

/** What breaks the rule on routes that were added later; undefined if it holds. */
export function findUnservedRoute(
  { first, added }: BothAnswers,
): string | undefined {
  const firstShare = getServedShare(first);
  const addedShare = getServedShare(added);
  return added.length >= MIN_REQUESTS && addedShare < firstShare * MIN_SHARE
    ? `CONFIG: of the requests on the added route ${addedShare} are served, ` +
      `of those on the first route ${firstShare}`
    : undefined;
}

function getServedShare(answers: readonly Answer[]): number {
  return answers.filter((it) => it.status === 200).length / answers.length;
}
