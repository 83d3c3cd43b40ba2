/**
 * Another writer puts entries into the store whose service isn't named in the
 * configuration, with the addresses of backends.
 */

import { pause } from "../support-2/deployment.ts";
import {
  type CaseContext,
  formatTime,
  runCase,
} from "../support-2/run_case.ts";
import {
  describeBoth,
  findUnservedRoute,
  startTwoRoutes,
} from "../support-2/two_routes.ts";

/** Longer than configS and stableS. */
const CALM_MS = 10_000;

void runCase("review/9", play);

async function play(
  { fleet, hasTrouble, record }: CaseContext,
): Promise<string | undefined> {
  const { archive, sendBoth } = await startTwoRoutes(fleet);
  record(`before: ${describeBoth(await sendBoth("before"))}`);
  for (const [index, { backend, zone }] of archive.entries()) {
    if (!hasTrouble) break;
    const key = `servers/inventory-${index + 1}`;
    fleet.store.put(key, {
      address: backend.address,
      born: Date.now(),
      info: { service: "inventory", version: "v1", zone, slots: 1 },
      status: { state: "ready", seq: 1, coldLeftS: 0 },
    });
    record(
      `${formatTime(fleet.now())} another writer puts ${key}: service ` +
        `"inventory", address ${backend.address}`,
    );
  }
  await pause(CALM_MS);
  const after = await sendBoth("after");
  record(`after: ${describeBoth(after)}`);
  for (const { backend, ip } of archive) {
    record(`${ip} ${backend.instance} was listed as ready all the while`);
  }
  return findUnservedRoute(after);
}
