/** Gauges of a store daemon. */

import { performance } from "node:perf_hooks";
import process from "node:process";
import type { CalledServices } from "../core/called_services.ts";
import { type ColdStarts, ColdState } from "../core/cold_starts.ts";
import type { CrashSuspects } from "../core/crash_suspects.ts";
import type { Evacuations } from "../core/evacuations.ts";
import type { Gateway } from "../core/gateway_types.ts";
import type { Guard } from "../core/guard_types.ts";
import type { MemoryBudget } from "../core/memory_budget.ts";
import type { UpstreamList } from "../core/upstream_list.ts";
import type { Gauge } from "./metrics_text.ts";

const MICROS_PER_S = 1_000_000;

/** What the gauges show. */
export interface StoreGaugeSources {
  readonly gateway: Pick<Gateway, "getOpenCount" | "getExtraWorkShare">;
  readonly guard: Pick<Guard, "getReport">;
  readonly coldStarts: Pick<ColdStarts, "getState">;
  readonly calledServices: Pick<CalledServices, "countHeld">;
  readonly upstreams: Pick<UpstreamList, "size">;
  readonly evacuations: Pick<Evacuations, "count">;
  readonly memory: Pick<MemoryBudget, "getUsed" | "getLimit">;
  readonly suspects: Pick<CrashSuspects, "size" | "getQuarantined">;
  /** Limit of extra work as a share of own work. */
  readonly extraWorkShare: number;
  /** Version of the configuration in force; 0 before the first. */
  readonly version: number;
  /** True while the store or its reader answers. */
  readonly isInTouch: boolean;
}

/** Reads the gauges. */
export function getStoreDaemonGauges(sources: StoreGaugeSources): Gauge[] {
  const { gateway, guard, coldStarts, upstreams, evacuations, memory } =
    sources;
  const { calledServices, suspects, extraWorkShare, version, isInTouch } =
    sources;
  const { inFlight, queued, slots, slowdown, notice } = guard.getReport();
  return [
    gauge(
      "requests_open",
      "Open requests.",
      gateway.getOpenCount(),
    ),
    gauge(
      "requests_suspected",
      "Requests that ran at upstreams when these ended.",
      suspects.size(),
    ),
    gauge(
      "requests_quarantined",
      "Those of them that are refused.",
      suspects.getQuarantined().length,
    ),
    gauge(
      "processor_seconds",
      "Processor time of the daemon since its start, in s.",
      getProcessorSeconds(),
    ),
    gauge(
      "event_loop_turns",
      "Turns of the daemon's event loop since its start.",
      // Node.js has it from 20.18 on.
      performance.nodeTiming.uvMetricsInfo?.loopCount ?? -1,
    ),
    gauge("upstream_in_flight", "Requests at the local upstream.", inFlight),
    gauge("upstream_queued", "Requests that wait at the guard.", queued),
    gauge("upstream_slots", "Slots that the guard fills.", slots),
    gauge(
      "upstream_slowdown_ratio",
      "Work time by its usual one.",
      slowdown ?? 1,
    ),
    gauge(
      "upstream_limit_per_second",
      "Limit that the upstream states; -1 for none.",
      notice?.limitPerS ?? -1,
    ),
    gauge(
      "upstream_leaving",
      "1 if the upstream states that it leaves.",
      notice?.isLeaving ? 1 : 0,
    ),
    gauge(
      "extra_work_ratio",
      "Extra work by the work of own requests, in the last 10 s.",
      gateway.getExtraWorkShare(),
    ),
    gauge("extra_work_limit_ratio", "Limit of it.", extraWorkShare),
    gauge(
      "upstream_cold",
      "1 if the local upstream is known to be cold.",
      coldStarts.getState() === ColdState.Cold ? 1 : 0,
    ),
    gauge(
      "kinds_held",
      "Kinds of requests that are held, as their calls are refused.",
      calledServices.countHeld(),
    ),
    gauge("upstreams_listed", "Upstreams that are listed.", upstreams.size()),
    gauge(
      "domains_evacuated",
      "Failure domains that are evacuated.",
      evacuations.count(),
    ),
    gauge("config_version", "Version in force.", version),
    gauge("store_in_touch", "1 while in touch.", isInTouch ? 1 : 0),
    gauge("memory_bytes", "Resident memory.", process.memoryUsage.rss()),
    gauge("buffered_bytes", "Bodies that are buffered.", memory.getUsed()),
    gauge(
      "buffer_limit_bytes",
      "Bound of the bodies that are buffered.",
      memory.getLimit(),
    ),
  ];
}

function gauge(name: string, help: string, value: number): Gauge {
  return { name, help, value };
}

function getProcessorSeconds(): number {
  const { user, system } = process.cpuUsage();
  return (user + system) / MICROS_PER_S;
}
