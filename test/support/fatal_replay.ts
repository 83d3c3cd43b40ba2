/**
 * Replays on real gateways a request that ends each upstream that runs it, beside
 * others that run at the same upstreams and end with them. What gateways learn
 * reaches the others after a short time, as by the exchange of the daemons.
 */

import {
  createCrashSuspects,
  type Suspect,
} from "../../src/core/crash_suspects.ts";
import { createRetryAllowance } from "../../src/core/retry_allowance.ts";
import { Diagnostics } from "../../src/core/diagnostics.ts";
import type { Gateway } from "../../src/core/gateway_types.ts";
import {
  Execution,
  type GatewayAction,
  GatewayActionKind,
  GatewayMessageKind,
  type Millis,
} from "../../src/core/types.ts";
import { createTestGateway, sendArrival } from "../../src/lab/test_gateway.ts";
import { createTestHost } from "./core_host.ts";

/** A load pattern. */
export interface FatalLoad {
  readonly gateways: number;
  readonly upstreams: number;
  readonly fatalPerSecond: number;
  /** Other requests; every fourth has the same signature as others of them. */
  readonly otherPerSecond: number;
  readonly seconds: number;
  /** Time in which knowledge reaches the other gateways, in ms. */
  readonly shareMs: Millis;
  /** Time at which all upstreams end at once for another reason, in ms. */
  readonly outageAt?: Millis;
  /** Gateways that start at this time and know nothing, in ms. */
  readonly restartsAt?: Millis;
  /** False serves suspects like other requests, as a baseline. */
  readonly isProtected?: boolean;
}

/** What upstreams and callers see. */
export interface FatalOutcome {
  readonly ends: number;
  /** Fatal requests that reached upstreams later than STABLE_MS after the third end. */
  readonly laterArrivals: number;
  readonly others: number;
  readonly othersServed: number;
  /** Others that were refused as suspects. */
  readonly othersQuarantined: number;
}

const STABLE_MS = 3_000;
const KNOWN_AFTER = 3;
const WORK_MS = 90;
const FATAL_AFTER_MS = 50;
const DOWN_MS = 2_000;
const STEP_MS = 1;
const FATAL = "fatal";
const POPULAR_EVERY = 4;

interface Upstream {
  readonly name: string;
  isUp: boolean;
  ends: number;
  running: Set<{ ticket: string; refuse(end: string): void }>;
}

