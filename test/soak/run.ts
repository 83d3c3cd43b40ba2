/** One run of the fault soak: daemons, callers, faults, and then the judge. */

import { type Mesh, startMesh } from "../platform/mesh.ts";
import { createInjector, getAddedPrefix, pause, WORK_MS } from "./inject.ts";
import { createAnswer, judge } from "./judge.ts";
import { createRandom, drawPlan, FAULTS_MS } from "./plan.ts";
import {
  CallKind,
  type CallRecord,
  type Fault,
  type FinalState,
  type History,
  type Violation,
} from "./types.ts";

/** Hosts of a run: enough for a failure domain to share readers, or too few. */
const HOSTS = [5, 12] as const;
const CALLERS_PER_HOST = 3;
const MIN_THINK_MS = 30;
const MAX_THINK_MS = 150;
const MIN_TIMEOUT_MS = 500;
const MAX_TIMEOUT_MS = 1_500;
const MAX_BODY_CHARS = 60_000;
/** A caller that waited this much longer than its own time leaves, in ms. */
const GIVE_UP_MS = 1_500;
/** Time without faults before the end, in ms: `stableS` + `configS` of the platform. */
const QUIET_MS = 5_000;
const FINAL_READS = 5;

const PATHS: Record<CallKind, string> = {
  [CallKind.Read]: "/read/1",
  [CallKind.Order]: "/order/1",
  [CallKind.Photo]: "/photo/1",
};

/** What a run found. */
export interface SoakReport {
  readonly seed: number;
  readonly plan: readonly Fault[];
  readonly violations: readonly Violation[];
  /** Requests by status, and `none` for those without an answer. */
  readonly statuses: Readonly<Record<string, number>>;
  /** Lines of all daemons, by host, for the search of a cause. */
  readonly logs: ReadonlyMap<string, readonly string[]>;
}

/** Runs a seed. `base` names a range of loopback addresses of its own. */
export async function runSoak(
  seed: number,
  options: { base: number },
): Promise<SoakReport> {
  const count = HOSTS[seed % HOSTS.length]!;
  const services = Array.from({ length: count }, () => "shop");
  const mesh = await startMesh(options.base, services, { hasRelays: true });
  try {
    return await runOn(mesh, seed);
  } finally {
    await mesh.close();
  }
}

async function runOn(mesh: Mesh, seed: number): Promise<SoakReport> {
  const random = createRandom(seed + 1);
  const calls: CallRecord[] = [];
  let isOver = false;
  for (const { upstream } of mesh.hosts) {
    upstream.workMs = WORK_MS;
    upstream.createBody = createAnswer;
  }
  const injector = createInjector(mesh);
  const plan = drawPlan(seed, mesh.hosts.length);
  const callers = mesh.hosts.flatMap((_, host) =>
    Array.from({ length: CALLERS_PER_HOST }, () => runCaller(host))
  );
  try {
    return await play();
  } finally {
    isOver = true;
    injector.finish();
  }

  async function play(): Promise<SoakReport> {
    const startedAt = performance.now();
    await Promise.all(plan.map(async (fault) => {
      await pause(fault.at);
      await injector.inject(fault);
    }));
    await pause(startedAt + FAULTS_MS - performance.now());
    injector.publish();
    await pause(QUIET_MS);
    isOver = true;
    await Promise.all(callers);
    const finals = await Promise.all(
      mesh.hosts.map((_, host) => probe(host)),
    );
    const history: History = {
      calls,
      runs: mesh.hosts.flatMap((h) =>
        h.upstream.runs.map(({ body, ...run }) => ({
          ...run,
          body: body.toString(),
        }))
      ).filter((r) => !r.id.startsWith("final")),
      arrivals: mesh.hosts.reduce((sum, h) => sum + h.upstream.arrivals, 0),
      injected: injector.injected,
      leavings: injector.leavings,
      ownEnds: injector.ownEnds,
      finals,
    };
    return {
      seed,
      plan,
      violations: judge(history),
      statuses: countStatuses(calls),
      logs: new Map(mesh.hosts.map((h) => [h.ip, h.lines])),
    };
  }

  async function runCaller(host: number): Promise<void> {
    while (!isOver) {
      await pause(MIN_THINK_MS + random() * (MAX_THINK_MS - MIN_THINK_MS));
      const call = createCall(host);
      calls.push(call);
      await send(call);
    }
  }

  function createCall(host: number): CallRecord {
    const kind = drawKind(random());
    const id = `s${seed}-${host}-${calls.length}`;
    const size = Math.floor(random() * MAX_BODY_CHARS);
    return {
      id,
      kind,
      host,
      sentAt: performance.now(),
      timeoutMs: MIN_TIMEOUT_MS +
        Math.floor(random() * (MAX_TIMEOUT_MS - MIN_TIMEOUT_MS)),
      body: kind === CallKind.Read ? "" : id.padEnd(size, "."),
    };
  }

  async function send(call: CallRecord): Promise<void> {
    const { id, kind, timeoutMs, body } = call;
    const signal = AbortSignal.timeout(timeoutMs + GIVE_UP_MS);
    const path = PATHS[kind];
    const what = { id, path, timeoutMs, signal };
    try {
      const seen = await mesh.call(
        mesh.hosts[call.host]!,
        kind === CallKind.Read ? what : { ...what, method: "POST", body },
      );
      call.status = seen.status;
      call.text = seen.text;
      call.isSigned =
        seen.headers["x-vanillarock-response-signature"] !== undefined;
    } catch (error) {
      call.error = String(error);
    }
    call.endedAt = performance.now();
  }

  async function probe(host: number): Promise<FinalState> {
    const version = injector.getVersion();
    const get = async (path: string, id: string) => {
      const what = { id: `final-${host}-${id}`, path };
      try {
        return (await mesh.call(mesh.hosts[host]!, what)).status;
      } catch {
        return 0;
      }
    };
    const reads: number[] = [];
    for (let i = 0; i < FINAL_READS; i++) {
      reads.push(await get("/read/1", `${i}`));
    }
    return {
      host,
      newestRoute: await get(`${getAddedPrefix(version)}1`, "newest"),
      droppedRoute: await get(`${getAddedPrefix(version - 1)}1`, "dropped"),
      reads,
    };
  }
}

/** Reads, orders and photos as 6 to 3 to 1. */
function drawKind(chance: number): CallKind {
  if (chance < 0.6) return CallKind.Read;
  return chance < 0.9 ? CallKind.Order : CallKind.Photo;
}

function countStatuses(calls: readonly CallRecord[]): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const { status } of calls) {
    const name = String(status ?? "none");
    counts[name] = (counts[name] ?? 0) + 1;
  }
  return counts;
}
