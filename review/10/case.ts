/**
 * A request that ends the backends that run it, after some machines were taken
 * away as planned: the three daemons that are to collect what others observe of
 * the request were on these machines.
 */

import { orderByHash } from "../../src/core/host_order.ts";
import { createSignature } from "../../src/daemon/request_signature.ts";
import {
  type Answer,
  CannotRun,
  type Machine,
  pause,
} from "../support-2/deployment.ts";
import {
  type CaseContext,
  countStatuses,
  formatTime,
  runCase,
} from "../support-2/run_case.ts";

/** "in more than three retries". */
const ALLOWED_LATER = 3;
const THIRD = 3;
const STABLE_MS = 3_000;
/** "the backend is back after some seconds". */
const DOWN_MS = 2_000;
/** Three heartbeats of 1.5 s, after which the store drops a silent backend's entry. */
const LAPSE_MS = 4_500;
const DRAIN_MS = 2_000;
const BODY = "fatal";
const FATAL_EVERY_MS = 900;
const FATAL_FOR_MS = 25_000;
const ORDER_EVERY_MS = 60;
/** Machines of each planned removal: of 14, 12 and 11, so 0.15 at most. */
const REMOVALS = [2, 1, 1];
/** Daemons that collect what others observe (`COLLECTOR_COUNT`). */
const COLLECTORS = 3;
const MAX_PATHS = 20_000;

void runCase("review/10", play);

async function play(
  { fleet, hasTrouble, record }: CaseContext,
): Promise<string | undefined> {
  for (const [service, count] of [["orders", 4], ["boards", 10]] as const) {
    for (let i = 0; i < count; i++) await fleet.addMachine(service);
  }
  const orders = fleet.machines.filter((it) => it.service === "orders");
  const boards = fleet.machines.filter((it) => it.service === "boards");
  fleet.publish(1, [{
    name: "orders",
    prefix: "/orders/",
    kind: "unsafe",
    service: "orders",
    timeoutS: 2,
    sloS: 0.4,
  }]);
  await Promise.all(fleet.machines.map(fleet.waitUntilReady));
  await pause(1_000);

  const total = fleet.machines.length;
  const removed: Machine[] = [];
  for (const count of REMOVALS) {
    const leaving = boards.splice(0, count);
    removed.push(...leaving);
    await Promise.all(leaving.map(scaleIn));
  }
  record(
    `${formatTime(fleet.now())} ${removed.length} of ${total} machines were ` +
      "taken away",
  );
  // From here on, all machines are undisturbed for longer than stableS.
  await pause(STABLE_MS + 500);

  const { path, share } = findPath();
  record(
    `request: POST ${path}; of such paths ${(100 * share).toFixed(1)} in 100 ` +
      "have all three collectors among the machines that were taken away",
  );
  const ends: { at: number; instance: string }[] = [];
  for (const machine of orders) {
    machine.backend.isFatal = (it) => hasTrouble && it === path;
    machine.backend.onEnded = (instance) => {
      ends.push({ at: fleet.now(), instance });
      void startAgain(machine, instance);
    };
  }
  const fatal: Promise<Answer>[] = [];
  const others: Promise<Answer>[] = [];
  const timers = [
    setInterval(() => {
      const id = `fatal-${fatal.length + 1}`;
      // The same caller: the service on these machines.
      const machine = boards[fatal.length % boards.length]!;
      fatal.push(fleet.call(machine, { id, path, method: "POST", body: BODY }));
    }, FATAL_EVERY_MS),
    setInterval(() => {
      const id = `order-${others.length + 1}`;
      const machine = boards[others.length % boards.length]!;
      const body = `velvet ${others.length}`;
      others.push(
        fleet.call(machine, { id, path: "/orders/", method: "POST", body }),
      );
    }, ORDER_EVERY_MS),
  ];
  await pause(FATAL_FOR_MS);
  timers.forEach((timer) => clearInterval(timer));
  const answers = await Promise.all(fatal);
  const served = await Promise.all(others);

  const offset = performance.now() - fleet.now();
  const sentAt = new Map(answers.map((it) => [it.id, it.sentAt]));
  const arrivals = orders.flatMap(({ backend }) =>
    backend.arrived
      .filter((it) => it.id.startsWith("fatal-") && !it.isMisdirected)
      .map((it) => ({ ...it, at: it.at - offset }))
  ).sort((a, b) => a.at - b.at);
  for (const { at, instance } of ends) {
    record(`${formatTime(at)} ${instance} ends`);
  }
  record(`fatal requests, answers by status: ${countStatuses(answers)}`);
  record(`other orders: ${countStatuses(served)}`);
  const third = ends[THIRD - 1]?.at ?? Infinity;
  const later = arrivals.filter(({ id }) =>
    sentAt.get(id)! > third + STABLE_MS
  );
  record(
    `backends ended ${ends.length} times; ${later.length} of the request's ` +
      "retries were sent later than stableS after the third end and reached " +
      `a backend; ${ALLOWED_LATER} are allowed`,
  );
  return later.length > ALLOWED_LATER
    ? `BUDGET: ${later.length} retries of the request reached backends`
    : undefined;

  /** Planned: the backend drains, leaves, and its machine goes with it. */
  async function scaleIn(machine: Machine): Promise<void> {
    fleet.list(machine, "draining");
    await pause(DRAIN_MS + 500);
    fleet.store.remove(`servers/${machine.backend.instance}`);
    machine.backend.end();
    await fleet.stopDaemon(machine);
  }

  async function startAgain(machine: Machine, ended: string): Promise<void> {
    await pause(DOWN_MS);
    await machine.backend.start(`i-${machine.ip}-${ends.length}`);
    machine.born = Date.now();
    machine.seq = 0;
    fleet.list(machine);
    await pause(LAPSE_MS - DOWN_MS);
    fleet.store.remove(`servers/${ended}`);
  }

  /** The first path whose collectors have left, and the share of such paths. */
  function findPath(): { path: string; share: number } {
    const hosts = fleet.machines.map((it) => it.ip);
    const gone = new Set(removed.map((it) => it.ip));
    const found: string[] = [];
    for (let i = 1; i <= MAX_PATHS; i++) {
      const path = `/orders/${i}`;
      const sign = createSignature({
        method: "POST",
        headers: { host: fleet.host },
        url: path,
      }, Buffer.from(BODY));
      const collectors = orderByHash(hosts, sign()).slice(0, COLLECTORS);
      if (collectors.every((it) => gone.has(it))) found.push(path);
    }
    const [path] = found;
    if (path === undefined) throw new CannotRun("no such path");
    return { path, share: found.length / MAX_PATHS };
  }
}
