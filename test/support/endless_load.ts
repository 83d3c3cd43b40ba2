/** Callers beside bytes without end: what they and the daemons had meanwhile. */

import { monitorEventLoopDelay } from "node:perf_hooks";
import type { Deployment, DeploymentHost } from "../platform/mesh.ts";
import { readProcessorMs, watchMemory } from "./endless_server.ts";

/** Time between two requests of a caller, in ms. */
const PAUSE_MS = 20;
/** Memory at which a run ends for the machine's sake, in bytes. */
const GIVE_UP_BYTES = 600_000_000;

/** What the callers of one host, and its daemon, had. */
export interface HostOutcome {
  readonly statuses: readonly number[];
  /** Times of the requests at p99, in ms. */
  readonly p99: number;
  /** Most anonymous memory, in bytes. */
  readonly most: number;
  /** Share of the processor time of one core. */
  readonly load: number;
}

/** Runs one caller at each host for a time in ms. */
export async function callBeside(
  fleet: Deployment,
  name: string,
  durationMs: number,
): Promise<HostOutcome[]> {
  const memory = fleet.hosts.map((it) => watchMemory([it.process.pid!]));
  // Upstreams and callers share this process.
  const delays = monitorEventLoopDelay({ resolution: 10 });
  delays.enable();
  const end = performance.now() + durationMs;
  const outcomes = await Promise.all(fleet.hosts.map(call));
  for (const it of memory) it.stop();
  const text = outcomes.map(({ statuses, p99, most, load }) =>
    `${Math.round(most / 1e6)} MB, ${countStatuses(statuses)}, ` +
    `p99 ${p99} ms, load ${load.toFixed(2)}`
  ).join("; ");
  delays.disable();
  console.log(
    `${name}: ${text}; test held up ${Math.round(delays.max / 1e6)} ms`,
  );
  return outcomes;

  async function call(
    host: DeploymentHost,
    index: number,
  ): Promise<HostOutcome> {
    const pid = host.process.pid!;
    const startedAt = performance.now();
    const before = readProcessorMs(pid);
    const statuses: number[] = [];
    const times: number[] = [];
    const isBounded = () => memory.every((it) => it.getMost() < GIVE_UP_BYTES);
    for (let i = 0; performance.now() < end && isBounded(); i++) {
      const sentAt = performance.now();
      const status = await fleet.call(host, { id: `beside-${host.ip}-${i}` })
        .then((res) => res.status, () => 0);
      times.push(performance.now() - sentAt);
      statuses.push(status);
      await new Promise((resolve) => setTimeout(resolve, PAUSE_MS));
    }
    times.sort((a, b) => a - b);
    const usedMs = readProcessorMs(pid) - before;
    return {
      statuses,
      p99: Math.round(times[Math.floor(times.length * 0.99)]!),
      most: memory[index]!.getMost(),
      load: usedMs / (performance.now() - startedAt),
    };
  }
}

/** Numbers of statuses, as text. */
export function countStatuses(statuses: readonly (number | string)[]): string {
  const counts = new Map<number | string, number>();
  for (const it of statuses) counts.set(it, (counts.get(it) ?? 0) + 1);
  return [...counts].map(([status, n]) => `${n} x ${status}`).join(" ");
}
