/** Injects faults into a running deployment, from outside the daemons. */

import {
  type Deployment,
  type DeploymentHost,
  ROUTE_COLUMNS,
} from "../platform/mesh.ts";
import { StoreMode } from "../platform/store_stand_in.ts";
import { ENDLESS_MODES, UpstreamMode } from "../platform/upstream_stand_in.ts";
import { RelayMode } from "../support/relay.ts";
import { EVACUATE_MS } from "./find_violations.ts";
import {
  CallKind,
  type CallRecord,
  type ColdSpan,
  type Departure,
  type Evacuation,
  type Fault,
  FaultKind,
  type InjectedFault,
  type LimitSpan,
  type Publication,
  type UnexpectedExit,
} from "./types.ts";

/** Service time of an upstream, in ms. */
export const WORK_MS = 20;
/** Slowdown factor of a slow upstream. */
const SLOW_FACTOR = 8;
/** Longest delay of bytes between daemons, in ms. */
const MAX_DELAY_MS = 250;
/** Idle time after which `UpstreamResetsIdle` resets a connection, in ms. */
const MAX_IDLE_MS = 200;
/**
 * Time after SIGTERM until a process is killed, in ms: `graceS` of the
 * platform.
 */
const GRACE_MS = 6_000;
/** Shortest time for which an upstream serves after it was listed as draining, in ms. */
const DEPARTURE_MS = 2_500;
/** Age of the oldest copy that the store comes back from, in ms. */
const MAX_COPY_AGE_MS = 4_000;
/** Longest time until writers have written again what the store lost, in ms; shorter than the 2 s of the platform. */
const MAX_REWRITE_MS = 1_500;
/** Highest limit that an upstream states, in requests per second; it gets about 27 without one. */
const MAX_LIMIT_PER_S = 8;
/** Time for which an upstream states a limit, in ms: `stableS`, and a span of 4 s in which it is checked. */
const LIMIT_MS = 7_500;
/** Shortest time for which a failure domain is evacuated, in ms: `evacuateS`, and a time in which it is checked. */
const EVACUATED_MS = EVACUATE_MS + 2_000;
/** Time for which an upstream is cold, in ms. */
export const COLD_MS = 3_000;
/** Slowdown factor of a cold upstream. */
const COLD_SLOWDOWN = 2;
/** Longest wait for a daemon to become ready, in ms; long, as other faults may delay it. */
const START_TIMEOUT_MS = 8_000;
/** Interval at which a process that boots is looked at, in ms. */
const BOOT_POLL_MS = 10;
/** Delay until a process that ended is restarted, in ms. */
const RESTART_MS = 100;

/** Time for which a fatal request comes, in ms: `stableS` of the platform after some ends, and a time in which it is checked. */
const FATAL_MS = 7_500;
/** Time between two of its attempts, in ms. */
const FATAL_INTERVAL_MS = 100;
const FATAL_TIMEOUT_MS = 800;
/** Path of fatal requests. */
export const FATAL_PATH = "/read/fatal";

const FAULTY_MODES: readonly UpstreamMode[] = [
  UpstreamMode.LosesResponse,
  UpstreamMode.TruncatesResponse,
  UpstreamMode.RespondsTwice,
  UpstreamMode.Unsigned,
  UpstreamMode.ResetsUnframed,
  UpstreamMode.Unframed,
  UpstreamMode.Hangs,
  UpstreamMode.Fails,
  UpstreamMode.Shedding,
];

/** Values that make the row of a route unreadable, by column. */
const UNREADABLE_CELLS: readonly Record<string, unknown>[] = [
  { kind: 7 },
  { kind: null },
  { timeoutS: "soon" },
  { timeoutS: -1 },
  { sloS: [] },
  { priority: {} },
  { attempts: "many" },
  { service: 7 },
  { service: "unknown" },
  { split: "half" },
];

