/** Finds the room at the hosts of a service when requests were refused, from the log lines of many hosts. */

import type { Millis } from "../core/types.ts";
import { compareTimes, type LogLine, parseLines } from "./log_lines.ts";

/** State of a host as its own lines show it. */
export interface HostRoom {
  readonly host: string;
  /** Time from this state to the refusal, in ms; clocks of hosts differ slightly. */
  readonly ageMs: Millis;
  readonly freeSlots: number;
  readonly queued: number;
  readonly slowdown: number;
}

/** A request that got a final refusal, and the hosts of its service that wrote a line shortly before. */
export interface RefusedRequest {
  readonly id: string;
  readonly time: string;
  readonly service: string;
  readonly reason: string;
  readonly hosts: readonly HostRoom[];
  /** True if a host at normal speed had two free slots and no queue. */
  readonly hasRoom: boolean;
}

/** Age up to which a state is shown, in ms. */
const MAX_STATE_AGE_MS = 100;
/** Free slots that count as room; one may be taken by what is under way. */
const MIN_FREE_SLOTS = 2;
/** Slowdown from which an upstream is not at normal speed. */
const SLOW_FACTOR = 1.5;

/** State at a point in time, in ms since 1970. */
interface State {
  readonly at: number;
  readonly inFlight: number;
  readonly queued: number;
  readonly slowdown: number;
}

/** What the lines of one host show. */
interface HostHistory {
  service?: string;
  slots?: number;
  readonly states: State[];
}

/** Finds the requests that were finally refused, and what room there was. */
export function findRoom(
  texts: Iterable<string>,
): { refused: RefusedRequest[]; unreadable: readonly number[] } {
  const { lines, unreadable } = parseLines(texts);
  lines.sort(compareTimes);
  const hosts = new Map<string, HostHistory>();
  const services = new Map<string, string>();
  for (const line of lines) recordLine(line);
  const refused = lines.filter(({ event }) => event === "refused")
    .flatMap((line) => describe(line) ?? []);
  return { refused, unreadable };

  function recordLine({ event, time, fields }: LogLine): void {
    const host = getHistory(fields.get("host") ?? "");
    const service = fields.get("service");
    if (event === "starting" && service !== undefined) host.service = service;
    const req = fields.get("req");
    if (event === "accepted" && req !== undefined && service !== undefined) {
      services.set(req, service);
    }
    const slots = fields.get("slots");
    if (slots !== undefined) host.slots = Number(slots);
    const state = tryReadState(event, Date.parse(time), fields);
    if (state !== undefined) host.states.push(state);
  }

  function getHistory(id: string): HostHistory {
    let history = hosts.get(id);
    if (history === undefined) {
      history = { states: [] };
      hosts.set(id, history);
    }
    return history;
  }

  function describe({ time, fields }: LogLine): RefusedRequest | undefined {
    const id = fields.get("req") ?? "";
    const service = services.get(id);
    if (service === undefined) return undefined;
    const at = Date.parse(time);
    const found = [...hosts].filter(([, it]) => it.service === service)
      .flatMap(([host, history]) => findState(host, history, at) ?? []);
    const reason = fields.get("reason") ?? "unknown";
    const hasRoom = found.some(isRoom);
    return { id, time, service, reason, hosts: found, hasRoom };
  }
}

/** The state after a line: a refusal shows that of its time, a response that of its start. */
function tryReadState(
  event: string,
  at: number,
  fields: ReadonlyMap<string, string>,
): State | undefined {
  const isRefusal = event === "guard_refused";
  if (!isRefusal && event !== "upstream_answered") return undefined;
  const get = (name: string) => Number(fields.get(name) ?? NaN);
  const state = {
    at: isRefusal ? at : at - get("tookMs"),
    inFlight: get("inFlight"),
    queued: get("queued"),
    slowdown: get("slowdown"),
  };
  return Object.values(state).every(Number.isFinite) ? state : undefined;
}

function findState(
  host: string,
  { states, slots }: HostHistory,
  at: number,
): HostRoom | undefined {
  if (slots === undefined) return undefined;
  let newest: State | undefined;
  for (const state of states) {
    const isRecent = state.at <= at && at - state.at <= MAX_STATE_AGE_MS;
    if (isRecent && state.at >= (newest?.at ?? -Infinity)) newest = state;
  }
  return newest && {
    host,
    ageMs: Math.round(at - newest.at),
    freeSlots: Math.max(0, slots - newest.inFlight),
    queued: newest.queued,
    slowdown: newest.slowdown,
  };
}

function isRoom({ freeSlots, queued, slowdown }: HostRoom): boolean {
  return freeSlots >= MIN_FREE_SLOTS && queued === 0 && slowdown < SLOW_FACTOR;
}
