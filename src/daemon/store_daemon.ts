/**
 * Store daemon: its hosts and configuration come from a watched key-value
 * store. Creates the tasks, connects them to their sockets and stops them
 * gracefully.
 */

import { createServer, type RequestListener, type Server } from "node:http";
import { v7 } from "uuid";
import { createCalledServices, showsRoom } from "../core/called_services.ts";
import { ChoicePolicy } from "../core/choice.ts";
import { ColdState, createColdStarts } from "../core/cold_starts.ts";
import { createCounters } from "../core/counters.ts";
import { ConfigOutcome, createActiveConfig } from "../core/degraded_config.ts";
import type { Diagnostic } from "../core/diagnostics.ts";
import { createEvacuations } from "../core/evacuations.ts";
import { orderByHash } from "../core/host_order.ts";
import type { ClosedReason } from "../core/guard_types.ts";
import {
  computeBufferLimit,
  createMemoryBudget,
} from "../core/memory_budget.ts";
import { createRetryAllowance } from "../core/retry_allowance.ts";
import { createRouteTable, type RouteTable } from "../core/route_table.ts";
import type {
  DegradedPart,
  ListedUpstream,
  PublishedConfig,
  RoutingConfig,
} from "../core/routing_types.ts";
import { createStopPlan } from "../core/stop_plan.ts";
import { getStartKey } from "../core/upstream_start.ts";
import { createUpstreamList, UpstreamChange } from "../core/upstream_list.ts";
import { planReading, type ReadingPlan } from "../core/reading_plan.ts";
import type { FailureDomainName, HostId, ServiceName } from "../core/types.ts";
import type { StoreDaemonSettings } from "../settings/store_daemon_settings.ts";
import { createUpstreamClient } from "../upstream/upstream_client.ts";
import type { UpstreamProtocol } from "../upstream/upstream_protocol.ts";
import { createChangeRelay } from "./change_relay.ts";
import { startCallerListener } from "./caller_listener.ts";
import type { CallerDialect } from "./caller_dialect.ts";
import { createClock } from "./clock.ts";
import { createCoreHost } from "./core_host.ts";
import { createCrashProtection } from "./crash_protection.ts";
import { createFrameServer, CutBy, type CutExchange } from "./frame_server.ts";
import { createGatewayTask } from "./gateway_task.ts";
import { createGracefulStop } from "./graceful_stop.ts";
import { createGuardTask, type GuardTask } from "./guard_task.ts";
import { splitAddress } from "../link/address.ts";
import { createPieceLimits } from "../link/small_pieces.ts";
import { MAX_READ_BYTES } from "../link/small_reads.ts";
import { logHandlerFailure } from "./handler_failure.ts";
import { createIngressHandler } from "./ingress_server.ts";
import { createLatencyMetrics, Phase } from "./latency_metrics.ts";
import { createLifecycle } from "./lifecycle.ts";
import { createLinkTable } from "./link_table.ts";
import { createDelayListener, waitForSockets } from "./unread_sockets.ts";
import type { Logger } from "./logger.ts";
import { formatMetrics } from "./metrics_text.ts";
import { startPeerListener } from "./peer_listener.ts";
import { createPeerHandler } from "./peer_server.ts";
import { createPeerStateReader } from "./peer_state.ts";
import { getStoreDaemonGauges } from "./store_gauges.ts";
import { createStoreOperatorHandler } from "./store_operator_server.ts";
import {
  createStoreTask,
  type StoreChange,
  StoreChangeKind,
  type StoreReader,
} from "./store_task.ts";
import { createUpstreamEnds } from "./upstream_ends.ts";
import { createUpstreamWatch } from "./upstream_watch.ts";