/** Injects faults and records them. */
export interface Injector {
  readonly injected: readonly InjectedFault[];
  readonly departures: readonly Departure[];
  readonly limits: readonly LimitSpan[];
  readonly evacuations: readonly Evacuation[];
  readonly coldSpans: readonly ColdSpan[];
  readonly unexpectedExits: readonly UnexpectedExit[];
  readonly fatalCalls: readonly CallRecord[];
  /** Injects a fault; resolves once it is over. */
  inject(fault: Fault): Promise<void>;
  readonly publications: readonly Publication[];
  /**
   * Publishes a configuration with a route that only this version has, and with
   * an unreadable row that the strength selects.
   */
  publish(strength?: number): void;
  getVersion(): number;
  /**
   * Ends the run: processes that exit from now on are neither recorded nor
   * restarted.
   */
  finish(): void;
}

/** Prefix of the route that only one version has. */
export function getAddedPrefix(version: number): string {
  return `/added-${version}/`;
}

/** Prefix of the unreadable route of one version. */
export function getUnreadablePrefix(version: number): string {
  return `/read/unreadable-${version}/`;
}

function createUnreadableRow(version: number, strength: number): unknown[] {
  const row: Record<string, unknown> = {
    name: "unreadable",
    host: "shop",
    prefix: getUnreadablePrefix(version),
    kind: "safe",
    timeoutS: 2,
    sloS: 1,
    priority: 2,
    attempts: 3,
    service: "shop",
    split: null,
    ...UNREADABLE_CELLS[Math.floor(strength * UNREADABLE_CELLS.length)],
  };
  return ROUTE_COLUMNS.map((column) => row[column]);
}

/**
 * Creates an injector and restarts the deployment's processes when they exit.
 */
