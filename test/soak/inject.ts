/** Injects faults into a running mesh, each from outside the daemons. */

import type { Mesh, MeshHost } from "../platform/mesh.ts";
import { StoreMood } from "../platform/store_stand_in.ts";
import { UpstreamMood } from "../platform/upstream_stand_in.ts";
import { RelayMode } from "../support/relay.ts";
import {
  type Fault,
  FaultKind,
  type Injected,
  type Leaving,
  type OwnEnd,
} from "./types.ts";

/** Work of an upstream on a request, in ms. */
export const WORK_MS = 20;
/** How many times slower a slow upstream works. */
const SLOW_FACTOR = 8;
/** Longest delay between daemons, in ms. */
const MAX_DELAY_MS = 250;
/** Rest after which a forgetful upstream drops connections, in ms. */
const FORGETS_AFTER_MS = 200;
/** Time after SIGTERM until a process is killed, in ms: `graceS` of the platform. */
const GRACE_MS = 6_000;
/** Time that an upstream serves on after its leaving was taken, in ms. */
const LEAVING_MS = 2_500;
/** Longest wait for a daemon to come up while other faults last, in ms. */
const START_MS = 8_000;
/** Time from a process's start until its program can handle a signal, in ms: the boot of Node.js. */
const NODE_BOOT_MS = 150;
/** Pause before a process that ended starts again, in ms. */
const RESTART_MS = 100;

const SPOILT: readonly UpstreamMood[] = [
  UpstreamMood.LosesAnswer,
  UpstreamMood.CutsShort,
  UpstreamMood.AnswersTwice,
  UpstreamMood.Unsigned,
  UpstreamMood.ResetsUnframed,
  UpstreamMood.Unframed,
  UpstreamMood.Hangs,
  UpstreamMood.Fails,
  UpstreamMood.Shedding,
];

/** Injects faults and notes what it did. */
export interface Injector {
  readonly injected: readonly Injected[];
  readonly leavings: readonly Leaving[];
  readonly ownEnds: readonly OwnEnd[];
  /** Injects a fault; resolves once it is over. */
  inject(fault: Fault): Promise<void>;
  /** Publishes a configuration whose newest route no earlier one has. */
  publish(): void;
  getVersion(): number;
  /** Processes that end from now on are none of the run's. */
  finish(): void;
}

/** Prefix of the route that only one version has. */
export function getAddedPrefix(version: number): string {
  return `/added-${version}/`;
}