/** Upstreams that one request may be sent to at most; a route may allow fewer. Refusals by guards do not count. */
const MAX_RUNS = 4;
/** Non-queueing reservations of a request before it may queue. */
const MAX_NON_QUEUEING_ATTEMPTS = 4;
/** Timeout of a reservation, in ms: some ten round trips and a short pause of the guard's process. */
const RESERVE_TIMEOUT_MS = 120;
/** Time without a response after which the link of an attempt is suspected, in ms. */
const SUSPECT_LINK_AFTER_MS = 2_000;
/** Lifetime of a grant that is not used, in ms; hundreds of round trips. */
const GRANT_TTL_MS = 1_000;
/** Requests queued at the guard; bounds memory only, as admission refuses requests long before. */
const QUEUE_CAPACITY = 256;
/** More than any upstream has; the guard reads the actual number from its upstream. */
const MAX_SLOTS = 4_096;
/** Idempotency keys that are stored; some ten times the open requests of a busy guard. */
const KEY_CAPACITY = 4_096;
/** Largest request head that is parsed, in bytes; the operators' limits are lower. */
const MAX_HEADER_BYTES = 131_072;
/** Assumed round trip to another failure domain, in ms; only breaks ties. */
const CROSS_DOMAIN_MS = 3;
/** Time after a store outage within which an upstream whose entry lapsed may be listed again, in ms. */
const LAPSE_GRACE_MS = 2_000;
/** Time for which an evacuation that an older copy of the store lacks stays in effect, in ms; its writer writes it again. */
const EVACUATION_GRACE_MS = 2_000;
/**
 * Time between two reads of changes, as a share of the shorter of `inForceMs`
 * and `drainMs`. As much again remains for replacing a lost source.
 */
const READ_GAP_SHARE = 1 / 3;
/** Connections to the local upstream; the guard's slots limit how many are in use. */
const MAX_UPSTREAM_CONNECTIONS = 256;
/** Slots of an upstream that has not reported any yet. */
const ASSUMED_SLOTS = 8;

/** Protocols of a deployment's callers, upstreams and store. */
export interface Deployment {
  readonly callers: CallerDialect;
  readonly upstreams: UpstreamProtocol;
  readonly store: StoreReader;
  /** Path of the readiness check. */
  readonly readinessPath: string;
}

/** Options of a store daemon. */
export interface StoreDaemonOptions {
  readonly settings: StoreDaemonSettings;
  readonly deployment: Deployment;
  readonly logger: Logger;
}

/** A running store daemon. */
export interface StoreDaemon {
  /** Finishes open requests within the stop grace time, then closes; later calls return the same promise. */
  stop(): Promise<void>;
}

