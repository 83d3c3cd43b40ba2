/**
 * Counterexamples of faulty variants of the model, replayed on the real core: it
 * either does not take the faulty step, or the guarantee holds.
 */

import { readFileSync } from "node:fs";
import { expect, test } from "vitest";
import { ChoicePolicy } from "../src/core/choice.ts";
import { createGateway } from "../src/core/gateway.ts";
import { createGuard } from "../src/core/guard.ts";
import {
  Execution,
  type GatewayAction,
  GatewayActionKind,
  type GatewayMessage,
  GatewayMessageKind,
  type GuardAction,
  GuardActionKind,
  type GuardMessage,
  GuardMessageKind,
  Repeatability,
} from "../src/core/types.ts";
import { createTestHost } from "./support/core_host.ts";

const GRANT_TTL_MS = 1_000_000;
const RESERVE_TIMEOUT_MS = 1_000;
const TIMEOUT_MS = 1_000_000_000;
const SLOTS = 2;

const TRACES: readonly { name: string; isKeyed: boolean }[] = [
  { name: "hash_live", isKeyed: true },
  { name: "restart_forgets", isKeyed: true },
  { name: "horizon_lost", isKeyed: true },
  { name: "refuse_without_seal", isKeyed: true },
  { name: "claim_after_reserve", isKeyed: true },
  { name: "late_run", isKeyed: false },
  { name: "settle_without_seal", isKeyed: false },
  { name: "retry_after_silence", isKeyed: false },
  { name: "claim_after_silence", isKeyed: false },
  { name: "stale_refusal", isKeyed: false },
];

test.each(TRACES)("$name violates no guarantee on the real core", (trace) => {
  const text = readFileSync(`model/traces/${trace.name}.txt`, "utf8");
  const replay = createReplay(trace.isKeyed);
  let appliedSteps = 0;
  for (const line of text.split("\n")) {
    if (!replay.applyStep(line)) break;
    appliedSteps += 1;
    expect(replay.getRuns()).toBeLessThanOrEqual(1);
    if (replay.hasClaimedNotRun()) expect(replay.getRuns()).toBe(0);
  }
  expect(appliedSteps).toBeGreaterThan(1);
});

/** An attempt and the messages that its gateway has for the guard. */
interface AttemptMessages {
  readonly gateway: ReturnType<typeof createGateway>;
  readonly attempt: number;
  readonly reserve: GuardMessage;
  run?: GuardMessage;
}

/**
 * Replays a trace on two guards, a gateway for each request, and the messages
 * between them. `h` is the index of a guard, `t` the number of a ticket in the
 * trace.
 */