/** Creates an injector and watches the processes of a mesh. */
export function createInjector(mesh: Mesh): Injector {
  const injected: Injected[] = [];
  const leavings: Leaving[] = [];
  const ownEnds: OwnEnd[] = [];
  /** Processes that were told to end, with the pause before the next. */
  const told = new WeakMap<object, number>();
  const startedAt = new WeakMap<object, number>();
  let version = 1;
  let incarnations = 0;
  let isFinished = false;

  const handlers: Record<FaultKind, (fault: Fault) => Promise<void>> = {
    [FaultKind.PeersSlow]: async (fault) => {
      const { peers } = getHost(fault).links!;
      peers.setDelay(fault.strength * MAX_DELAY_MS);
      await pause(fault.forMs);
      peers.setDelay(0);
    },
    [FaultKind.PeersReset]: (fault) => {
      getHost(fault).links!.peers.cut();
      return Promise.resolve();
    },
    [FaultKind.PeersSilent]: (fault) => relayMode(fault, RelayMode.DropsAll),
    [FaultKind.PeersDeaf]: (fault) => relayMode(fault, RelayMode.DropsReplies),
    [FaultKind.StoreCut]: async (fault) => {
      const { store } = getHost(fault).links!;
      store.setMode(RelayMode.DropsAll);
      await pause(fault.forMs);
      store.setMode(RelayMode.Forwarding);
    },
    [FaultKind.StoreReset]: (fault) => {
      getHost(fault).links!.store.cut();
      return Promise.resolve();
    },
    [FaultKind.StoreBusy]: async (fault) => {
      mesh.store.setMood(StoreMood.Busy);
      await pause(fault.forMs);
      mesh.store.setMood(StoreMood.Serving);
    },
    [FaultKind.StoreCompacted]: () => {
      mesh.store.compact();
      return Promise.resolve();
    },
    [FaultKind.Paused]: async (fault) => {
      const { process } = getHost(fault);
      process.kill("SIGSTOP");
      await pause(fault.forMs);
      process.kill("SIGCONT");
    },
    [FaultKind.Killed]: async (fault) => {
      const host = getHost(fault);
      told.set(host.process, fault.forMs);
      host.process.kill("SIGKILL");
      await pause(fault.forMs);
      await waitUp(host);
    },
    [FaultKind.Stopped]: stop,
    [FaultKind.Reloaded]: async (fault) => {
      const { process } = getHost(fault);
      const bootedAt = (startedAt.get(process) ?? -Infinity) + NODE_BOOT_MS;
      await pause(Math.max(0, bootedAt - performance.now()));
      process.kill("SIGHUP");
    },
    [FaultKind.Drained]: async (fault) => {
      const host = getHost(fault);
      const { instance } = host.upstream;
      mesh.list(host, { state: "draining" });
      leavings.push({ instance, at: performance.now() });
      await pause(LEAVING_MS + fault.forMs);
      replaceUpstream(host, instance);
    },
    [FaultKind.UpstreamCrashed]: async (fault) => {
      const host = getHost(fault);
      const { instance } = host.upstream;
      host.upstream.cut();
      host.upstream.instance = createInstance(host);
      await pause(fault.forMs);
      mesh.store.remove(`servers/${instance}`);
      relist(host);
    },
    [FaultKind.UpstreamSpoilt]: async (fault) => {
      const { upstream } = getHost(fault);
      upstream.mood = SPOILT[Math.floor(fault.strength * SPOILT.length)]!;
      await pause(fault.forMs);
      upstream.mood = UpstreamMood.Serving;
    },
    [FaultKind.UpstreamSlow]: async (fault) => {
      const { upstream } = getHost(fault);
      upstream.workMs = WORK_MS * SLOW_FACTOR;
      upstream.slowdownPercent = 100 * SLOW_FACTOR;
      await pause(fault.forMs);
      upstream.workMs = WORK_MS;
      upstream.slowdownPercent = 100;
    },
    [FaultKind.UpstreamForgetful]: async (fault) => {
      const { upstream } = getHost(fault);
      upstream.forgetsAfterMs = FORGETS_AFTER_MS;
      await pause(fault.forMs);
      upstream.forgetsAfterMs = Infinity;
    },
    [FaultKind.Published]: () => {
      publish();
      return Promise.resolve();
    },
  };
  for (const index of mesh.hosts.keys()) watchProcess(index);
  return {
    injected,
    leavings,
    ownEnds,
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

  function getHost(fault: Fault): MeshHost {
    return mesh.hosts[fault.host]!;
  }

  async function relayMode(fault: Fault, mode: RelayMode): Promise<void> {
    const { peers } = getHost(fault).links!;
    peers.setMode(mode);
    await pause(fault.forMs);
    peers.setMode(RelayMode.Forwarding);
  }

  async function stop(fault: Fault): Promise<void> {
    const host = getHost(fault);
    const { process } = host;
    if (!told.has(process)) told.set(process, RESTART_MS);
    process.kill("SIGTERM");
    const killing = setTimeout(() => process.kill("SIGKILL"), GRACE_MS);
    if (process.exitCode === null && process.signalCode === null) {
      await new Promise((resolve) => process.once("exit", resolve));
    }
    clearTimeout(killing);
    await pause(told.get(process)! + RESTART_MS);
    await waitUp(host);
  }

  /** The final probe tells of a daemon that does not come up. */
  async function waitUp(host: MeshHost): Promise<void> {
    const until = performance.now() + START_MS;
    while (performance.now() < until && await mesh.isReady(host) !== 200) {
      await pause(RESTART_MS);
    }
  }

  /** Starts a process again as the platform does, told to end or not. */
  function watchProcess(index: number): void {
    const host = mesh.hosts[index]!;
    const { process } = host;
    process.once("exit", () => {
      if (isFinished) return;
      const delayMs = told.get(process);
      if (delayMs === undefined) {
        const lines = host.lines.slice(-8);
        ownEnds.push({ host: index, at: performance.now(), lines });
      }
      setTimeout(() => {
        if (isFinished) return;
        mesh.startDaemon(host);
        startedAt.set(host.process, performance.now());
        watchProcess(index);
      }, delayMs ?? RESTART_MS);
    });
  }

  function replaceUpstream(host: MeshHost, instance: string): void {
    mesh.store.remove(`servers/${instance}`);
    host.upstream.instance = createInstance(host);
    mesh.list(host);
  }

  /** An incarnation that said that it leaves is never listed as ready again. */
  function relist(host: MeshHost): void {
    const { instance } = host.upstream;
    const isLeaving = leavings.some((l) => l.instance === instance);
    mesh.list(host, isLeaving ? { state: "draining" } : {});
  }

  function createInstance(host: MeshHost): string {
    incarnations += 1;
    return `${host.upstream.instance.split("+")[0]}+${incarnations}`;
  }

  function publish(): void {
    version += 1;
    mesh.publish(version, { added: getAddedPrefix(version) });
  }
}

/** Resolves after a time in ms. */
export function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
