/**
 * The backends of a service begin to leave, one after the other. Each crashes
 * while it still serves, and starts again under the id that it had.
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

/** From saying that it leaves until its entry is removed; less than a heartbeat of 1.5 s. */
const SAYS_SO_MS = 1_000;
/** From then until it crashes: while it still serves, as it does for `drainS` (2 s). */
const SERVES_ON_MS = 1_000;
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
    await leaveAndCrash(machine);
    await pause(GAP_MS);
  }
  clearInterval(timer);
  const during = countStatuses(await Promise.all(reads));
  record(`meanwhile: added route ${during}`);
  await pause(CALM_MS);
  record(
    `${formatTime(fleet.now())} nothing was disturbed for ${CALM_MS / 1_000} s`,
  );
  const after = await sendBoth("after");
  record(`after: ${describeBoth(after)}`);
  const served = after.added.filter((it) => it.status === 200);
  const from = [...new Set(served.map((it) => it.machine))].sort();
  record(`served on the added route: those of ${from.join(", ") || "none"}`);
  for (const { ip, backend } of archive) {
    record(`${ip} ${backend.instance} is listed as ready`);
  }
  return findUnservedRoute(after);

  /** The new start knows nothing of before, and its counts start anew. */
  async function leaveAndCrash(machine: Machine): Promise<void> {
    const { backend } = machine;
    const { instance } = backend;
    backend.isLeaving = true;
    record(`${formatTime(fleet.now())} ${instance} says that it leaves`);
    await pause(SAYS_SO_MS);
    fleet.store.remove(`servers/${instance}`);
    record(`${formatTime(fleet.now())} the entry of ${instance} is removed`);
    await pause(SERVES_ON_MS);
    backend.end();
    record(`${formatTime(fleet.now())} ${instance} crashes`);
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
