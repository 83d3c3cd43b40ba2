/**
 * Replays random events on a gateway with its list of upstreams and its
 * evacuations. Explanations may be requested at any point of a replay; they
 * must change nothing in it.
 */

import { ChoicePolicy } from "../../src/core/choice.ts";
import {
  type DiagnosticName,
  Diagnostics,
} from "../../src/core/diagnostics.ts";
import { createEvacuations } from "../../src/core/evacuations.ts";
import type { DecisionExplanation } from "../../src/core/explain_types.ts";
import {
  type ListedUpstream,
  ListedUpstreamState,
} from "../../src/core/routing_types.ts";
import {
  type Arrival,
  Execution,
  type GatewayAction,
  GatewayActionKind,
  GatewayMessageKind,
  Repeatability,
} from "../../src/core/types.ts";
import { createUpstreamList } from "../../src/core/upstream_list.ts";
import {
  createArrival,
  createTestGateway,
} from "../../src/lab/test_gateway.ts";
import { createTestHost } from "./core_host.ts";

const HOSTS = 7;
const STEPS = 300;
const SERVICES = ["shop", "orders"];
const DOMAINS = ["east", "west"];
/** Reasons for which a guard refuses. */
const REFUSALS: readonly DiagnosticName[] = [
  "no_room_now",
  "deadline_too_short",
  "over_upstream_limit",
  "draining",
  "upstream_leaving",
  "domain_evacuated",
  "instance_replaced",
  "wrong_host",
  "queue_full",
];

/** An explanation and the actions on the same request right after it. */
export interface ExplainedArrival {
  readonly explanation: DecisionExplanation;
  readonly actions: readonly GatewayAction[];
}

/** What a replay has done. */
export interface ReplayResult {
  readonly actions: readonly GatewayAction[];
  /** Changes of lists, statuses and notices, in order. */
  readonly events: readonly string[];
  readonly counters: Readonly<Record<string, number>>;
  readonly arrivals: readonly ExplainedArrival[];
}

/** Settings of a replay. */
export interface ReplayOptions {
  readonly seed: number;
  /** Explanations requested before each event; one is always requested right before an arrival if above 0. */
  readonly explanations: number;
  readonly policy?: ChoicePolicy;
  /** Hosts that get a non-queueing attempt first; 4 by default. */
  readonly maxNonQueueingAttempts?: number;
}