/** Starts a store daemon; resolves once it listens. */
export async function startStoreDaemon(
  options: StoreDaemonOptions,
): Promise<StoreDaemon> {
  const { settings, deployment, logger } = options;
  const { bounds, extraWorkShare = 0 } = settings;
  /** Time within which each change of the store has to be in force. */
  const promiseMs = Math.min(bounds.inForceMs, bounds.drainMs);
  const clock = createClock();
  const host = createCoreHost(clock);
  const incarnation = v7();
  const counters = createCounters();
  const latencies = createLatencyMetrics();
  const lifecycle = createLifecycle();
  const onLate = createDelayListener(clock, { counters, logger });
  const stopPlan = createStopPlan(host, {
    graceMs: bounds.graceMs,
    getOldestMs: (route) =>
      gatewayTask.getOpen().reduce(
        (oldestMs, it) =>
          it.route === route ? Math.max(oldestMs, it.ageMs) : oldestMs,
        0,
      ),
  });
  const pieces = createPieceLimits(clock);
  const memory = createMemoryBudget({
    limitBytes: computeBufferLimit(settings.memoryMb),
    onStateChange: logBufferState,
  });
  const peerPort = splitAddress(settings.listen.peers).port;
  const activeConfig = createActiveConfig();
  let routes: RouteTable | undefined;
  /** Key of the local upstream's start as last listed. */
  let ownStart: string | undefined;
  /** True once the content of the store is known. */
  let hasSnapshot = false;
  /** Requests of peers whose response is not fully sent. */
  let pendingRequests = 0;
  /** Derived from the list of upstreams; undefined after a change until it is next needed. */
  let plan: ReadingPlan | undefined;

  const upstreams = createUpstreamList(host, {
    lapseGraceMs: LAPSE_GRACE_MS,
    getHost: (address) => splitAddress(address).host,
    isNamed,
    onChange: handleUpstreamChange,
    onStart: handleStart,
  });
  const evacuations = createEvacuations(host, {
    graceMs: EVACUATION_GRACE_MS,
    onChange: handleEvacuation,
  });
  const coldStarts = createColdStarts(host, {
    ...(bounds.cold && { bounds: bounds.cold }),
    tryGetColdRatePerS: () =>
      routes?.config.coldRatePerS?.get(settings.service),
    onChange: (isCold, evidence) => {
      if (isCold) logger.info("upstream_cold", { ...evidence });
      else logger.info("upstream_warm", { ...evidence });
    },
  });
  const calledServices = createCalledServices(host, {
    hasRoom: (service) =>
      showsRoom(
        upstreams.getCandidates(service).map((candidate) =>
          gatewayTask.gateway.getLoad(candidate.host)
        ),
        host.now(),
      ),
    onChange: (isHeld, evidence) => {
      if (isHeld) logger.info("starts_held", { ...evidence });
      else logger.info("starts_resumed", { ...evidence });
    },
  });
  const watch = createUpstreamWatch(clock, {
    address: settings.upstreamAddress,
    protocol: deployment.upstreams,
    counters,
    getHealthPath: () =>
      tryGetClosedReason() === undefined
        ? routes?.config.healthPaths.get(settings.service)
        : undefined,
    getListedSlots,
    hasWaiting: () => guardTask.guard.getReport().queued > 0,
    onReading: () => guardTask.wake(),
    onCold: coldStarts.recordHealth,
    needsReadings: () => coldStarts.getState() !== ColdState.Unlimited,
    isReadingDue: coldStarts.isReadingDue,
    onRefused: () => guardTask.recordEnded(),
    onNotice: (notice, source) => guardTask.recordNotice(notice, source),
  });
  const client = createUpstreamClient({
    address: settings.upstreamAddress,
    clock,
    connections: MAX_UPSTREAM_CONNECTIONS,
    protocol: deployment.upstreams,
    memory,
    pieces,
    tryGetMaxConnections: () =>
      routes?.config.maxConnections?.get(settings.service),
    getSlots: getListedSlots,
    onMadeRoom: () => counters.add("upstream_connection_gave_way"),
    onConnectionRefused: () => counters.add("upstream_connection_refused"),
    onEndless: () => counters.add("response_cut_endless"),
    onLoad: watch.recordLoad,
    onNotice: (notice, source) => guardTask.recordNotice(notice, source),
  });
  const guardTask: GuardTask = createGuardTask(clock, {
    onLate,
    host,
    logger,
    upstream: client,
    beforeAdmission: watch.refresh,
    waitForSockets,
    ends: createUpstreamEnds(settings.upstreamAddress, { clock, incarnation }),
    beforeRun: () => coldStarts.isReadingDue() ? watch.refresh() : undefined,
    afterMessage: watch.pollWhileWaiting,
    onUpstreamResponse: ({ route = "", isReturned, use, waitedMs, tookMs }) => {
      const from = isReturned ? "returned" : "first";
      latencies.record(Phase.Queue, { route, try: from }, waitedMs);
      latencies.record(Phase.Upstream, { route, use }, tookMs);
    },
    guard: {
      self: settings.host,
      service: settings.service,
      incarnation,
      slots: MAX_SLOTS,
      queueCapacity: QUEUE_CAPACITY,
      grantTtlMs: GRANT_TTL_MS,
      keyCapacity: KEY_CAPACITY,
      leavingMs: bounds.drainMs,
      getWeight: () => 1,
      tryGetClosedReason,
      tryGetListedLeavingSince: upstreams.tryGetLeavingSince,
      // The clock starts with the process, and its predecessor has ended before.
      aloneSince: 0,
      coldStarts,
      calledServices,
      upstream: watch,
    },
  });
  const links = createLinkTable({
    self: settings.host,
    guard: guardTask,
    tryGetAddress: getPeerAddress,
    getRevisions: () => String(routes?.config.version ?? 0),
    onReport: (report) => gatewayTask.gateway.receiveReport(report),
    // Configurations come only from the store, not from peers.
    onRevisions: () => {},
    usesFrames: true,
    onConnect: () => counters.add("link_connected"),
    onSilent: () => counters.add("link_silent"),
    pieces,
    onMalformed: (peer, message) => {
      counters.add("malformed_peer_message");
      logger.warn("peer_nonsense", { peer, message });
    },
  });
  const protection = createCrashProtection(host, {
    self: settings.host,
    origin: settings.service,
    getLink: links.get,
    getReady: () => upstreams.getReadyHosts().map((it) => it.host),
    counters,
    logger,
  });
  lifecycle.add("crash protection", protection.close);
  const gatewayTask = createGatewayTask(clock, {
    onLate,
    host,
    logger,
    getLink: links.get,
    waitForSockets,
    isTransparent: true,
    onDelivered: ({ route = "", host, placingMs, attemptMs }) => {
      latencies.record(Phase.Placing, { route }, placingMs);
      latencies.record(Phase.Attempt, { host }, attemptMs);
    },
    onExtraEnded: ({ cause, savedMs }) => {
      if (savedMs === undefined) return;
      latencies.record(Phase.Saved, { cause }, savedMs);
    },
    gateway: {
      self: settings.host,
      incarnation,
      maxAttempts: MAX_RUNS,
      maxNonQueueingAttempts: MAX_NON_QUEUEING_ATTEMPTS,
      reserveTimeoutMs: RESERVE_TIMEOUT_MS,
      suspectAfterMs: SUSPECT_LINK_AFTER_MS,
      retriesFailureResponses: true,
      suspects: protection.suspects,
      retryAllowance: createRetryAllowance(host, {
        ratio: bounds.retryRatio,
        windowMs: bounds.retryWindowMs,
        slack: bounds.retrySlack,
        getDaemonCount: upstreams.countHosts,
      }),
      chooser: {
        policy: ChoicePolicy.ExpectedTime,
        failureDomain: settings.failureDomain,
        crossDomainMs: CROSS_DOMAIN_MS,
        getGatewayCount: upstreams.countHosts,
      },
      getCandidates: (service) =>
        evacuations.filter(upstreams.getCandidates(service)),
      previewCandidates: (service, trace) =>
        evacuations.preview(
          upstreams.previewCandidates(service, trace),
          trace,
        ),
      onDomainRefused: evacuations.recordRefusal,
      onUnserved: ({ service }, arrivedAt) =>
        calledServices.recordRefusal(service, arrivedAt),
      wasListed: upstreams.wasListed,
      tryGetBornAt: upstreams.tryGetBornAt,
      leavingMs: bounds.drainMs,
      extraWork: { share: extraWorkShare },
      onHostStatus: (status, { host: peer, ...about }) =>
        logger.info(`host_${status}`, { peer, ...about }),
      onNotice: (peer, notice) =>
        logger.info("host_notice", { peer, ...notice }),
      getLimits: () => ({
        retryBudget: 0,
        hedgeBudget: 0,
        hedgePercentile: 99,
      }),
    },
  });
  const relay = createChangeRelay(host, { counters });
  const store = createStoreTask(host, {
    reader: deployment.store,
    peers: createPeerStateReader({
      self: settings.host,
      getPeers: () =>
        upstreams.size() === 0 ? settings.seeds : orderByHash(
          upstreams.getReadyHosts().map((it) => it.host),
          `state asked by ${settings.host}`,
        ),
      getLink: links.get,
      logger,
    }),
    relay,
    getPlan,
    getPeerAddress,
    counters,
    logger,
    promiseMs,
    readGapMs: promiseMs * READ_GAP_SHARE,
    onSnapshot: applySnapshot,
    onChange: applyChange,
    onLost: () => {
      upstreams.markLost();
      evacuations.markLost();
    },
    onRegained: () => {
      upstreams.markRegained();
      evacuations.markRegained();
    },
    onRolledBack: () => {
      upstreams.markRolledBack();
      evacuations.markRolledBack();
    },
  });
  const gracefulStop = createGracefulStop({
    clock,
    plan: stopPlan,
    lifecycle,
    counters,
    logger,
    countOpen: () => ({
      callers: ingress.countUnanswered(),
      peers: pendingRequests,
      guard: guardTask.guard.getOpenCount(),
    }),
    getOpen: () => ({
      gateway: gatewayTask.getOpen(),
      guard: guardTask.getOpen(),
    }),
    onBegin: (answersBy) => {
      void guardTask.drain(answersBy);
      relay.close();
    },
    endOpen: gatewayTask.endAll,
    closeListeners: (getLeftMs) => {
      const isAnswered = ingress.close(getLeftMs);
      peers.stop();
      const arePeersTold = peers.close(getLeftMs);
      lifecycle.add("peers", () => arePeersTold);
      for (const server of [readiness, metrics]) {
        lifecycle.add("server", () => closeServer(server));
      }
      lifecycle.add("callers", () => isAnswered);
      lifecycle.add("store", store.close);
      lifecycle.add("watch", watch.close);
    },
  });
  logger.info("starting", { incarnation, service: settings.service });
  reportProblems(undefined, settings.degraded);
  const ingress = await startCallerListener({
    address: settings.listen.callers,
    maxHeaderBytes: MAX_HEADER_BYTES,
    counters,
    logger,
    clock,
    isStopping: () => gracefulStop.isStopping(),
    handler: createIngressHandler({
      host,
      task: gatewayTask,
      dialect: deployment.callers,
      counters,
      logger,
      memory,
      origin: settings.service,
      getRoutes: () => routes,
      isStopping: () => gracefulStop.isStopping(),
      isQuarantined: protection.suspects.isQuarantined,
      mayTake: stopPlan.mayTake,
      tryGetReturnMs: stopPlan.tryGetReturnMs,
      onResponse: ({ service, route = "" }, latencyMs) => {
        latencies.record(Phase.Response, { service, route }, latencyMs);
      },
      onAnswered: ({ route = "" }, tookMs) =>
        stopPlan.recordAnswer(route, tookMs),
    }),
  });
  const peers = await startPeerListener({
    address: settings.listen.peers,
    maxHeaderBytes: MAX_HEADER_BYTES,
    frames: createFrameServer({
      guard: guardTask,
      onMalformed: recordMalformed,
      onHandlerFailure: recordPeerFailure,
      onCut: recordCutExchange,
      trackExchange: () => {
        pendingRequests += 1;
        return () => pendingRequests -= 1;
      },
    }),
    handler: trackPending(createPeerHandler({
      guard: guardTask,
      getRevisions: () => String(routes?.config.version ?? 0),
      onRevisions: () => {},
      follow: relay.attach,
      tryGetState: relay.tryGetState,
      receiveSuspects: protection.receive,
      onMalformed: recordMalformed,
      onHandlerFailure: recordPeerFailure,
    })),
  });
  const readiness = await listen(settings.listen.readiness, handleReadiness);
  const metrics = await listen(
    settings.listen.metrics,
    createStoreOperatorHandler({
      host,
      self: settings.host,
      gateway: gatewayTask.gateway,
      dialect: deployment.callers,
      memory,
      getRoutes: () => routes,
      mayTake: stopPlan.mayTake,
      tryGetReturnMs: stopPlan.tryGetReturnMs,
      formatMetrics: () =>
        formatMetrics(
          [
            { role: "gateway", counters: gatewayTask.gateway.counters },
            { role: "guard", counters: guardTask.guard.counters },
            { role: "daemon", counters },
          ],
          getStoreDaemonGauges({
            gateway: gatewayTask.gateway,
            guard: guardTask.guard,
            coldStarts,
            calledServices,
            upstreams,
            evacuations,
            memory,
            suspects: protection.suspects,
            extraWorkShare,
            version: routes?.config.version ?? 0,
            isInTouch: store.isReachable(),
          }),
          latencies,
        ),
    }),
  );
  store.start();
  return { stop: gracefulStop.run };

  function getListedSlots(): number {
    return upstreams.tryGetAt(settings.upstreamAddress)?.slots ?? ASSUMED_SLOTS;
  }

  function recordMalformed({ reason }: Diagnostic, message: string): void {
    counters.add(reason);
    logger.warn("peer_nonsense", { reason, message });
  }

  /** A peer that cancels an attempt closes its connection, so that these are no news. */
  function recordCutExchange(cut: CutExchange): void {
    counters.add(`attempt_cut_by_${cut.by}`);
    const fields = { ...cut, isStopping: gracefulStop.isStopping() };
    if (cut.by === CutBy.Peer) logger.debug("attempt_cut", fields);
    else logger.warn("attempt_cut", fields);
  }

  function recordPeerFailure(error: Error): void {
    counters.add("handler_failed");
    logHandlerFailure(logger, error, { handler: "peers" });
  }

  function logBufferState(isExhausted: boolean): void {
    const fields = { used: memory.getUsed(), limit: memory.getLimit() };
    if (isExhausted) logger.warn("buffers_full", fields);
    else logger.info("buffers_free", fields);
  }

  function getPeerAddress(id: HostId): string {
    return `${id}:${peerPort}`;
  }

  function getPlan(): ReadingPlan {
    const self = {
      host: settings.host,
      failureDomain: settings.failureDomain,
    };
    return plan ??= planReading(self, upstreams.getReadyHosts());
  }

  function applySnapshot(changes: readonly StoreChange[]): void {
    const listed: ListedUpstream[] = [];
    const evacuated: FailureDomainName[] = [];
    const others: StoreChange[] = [];
    for (const change of changes) {
      if (change.kind === StoreChangeKind.UpstreamListed) {
        listed.push(change.upstream);
      } else if (change.kind === StoreChangeKind.DomainEvacuated) {
        evacuated.push(change.failureDomain);
      } else others.push(change);
    }
    // Evacuations first: a daemon serves from its first routes and upstreams on.
    evacuations.replaceAll(evacuated);
    for (const change of others) applyChange(change);
    upstreams.replaceAll(listed);
    for (const upstream of listed) recordOwnColdness(upstream);
    if (!hasSnapshot) protection.ask();
    hasSnapshot = true;
    guardTask.wake();
  }

  function applyChange(change: StoreChange): void {
    switch (change.kind) {
      case StoreChangeKind.UpstreamListed:
        upstreams.put(change.upstream);
        recordOwnColdness(change.upstream);
        if (change.upstream.address === settings.upstreamAddress) {
          guardTask.wake();
        }
        return;
      case StoreChangeKind.UpstreamRemoved:
        upstreams.remove(change.instance, change.removal);
        // Its entry tells no more whether it was this host's.
        return guardTask.wake();
      case StoreChangeKind.RoutingPublished:
        return applyRouting(change.config);
      case StoreChangeKind.DomainEvacuated:
        return evacuations.record(change.failureDomain, change.isEvacuated);
      case StoreChangeKind.Unreadable:
        counters.add("store_entry_unreadable");
        logger.warn("store_entry_ignored", {
          key: change.key,
          message: change.message,
        });
    }
  }

  /** An upstream that is listed as cold is cold until a reading shows otherwise. */
  function recordOwnColdness(upstream: ListedUpstream): void {
    const own = upstreams.tryGetAt(settings.upstreamAddress);
    if (own === upstream) coldStarts.recordListed(upstream.coldMs ?? 0);
  }

  /** Whatever is known of an upstream belongs to one start of it. */
  function handleStart(id: HostId, newest: ListedUpstream | undefined): void {
    gatewayTask.gateway.forgetHost(id);
    if (newest?.address !== settings.upstreamAddress) return;
    const start = getStartKey(newest);
    if (start === ownStart) return;
    ownStart = start;
    counters.add("own_upstream_started");
    logger.info("own_upstream_started", {
      instance: newest.instance,
      bornAt: newest.bornAt,
    });
    coldStarts.forget();
    watch.forgetStart();
    client.forgetStart();
    guardTask.recordListed(newest);
  }

  /** Applies a configuration if its version is newer than the active one. */
  function applyRouting(published: PublishedConfig): void {
    const before = routes?.config.version;
    const { outcome, problems } = activeConfig.apply(published);
    reportProblems(published.version, problems);
    if (outcome === ConfigOutcome.Older) counters.add("config_older");
    const config = activeConfig.tryGet();
    if (outcome !== ConfigOutcome.Applied || config === undefined) return;
    routes = createRouteTable(config);
    recordServices();
    applyLimits(config);
    logger.info("config_in_force", {
      version: config.version,
      before,
      routes: config.routes.length,
      unreadable: config.unreadable.length,
    });
  }

  function reportProblems(
    version: number | undefined,
    problems: readonly DegradedPart[],
  ): void {
    for (const { row, field, found } of problems) {
      counters.add("config_degraded");
      logger.warn("config_degraded", { version, row, field, found });
    }
  }

  function isNamed(service: ServiceName): boolean {
    return routes?.config.services.has(service) ?? true;
  }

  function recordServices(): void {
    plan = undefined;
    upstreams.recordServicesChanged();
    protection.recordListChange();
  }

  function applyLimits({ limits }: RoutingConfig): void {
    ingress.setLimits(limits);
  }

  function handleUpstreamChange(
    change: UpstreamChange,
    it: ListedUpstream,
  ): void {
    plan = undefined;
    counters.add(`upstream_${change}`);
    logger.info(`upstream_${change}`, {
      instance: it.instance,
      service: it.service,
      address: it.address,
      failureDomain: it.failureDomain,
      bornAt: it.bornAt,
      isNamed: isNamed(it.service),
      inTouch: store.isReachable(),
    });
    recordDaemon(change, splitAddress(it.address).host);
  }

  /** A daemon runs beside each upstream, also of a service that isn't named, and may have started with it. */
  function recordDaemon(change: UpstreamChange, id: HostId): void {
    const hasStarted = change === UpstreamChange.Listed ||
      change === UpstreamChange.Restarted;
    if (hasStarted) protection.recordListed(id);
    else if (!upstreams.isHostListed(id)) protection.recordUnlisted(id);
    protection.recordListChange();
  }

  function handleEvacuation(
    failureDomain: FailureDomainName,
    isEvacuated: boolean,
  ): void {
    const fields = { failureDomain, inTouch: store.isReachable() };
    if (isEvacuated) logger.info("domain_evacuated", fields);
    else logger.info("domain_restored", fields);
    // Refuses what waits at the guard at once. Nothing waits at the end.
    const isOwn = failureDomain === settings.failureDomain;
    if (isEvacuated && isOwn) guardTask.wake();
  }

  /**
   * Where evacuations or bounds for cold upstreams are in use, a guard starts
   * nothing before the first snapshot tells what applies to its upstream.
   */
  function tryGetClosedReason(): ClosedReason | undefined {
    if (evacuations.isEvacuated(settings.failureDomain)) {
      return "domain_evacuated";
    }
    const isKnown =
      (bounds.evacuateMs === undefined && bounds.cold === undefined) ||
      (hasSnapshot && (bounds.cold === undefined || routes !== undefined));
    return isKnown ? undefined : "not_ready";
  }

  function handleReadiness(...[req, res]: Parameters<RequestListener>): void {
    const isKnown = req.url === deployment.readinessPath;
    const isReady = routes !== undefined && upstreams.size() > 0 &&
      !gracefulStop.isStopping();
    res.writeHead(!isKnown ? 404 : isReady ? 200 : 503, {
      "content-length": "0",
    });
    res.end();
  }

  function trackPending(handler: RequestListener): RequestListener {
    return (incoming, outgoing) => {
      pendingRequests += 1;
      outgoing.once("close", () => pendingRequests -= 1);
      handler(incoming, outgoing);
    };
  }
}

/** Stops listening and closes all connections, also those with hanging requests. */
function closeServer(server: Server): void {
  server.close();
  server.closeAllConnections();
}

async function listen(
  address: string,
  handler: RequestListener,
): Promise<Server> {
  const server = createServer({
    maxHeaderSize: MAX_HEADER_BYTES,
    requestTimeout: 0,
    noDelay: true,
    highWaterMark: MAX_READ_BYTES,
  }, handler);
  const { host, port } = splitAddress(address);
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, resolve);
  });
  return server;
}
