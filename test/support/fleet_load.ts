/**
 * Replays load on a whole fleet in virtual time: the real gateway and guard of
 * each host, upstreams that noisy neighbours slow down, nested calls between
 * services, and callers that come back once when Retry-After says. A guard
 * reads the speed of its upstream on admission and with each response only.
 */

import {
  type CalledServices,
  createCalledServices,
  showsRoom,
} from "../../src/core/called_services.ts";
import {
  type CallerTimes,
  createCallerTimes,
} from "../../src/core/caller_times.ts";
import { ChoicePolicy } from "../../src/core/choice.ts";
import {
  type ColdBounds,
  createColdStarts,
} from "../../src/core/cold_starts.ts";
import {
  createEvacuations,
  type Evacuations,
} from "../../src/core/evacuations.ts";
import type { Gateway } from "../../src/core/gateway_types.ts";
import type { ExtraEnd, ExtraStart } from "../../src/core/extra_types.ts";
import { createGuard } from "../../src/core/guard.ts";
import type { Guard } from "../../src/core/guard_types.ts";
import { createRetryAllowance } from "../../src/core/retry_allowance.ts";
import { limitRetryAfter } from "../../src/core/retry_after.ts";
import { createSlotLimit } from "../../src/core/slot_limit.ts";
import { createSlowPeriods } from "../../src/core/slow_periods.ts";
import {
  type Candidate,
  type GatewayAction,
  GatewayActionKind,
  type GatewayMessage,
  GatewayMessageKind,
  type GuardAction,
  GuardActionKind,
  type GuardMessage,
  GuardMessageKind,
  type HostId,
  type OfKind,
  Repeatability,
  type Verdict,
} from "../../src/core/types.ts";
import { createWakeQueue } from "../../src/core/wake_queue.ts";
import { createIngressArrival } from "../../src/daemon/ingress_admission.ts";
import { createTestGateway } from "../../src/lab/test_gateway.ts";
import { createTestHost } from "./core_host.ts";

/** Load of one service. */
export interface ServiceLoad {
  /** 0 for a kind of request that runs at the hosts of another service. */
  readonly hosts: number;
  readonly slots: number;
  /** Service whose hosts run the requests; own ones by default. */
  readonly runsAt?: string;
  /** Rank among the requests at these hosts; 0, the most urgent one, by default. */
  readonly priority?: number;
  /** Number of running requests beyond which each one that starts is slowed; none by default. */
  readonly fastSlots?: number;
  /** Requests of callers; 0 for a service that is only called by others. */
  readonly perSecond: number;
  /** Mean service time at normal speed, without calls, in ms. */
  readonly workMs: number;
  /** Draws the work of a request as a multiple of the mean, the same for each of its attempts; uniform and different by default. */
  drawWork?(): number;
  /** True draws the work anew for each attempt. */
  readonly drawsEachAttempt?: boolean;
  /** Share of requests that the first host of the service fails at once; 0 by default. */
  readonly failureShare?: number;
  /** Requests per second that the first host of the service states as its limit; none by default. */
  readonly limitPerS?: number;
  /** Requests per second that a cold upstream can take; not limited by default. */
  readonly coldPerS?: number;
  readonly objectiveMs: number;
  readonly timeoutMs: number;
  /** Share of the timeout that some callers wait less; 0 by default, as all wait alike. */
  readonly patienceSpread?: number;
  /** Calls that a request makes one after the other at the end of its own work. */
  readonly calls?: { readonly service: string; readonly times: number };
  /**
   * Share of requests that make no calls, a kind of their own with the outcome
   * `plain SERVICE`; 0 by default.
   */
  readonly plainShare?: number;
}

/** Noisy neighbours: a host draws its speed anew in each period. */
export interface Noise {
  readonly share: number;
  readonly factor: number;
  readonly periodMs: number;
}

/** A return of all hosts at time 0, cold and under new incarnations. */
export interface FleetRestart {
  /** Time until the list names the new incarnations, in ms; 0 for an oracle that knows them. */
  readonly listLagMs: number;
  readonly coldMs: number;
  /** How many times longer work takes while an upstream is cold. */
  readonly coldFactor: number;
}

