/**
 * Runs that were given up, by a caller that left, a deadline, a cancelled attempt
 * or a lost link, and that may still be at the upstream. Load pattern "a fatal
 * request whose callers leave": the upstream ends when nobody waits for it any
 * longer, and the requests beside it would be blamed alone.
 */

import type { CoreHost, Millis, Ticket } from "./types.ts";

/**
 * Time after its deadline until which a run counts as being at the upstream, in
 * ms: upstreams stop work at the deadline that they were told, and an end is
 * noticed by a connection of its own.
 */
const MARGIN_MS = 500;
/**
 * Time for which each report tells of an end, in ms; gateways that had such a run
 * there send something to the host again in that time, if they have traffic.
 */
const TOLD_MS = 30_000;
/** Runs and ends that are kept, the newest ones. */
const MAX_RUNS = 64;
const MAX_ENDS = 4;

/** An end of the upstream, and the runs without a receiver that it interrupted. */
export interface InterruptedRuns {
  /** Names the end alike for all that it interrupted. */
  readonly end: string;
  readonly tickets: readonly Ticket[];
}

/** The runs of one guard. */
export interface LingeringRuns {
  /** Adds a run that was given up; `deadline` is that of its request, in ms. */
  add(
    ticket: Ticket,
    run: { deadline: Millis; instance?: string | undefined },
  ): void;
  /** Time until which all of them may be at the upstream, in ms; undefined without any. */
  getUntil(): Millis | undefined;
  /** True while one may be at the upstream, leaving out those of an incarnation. */
  hasAny(except?: string): boolean;
  /** Records an end of the upstream, or that of all incarnations but one. */
  recordEnd(end: string, except?: string): void;
  /** The last ends that interrupted any. */
  getEnds(): readonly InterruptedRuns[];
}

/** Creates an empty set. */
export function createLingeringRuns(
  host: Pick<CoreHost, "now">,
): LingeringRuns {
  /** With the times until which they may be at the upstream, in ms; the newest one comes last. */
  const runs = new Map<
    Ticket,
    { until: Millis; instance?: string | undefined }
  >();
  let ends: (InterruptedRuns & { readonly at: Millis })[] = [];
  return { add, getUntil, hasAny, recordEnd, getEnds };

  function add(
    ticket: Ticket,
    { deadline, instance }: { deadline: Millis; instance?: string | undefined },
  ): void {
    dropOld();
    runs.set(ticket, { until: deadline + MARGIN_MS, instance });
  }

  function getUntil(): Millis | undefined {
    dropOld();
    return runs.size === 0
      ? undefined
      : Math.min(...[...runs.values()].map(({ until }) => until));
  }

  function hasAny(except?: string): boolean {
    return findOthers(except).length > 0;
  }

  function findOthers(except?: string): Ticket[] {
    dropOld();
    const others: Ticket[] = [];
    for (const [ticket, { instance }] of runs) {
      if (except === undefined || instance !== except) others.push(ticket);
    }
    return others;
  }

  function recordEnd(end: string, except?: string): void {
    const tickets = findOthers(except);
    for (const ticket of tickets) runs.delete(ticket);
    if (tickets.length === 0) return;
    // Requests that the same end interrupted tell of it one after the other.
    const known = ends.find((it) => it.end === end)?.tickets ?? [];
    ends = [
      ...ends.filter((it) => it.end !== end),
      { end, tickets: [...known, ...tickets], at: host.now() },
    ].slice(-MAX_ENDS);
  }

  function getEnds(): readonly InterruptedRuns[] {
    if (ends.length > 0) {
      ends = ends.filter(({ at }) => host.now() - at < TOLD_MS);
    }
    return ends;
  }

  function dropOld(): void {
    for (const [ticket, { until }] of runs) {
      if (host.now() > until || runs.size >= MAX_RUNS) runs.delete(ticket);
    }
  }
}
