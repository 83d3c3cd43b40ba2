/**
 * One run of the fault soak: daemons under load and faults, then a check of the
 * guarantees.
 */

import { readdirSync, readFileSync } from "node:fs";
import {
  CALLER_PORT,
  type CallerResponse,
  type Deployment,
  PLATFORM_NODE_ARGS,
  startDeployment,
} from "../platform/mesh.ts";
import { INSTANCE_HEADER } from "../platform/upstream_stand_in.ts";
import { openPipe, type Pipe } from "../support/pipelining_caller.ts";
import {
  COLD_OVER,
  COLD_PER_S,
  COLD_SLACK,
  createResponseBody,
  EVACUATE_MS,
  judge,
} from "./find_violations.ts";
import {
  COLD_MS,
  createInjector,
  getAddedPrefix,
  getUnreadablePrefix,
  pause,
  WORK_MS,
} from "./inject.ts";
import { createRandom, drawPlan, drawStops, FAULT_WINDOW_MS } from "./plan.ts";
import {
  CallKind,
  type CallRecord,
  type Fault,
  type FinalState,
  type HeldUpSpan,
  type History,
  type PeakMemory,
  type StarvedSpan,
  type StrayRecord,
  type Verdict,
  VersionRoute,
} from "./types.ts";

/** Numbers of hosts; in fleets of these sizes each daemon reads the store itself. */
const HOST_COUNTS = [5, 12] as const;
const CALLERS_PER_HOST = 3;
/** While faults are injected, one host in so many has a caller that sends requests behind each other. */
const HOSTS_PER_PIPE = 4;
/** Callers of each host around the planned stops, and those of the hosts that stop which send requests behind each other. */
const CALLERS_WHILE_STOPPING = 1;
const PIPES_WHILE_STOPPING = 2;
const MIN_DEPTH = 2;
const MAX_DEPTH = 4;
/** Longest answer that such a caller reads, in bytes; an upstream may send bytes without end. */
const MAX_PIPED_BYTES = 65_536;
/** Time from the start of the load to the planned stops, in ms. */
const BEFORE_STOPS_MS = 500;
const MIN_THINK_MS = 30;
const MAX_THINK_MS = 150;
const MIN_TIMEOUT_MS = 500;
const MAX_TIMEOUT_MS = 1_500;
const MAX_BODY_CHARS = 60_000;
/** Time after its own timeout at which a caller cancels a request, in ms. */
const GIVE_UP_MS = 1_500;
/**
 * Time without new faults before the end, in ms: `stableS` + `configS` of the
 * platform.
 */
const QUIET_MS = 5_000;
const FINAL_READS = 5;
/** Interval at which the daemons' processes are looked at, in ms. */
const SAMPLE_MS = 250;
/** Interval at which the soak's process measures how late its own timers are, in ms. */
const TICK_MS = 10;
/** Lateness that counts as held up, in ms: well above that of timers in calm. */
const HELD_UP_MS = 50;
/** Time without a processor in one interval that is recorded, in ms. */
const STARVED_MS = 10;
const NS_PER_MS = 1e6;

const PATHS: Record<CallKind, string> = {
  [CallKind.Read]: "/read/1",
  [CallKind.Order]: "/order/1",
  [CallKind.Photo]: "/photo/1",
};

const VERSION_PREFIXES: Record<VersionRoute, (version: number) => string> = {
  [VersionRoute.Added]: getAddedPrefix,
  [VersionRoute.Unreadable]: getUnreadablePrefix,
};
/** Share of reads on the routes that only one version has. */
const VERSIONED_SHARE = 0.2;

/** The result of a run. */
export interface SoakReport extends Verdict {
  readonly seed: number;
  readonly plan: readonly Fault[];
  /**
   * Number of requests by status, `none` for those without a response; only
   * those that were sent alone, before the planned stops.
   */
  readonly statuses: Readonly<Record<string, number>>;
  /** The same of the other requests. */
  readonly otherStatuses: Readonly<Record<string, number>>;
  /** Longest time for which the process of callers, upstreams and store was held up, in ms. */
  readonly heldUpMs: number;
  /** Longest time without a processor of a daemon from one look at it to the next, in ms. */
  readonly starvedMs: number;
  /** Most resident memory that a daemon had, in bytes. */
  readonly peakBytes: number;
}

/** A run in full. */
export interface SoakRun {
  readonly report: SoakReport;
  readonly history: History;
  /** Log lines of all daemons, by host. */
  readonly logs: ReadonlyMap<string, readonly string[]>;
}