/** A failure domain that is taken out of service and returns with cold upstreams. */
export interface Evacuation {
  readonly failureDomain: string;
  /** Times at which the first daemon learns of its begin and its end, in ms. */
  readonly fromMs: number;
  readonly untilMs: number;
  /** Time within which all daemons learn of a change, in ms. */
  readonly learnMs: number;
  /** Time from the end for which the upstreams are cold, in ms. */
  readonly coldMs: number;
  readonly bounds: ColdBounds;
}

/** A load pattern of a fleet. */
export interface FleetLoad {
  readonly services: Readonly<Record<string, ServiceLoad>>;
  readonly noise: Noise;
  readonly seconds: number;
  /** One-way time of a message between two daemons of a failure domain, in ms; 0.5 by default. */
  readonly latencyMs?: number;
  readonly evacuation?: Evacuation;
  /** False starts requests whatever became of the calls of their kind, as a baseline. */
  readonly holdsForCalls?: boolean;
  /** Selects another sequence of speeds; 0 by default. */
  readonly seed?: number;
  /** False refuses non-queueing attempts at hosts without a free slot, as a baseline. */
  readonly hasWaitsForSlots?: boolean;
  readonly restart?: FleetRestart;
  /** True keeps the guards to the slots that they use before they learn, as a baseline. */
  readonly hasFixedSlots?: boolean;
  /** Share of extra work that the gateways may cause; none by default. */
  readonly extraWork?: number;
  /** Retries per request that the fleet shares, in a window of 10 s; none by default. */
  readonly retryRatio?: number;
  /** Slowdown of the first host of each service, beside the noise; 1 by default. */
  readonly firstHostFactor?: number;
  /** Period in which one host after the other leaves for 3 s and returns with a new daemon, in ms. */
  readonly restartPeriodMs?: number;
  /** Called with each action of a gateway. */
  onGatewayAction?(host: HostId, action: GatewayAction): void;
  /** Called at the end of each piece of work at an upstream. */
  onWork?(work: Work): void;
  onExtraStarted?(start: ExtraStart): void;
  onExtraEnded?(end: ExtraEnd): void;
}

/** A piece of work at an upstream. */
export interface Work {
  /** Id of the request. */
  readonly id: string;
  readonly attempt: number;
  readonly startedAt: number;
  readonly endedAt: number;
}

/** Requests of callers by outcome; a request that came back counts once. */
export interface ServiceOutcome {
  arrived: number;
  /** Served within the objective, counted from the first attempt. */
  inTime: number;
  late: number;
  /** Not served, and refused by the last attempt. */
  refused: number;
  failed: number;
  /** Attempts that were refused, also of requests that were served later. */
  refusals: number;
  /** Time in slots of upstreams, in ms. */
  slotMs: number;
  /** As above, of runs that ended with a response within the objective. */
  inTimeSlotMs: number;
  /** Requests that came back, and those of them that were served. */
  returned: number;
  returnedServed: number;
  /** Final verdicts on attempts of callers by reason. */
  readonly reasons: Record<string, number>;
  /** Times at which requests started at the first host of the service, in ms. */
  readonly firstHostStarts: number[];
  /** Times from the first attempt to the response, in ms. */
  readonly responseMs: number[];
  readonly starts: { readonly host: HostId; readonly at: number }[];
  /** Requests of callers by the failure domain of the daemon that they use. */
  readonly ended: {
    readonly failureDomain: string;
    readonly arrivedAt: number;
    readonly isInTime: boolean;
  }[];
}

interface FleetHost {
  readonly id: HostId;
  readonly service: string;
  gateway: Gateway;
  isAway: boolean;
  readonly guard: Guard;
  readonly evacuations: Evacuations;
  readonly calledServices: CalledServices;
  readonly callerTimes: CallerTimes;
  /** Makes a health check. */
  readHealth(): void;
  /** True while a poll of the guard, as long as requests wait there, is due. */
  isPolled: boolean;
  speed: number;
  readonly failureDomain: string;
  /** Requests that run at the upstream. */
  runningCount: number;
  /** Times of the next ticks, as of the last message, in ms; Infinity if none is due. */
  gatewayWakeAt: number;
  guardWakeAt: number;
}