/** Replays the load. */
export function replayFatal(load: FatalLoad): FatalOutcome {
  const host = createTestHost();
  const due: { at: Millis; run(): void }[] = [];
  const upstreams = Array.from(
    { length: load.upstreams },
    (_, i): Upstream => ({
      name: `u${i}`,
      isUp: true,
      ends: 0,
      running: new Set(),
    }),
  );
  const signatures = new Map<string, string>();
  const outcome = {
    ends: 0,
    laterArrivals: 0,
    others: 0,
    othersServed: 0,
    othersQuarantined: 0,
  };
  let thirdEndAt = Infinity;
  let members = createMembers();
  let sent = 0;
  const later = (ms: Millis, run: () => void) =>
    void due.push({ at: host.now() + ms, run });
  sendNext(false);
  if (load.fatalPerSecond > 0) sendNext(true);
  if (load.restartsAt !== undefined) {
    later(load.restartsAt, () => {
      const known = members.flatMap((it) => it.suspects.getQuarantined());
      members = createMembers();
      later(load.shareMs, () => mergeAll(known));
    });
  }
  if (load.outageAt !== undefined) {
    later(load.outageAt, () => upstreams.forEach((it) => end(it)));
  }
  while (host.now() < load.seconds * 1_000) {
    for (const it of due.filter(({ at }) => at <= host.now())) {
      due.splice(due.indexOf(it), 1);
      it.run();
    }
    for (const { gateway } of members) {
      carryOut(gateway, gateway.handle({ kind: GatewayMessageKind.Tick }));
    }
    host.advance(STEP_MS);
  }
  return outcome;

  function createMembers() {
    return Array.from({ length: load.gateways }, (_, i) => {
      const share = (suspect: Suspect) =>
        later(load.shareMs, () => mergeAll([suspect]));
      const suspects = createCrashSuspects(host, {
        origin: "front",
        onObserved: share,
        onChanged: () => {},
      });
      const gateway = createTestGateway(host, {
        self: `g${i}`,
        incarnation: `g${i}#${host.now()}`,
        getCandidates: () =>
          upstreams.map((it) => ({ host: it.name, failureDomain: "east" })),
        retryAllowance: createRetryAllowance(host, {
          ratio: 0.2,
          windowMs: 10_000,
          slack: 64,
          getDaemonCount: () => load.gateways,
        }),
        ...(load.isProtected !== false && { suspects }),
      });
      return { gateway, suspects };
    });
  }

  function mergeAll(known: readonly Suspect[]): void {
    for (const { suspects } of members) suspects.merge(known);
  }

  function sendNext(isFatal: boolean): void {
    const perSecond = isFatal ? load.fatalPerSecond : load.otherPerSecond;
    later(1_000 / perSecond, () => {
      sendNext(isFatal);
      sent += 1;
      const id = `${isFatal ? FATAL : "other"}-${sent}`;
      const isPopular = !isFatal && sent % POPULAR_EVERY === 0;
      const signature = isFatal ? FATAL : isPopular ? "popular" : id;
      signatures.set(id, signature);
      if (!isFatal) outcome.others += 1;
      const { gateway } = members[sent % members.length]!;
      carryOut(
        gateway,
        sendArrival(gateway, id, { maxRuns: 3, signature: () => signature }),
      );
    });
  }

  function carryOut(
    gateway: Gateway,
    actions: readonly GatewayAction[],
  ): void {
    for (const action of actions) {
      if (action.kind === GatewayActionKind.Submit) submit(gateway, action);
      const isOther = action.id.startsWith("other");
      if (action.kind === GatewayActionKind.Deliver) {
        if (isOther) outcome.othersServed += 1;
        gateway.handle({ kind: GatewayMessageKind.Completed, id: action.id });
      }
      const isQuarantined = action.kind === GatewayActionKind.Finish &&
        action.verdict.diagnostic === Diagnostics.request_quarantined;
      if (isQuarantined && isOther) outcome.othersQuarantined += 1;
    }
  }

  function submit(
    gateway: Gateway,
    { id, attempt, to }: { id: string; attempt: number; to: string },
  ): void {
    const upstream = upstreams.find((it) => it.name === to)!;
    const isFatal = id.startsWith(FATAL);
    const ticket = gateway.getTicket(id, attempt);
    const refuse = (end?: string) =>
      carryOut(
        gateway,
        gateway.handle({
          kind: GatewayMessageKind.Refused,
          id,
          attempt,
          verdict: end === undefined
            ? {
              execution: Execution.NotRun,
              diagnostic: Diagnostics.upstream_unreachable,
            }
            : {
              execution: Execution.MayHaveRun,
              diagnostic: Diagnostics.upstream_ended,
              end,
            },
        }),
      );
    if (!upstream.isUp) return later(1, () => refuse());
    if (isFatal && host.now() > thirdEndAt + STABLE_MS) {
      outcome.laterArrivals += 1;
    }
    const run = { ticket, refuse };
    upstream.running.add(run);
    if (isFatal) {
      later(FATAL_AFTER_MS, () => {
        if (upstream.running.has(run)) end(upstream);
      });
    }
    later(WORK_MS, () => {
      if (!upstream.running.delete(run)) return;
      const kind = GatewayMessageKind.ResponseReceived;
      carryOut(
        gateway,
        gateway.handle({ kind, id, attempt, ticket, status: 200 }),
      );
    });
  }

  function end(upstream: Upstream): void {
    outcome.ends += 1;
    if (outcome.ends === KNOWN_AFTER) thirdEndAt = host.now();
    upstream.isUp = false;
    upstream.ends += 1;
    const runs = [...upstream.running];
    upstream.running.clear();
    for (const run of runs) run.refuse(`${upstream.name}-${upstream.ends}`);
    later(DOWN_MS, () => void (upstream.isUp = true));
  }
}