function createReplay(isKeyed: boolean) {
  const host = createTestHost();
  const startCounts = [0, 0];
  const guards = [startGuard(0), startGuard(1)];
  const key = isKeyed ? guards[0]!.issueKeys("karaca", 1)[0]! : undefined;
  const attempts = new Map<number, AttemptMessages>();
  let runs = 0;
  let claimedNotRun = false;
  let otherRequestCount = 0;
  return {
    applyStep,
    getRuns: () => runs,
    hasClaimedNotRun: () => claimedNotRun,
  };

  /** Applies one line of a trace; false if the core does not take that step. */
  function applyStep(line: string): boolean {
    const [, guard, ticket] = /^guard (\d).*?(?:ticket (\d))?(?: expire)?$/
      .exec(line) ?? [];
    const h = Number(guard);
    const t = Number(ticket);
    if (/^ticket \d reserves/.test(line)) return reserve(Number(line[7]));
    if (/^ticket \d hears nothing/.test(line)) return failLink(Number(line[7]));
    if (line.includes("restarts")) return restart(h);
    if (line.includes("forgets")) return evictKeyRecord(h);
    if (line.includes("grants")) return grant(h, t);
    if (line.includes("refuses")) return refuse(h, t);
    if (line.includes("expire")) return expire(h, t);
    if (line.includes("runs")) return run(h, t);
    return true;
  }

  function reserve(t: number): boolean {
    if (attempts.has(t)) return true;
    if (!isKeyed && t > 0) return tryNextGuard(t);
    const gateway = startGateway(t);
    handleActions(
      t,
      { gateway },
      gateway.handle({
        kind: GatewayMessageKind.Arrived,
        arrival: {
          id: `ask${t}`,
          account: "karaca",
          service: "orders",
          repeatability: Repeatability.AtMostOnce,
          timeoutMs: TIMEOUT_MS,
          replayable: true,
          retriesLeft: 3,
          ...(key !== undefined && { key }),
        },
      }),
    );
    return true;
  }

  /**
   * Lets the reservation time out; true if the gateway tries the next guard.
   */
  function tryNextGuard(t: number): boolean {
    host.advance(RESERVE_TIMEOUT_MS + 1);
    sendToGateway(t - 1, { kind: GatewayMessageKind.Tick });
    return attempts.has(t);
  }

  function handleActions(
    t: number,
    from: { gateway: AttemptMessages["gateway"] },
    actions: readonly GatewayAction[],
  ): void {
    for (const action of actions) {
      if (action.kind === GatewayActionKind.Finish) {
        claimedNotRun ||= action.verdict.execution === Execution.NotRun;
      }
      if (action.kind === GatewayActionKind.Reserve) {
        const ticket = from.gateway.getTicket(action.id, action.attempt);
        const number = action.attempt === 1 ? t : t + 1;
        attempts.set(number, {
          gateway: from.gateway,
          attempt: action.attempt,
          reserve: {
            kind: GuardMessageKind.Reserve,
            ticket,
            head: createHead(key),
          },
        });
      }
      if (action.kind === GatewayActionKind.Run) {
        const ticket = from.gateway.getTicket(action.id, action.attempt);
        const { grant } = action;
        attempts.get(t)!.run = { kind: GuardMessageKind.Run, ticket, grant };
      }
    }
  }

  function sendToGateway(t: number, msg: GatewayMessage): void {
    const entry = attempts.get(t)!;
    handleActions(t, entry, entry.gateway.handle(msg));
  }

  function grant(h: number, t: number): boolean {
    const entry = attempts.get(t);
    if (entry === undefined) return false;
    const action = find(
      guards[h]!.handle(entry.reserve),
      GuardActionKind.Grant,
    );
    if (action === undefined) return false;
    const { grant, key } = action;
    const id = getId(t);
    const kind = GatewayMessageKind.Granted;
    sendToGateway(t, { kind, id, attempt: entry.attempt, grant, key });
    return true;
  }

  function run(h: number, t: number): boolean {
    const msg = attempts.get(t)?.run;
    if (msg === undefined) return false;
    const started = find(guards[h]!.handle(msg), GuardActionKind.Start);
    if (started === undefined) return false;
    runs += 1;
    return true;
  }

  function refuse(h: number, t: number): boolean {
    const entry = attempts.get(t);
    if (entry === undefined) return false;
    for (let slot = 0; slot < SLOTS; slot++) occupySlot(h);
    handleRefusal(t, guards[h]!.handle(entry.reserve));
    return true;
  }

  function expire(h: number, t: number): boolean {
    host.advance(GRANT_TTL_MS + 1);
    handleRefusal(t, guards[h]!.handle({ kind: GuardMessageKind.Tick }));
    return true;
  }

  function handleRefusal(t: number, actions: readonly GuardAction[]): void {
    const refusal = find(actions, GuardActionKind.Refuse);
    if (refusal === undefined) return;
    const { verdict, grant } = refusal;
    sendToGateway(t, {
      kind: GatewayMessageKind.Refused,
      id: getId(t),
      attempt: attempts.get(t)!.attempt,
      verdict,
      ...(grant !== undefined && { grant }),
    });
  }

  /**
   * Evicts the record of a key: the table holds one record, and that of another
   * completed request replaces it.
   */
  function evictKeyRecord(h: number): boolean {
    const running = attempts.get(0)?.run;
    if (running !== undefined && "ticket" in running) answer(h, running.ticket);
    const ticket = occupySlot(h);
    if (ticket !== undefined) answer(h, ticket);
    return true;
  }

  function occupySlot(h: number): string | undefined {
    otherRequestCount += 1;
    const ticket = `other${otherRequestCount}`;
    const head = createHead(undefined);
    const kind = GuardMessageKind.Reserve;
    const granted = find(
      guards[h]!.handle({ kind, ticket, head }),
      GuardActionKind.Grant,
    );
    if (granted === undefined) return undefined;
    const { grant } = granted;
    guards[h]!.handle({ kind: GuardMessageKind.Run, ticket, grant });
    return ticket;
  }

  function answer(h: number, ticket: string): void {
    const kind = GuardMessageKind.UpstreamResponded;
    guards[h]!.handle({ kind, ticket, status: 200 });
  }

  function failLink(t: number): boolean {
    const entry = attempts.get(t)!;
    const id = getId(t);
    const { attempt } = entry;
    sendToGateway(t, {
      kind: GatewayMessageKind.LinkFailed,
      id,
      attempt,
      mayHaveArrived: true,
    });
    const unanswered = {
      kind: GatewayMessageKind.Settled,
      id,
      attempt,
    } as const;
    for (let tries = 0; tries < 3; tries++) {
      sendToGateway(t, { ...unanswered, verdict: undefined });
      host.advance(1_000);
      sendToGateway(t, { kind: GatewayMessageKind.Tick });
    }
    return true;
  }

  function restart(h: number): boolean {
    guards[h] = startGuard(h);
    return true;
  }

  function startGuard(h: number) {
    startCounts[h]! += 1;
    return createGuard(host, {
      self: `h${h}`,
      service: "orders",
      incarnation: `h${h}#${startCounts[h]}`,
      slots: SLOTS,
      queueCapacity: 0,
      grantTtlMs: GRANT_TTL_MS,
      keyCapacity: 1,
      getWeight: () => 1,
    });
  }

  function startGateway(t: number) {
    return createGateway(host, {
      self: `g${t}`,
      incarnation: `g${t}#1`,
      maxAttempts: 4,
      reserveTimeoutMs: RESERVE_TIMEOUT_MS,
      suspectAfterMs: TIMEOUT_MS,
      chooser: {
        policy: ChoicePolicy.RoundRobin,
        failureDomain: "x",
        crossDomainMs: 3,
      },
      getCandidates: () =>
        ["h0", "h1"].map((h) => ({ host: h, failureDomain: "x" })),
      getLimits: () => ({
        retryBudget: 1,
        hedgeBudget: 0,
        hedgePercentile: 95,
      }),
    });
  }

  function getId(t: number): string {
    return isKeyed ? `ask${t}` : "ask0";
  }
}

function createHead(key: string | undefined) {
  return {
    account: "karaca",
    service: "orders",
    repeatability: Repeatability.AtMostOnce,
    fingerprint: "f",
    timeoutMs: TIMEOUT_MS,
    ...(key !== undefined && { key }),
  };
}

function find<K extends GuardActionKind>(
  actions: readonly GuardAction[],
  kind: K,
): Extract<GuardAction, { kind: K }> | undefined {
  return actions.find((a): a is Extract<GuardAction, { kind: K }> =>
    a.kind === kind
  );
}