/** Runs the events that follow from the seed. */
export function runReplay(options: ReplayOptions): ReplayResult {
  const host = createTestHost();
  const draw = createDraws(options.seed);
  const pick = <T>(values: readonly T[]): T =>
    values[Math.floor(draw() * values.length)]!;
  const actions: GatewayAction[] = [];
  const events: string[] = [];
  const arrivals: ExplainedArrival[] = [];
  /** Attempts whose reply is outstanding. */
  const open: { id: string; attempt: number; to: string }[] = [];
  let count = 0;
  let sequence = 0;
  const list = createUpstreamList(host, {
    lapseGraceMs: 500,
    getHost: (address) => address,
    onChange: (change, { instance }) => events.push(`${change} ${instance}`),
    onStart: (id) => gateway.forgetHost(id),
  });
  const evacuations = createEvacuations(host, {
    graceMs: 300,
    onChange: (domain, is) => events.push(`evacuated ${domain} ${is}`),
  });
  const gateway = createTestGateway(host, {
    chooser: {
      policy: options.policy ?? ChoicePolicy.ExpectedTime,
      failureDomain: "east",
      crossDomainMs: 3,
    },
    maxNonQueueingAttempts: options.maxNonQueueingAttempts ?? 4,
    leavingMs: 200,
    retriesFailureResponses: true,
    extraWork: { share: 0.1 },
    getCandidates: (service) => evacuations.filter(list.getCandidates(service)),
    previewCandidates: (service, trace) =>
      evacuations.preview(list.previewCandidates(service, trace), trace),
    onDomainRefused: evacuations.recordRefusal,
    wasListed: list.wasListed,
    onHostStatus: (status, about) =>
      events.push(`${status} ${JSON.stringify(about)}`),
    onNotice: (id, notice) => events.push(`${id} ${JSON.stringify(notice)}`),
  });
  const steps: (() => void)[] = [
    arrive,
    arrive,
    arrive,
    reply,
    reply,
    reply,
    report,
    report,
    report,
    changeList,
    changeDomain,
    () => handle({ kind: GatewayMessageKind.Tick }),
  ];
  for (let i = 0; i < HOSTS; i++) list.put(createUpstream(i, i));
  for (let step = 0; step < STEPS; step++) {
    host.advance(pick([0, 0, 1, 5, 40, 130, 700]));
    explainOften();
    pick(steps)();
  }
  const counters: Record<string, number> = {};
  gateway.counters.forEachCounter((name, value) => counters[name] = value);
  return { actions, events, counters, arrivals };

  function explainOften(): void {
    for (let i = 0; i < options.explanations; i++) {
      for (const service of SERVICES) {
        gateway.explain(createArrival("explain", { service }));
      }
    }
  }

  function handle(msg: Parameters<typeof gateway.handle>[0]): GatewayAction[] {
    const taken = gateway.handle(msg);
    actions.push(...taken);
    for (const action of taken) {
      const isSent = action.kind === GatewayActionKind.Reserve ||
        action.kind === GatewayActionKind.Submit;
      if (isSent) open.push(action);
      if (action.kind === GatewayActionKind.Deliver) {
        handle({ kind: GatewayMessageKind.Completed, id: action.id });
      }
    }
    return taken;
  }

  function arrive(): void {
    count += 1;
    const arrival = drawArrival();
    const explanation = options.explanations > 0
      ? gateway.explain(arrival)
      : undefined;
    const taken = handle({ kind: GatewayMessageKind.Arrived, arrival });
    if (explanation) arrivals.push({ explanation, actions: taken });
  }

  function drawArrival(): Arrival {
    return createArrival(`r${count}`, {
      service: pick(SERVICES),
      repeatability: pick(Object.values(Repeatability)),
      timeoutMs: pick([50, 500, 2_000]),
      objectiveMs: pick([30, 400]),
      replayable: draw() < 0.8,
      bodyBytes: pick([0, 50_000]),
      route: pick(["small", "large"]),
    });
  }

  function reply(): void {
    if (open.length === 0) return;
    const [{ id, attempt, to }] = open.splice(
      Math.floor(draw() * open.length),
      1,
    ) as [typeof open[number]];
    const kind = draw();
    if (kind < 0.45) {
      const diagnostic = Diagnostics[pick(REFUSALS)];
      handle({
        kind: GatewayMessageKind.Refused,
        id,
        attempt,
        verdict: {
          execution: Execution.NotRun,
          diagnostic,
          retryAfterMs: Math.floor(draw() * 300),
          ...(diagnostic === Diagnostics.instance_replaced && draw() < 0.5 && {
            currentInstance: `${to}#${100 + Math.floor(draw() * 3)}`,
          }),
        },
      });
    } else if (kind < 0.85) {
      handle({ kind: GatewayMessageKind.Accepted, id, attempt });
      handle({
        kind: GatewayMessageKind.ResponseReceived,
        id,
        attempt,
        ticket: gateway.getTicket(id, attempt),
        status: draw() < 0.8 ? 200 : 500,
      });
    } else {
      const mayHaveArrived = draw() < 0.5;
      const failed = GatewayMessageKind.LinkFailed;
      handle({ kind: failed, id, attempt, mayHaveArrived });
    }
  }

  function report(): void {
    const index = Math.floor(draw() * HOSTS);
    sequence += 1;
    const slots = 4;
    gateway.receiveReport({
      host: `h${index}`,
      incarnation: `h${index}`,
      sequence,
      slots,
      inFlight: Math.floor(draw() * (slots + 1)),
      queued: pick([0, 0, 3]),
      serviceMs: pick([10, 10, 60]),
      draining: draw() < 0.1,
      ageMs: 1_000,
      slowdown: pick([1, 1, 5]),
      failureShare: pick([0, 0, 0.6]),
      ...(draw() < 0.15 && {
        notice: {
          instance: `h${index}#${index}`,
          isLeaving: draw() < 0.2,
          limitPerS: 4,
        },
      }),
      ...(draw() < 0.2 && { startsInMs: 80 }),
    });
  }

  function changeList(): void {
    const index = Math.floor(draw() * HOSTS);
    const upstream = createUpstream(index, pick([index, index, index + 50]));
    const changes: (() => void)[] = [
      () => list.put(upstream),
      () => list.put(upstream),
      () => list.put({ ...upstream, state: ListedUpstreamState.Draining }),
      () => list.remove(upstream.instance),
      list.markLost,
      list.markRegained,
      list.markRegained,
      () => {
        list.markRolledBack();
        evacuations.markRolledBack();
        evacuations.replaceAll([]);
      },
    ];
    pick(changes)();
  }

  function changeDomain(): void {
    const domain = pick(DOMAINS);
    const changes: (() => void)[] = [
      () => evacuations.record(domain, true),
      () => evacuations.record(domain, false),
      () => evacuations.record(domain, false),
      evacuations.markLost,
      evacuations.markRegained,
      () => evacuations.recordRefusal(domain),
    ];
    pick(changes)();
  }
}

function createUpstream(index: number, incarnation: number): ListedUpstream {
  return {
    instance: `h${index}#${incarnation}`,
    service: index < HOSTS - 2 ? "shop" : "orders",
    address: `h${index}`,
    failureDomain: DOMAINS[index % 2]!,
    slots: 4,
    state: ListedUpstreamState.Ready,
  };
}

function createDraws(seed: number): () => number {
  let state = seed * 2_654_435_761 % 2_147_483_648;
  return () => {
    state = (state * 1_103_515_245 + 12_345) % 2_147_483_648;
    return state / 2_147_483_648;
  };
}