/** Runs a seed on the loopback network `127.0.<base>.0/24`. */
export async function runSoak(
  seed: number,
  options: { base: number },
): Promise<SoakRun> {
  const count = HOST_COUNTS[seed % HOST_COUNTS.length]!;
  const services = Array.from({ length: count }, () => "shop");
  const deployment = await startDeployment(options.base, services, {
    hasRelays: true,
    nodeArgs: PLATFORM_NODE_ARGS,
    bounds: {
      evacuateS: EVACUATE_MS / 1_000,
      coldOver: COLD_OVER,
      coldSlack: COLD_SLACK,
    },
    serviceColumns: { coldPerS: COLD_PER_S, coldStartS: COLD_MS / 1_000 },
  });
  try {
    return await runSeed(deployment, seed);
  } finally {
    await deployment.close();
  }
}

async function runSeed(
  deployment: Deployment,
  seed: number,
): Promise<SoakRun> {
  const random = createRandom(seed + 1);
  const calls: CallRecord[] = [];
  const strays: StrayRecord[] = [];
  /** By process. */
  const peakMemory = new Map<number, PeakMemory>();
  const heldUp: HeldUpSpan[] = [];
  const starved: StarvedSpan[] = [];
  /** Time for which the threads of each process had waited for a processor at the last sample, in ms. */
  const waited = new Map<
    number,
    { at: number; threads: Map<string, number> }
  >();
  let tickedAt = performance.now();
  let isOver = false;
  for (const { upstream } of deployment.hosts) {
    upstream.workMs = WORK_MS;
    upstream.createBody = createResponseBody;
  }
  const injector = createInjector(deployment);
  const plan = drawPlan(seed, deployment.hosts.length);
  const sampling = setInterval(sampleProcesses, SAMPLE_MS);
  const ticking = setInterval(tick, TICK_MS);
  try {
    return await runPlan();
  } finally {
    isOver = true;
    clearInterval(sampling);
    clearInterval(ticking);
    injector.finish();
  }

  async function runPlan(): Promise<SoakRun> {
    const startedAt = performance.now();
    const hosts = [...deployment.hosts.keys()];
    const callers = startCallers(
      CALLERS_PER_HOST,
      hosts.filter((host) => host % HOSTS_PER_PIPE === 0),
    );
    await injectAll(plan);
    await pause(startedAt + FAULT_WINDOW_MS - performance.now());
    injector.publish(random());
    await pause(QUIET_MS);
    isOver = true;
    await Promise.all(callers);
    const finals = await Promise.all(
      deployment.hosts.map((_, host) => probe(host)),
    );
    const alone = new Set(calls.filter((c) => c.isPiped !== true));
    await runStops();
    sampleProcesses();
    const history: History = {
      calls,
      strays,
      runs: deployment.hosts.flatMap((h) =>
        h.upstream.runs.map(({ body, ...run }) => ({
          ...run,
          body: body.toString(),
        }))
      ).filter((r) => !/^(final|fatal)-/.test(r.id)),
      arrivals: deployment.hosts.flatMap(({ zone, upstream }) =>
        upstream.arrived.map((a) => ({ ...a, zone }))
      ),
      limits: injector.limits,
      injected: injector.injected,
      departures: injector.departures,
      evacuations: injector.evacuations,
      coldSpans: injector.coldSpans,
      publications: injector.publications,
      fatalCalls: injector.fatalCalls,
      ends: deployment.hosts.flatMap((h) => h.upstream.ends)
        .sort((a, b) => a - b),
      endlessOpen: deployment.hosts.filter((h) => h.upstream.endlessOpen > 0)
        .map((h) => h.upstream.instance),
      heldUp,
      starved,
      peakMemory: [...peakMemory.values()],
      unexpectedExits: injector.unexpectedExits,
      finals,
    };
    const report: SoakReport = {
      seed,
      plan,
      ...judge(history),
      statuses: countStatuses([...alone]),
      otherStatuses: countStatuses(calls.filter((c) => !alone.has(c))),
      heldUpMs: Math.round(Math.max(0, ...heldUp.map((s) => s.until - s.from))),
      starvedMs: Math.round(Math.max(0, ...starved.map((s) => s.waitedMs))),
      peakBytes: Math.max(0, ...[...peakMemory.values()].map((p) => p.bytes)),
    };
    const logs = new Map(deployment.hosts.map((h) => [h.ip, h.lines]));
    return { report, history, logs };
  }

  function tick(): void {
    const from = tickedAt + TICK_MS;
    tickedAt = performance.now();
    if (tickedAt - from >= HELD_UP_MS) heldUp.push({ from, until: tickedAt });
  }

  /** Stops daemons in calm: the faults have been over for `stableS`. */
  async function runStops(): Promise<void> {
    isOver = false;
    const stops = drawStops(seed, deployment.hosts.length);
    const stopping = [...new Set(stops.map((stop) => stop.host))];
    const callers = startCallers(
      CALLERS_WHILE_STOPPING,
      stopping.flatMap((host) => Array(PIPES_WHILE_STOPPING).fill(host)),
    );
    await pause(BEFORE_STOPS_MS);
    await injectAll(stops);
    isOver = true;
    await Promise.all(callers);
  }

  async function injectAll(faults: readonly Fault[]): Promise<void> {
    await Promise.all(faults.map(async (fault) => {
      await pause(fault.at);
      await injector.inject(fault);
    }));
  }

  /** Starts some callers at each host, and one for each of `pipedHosts` that sends requests behind each other. */
  function startCallers(
    perHost: number,
    pipedHosts: readonly number[],
  ): Promise<void>[] {
    const callers = deployment.hosts.flatMap((_, host) =>
      Array.from({ length: perHost }, () => runCaller(host))
    );
    return [...callers, ...pipedHosts.map((host) => runPipingCaller(host))];
  }

  /** The kernel keeps the counts of each process, so that samples of the peak memory are needed for those only that end. */
  function sampleProcesses(): void {
    const at = performance.now();
    for (const [host, { process }] of deployment.hosts.entries()) {
      const pid = process.pid!;
      const bytes = readPeakMemory(pid);
      if (bytes !== undefined) peakMemory.set(pid, { host, bytes });
      const { at: before, threads } = waited.get(pid) ??
        { at, threads: new Map<string, number>() };
      const now = readWaitTimes(pid);
      waited.set(pid, { at, threads: now });
      const waitedMs = Math.max(
        0,
        ...[...now].map(([id, ms]) => ms - (threads.get(id) ?? ms)),
      );
      if (waitedMs < STARVED_MS) continue;
      // A wait is counted when it ends.
      const from = Math.min(before, at - waitedMs);
      starved.push({ host, from, until: at, waitedMs });
    }
  }

  async function runCaller(host: number): Promise<void> {
    while (!isOver) {
      await pause(drawThinkTime());
      await send(createCall(host, { timeoutMs: drawTimeout() }));
    }
  }

  /** Uses each connection until it ends, also while the daemon stops. */
  async function runPipingCaller(host: number): Promise<void> {
    const { ip } = deployment.hosts[host]!;
    while (!isOver) {
      await pause(drawThinkTime());
      const pipe = await openPipe(ip, CALLER_PORT, {
        maxAnswerBytes: MAX_PIPED_BYTES,
      }).catch(() => undefined);
      if (pipe === undefined) continue;
      while (!isOver && pipe.isOpen()) {
        const depth = await sendBatch(host, pipe);
        await pause(depth * drawThinkTime());
      }
      pipe.close();
      const bytes = pipe.getStray();
      if (bytes !== "") strays.push({ host, bytes });
    }
  }

  /** Resolves to the number of requests; all have one timeout, as an answer waits for those before it. */
  async function sendBatch(host: number, pipe: Pipe): Promise<number> {
    const depth = MIN_DEPTH +
      Math.floor(random() * (MAX_DEPTH + 1 - MIN_DEPTH));
    const timeoutMs = drawTimeout();
    const batch = Array.from(
      { length: depth },
      () => createCall(host, { timeoutMs, isPiped: true }),
    );
    const givingUp = setTimeout(() => {
      const waiting = batch.filter((c) => c.endedAt === undefined);
      for (const call of waiting) call.hasGivenUp = pipe.isOpen();
      pipe.close();
    }, timeoutMs + GIVE_UP_MS);
    await Promise.all(batch.map((call) => sendPiped(pipe, call)));
    clearTimeout(givingUp);
    return depth;
  }

  async function sendPiped(pipe: Pipe, call: CallRecord): Promise<void> {
    const { id, timeoutMs, body } = call;
    const answer = await pipe.send({
      id,
      path: getPath(call),
      timeoutMs,
      ...(call.kind !== CallKind.Read && { method: "POST", body }),
    });
    if (answer.isWhole) {
      recordResponse(call, {
        status: answer.status!,
        headers: answer.headers,
        text: answer.body.toString(),
      });
    } else call.error = "closed without a whole answer";
    call.endedAt = answer.endedAt;
  }

  function drawThinkTime(): number {
    return MIN_THINK_MS + random() * (MAX_THINK_MS - MIN_THINK_MS);
  }

  function drawTimeout(): number {
    return MIN_TIMEOUT_MS +
      Math.floor(random() * (MAX_TIMEOUT_MS - MIN_TIMEOUT_MS));
  }

  function createCall(
    host: number,
    options: { timeoutMs: number; isPiped?: boolean },
  ): CallRecord {
    const kind = drawKind(random());
    const isVersioned = kind === CallKind.Read && random() < VERSIONED_SHARE;
    const id = `s${seed}-${host}-${calls.length}`;
    const size = Math.floor(random() * MAX_BODY_CHARS);
    const call: CallRecord = {
      ...options,
      id,
      kind,
      host,
      sentAt: performance.now(),
      body: kind === CallKind.Read ? "" : id.padEnd(size, "."),
      ...(isVersioned && {
        // The newest or the one before, which a daemon may still have.
        version: injector.getVersion() - Math.floor(random() * 2),
        route: random() < 0.5 ? VersionRoute.Added : VersionRoute.Unreadable,
      }),
    };
    calls.push(call);
    return call;
  }

  async function send(call: CallRecord): Promise<void> {
    const { id, kind, timeoutMs, body } = call;
    const signal = AbortSignal.timeout(timeoutMs + GIVE_UP_MS);
    const req = { id, path: getPath(call), timeoutMs, signal };
    try {
      const res = await deployment.call(
        deployment.hosts[call.host]!,
        kind === CallKind.Read ? req : { ...req, method: "POST", body },
      );
      recordResponse(call, res);
    } catch (error) {
      call.error = String(error);
      call.hasGivenUp = error === signal.reason;
    }
    call.endedAt = performance.now();
  }

  async function probe(host: number): Promise<FinalState> {
    const version = injector.getVersion();
    const get = async (path: string, id: string) => {
      const req = { id: `final-${host}-${id}`, path };
      try {
        return (await deployment.call(deployment.hosts[host]!, req)).status;
      } catch {
        return 0;
      }
    };
    const from = performance.now();
    const reads: number[] = [];
    for (let i = 0; i < FINAL_READS; i++) {
      reads.push(await get("/read/1", `${i}`));
    }
    const until = performance.now();
    return {
      host,
      from,
      until,
      newestRoute: await get(`${getAddedPrefix(version)}1`, "newest"),
      droppedRoute: await get(`${getAddedPrefix(version - 1)}1`, "dropped"),
      unreadableRoute: await get(
        `${getUnreadablePrefix(version)}1`,
        "unreadable",
      ),
      reads,
    };
  }
}