interface Call {
  /** Kind of request, by its name in the load. */
  readonly service: string;
  /** Time of the first try, in ms. */
  readonly arrivedAt: number;
  /** Time until which the response is in time, as far as the daemon knows, in ms. */
  objectiveBy?: number;
  /** True if the daemon tells this try from a first one. */
  isReturned?: boolean;
  /** Daemon that the caller uses for this try. */
  from?: FleetHost;
  readonly deadline: number;
  readonly failureDomain: string;
  /** Called with true if the call got a response in time. */
  end(isServed: boolean): void;
  /** Kind of the request. */
  readonly route: string;
  readonly outcome?: ServiceOutcome;
  hasReturned: boolean;
}

const FAILURE_DOMAINS = ["north", "east", "south", "west"];
const LATENCY_MS = 0.5;
/** Additional time to another failure domain, in ms. */
const CROSS_DOMAIN_MS = 1;
const POLL_MS = 25;
/** Chooses among the services of a route, which is one. */
const SINGLE_PART = { random: () => 0 };
/** Time for which a host that restarts is away, in ms; longer than the timeouts of requests. */
const AWAY_MS = 3_000;
/** Window of the shared retry budget, in ms. */
const RETRY_WINDOW_MS = 10_000;
/** Slowdown of requests that start beyond the fast slots. */
const CROWDING_FACTOR = 1.7;
/** Slowdown of cold upstreams. */
const COLD_FACTOR = 2;
/** Draws between the sequences of two seeds. */
const SEED_STRIDE = 10_007;
const STEP_MS = 0.5;
const FAILED_STATUS = 500;
/** Time until a failing upstream responds, in ms. */
const FAST_FAILURE_MS = 5;

