/**
 * Replays on the real gateway that some hosts vanish while the list still names
 * them: what they are sent is neither refused nor answered.
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
import { Belief } from "../../src/core/usable_hosts.ts";
import { createTestHost } from "./core_host.ts";
import { arriveAt, createTestGateway } from "../../src/lab/test_gateway.ts";

/** What callers saw. */
export interface VanishingOutcome {
  readonly asked: number;
  /** Requests without an answer at their deadline. */
  readonly lost: number;
  /** Attempts that went to a vanished host. */
  readonly trials: number;
  /** Hosts that the gateway came to believe silent, in order of their names. */
  readonly believedSilent: HostId[];
}

const SECONDS = 6;
const ACK_MS = 2;
const WORK_MS = 60;
const STEP_MS = 1;
/** Time between the reports of those that remain, as answers bring them, in ms. */
const REPORT_MS = 20;
const SLOTS = 9;
const WARM_MS = 500;

/** Plays it: idempotent requests at a steady rate, the shared budget of ten daemons. */
export function replayVanishing(
  listed: readonly Candidate[],
  vanished: readonly HostId[],
  load: { perSecond: number },
): VanishingOutcome {
  const host = createTestHost();
  const due: { at: number; msg: GatewayMessage }[] = [];
  const seen = { asked: 0, lost: 0, trials: 0 };
  const believedSilent = new Set<HostId>();
  const gateway = createTestGateway(host, {
    retryAllowance: createRetryAllowance(host, {
      ratio: 0.2,
      windowMs: 10_000,
      slack: 64,
      getDaemonCount: () => 10,
    }),
    getCandidates: () => listed,
    onBelief: (belief, about) => {
      if (belief === Belief.Silent) believedSilent.add(about.host);
    },
  });
  const gapMs = 1_000 / load.perSecond;
  let nextAt = 0;
  while (host.now() < SECONDS * 1_000) {
    const now = host.now();
    for (const entry of [...due]) {
      if (entry.at > now) continue;
      due.splice(due.indexOf(entry), 1);
      act(gateway.handle(entry.msg));
    }
    if (now % REPORT_MS === 0) reportBusy();
    for (; nextAt <= now; nextAt += gapMs) arrive();
    act(gateway.handle({ kind: GatewayMessageKind.Tick }));
    host.advance(STEP_MS);
  }
  return { ...seen, believedSilent: [...believedSilent].sort() };

  /** Those that remain are full, so that only who is silent may have room. */
  function reportBusy(): void {
    for (const { host: id } of listed) {
      if (vanished.includes(id) && host.now() >= WARM_MS) continue;
      gateway.takeReport({
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

  function arrive(): void {
    seen.asked += 1;
    act(arriveAt(gateway, String(seen.asked), { maxRuns: 3 }));
  }

  function act(actions: readonly GatewayAction[]): void {
    for (const action of actions) {
      if (action.kind === GatewayActionKind.Submit) answerLater(action);
      if (action.kind === GatewayActionKind.Finish) seen.lost += 1;
      if (action.kind === GatewayActionKind.Deliver) {
        due.push({
          at: host.now(),
          msg: { kind: GatewayMessageKind.Completed, id: action.id },
        });
      }
    }
  }

  function answerLater(
    { id, attempt, to }: { id: string; attempt: number; to: HostId },
  ): void {
    if (vanished.includes(to) && host.now() >= WARM_MS) {
      seen.trials += 1;
      return;
    }
    const now = host.now();
    due.push({
      at: now + ACK_MS,
      msg: { kind: GatewayMessageKind.Accepted, id, attempt },
    }, {
      at: now + WORK_MS,
      msg: {
        kind: GatewayMessageKind.Answered,
        id,
        attempt,
        ticket: gateway.getTicket(id, attempt),
        status: 200,
      },
    });
  }
}
