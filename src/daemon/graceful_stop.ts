/**
 * Stops a daemon: it serves on while there is time, ends what is still open and
 * closes (docs/design/0023).
 */

import type { Counters } from "../core/counters.ts";
import type { StopPlan } from "../core/stop_plan.ts";
import type { Millis } from "../core/types.ts";
import type { Clock } from "./clock.ts";
import type { Lifecycle } from "./lifecycle.ts";
import type { Logger } from "./logger.ts";
import { waitForSockets } from "./unread_sockets.ts";

/** Shortest time to stop, in ms: callers need two readiness checks to notice it. */
const MIN_STOP_MS = 2_500;
/** Time between two checks for open requests, in ms. */
const POLL_MS = 50;
/** Longest time for closing all resources, in ms. */
const CLOSE_MS = 300;
/** Shortest time for it, where answers ended late, as the process was held up. */
const MIN_CLOSE_MS = 100;
/** Share of this time for the connections of callers. */
const CONNECTIONS_SHARE = 0.8;
/** Requests in the log that the end of a stop breaks off. */
const MAX_LOGGED = 64;
const MS_PER_SECOND = 1_000;

/** How far a request has come. */
export enum OpenPhase {
  /** No upstream's host has it. */
  Placing = "placing",
  /** It is at an upstream's host, which may have passed it on. */
  AtHost = "at_host",
  /** It waits at the guard. */
  Queued = "queued",
  /** The upstream has it. */
  Running = "running",
  /** Its response is being passed on. */
  Response = "response",
}

/** A request without a whole answer. */
export interface OpenRequest {
  /** The caller's id. */
  readonly req: string;
  readonly route: string | undefined;
  readonly phase: OpenPhase;
  /** The upstream's host, if it is not this one. */
  readonly at?: string | undefined;
  /** Time since it arrived here, in ms. */
  readonly ageMs: Millis;
}

/** Numbers of requests without a whole answer. */
export interface OpenCounts {
  /** From callers on this host. */
  readonly callers: number;
  /** From other daemons. */
  readonly peers: number;
  /** At this host's guard, from both. */
  readonly guard: number;
}

/** What a stop does to the daemon. */
export interface GracefulStopOptions {
  readonly clock: Pick<Clock, "now">;
  readonly plan: Pick<StopPlan, "begin">;
  readonly lifecycle: Lifecycle;
  readonly counters: Counters;
  readonly logger: Logger;
  countOpen(): OpenCounts;
  /** Requests of callers, and those at the guard. */
  getOpen(): {
    readonly gateway: readonly OpenRequest[];
    readonly guard: readonly OpenRequest[];
  };
  /** Called at the start, with the time by which answers are due, in ms. */
  onBegin(answersBy: Millis): void;
  /** Answers what has no answer yet, as the time is over. */
  endOpen(): void;
  /**
   * Stops to listen, in the turn in which nothing was open, and adds what remains
   * to be closed to the life cycle. `getLeftMs` tells the time for that, in ms,
   * whenever it is called.
   */
  closeListeners(getLeftMs: () => Millis): void;
}

/** The stop of a daemon. */
export interface GracefulStop {
  isStopping(): boolean;
  /** Resolves once all is closed; later calls return the same promise. */
  run(): Promise<void>;
}

/** Creates a stop that has not begun. */
export function createGracefulStop(options: GracefulStopOptions): GracefulStop {
  const { clock, counters, lifecycle, logger } = options;
  let stopping: Promise<void> | undefined;
  return {
    isStopping: () => stopping !== undefined,
    run: () => stopping ??= stop(),
  };

  async function stop(): Promise<void> {
    const startedAt = clock.now();
    logger.info("stopping", { ...describeOpen() });
    const answersBy = options.plan.begin();
    options.onBegin(answersBy);
    await waitForAnswers(startedAt + MIN_STOP_MS, answersBy);
    if (hasOpen()) {
      logBrokenOff();
      // A connection that closes without an answer tells its caller nothing.
      options.endOpen();
      await waitForSockets();
    }
    // Same event loop turn as the last check above, so that no request arrives in between.
    const closingAt = clock.now();
    // From when answers were due, as each step may take long where the process is held up.
    const closedBy = Math.min(closingAt, answersBy) + CLOSE_MS;
    const getLeftMs = () => Math.max(MIN_CLOSE_MS, closedBy - clock.now());
    options.closeListeners(() => getLeftMs() * CONNECTIONS_SHARE);
    const tookS = (closingAt - startedAt) / MS_PER_SECOND;
    logger.info("stopped", { ...describeOpen(), tookS });
    await close(getLeftMs());
  }

  async function waitForAnswers(
    earliest: Millis,
    answersBy: Millis,
  ): Promise<void> {
    for (;;) {
      const leftMs = answersBy - clock.now();
      if (leftMs <= 0) return;
      await pause(Math.min(POLL_MS, leftMs));
      await waitForSockets();
      if (clock.now() >= earliest && !hasOpen()) return;
    }
  }

  /** A hanging connection must not keep the process running until it is killed. */
  async function close(withinMs: Millis): Promise<void> {
    const closed = await Promise.race([lifecycle.close(), pause(withinMs)]);
    if (closed === undefined) {
      logger.warn("close_timeout", { ms: Math.round(withinMs) });
    } else if (closed.isErr()) {
      for (const error of closed.error) logger.error("close", { ...error });
    }
  }

  function logBrokenOff(): void {
    const { gateway, guard } = options.getOpen();
    const all = [
      ...gateway.map((it) => ({ role: "gateway", ...it })),
      ...guard.map((it) => ({ role: "guard", ...it })),
    ];
    counters.add("stop_broke_off", all.length);
    for (const { ageMs, ...it } of all.slice(0, MAX_LOGGED)) {
      logger.warn("stop_broke_off", { ...it, ageMs: Math.round(ageMs) });
    }
  }

  function hasOpen(): boolean {
    return describeOpen().open > 0;
  }

  /** A caller's request at the own guard counts twice in the sum. */
  function describeOpen(): OpenCounts & { open: number } {
    const counts = options.countOpen();
    return { open: counts.callers + counts.peers + counts.guard, ...counts };
  }
}

function pause(ms: number): Promise<undefined> {
  return new Promise((resolve) => setTimeout(() => resolve(undefined), ms));
}