function getPath({ kind, route, version }: CallRecord): string {
  return route === undefined
    ? PATHS[kind]
    : `${VERSION_PREFIXES[route](version!)}1`;
}

function recordResponse(
  call: CallRecord,
  { status, headers, text }: CallerResponse,
): void {
  call.status = status;
  call.text = text;
  const instance = headers[INSTANCE_HEADER];
  if (typeof instance === "string") call.instance = instance;
  call.statesLimit = headers["server-limit"] !== undefined;
  call.statesLeaving = headers["server-leaving"] !== undefined;
  call.isSigned = headers["x-vanillarock-response-signature"] !== undefined;
  const answeredId = headers["x-vanillarock-attempt-id"];
  if (typeof answeredId === "string") call.answeredId = answeredId;
}

/** Draws reads, orders and photos in the ratio 6:3:1. */
function drawKind(chance: number): CallKind {
  if (chance < 0.6) return CallKind.Read;
  return chance < 0.9 ? CallKind.Order : CallKind.Photo;
}

/** Most resident memory of a process, in bytes; undefined if it has ended. */
function readPeakMemory(pid: number): number | undefined {
  try {
    const status = readFileSync(`/proc/${pid}/status`, "utf8");
    const kib = /^VmHWM:\s+(\d+) kB$/m.exec(status)?.[1];
    return kib === undefined ? undefined : 1_024 * Number(kib);
  } catch {
    return undefined;
  }
}

/** Time for which each thread of a process was ready to run without a processor, in ms by its id; the main thread waits for those that collect garbage. */
function readWaitTimes(pid: number): Map<string, number> {
  const times = new Map<string, number>();
  try {
    for (const id of readdirSync(`/proc/${pid}/task`)) {
      const counts = readFileSync(`/proc/${pid}/task/${id}/schedstat`, "utf8");
      times.set(id, Number(counts.split(" ")[1]) / NS_PER_MS);
    }
  } catch {
    // The process, or this thread, has ended.
  }
  return times;
}

function countStatuses(calls: readonly CallRecord[]): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const { status } of calls) {
    const name = String(status ?? "none");
    counts[name] = (counts[name] ?? 0) + 1;
  }
  return counts;
}