export function createInjector(deployment: Deployment): Injector {
  const injected: InjectedFault[] = [];
  const departures: Departure[] = [];
  const limits: LimitSpan[] = [];
  /** The limit that each upstream states now; a later one replaces it. */
  const limitsInForce = new Map<number, LimitSpan>();
  const evacuations: Evacuation[] = [];
  const coldSpans: ColdSpan[] = [];
  const publications: Publication[] = [];
  const unexpectedExits: UnexpectedExit[] = [];
  const fatalCalls: CallRecord[] = [];
  /** Processes that a fault ends, with the delay until their restart in ms. */
  const restartDelays = new WeakMap<object, number>();
  /** Number of log lines of the host when a process was started. */
  const linesBefore = new WeakMap<object, number>();
  let version = 1;
  let incarnationCount = 0;
  let isFinished = false;

  const handlers: Record<FaultKind, (fault: Fault) => Promise<void>> = {
    [FaultKind.PeersSlow]: async (fault) => {
      const { peers } = getHost(fault).links!;
      peers.setDelay(fault.strength * MAX_DELAY_MS);
      await pause(fault.durationMs);
      peers.setDelay(0);
    },
    [FaultKind.PeersReset]: (fault) => {
      getHost(fault).links!.peers.cut();
      return Promise.resolve();
    },
    [FaultKind.PeersUnresponsive]: (fault) =>
      applyRelayMode(fault, RelayMode.DropsAll),
    [FaultKind.PeersDropReplies]: (fault) =>
      applyRelayMode(fault, RelayMode.DropsReplies),
    [FaultKind.StoreUnresponsive]: async (fault) => {
      const { store } = getHost(fault).links!;
      store.setMode(RelayMode.DropsAll);
      await pause(fault.durationMs);
      store.setMode(RelayMode.Forwarding);
    },
    [FaultKind.StoreReset]: (fault) => {
      getHost(fault).links!.store.cut();
      return Promise.resolve();
    },
    [FaultKind.StoreBusy]: async (fault) => {
      deployment.store.setMode(StoreMode.Busy);
      await pause(fault.durationMs);
      deployment.store.setMode(StoreMode.Serving);
    },
    [FaultKind.StoreCompacted]: () => {
      deployment.store.compact();
      return Promise.resolve();
    },
    [FaultKind.Paused]: async (fault) => {
      const { process } = getHost(fault);
      process.kill("SIGSTOP");
      await pause(fault.durationMs);
      process.kill("SIGCONT");
    },
    [FaultKind.Killed]: async (fault) => {
      const host = getHost(fault);
      restartDelays.set(host.process, fault.durationMs);
      host.process.kill("SIGKILL");
      await pause(fault.durationMs);
      await waitUntilReady(host);
    },
    [FaultKind.Stopped]: stop,
    [FaultKind.Reloaded]: async (fault) => {
      const host = getHost(fault);
      const { process } = host;
      await waitUntilBooted(host);
      process.kill("SIGHUP");
    },
    [FaultKind.Drained]: async (fault) => {
      const host = getHost(fault);
      const { instance } = host.upstream;
      deployment.list(host, { state: "draining" });
      departures.push({ instance, at: performance.now() });
      await pause(DEPARTURE_MS + fault.durationMs);
      replaceUpstream(host, instance);
    },
    [FaultKind.UpstreamCrashed]: async (fault) => {
      const host = getHost(fault);
      const { instance } = host.upstream;
      crash(host);
      await pause(fault.durationMs);
      deployment.store.remove(`servers/${instance}`);
      relist(host);
    },
    [FaultKind.UpstreamFaulty]: async (fault) => {
      const { upstream } = getHost(fault);
      upstream.mode =
        FAULTY_MODES[Math.floor(fault.strength * FAULTY_MODES.length)]!;
      await pause(fault.durationMs);
      upstream.mode = UpstreamMode.Serving;
    },
    [FaultKind.UpstreamSlow]: async (fault) => {
      const { upstream } = getHost(fault);
      upstream.workMs = WORK_MS * SLOW_FACTOR;
      upstream.slowdownPercent = 100 * SLOW_FACTOR;
      await pause(fault.durationMs);
      upstream.workMs = WORK_MS;
      upstream.slowdownPercent = 100;
    },
    [FaultKind.UpstreamResetsIdle]: async (fault) => {
      const { upstream } = getHost(fault);
      upstream.maxIdleMs = MAX_IDLE_MS;
      await pause(fault.durationMs);
      upstream.maxIdleMs = Infinity;
    },
    [FaultKind.Published]: () => {
      publish();
      return Promise.resolve();
    },
    [FaultKind.StoreRolledBack]: async (fault) => {
      const { store } = deployment;
      store.setMode(StoreMode.Reset);
      const rollback = store.rollBack(fault.strength * MAX_COPY_AGE_MS);
      await pause(fault.durationMs / 4);
      store.setMode(StoreMode.Serving);
      await pause(fault.strength * MAX_REWRITE_MS);
      rollback.writeAgain();
    },
    [FaultKind.UpstreamLimited]: async (fault) => {
      const { upstream } = getHost(fault);
      const { instance } = upstream;
      const limitPerS = Math.round(10 * fault.strength * MAX_LIMIT_PER_S) / 10;
      const from = performance.now();
      const span = { instance, limitPerS, from, until: Infinity };
      const before = limitsInForce.get(fault.host);
      if (before !== undefined) before.until = from;
      limits.push(span);
      limitsInForce.set(fault.host, span);
      upstream.limitPerS = limitPerS;
      await pause(LIMIT_MS);
      if (limitsInForce.get(fault.host) !== span) return;
      limitsInForce.delete(fault.host);
      upstream.limitPerS = undefined;
      span.until = performance.now();
    },
    [FaultKind.UpstreamLeaving]: async (fault) => {
      const host = getHost(fault);
      const { instance } = host.upstream;
      host.upstream.isLeaving = true;
      await pause(DEPARTURE_MS + fault.durationMs);
      host.upstream.isLeaving = false;
      if (host.upstream.instance === instance) replaceUpstream(host, instance);
    },
    [FaultKind.Evacuated]: async (fault) => {
      const { zone } = getHost(fault);
      const key = `op/evacuate/${zone}`;
      deployment.store.putText(key, "");
      const span = { zone, from: performance.now(), until: Infinity };
      evacuations.push(span);
      await pause(EVACUATED_MS + fault.durationMs);
      for (const host of deployment.hosts.filter((h) => h.zone === zone)) {
        const { instance } = host.upstream;
        if (fault.strength < 0.5) makeCold(host);
        else {
          crash(host);
          deployment.store.remove(`servers/${instance}`);
          relist(host);
        }
      }
      span.until = performance.now();
      deployment.store.remove(key);
    },
    [FaultKind.UpstreamCold]: (fault) => {
      makeCold(getHost(fault));
      return Promise.resolve();
    },
    [FaultKind.UpstreamEndless]: async (fault) => {
      const { upstream } = getHost(fault);
      const choice = fault.strength * ENDLESS_MODES.length;
      const mode = ENDLESS_MODES[Math.floor(choice)]!;
      upstream.mode = mode;
      if (choice % 1 < 0.5) upstream.endlessHealth = mode;
      await pause(fault.durationMs);
      upstream.mode = UpstreamMode.Serving;
      upstream.endlessHealth = undefined;
    },
    [FaultKind.PublishedUnreadable]: (fault) => {
      publish(fault.strength);
      return Promise.resolve();
    },
    [FaultKind.FatalRequest]: async (fault) => {
      const until = performance.now() + FATAL_MS;
      for (let i = fault.host; performance.now() < until; i++) {
        void sendFatal(i % deployment.hosts.length);
        await pause(FATAL_INTERVAL_MS);
      }
    },
  };
  for (const host of deployment.hosts) {
    host.upstream.isFatal = (path) => path === FATAL_PATH;
    host.upstream.onRestarted = (ended) => {
      deployment.store.remove(`servers/${ended}`);
      makeCold(host);
      relist(host);
    };
  }
  for (const index of deployment.hosts.keys()) watchProcess(index);
  return {
    injected,
    departures,
    limits,
    evacuations,
    coldSpans,
    publications,
    unexpectedExits,
    fatalCalls,
    inject,
    publish,
    getVersion: () => version,
    finish: () => void (isFinished = true),
  };

  async function inject(fault: Fault): Promise<void> {
    const { kind, host } = fault;
    const from = performance.now();
    const entry = { kind, host, from, until: Infinity };
    injected.push(entry);
    await handlers[kind](fault);
    entry.until = performance.now();
  }

  async function sendFatal(host: number): Promise<void> {
    const call: CallRecord = {
      id: `fatal-${fatalCalls.length}`,
      kind: CallKind.Read,
      host,
      sentAt: performance.now(),
      timeoutMs: FATAL_TIMEOUT_MS,
      body: "",
    };
    fatalCalls.push(call);
    try {
      const req = { id: call.id, path: FATAL_PATH, timeoutMs: call.timeoutMs };
      const signal = AbortSignal.timeout(2 * FATAL_TIMEOUT_MS);
      const res = await deployment.call(deployment.hosts[host]!, {
        ...req,
        signal,
      });
      call.status = res.status;
    } catch (error) {
      call.error = String(error);
    }
    call.endedAt = performance.now();
  }

  function getHost(fault: Fault): DeploymentHost {
    return deployment.hosts[fault.host]!;
  }

  async function applyRelayMode(fault: Fault, mode: RelayMode): Promise<void> {
    const { peers } = getHost(fault).links!;
    peers.setMode(mode);
    await pause(fault.durationMs);
    peers.setMode(RelayMode.Forwarding);
  }

  async function stop(fault: Fault): Promise<void> {
    const host = getHost(fault);
    const { process } = host;
    if (!restartDelays.has(process)) restartDelays.set(process, RESTART_MS);
    process.kill("SIGTERM");
    const killing = setTimeout(() => process.kill("SIGKILL"), GRACE_MS);
    if (process.exitCode === null && process.signalCode === null) {
      await new Promise((resolve) => process.once("exit", resolve));
    }
    clearTimeout(killing);
    await pause(restartDelays.get(process)! + RESTART_MS);
    await waitUntilReady(host);
  }

  /** Resolves once the process handles signals, which Node.js can't while it boots, or has ended. */
  async function waitUntilBooted(host: DeploymentHost): Promise<void> {
    const { process } = host;
    const from = linesBefore.get(process);
    if (from === undefined) return;
    while (
      process.exitCode === null && process.signalCode === null &&
      !host.lines.slice(from).some((line) => line.includes("event=starting"))
    ) {
      await pause(BOOT_POLL_MS);
    }
  }

  /** Resolves on a timeout as well: the probe at the end reports such a daemon. */
  async function waitUntilReady(host: DeploymentHost): Promise<void> {
    const until = performance.now() + START_TIMEOUT_MS;
    while (
      performance.now() < until && await deployment.getReadyStatus(host) !== 200
    ) {
      await pause(RESTART_MS);
    }
  }

  /** Restarts a process after any exit, as the platform does. */
  function watchProcess(index: number): void {
    const host = deployment.hosts[index]!;
    const { process } = host;
    process.once("exit", () => {
      if (isFinished) return;
      const delayMs = restartDelays.get(process);
      if (delayMs === undefined) {
        const lines = host.lines.slice(-8);
        unexpectedExits.push({ host: index, at: performance.now(), lines });
      }
      setTimeout(() => {
        if (isFinished) return;
        deployment.startDaemon(host);
        linesBefore.set(host.process, host.lines.length);
        watchProcess(index);
      }, delayMs ?? RESTART_MS);
    });
  }

  function replaceUpstream(host: DeploymentHost, instance: string): void {
    deployment.store.remove(`servers/${instance}`);
    startInstance(host);
    deployment.list(host, { coldLeftS: COLD_MS / 1_000 });
  }

  function crash(host: DeploymentHost): void {
    host.upstream.cut();
    startInstance(host);
  }

  /** Every instance is cold after its start. */
  function startInstance(host: DeploymentHost): void {
    host.upstream.instance = createInstance(host);
    makeCold(host);
  }

  function makeCold({ upstream }: DeploymentHost): void {
    const from = performance.now();
    const until = from + COLD_MS;
    const { instance } = upstream;
    const span = coldSpans.find((s) =>
      s.instance === instance && s.until >= from
    );
    if (span === undefined) coldSpans.push({ instance, from, until });
    else span.until = until;
    upstream.coldUntil = until;
    upstream.workMs = COLD_SLOWDOWN * WORK_MS;
    setTimeout(() => {
      if (upstream.coldUntil === until) upstream.workMs = WORK_MS;
    }, COLD_MS);
  }

  /** An instance that was listed as draining is never listed as ready again. */
  function relist(host: DeploymentHost): void {
    const { instance } = host.upstream;
    const hasDeparted = departures.some((d) => d.instance === instance);
    const coldLeftS = Math.max(
      0,
      Math.ceil(host.upstream.coldUntil - performance.now()) / 1_000,
    );
    deployment.list(host, {
      coldLeftS,
      ...(hasDeparted && { state: "draining" }),
    });
  }

  function createInstance(host: DeploymentHost): string {
    incarnationCount += 1;
    return `${host.upstream.instance.split("+")[0]}+${incarnationCount}`;
  }

  function publish(strength?: number): void {
    version += 1;
    const isDegraded = strength !== undefined;
    const rows = isDegraded ? [createUnreadableRow(version, strength)] : [];
    deployment.publish(version, { added: getAddedPrefix(version), rows });
    publications.push({ version, at: performance.now(), isDegraded });
  }
}

/** Resolves after a time in ms. */
export function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
