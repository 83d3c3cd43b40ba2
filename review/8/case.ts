/** A backend in need names its limit as a decimal number with all its digits. */

import { type Answer, pause } from "../support-2/deployment.ts";
import {
  type CaseContext,
  countStatuses,
  formatTime,
  runCase,
} from "../support-2/run_case.ts";

/** 20 in 3 s, as most languages print it. */
const LIMIT_PER_S = 20 / 3;
const STABLE_MS = 3_000;
const WINDOW_MS = 4_000;
/** "machines that had passed on such an answer half a second before or earlier". */
const KNOWN_MS = 500;
/** "more than one and a half times what that allows, + 5 requests". */
const OVER = 1.5;
const SLACK = 5;
const EVERY_MS = 16;
const FOR_MS = 15_000;

void runCase("review/8", play);

async function play(
  { fleet, hasTrouble, record }: CaseContext,
): Promise<string | undefined> {
  for (const service of ["orders", "orders", "orders", "boards", "boards"]) {
    const machine = await fleet.addMachine(service);
    machine.backend.workMs = 20;
  }
  fleet.publish(1, [{
    name: "orders",
    prefix: "/orders/",
    kind: "safe",
    service: "orders",
    timeoutS: 2,
    sloS: 0.3,
  }]);
  await Promise.all(fleet.machines.map(fleet.waitUntilReady));
  await pause(3_500);

  const { backend } = fleet.machines[0]!;
  // With LIMIT, another number in the header, for comparison.
  const limit = Number(process.env["LIMIT"] ?? LIMIT_PER_S);
  if (hasTrouble) backend.limitPerS = limit;
  const sent: Promise<Answer>[] = [];
  const timer = setInterval(() => {
    const id = `read-${sent.length + 1}`;
    const machine = fleet.machines[sent.length % fleet.machines.length]!;
    sent.push(fleet.call(machine, { id, path: `/orders/${sent.length}` }));
  }, EVERY_MS);
  await pause(FOR_MS);
  clearInterval(timer);
  const answers = await Promise.all(sent);

  const offset = performance.now() - fleet.now();
  /** Time at which each machine first passed on an answer that names the limit. */
  const toldAt = new Map<string, number>();
  for (const { machine, endedAt, headers } of answers) {
    if (headers["server-limit"] === undefined) continue;
    const before = toldAt.get(machine) ?? Infinity;
    toldAt.set(machine, Math.min(before, endedAt));
  }
  const namedAt = Math.min(...toldAt.values());
  const machineOf = new Map(answers.map((it) => [it.id, it.machine]));
  const arrivals = backend.arrived
    .filter((it) => it.id.startsWith("read-") && !it.isMisdirected)
    .map(({ at, id }) => ({ at: at - offset, id }))
    .filter(({ at, id }) => {
      const known = toldAt.get(machineOf.get(id)!) ?? Infinity;
      return at >= namedAt + STABLE_MS && at >= known + KNOWN_MS;
    });
  let most = 0;
  let mostFrom = 0;
  for (const { at: from } of arrivals) {
    const count = arrivals.filter(({ at }) =>
      at >= from && at < from + WINDOW_MS
    ).length;
    if (count <= most) continue;
    most = count;
    mostFrom = from;
  }
  const allowed = OVER * limit * WINDOW_MS / 1_000 + SLACK;
  record(`answers by status: ${countStatuses(answers)}`);
  for (const [ip, at] of toldAt) {
    record(`${formatTime(at)} ${ip} has passed on the limit`);
  }
  record(`header Server-Limit: ${hasTrouble ? limit : "none"}`);
  record(
    `most in 4 s: ${most}, from ${formatTime(mostFrom)}; with the limit ` +
      `${allowed.toFixed(1)} are allowed`,
  );
  return hasTrouble && most > allowed
    ? `LIMIT: ${most} requests in 4 s where ${allowed.toFixed(1)} are allowed`
    : undefined;
}