/** Replays a load pattern; returns the outcomes by service. */
export function replayFleetLoad(
  load: FleetLoad,
): Record<string, ServiceOutcome> {
  const host = createTestHost();
  // Speeds have a sequence of their own, so that they don't depend on decisions.
  const speeds = createTestHost();
  for (let i = 0; i < (load.seed ?? 0) * SEED_STRIDE; i++) speeds.random();
  const events = createWakeQueue<() => void>();
  const hosts = new Map<HostId, FleetHost>();
  const byService = new Map<string, Candidate[]>();
  const calls = new Map<string, Call>();
  const outcomes: Record<string, ServiceOutcome> = {};
  /** Host and start of each running request, by ticket. */
  const running = new Map<string, { host: HostId; startedAt: number }>();
  /** Status of each response, by ticket. */
  const statuses = new Map<string, number>();
  /** Drawn work of requests, by id. */
  const drawnWork = new Map<string, number>();
  let callCount = 0;
  for (const [service, it] of Object.entries(load.services)) {
    outcomes[service] = createOutcome();
    if (it.plainShare !== undefined) {
      outcomes[getPlainRoute(service)] = createOutcome();
    }
    byService.set(service, []);
    for (let i = 0; i < it.hosts; i++) addHost(service, i);
  }
  const all = [...hosts.values()];
  const lastArrivalAt = load.seconds * 1_000;
  const endAt = lastArrivalAt +
    Math.max(...Object.values(load.services).map((it) => it.timeoutMs));
  for (const service of Object.keys(load.services)) scheduleArrival(service);
  drawSpeeds();
  if (load.restartPeriodMs !== undefined) scheduleRestart(0);
  if (load.evacuation !== undefined) scheduleEvacuation(load.evacuation);
  for (; host.now() < endAt; host.advance(STEP_MS)) {
    for (
      let event = events.popDue(host.now());
      event !== undefined;
      event = events.popDue(host.now())
    ) event();
    for (const it of all) {
      if (it.gatewayWakeAt <= host.now()) {
        sendToGateway(it, { kind: GatewayMessageKind.Tick });
      }
      if (it.guardWakeAt <= host.now()) tickGuard(it);
    }
  }
  return outcomes;

  function addHost(service: string, index: number): void {
    const it = load.services[service]!;
    const id = `${service}-${index}`;
    const failureDomain = FAILURE_DOMAINS[index % FAILURE_DOMAINS.length]!;
    byService.get(service)!.push({ host: id, failureDomain });
    const evacuations = createEvacuations(host, { graceMs: 2_000 });
    const coldStarts = createColdStarts(host, {
      ...(load.evacuation && { bounds: load.evacuation.bounds }),
      tryGetColdRatePerS: () => it.coldPerS,
    });
    const slowPeriods = createSlowPeriods();
    const slotLimit = createSlotLimit(host);
    const calledServices = createCalledServices(host, {
      hasRoom: (called) =>
        showsRoom(
          byService.get(called)!.map((c) => fleetHost.gateway.getLoad(c.host)),
          host.now(),
        ),
    });
    const guard = createGuard(host, {
      self: id,
      service,
      incarnation: `${id}#1`,
      slots: it.slots,
      queueCapacity: 256,
      grantTtlMs: 1_000,
      keyCapacity: 16,
      getWeight: () => 1,
      coldStarts,
      ...(load.holdsForCalls !== false && { calledServices }),
      tryGetClosedReason: () =>
        evacuations.isEvacuated(failureDomain) ? "domain_evacuated" : undefined,
      upstream: {
        getUsableSlots: () =>
          !slowPeriods.isSlow(getSpeed(fleetHost)) &&
            load.hasFixedSlots !== true
            ? slotLimit.getUsable(it.slots)
            : slotLimit.getKnownGood(it.slots),
        getShortWorkSlots: () => slotLimit.getUsableForShortWork(it.slots),
        getKnownGoodSlots: () => slotLimit.getKnownGood(it.slots),
        recordStart: slotLimit.recordStart,
        recordServiceTime: slotLimit.recordTime,
        getBaseSlowdown: slowPeriods.getBase,
        getInstance: () => load.restart && `${id}#new`,
        getSlowdown: () => readSpeed(),
        getStartDelayMs: () => {
          readSpeed();
          return slowPeriods.getStartDelayMs(host.now());
        },
      },
    });
    const fleetHost: FleetHost = {
      id,
      service,
      gateway: createFleetGateway(id, {
        failureDomain,
        evacuations,
        calledServices,
      }),
      guard,
      evacuations,
      calledServices,
      callerTimes: createCallerTimes(host),
      readHealth: () =>
        coldStarts.recordHealth(getColdMs(failureDomain), host.now()),
      isPolled: false,
      speed: 1,
      isAway: false,
      failureDomain,
      runningCount: 0,
      gatewayWakeAt: Infinity,
      guardWakeAt: Infinity,
    };
    hosts.set(id, fleetHost);

    function readSpeed(): number {
      const speed = getSpeed(fleetHost);
      slowPeriods.observe(speed, host.now());
      return speed;
    }
  }

  function createFleetGateway(
    id: HostId,
    { failureDomain, evacuations, calledServices }: {
      failureDomain: string;
      evacuations: Evacuations;
      calledServices: CalledServices;
    },
  ): Gateway {
    const { extraWork, retryRatio } = load;
    return createTestGateway(host, {
      self: id,
      incarnation: `${id}#1`,
      chooser: {
        ...createChooserOptions(),
        failureDomain,
      },
      retriesFailureResponses: true,
      retryAllowance: retryRatio === undefined
        ? { recordRequest: () => {}, tryAcquire: () => false }
        : createRetryAllowance(host, {
          ratio: retryRatio,
          windowMs: RETRY_WINDOW_MS,
          slack: 0,
          getDaemonCount: () => hosts.size,
        }),
      getCandidates: (name) =>
        evacuations.filter(byService.get(name) ?? [])
          .filter((c) => !hosts.get(c.host)!.isAway)
          .map((candidate) =>
            load.restart === undefined
              ? candidate
              : { ...candidate, instance: getListed(candidate.host) }
          ),
      onDomainRefused: evacuations.recordRefusal,
      onUnserved: ({ service }, arrivedAt) =>
        calledServices.recordRefusal(service, arrivedAt),
      wasListed: (instance) =>
        load.restart !== undefined &&
        (!isNew(instance) || host.now() >= load.restart.listLagMs),
      ...(extraWork !== undefined && {
        extraWork: {
          share: extraWork,
          onStarted: (start) => load.onExtraStarted?.(start),
          onEnded: (end) => load.onExtraEnded?.(end),
        },
      }),
    });
  }

  function scheduleRestart(index: number): void {
    const it = all[index % all.length]!;
    events.add(host.now() + load.restartPeriodMs!, () => {
      it.isAway = true;
      events.add(host.now() + AWAY_MS, () => {
        it.gateway = createFleetGateway(it.id, {
          failureDomain: getDomain(it),
          evacuations: it.evacuations,
          calledServices: it.calledServices,
        });
        it.gatewayWakeAt = Infinity;
        it.isAway = false;
      });
      scheduleRestart(index + 1);
    });
  }

  function getListed(id: HostId): string {
    const isOld = host.now() < (load.restart?.listLagMs ?? 0);
    return `${id}#${isOld ? "old" : "new"}`;
  }

  function isNew(instance: string): boolean {
    return instance.endsWith("#new");
  }

  function getSpeed(it: FleetHost): number {
    const { coldMs = 0, coldFactor = 1 } = load.restart ?? {};
    return it.speed * (host.now() < coldMs ? coldFactor : 1);
  }

  function scheduleEvacuation(it: Evacuation): void {
    for (const to of all) {
      const change = (atMs: number, isEvacuated: boolean) =>
        events.add(atMs + host.random() * it.learnMs, () => {
          to.evacuations.record(it.failureDomain, isEvacuated);
          handleInGuard(to, { kind: GuardMessageKind.Tick });
        });
      change(it.fromMs, true);
      change(it.untilMs, false);
    }
  }

  /** Time for which the upstreams of a failure domain are still cold, in ms. */
  function getColdMs(failureDomain: string): number {
    const { evacuation } = load;
    if (evacuation?.failureDomain !== failureDomain) return 0;
    const isBack = host.now() >= evacuation.untilMs;
    const coldUntil = evacuation.untilMs + evacuation.coldMs;
    return isBack ? Math.max(0, coldUntil - host.now()) : 0;
  }

  function drawSpeeds(): void {
    const { share, factor, periodMs } = load.noise;
    for (const it of all) {
      const base = isFirstHost(it) ? load.firstHostFactor ?? 1 : 1;
      it.speed = base * (speeds.random() < share ? factor : 1);
    }
    events.add(host.now() + periodMs, drawSpeeds);
  }

  function scheduleArrival(service: string): void {
    const { perSecond, timeoutMs, plainShare, patienceSpread = 0 } = load
      .services[service]!;
    if (perSecond === 0) return;
    const gapMs = -Math.log(1 - host.random()) * 1_000 / perSecond;
    if (host.now() + gapMs > lastArrivalAt) return;
    events.add(host.now() + gapMs, () => {
      const isPlain = plainShare !== undefined && host.random() < plainShare;
      const route = isPlain ? getPlainRoute(service) : service;
      const outcome = outcomes[route]!;
      outcome.arrived += 1;
      const spread = patienceSpread === 0 ? 0 : patienceSpread * host.random();
      const deadline = host.now() + timeoutMs * (1 - spread);
      const end = () => {};
      const from = pickHost();
      startCall(from, {
        service,
        route,
        deadline,
        failureDomain: getDomain(from),
        end,
        outcome,
      });
      scheduleArrival(service);
    });
  }

  function pickHost(): FleetHost {
    const present = all.filter((it) => !it.isAway);
    return present[Math.floor(host.random() * present.length)]!;
  }

  function isFirstHost(it: FleetHost): boolean {
    return it.id === `${it.service}-0`;
  }

  function startCall(
    from: FleetHost,
    call: Omit<Call, "arrivedAt" | "hasReturned">,
  ): void {
    sendCall(from, { ...call, arrivedAt: host.now(), hasReturned: false });
  }

  function sendCall(from: FleetHost, call: Call): void {
    callCount += 1;
    const id = String(callCount);
    calls.set(id, call);
    const { runsAt, ...kind } = load.services[call.service]!;
    // All that a caller tells of its earlier tries is the time that it still waits.
    const timeoutMs = call.deadline - host.now();
    const arrival = createIngressArrival(SINGLE_PART, {
      name: call.route,
      hostname: "",
      prefix: "/",
      repeatability: Repeatability.Idempotent,
      timeoutMs: kind.timeoutMs,
      objectiveMs: kind.objectiveMs,
      priority: kind.priority ?? 0,
      maxRuns: Infinity,
      parts: [{ service: runsAt ?? call.service, weight: 1 }],
    }, {
      id,
      timeoutMs,
      spentMs: 0,
      waitedBeforeMs: from.callerTimes.recordArrival(call.route, timeoutMs),
      replayable: true,
      bodyBytes: 0,
    });
    call.objectiveBy = host.now() + arrival.objectiveMs!;
    call.isReturned = arrival.isReturned === true;
    call.from = from;
    sendToGateway(from, {
      kind: GatewayMessageKind.Arrived,
      arrival: { ...arrival, retriesLeft: 1 },
    });
  }

  function sendToGateway(it: FleetHost, msg: GatewayMessage): void {
    const actions = it.gateway.handle(msg);
    it.gatewayWakeAt = it.gateway.getNextWake() ?? Infinity;
    for (const action of actions) doGatewayAction(it, action);
  }

  function doGatewayAction(it: FleetHost, action: GatewayAction): void {
    load.onGatewayAction?.(it.id, action);
    if (action.kind === GatewayActionKind.Submit) return submit(it, action);
    if (action.kind === GatewayActionKind.Cancel) return cancel(it, action);
    if (action.kind === GatewayActionKind.Finish) {
      return finish(action.id, action.verdict);
    }
    if (action.kind !== GatewayActionKind.Deliver) return;
    const { id } = action;
    const ticket = it.gateway.getTicket(id, action.attempt);
    endCall(id, statuses.get(ticket)!);
    events.add(
      host.now(),
      () => sendToGateway(it, { kind: GatewayMessageKind.Completed, id }),
    );
  }

  function submit(
    from: FleetHost,
    action: OfKind<GatewayAction, GatewayActionKind.Submit>,
  ): void {
    const { id, attempt, timeoutMs, mayQueue, maxWaitMs, instance } = action;
    const to = hosts.get(action.to)!;
    const { service, route, objectiveBy, isReturned } = calls.get(id)!;
    const { runsAt, priority = 0 } = load.services[service]!;
    const ticket = from.gateway.getTicket(id, attempt);
    deliver(from, to, () =>
      sendToGuard(to, {
        kind: GuardMessageKind.Submit,
        ticket,
        head: {
          account: "all",
          service: runsAt ?? service,
          repeatability: Repeatability.Idempotent,
          fingerprint: "",
          timeoutMs,
          objectiveMs: objectiveBy! - host.now(),
          ...(isReturned && { isReturned }),
          priority,
          route,
          ...(mayQueue !== undefined && { mayQueue }),
          ...(maxWaitMs !== undefined && load.hasWaitsForSlots !== false &&
            { maxWaitMs }),
          ...(instance !== undefined && { instance }),
        },
      }));
  }

  function cancel(
    from: FleetHost,
    action: OfKind<GatewayAction, GatewayActionKind.Cancel>,
  ): void {
    const ticket = from.gateway.getTicket(action.id, action.attempt);
    const to = hosts.get(action.to)!;
    deliver(
      from,
      to,
      () => sendToGuard(to, { kind: GuardMessageKind.Cancel, ticket }),
    );
  }

  function deliver(from: FleetHost, to: FleetHost, run: () => void): void {
    const isNear = getDomain(from) === getDomain(to);
    const latencyMs = load.latencyMs ?? LATENCY_MS;
    events.add(host.now() + latencyMs + (isNear ? 0 : CROSS_DOMAIN_MS), run);
  }

  function sendToGuard(it: FleetHost, msg: GuardMessage): void {
    if ("head" in msg && it.guard.mayStart(msg.head)) it.readHealth();
    for (const action of handleInGuard(it, msg)) doGuardAction(it, action);
    if (msg.kind !== GuardMessageKind.Submit) return;
    reply(it, msg.ticket, (id, attempt) => ({
      kind: GatewayMessageKind.Accepted,
      id,
      attempt,
    }));
    if (it.guard.getReport().queued > 0 && !it.isPolled) {
      it.isPolled = true;
      events.add(host.now() + POLL_MS, () => pollWhileQueued(it));
    }
  }

  function handleInGuard(it: FleetHost, msg: GuardMessage): GuardAction[] {
    const actions = it.guard.handle(msg);
    it.guardWakeAt = it.guard.getNextWake() ?? Infinity;
    return actions;
  }

  function tickGuard(it: FleetHost): void {
    sendToGuard(it, { kind: GuardMessageKind.Tick });
  }

  function pollWhileQueued(it: FleetHost): void {
    it.readHealth();
    tickGuard(it);
    it.isPolled = it.guard.getReport().queued > 0;
    if (!it.isPolled) return;
    events.add(host.now() + POLL_MS, () => pollWhileQueued(it));
  }

  function doGuardAction(it: FleetHost, action: GuardAction): void {
    if (action.kind === GuardActionKind.Start) return runUpstream(it, action);
    if (action.kind === GuardActionKind.CancelUpstream) {
      return complete(it, action.ticket, 0);
    }
    if (action.kind !== GuardActionKind.Refuse) return;
    const { verdict } = action;
    reply(it, action.ticket, (id, attempt) => ({
      kind: GatewayMessageKind.Refused,
      id,
      attempt,
      verdict,
    }));
  }

  function runUpstream(
    it: FleetHost,
    { ticket }: { ticket: string },
  ): void {
    const {
      workMs,
      fastSlots = Infinity,
      failureShare = 0,
      calls: nested,
      drawWork,
      drawsEachAttempt,
    } = load.services[getKind(ticket, it)]!;
    const [, id] = ticket.split("/");
    const call = calls.get(id!);
    const deadline = call?.deadline ?? host.now();
    const isPlain = call?.route === getPlainRoute(it.service);
    let spread = 0.7 + 0.6 * host.random();
    if (drawWork !== undefined) {
      const drawn = drawsEachAttempt ? undefined : drawnWork.get(id!);
      spread = drawn ?? drawWork();
      drawnWork.set(id!, spread);
    }
    running.set(ticket, { host: it.id, startedAt: host.now() });
    it.runningCount += 1;
    const isFirst = isFirstHost(it);
    if (isFirst) outcomes[it.service]!.firstHostStarts.push(host.now());
    outcomes[it.service]!.starts.push({ host: it.id, at: host.now() });
    const coldFactor = getColdMs(getDomain(it)) > 0 ? COLD_FACTOR : 1;
    const isFailing = isFirst && host.random() < failureShare;
    if (isFailing) {
      events.add(
        host.now() + FAST_FAILURE_MS,
        () => complete(it, ticket, FAILED_STATUS),
      );
      return;
    }
    const crowding = it.runningCount > fastSlots ? CROWDING_FACTOR : 1;
    events.add(
      host.now() + workMs * spread * getSpeed(it) * crowding * coldFactor,
      () => makeCalls(isPlain ? 0 : nested?.times ?? 0),
    );

    function makeCalls(left: number): void {
      if (running.get(ticket) === undefined) return;
      if (left === 0 || nested === undefined) return complete(it, ticket, 200);
      startCall(it, {
        service: nested.service,
        route: nested.service,
        failureDomain: getDomain(it),
        deadline: Math.min(
          deadline,
          host.now() + load.services[nested.service]!.timeoutMs,
        ),
        end: (isServed) => {
          if (isServed) makeCalls(left - 1);
          else complete(it, ticket, FAILED_STATUS);
        },
      });
    }
  }

  function complete(it: FleetHost, ticket: string, status: number): void {
    const work = running.get(ticket);
    if (work === undefined) return;
    running.delete(ticket);
    it.runningCount -= 1;
    recordWork(it, { ticket, startedAt: work.startedAt, status });
    sendNotice(it);
    sendToGuard(it, {
      kind: GuardMessageKind.UpstreamResponded,
      ticket,
      status: status === 0 ? FAILED_STATUS : status,
    });
    if (status === 0) return;
    statuses.set(ticket, status);
    reply(it, ticket, (id, attempt) => ({
      kind: GatewayMessageKind.ResponseReceived,
      id,
      attempt,
      ticket,
      status,
    }));
  }

  /** Kind of the request that a ticket is for; of one that has ended, that of the host. */
  function getKind(ticket: string, it: FleetHost): string {
    return calls.get(ticket.split("/")[1]!)?.service ?? it.service;
  }

  function recordWork(
    it: FleetHost,
    { ticket, startedAt, status }: {
      ticket: string;
      startedAt: number;
      status: number;
    },
  ): void {
    const [, id, attempt] = ticket.split("/");
    const kind = getKind(ticket, it);
    const call = calls.get(id!);
    const { objectiveMs } = load.services[kind]!;
    const outcome = outcomes[kind]!;
    outcome.slotMs += host.now() - startedAt;
    const isInTime = call !== undefined && status === 200 &&
      host.now() - call.arrivedAt <= objectiveMs;
    if (isInTime) outcome.inTimeSlotMs += host.now() - startedAt;
    load.onWork?.({
      id: id!,
      attempt: Number(attempt),
      startedAt,
      endedAt: host.now(),
    });
  }

  function sendNotice(it: FleetHost): void {
    const { limitPerS } = load.services[it.service]!;
    const isLimited = limitPerS !== undefined && it.id === `${it.service}-0`;
    sendToGuard(it, {
      kind: GuardMessageKind.Noticed,
      notice: {
        isLeaving: false,
        isComplete: true,
        ...(isLimited && { limitPerS }),
      },
      source: { instance: it.id, sentAt: host.now() },
    });
  }

  /** Sends a message with the guard's load report to the gateway that owns the ticket. */
  function reply(
    from: FleetHost,
    ticket: string,
    create: (id: string, attempt: number) => GatewayMessage,
  ): void {
    const [incarnation, id, attempt] = ticket.split("/");
    const to = hosts.get(incarnation!.split("#")[0]!)!;
    const report = from.guard.getReport();
    deliver(from, to, () => {
      to.gateway.receiveReport(report);
      sendToGateway(to, create(id!, Number(attempt)));
    });
  }

  function endCall(id: string, status: number): void {
    const call = calls.get(id);
    if (call === undefined) return;
    calls.delete(id);
    const isServed = status === 200 && host.now() <= call.deadline;
    if (!isServed) call.from!.callerTimes.recordUnserved(call.route);
    const { outcome, arrivedAt } = call;
    if (outcome !== undefined) {
      const { objectiveMs } = load.services[call.service]!;
      if (isServed) outcome.responseMs.push(host.now() - arrivedAt);
      const isInTime = isServed && host.now() - arrivedAt <= objectiveMs;
      if (!isServed) outcome.failed += 1;
      else if (isInTime) outcome.inTime += 1;
      else outcome.late += 1;
      if (call.hasReturned && isServed) outcome.returnedServed += 1;
      outcome.ended.push({ ...call, isInTime });
    }
    call.end(isServed);
  }

  function finish(id: string, verdict: Verdict): void {
    const call = calls.get(id);
    if (call === undefined) return;
    calls.delete(id);
    call.from!.callerTimes.recordUnserved(call.route);
    const { outcome } = call;
    if (outcome === undefined) return call.end(false);
    outcome.refusals += 1;
    const { reason } = verdict.diagnostic;
    outcome.reasons[reason] = (outcome.reasons[reason] ?? 0) + 1;
    const leftMs = call.deadline - host.now();
    const expectedMs = verdict.retryAfterMs;
    const delayMs = limitRetryAfter(host, { expectedMs, leftMs });
    if (call.hasReturned || leftMs <= 0) {
      outcome.refused += 1;
      outcome.ended.push({ ...call, isInTime: false });
    } else {
      events.add(
        host.now() + delayMs,
        () => sendCall(pickHost(), { ...call, hasReturned: true }),
      );
      outcome.returned += 1;
    }
  }

  function getDomain(it: FleetHost): string {
    return it.failureDomain;
  }
}

function getPlainRoute(service: string): string {
  return `plain ${service}`;
}

function createOutcome(): ServiceOutcome {
  return {
    arrived: 0,
    inTime: 0,
    late: 0,
    refused: 0,
    failed: 0,
    refusals: 0,
    slotMs: 0,
    inTimeSlotMs: 0,
    returned: 0,
    returnedServed: 0,
    reasons: {},
    firstHostStarts: [],
    responseMs: [],
    starts: [],
    ended: [],
  };
}

function createChooserOptions() {
  return { policy: ChoicePolicy.ExpectedTime, crossDomainMs: 3 };
}
