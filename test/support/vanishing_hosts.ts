/**
 * Simulates on the real gateway that some hosts disappear while they are still
 * listed: requests sent to them get neither a refusal nor a response.
 */

import { createRetryAllowance } from "../../src/core/retry_allowance.ts";
import {
  type Candidate,
  type GatewayAction,
  GatewayActionKind,
  type GatewayMessage,
  GatewayMessageKind,
  type HostId,
} from "../../src/core/types.ts";
import { HostStatus } from "../../src/core/host_status.ts";
import { createTestHost } from "./core_host.ts";
import { createTestGateway, sendArrival } from "../../src/lab/test_gateway.ts";

/** Counts of requests and attempts, and what the gateway concluded. */
export interface VanishedHostsOutcome {
  readonly arrived: number;
  /** Requests that had no response at their deadline. */
  readonly unanswered: number;
  /** Attempts that were sent to a vanished host. */
  readonly sentToVanished: number;
  /** Hosts that the gateway found unresponsive, sorted by name. */
  readonly unresponsiveHosts: HostId[];
}

const SECONDS = 6;
const ACK_MS = 2;
const WORK_MS = 60;
const STEP_MS = 1;
/** Interval between load reports of the remaining hosts, which arrive with responses, in ms. */
const REPORT_INTERVAL_MS = 20;
const SLOTS = 9;
/** Time at which the hosts vanish, in ms. */
const VANISH_AT_MS = 500;

/**
 * Sends idempotent requests at a steady rate, with a retry budget shared by ten
 * daemons.
 */
export function replayVanishedHosts(
  listed: readonly Candidate[],
  vanished: readonly HostId[],
  load: { perSecond: number },
): VanishedHostsOutcome {
  const host = createTestHost();
  const scheduled: { at: number; msg: GatewayMessage }[] = [];
  const outcome = { arrived: 0, unanswered: 0, sentToVanished: 0 };
  const unresponsive = new Set<HostId>();
  const gateway = createTestGateway(host, {
    retryAllowance: createRetryAllowance(host, {
      ratio: 0.2,
      windowMs: 10_000,
      slack: 64,
      getDaemonCount: () => 10,
    }),
    getCandidates: () => listed,
    onHostStatus: (hostStatus, about) => {
      if (hostStatus === HostStatus.Unresponsive) unresponsive.add(about.host);
    },
  });
  const intervalMs = 1_000 / load.perSecond;
  let nextAt = 0;
  while (host.now() < SECONDS * 1_000) {
    const now = host.now();
    for (const entry of [...scheduled]) {
      if (entry.at > now) continue;
      scheduled.splice(scheduled.indexOf(entry), 1);
      handleActions(gateway.handle(entry.msg));
    }
    if (now % REPORT_INTERVAL_MS === 0) reportFullHosts();
    for (; nextAt <= now; nextAt += intervalMs) submitRequest();
    handleActions(gateway.handle({ kind: GatewayMessageKind.Tick }));
    host.advance(STEP_MS);
  }
  return { ...outcome, unresponsiveHosts: [...unresponsive].sort() };

  /**
   * The remaining hosts report no free slot, so that only the vanished ones may
   * have room.
   */
  function reportFullHosts(): void {
    for (const { host: id } of listed) {
      if (vanished.includes(id) && host.now() >= VANISH_AT_MS) continue;
      gateway.receiveReport({
        host: id,
        incarnation: `${id}#1`,
        sequence: host.now(),
        slots: SLOTS,
        inFlight: SLOTS,
        queued: 0,
        serviceMs: WORK_MS,
        draining: false,
        ageMs: host.now(),
        slowdown: 1,
      });
    }
  }

  function submitRequest(): void {
    outcome.arrived += 1;
    handleActions(
      sendArrival(gateway, String(outcome.arrived), { maxRuns: 3 }),
    );
  }

  function handleActions(actions: readonly GatewayAction[]): void {
    for (const action of actions) {
      if (action.kind === GatewayActionKind.Submit) scheduleResponse(action);
      if (action.kind === GatewayActionKind.Finish) outcome.unanswered += 1;
      if (action.kind === GatewayActionKind.Deliver) {
        scheduled.push({
          at: host.now(),
          msg: { kind: GatewayMessageKind.Completed, id: action.id },
        });
      }
    }
  }

  function scheduleResponse(
    { id, attempt, to }: { id: string; attempt: number; to: HostId },
  ): void {
    if (vanished.includes(to) && host.now() >= VANISH_AT_MS) {
      outcome.sentToVanished += 1;
      return;
    }
    const now = host.now();
    scheduled.push({
      at: now + ACK_MS,
      msg: { kind: GatewayMessageKind.Accepted, id, attempt },
    }, {
      at: now + WORK_MS,
      msg: {
        kind: GatewayMessageKind.ResponseReceived,
        id,
        attempt,
        ticket: gateway.getTicket(id, attempt),
        status: 200,
      },
    });
  }
}
