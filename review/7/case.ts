/**
 * The backends of a service are replaced one after the other, and each starts
 * again under the id that it had. Each says in its answers that it leaves before.
 */

import { type Answer, type Machine, pause } from "../support-2/deployment.ts";
import {
  type CaseContext,
  countStatuses,
  formatTime,
  runCase,
} from "../support-2/run_case.ts";
import {
  describeBoth,
  findUnservedRoute,
  startTwoRoutes,
} from "../support-2/two_routes.ts";

const DRAIN_MS = 2_000;
/** Time from then on until its entry is removed: less than a heartbeat of 1.5 s. */
const SAYS_SO_MS = 1_000;
const DOWN_MS = 1_500;
/** Time between two backends. */
const GAP_MS = 3_000;
/** Longer than configS and stableS, and than what a new start needs. */
const CALM_MS = 10_000;
const EVERY_MS = 10;
const WORK_MS = 100;

void runCase("review/7", play);

async function play(
  { fleet, hasTrouble, record }: CaseContext,
): Promise<string | undefined> {
  const { archive, sendAdded, sendBoth } = await startTwoRoutes(fleet);
  for (const { backend } of archive) backend.workMs = WORK_MS;
  record(`before: ${describeBoth(await sendBoth("before"))}`);
  const reads: Promise<Answer>[] = [];
  const timer = setInterval(() => reads.push(sendAdded("during")), EVERY_MS);
  for (const machine of archive) {
    await restart(machine);
    await pause(GAP_MS);
  }
  clearInterval(timer);
  const during = countStatuses(await Promise.all(reads));
  record(`while they are replaced: added route ${during}`);
  await pause(CALM_MS);
  record(
    `${formatTime(fleet.now())} nothing was disturbed for ${CALM_MS / 1_000} s`,
  );
  const after = await sendBoth("after");
  record(`after: ${describeBoth(after)}`);
  for (const { ip, backend, log } of archive) {
    const last = log.findLast((line) => line.includes("event=guard_refused"));
    const reason = /reason=(\S+)/.exec(last ?? "")?.[1] ?? "none";
    record(
      `${ip} ${backend.instance} is listed as ready; the last refusal of its ` +
        `daemon: ${reason}`,
    );
  }
  return findUnservedRoute(after);

  /** The new start knows nothing of before, and its counts start anew. */
  async function restart(machine: Machine): Promise<void> {
    const { backend } = machine;
    const { instance } = backend;
    backend.isLeaving = true;
    record(`${formatTime(fleet.now())} ${instance} says that it leaves`);
    await pause(SAYS_SO_MS);
    fleet.store.remove(`servers/${instance}`);
    record(`${formatTime(fleet.now())} the entry of ${instance} is removed`);
    await pause(DRAIN_MS + 500);
    backend.end();
    await pause(DOWN_MS);
    backend.isLeaving = false;
    await backend.start(hasTrouble ? instance : `${instance}-new`);
    machine.born = Date.now();
    machine.seq = 0;
    fleet.list(machine);
    record(
      `${formatTime(fleet.now())} ${backend.instance} has started, ` +
        `born ${machine.born}`,
    );
  }
}
