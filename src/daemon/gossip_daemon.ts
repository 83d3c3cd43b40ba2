/**
 * Gossip daemon: its hosts and configuration come by gossip and from a polled
 * platform. Creates the tasks, connects them to their sockets and stops them
 * gracefully.
 */

import process from "node:process";
import { v7 } from "uuid";
import { decodeDocument, validateDocument } from "../client_account/decode.ts";
import { createAccountDirectory } from "../client_account/directory.ts";
import type { AccountDocument } from "../client_account/types.ts";
import { ChoicePolicy } from "../core/choice.ts";
import { createConfigState } from "../core/config_state.ts";
import type { ConfigDocument, HostPlace } from "../core/config_types.ts";
import { type Counters, createCounters } from "../core/counters.ts";
import type { Diagnostic, DiagnosticName } from "../core/diagnostics.ts";
import type { AccountLimits } from "../core/gateway_types.ts";
import {
  computeBufferLimit,
  createMemoryBudget,
} from "../core/memory_budget.ts";
import { createMembership } from "../core/membership.ts";
import { createPlatformClient } from "../platform/platform_client.ts";
import type { HostSettings } from "../settings/host_settings.ts";
import { createUpstreamClient } from "../upstream/upstream_client.ts";
import { createDefaultProtocol } from "../upstream/upstream_protocol.ts";
import { createCallerApp } from "./caller_server.ts";
import { createClock } from "./clock.ts";
import { createControlTask } from "./control_task.ts";
import { createCoreHost } from "./core_host.ts";
import { createGatewayTask } from "./gateway_task.ts";
import { createGuardTask } from "./guard_task.ts";
import { explainCall } from "./gossip_explain.ts";
import { logHandlerFailure } from "./handler_failure.ts";
import { type HttpServer, startHttpServer } from "./http_server.ts";
import { createLatencyMetrics, Phase } from "./latency_metrics.ts";
import { createLifecycle } from "./lifecycle.ts";
import { createLinkTable } from "./link_table.ts";
import { createLogger, type Logger } from "./logger.ts";
import { createOperatorApp, type DaemonStatus } from "./operator_server.ts";
import { createPeerApp } from "./peer_app.ts";
import { createPlatformTask } from "./platform_task.ts";
import { createProbeTask } from "./probe_task.ts";
import { createDelayListener, waitForSockets } from "./unread_sockets.ts";

/** Attempts of one request at most, hedges and refused attempts included. */
const MAX_ATTEMPTS = 4;
/** Time between announcing the drain to peers and closing the callers' listener, in ms. */
const DRAIN_NOTICE_MS = 300;
/** Time for the last answers, and for callers to close their connections, in ms. */
const CLOSE_MS = 500;
/** Longest wait of a starting daemon for a peer that has no newer configuration, in ms. */
const PEER_WAIT_MS = 3_000;
const PEER_POLL_MS = 10;
const NOT_READY_POLL_MS = 500;
/** Limits of an account without configuration: neither retries nor hedges. */
const UNKNOWN_ACCOUNT_LIMITS: AccountLimits = {
  retryBudget: 0,
  hedgeBudget: 0,
  hedgePercentile: 99,
};

/** A running gossip daemon. */
export interface GossipDaemon {
  getStatus(): DaemonStatus;
  /** Finishes open requests within the stop timeout of the settings, then closes; later calls return at once. */
  stop(): Promise<void>;
}

/** Options of a gossip daemon; logs to standard output without a logger. */
export interface GossipDaemonOptions {
  readonly settings: HostSettings;
  readonly logger?: Logger;
}

/** Starts a gossip daemon; resolves once it accepts requests. */
export async function startGossipDaemon(
  options: GossipDaemonOptions,
): Promise<GossipDaemon> {
  const { settings } = options;
  const logger = options.logger ?? createLogger({
    host: settings.host,
    level: settings.logLevel,
    out: process.stdout,
  });
  const clock = createClock();
  const host = createCoreHost(clock);
  const incarnation = v7();
  const counters = createCounters();
  const latencies = createLatencyMetrics();
  const lifecycle = createLifecycle();
  const accounts = createAccountDirectory();
  const place = getPlace(settings);
  const config = createConfigState<AccountDocument>({
    validate: validateDocument,
  });
  const membership = createMembership(host, {
    self: settings.host,
    failureDomain: settings.failureDomain,
    subsetSize: settings.subset,
  });
  let isReady = false;
  let isDraining = false;

  const control = createControlTask(host, {
    place,
    incarnation,
    config,
    membership,
    logger,
    address: settings.listen.control,
    seedPeers: settings.peers,
    onAccepted,
    onRejected,
  });
  const onLate = createDelayListener(clock, { counters, logger });
  const memory = createMemoryBudget({ limitBytes: computeBufferLimit() });
  const guardTask = createGuardTask(clock, {
    onLate,
    host,
    logger,
    waitForSockets,
    upstream: createUpstreamClient({
      ...settings.upstream,
      clock,
      protocol: createDefaultProtocol(settings.upstream),
      memory,
      tryGetMaxConnections: () => settings.upstream.connections,
      getSlots: () => settings.upstream.slots,
      onMadeRoom: () => counters.add("upstream_connection_gave_way"),
      onConnectionRefused: () => counters.add("upstream_connection_refused"),
      onEndless: () => counters.add("response_cut_endless"),
    }),
    guard: {
      self: settings.host,
      service: settings.service,
      incarnation,
      slots: settings.upstream.slots,
      queueCapacity: settings.upstream.queue,
      grantTtlMs: settings.grantMs,
      keyCapacity: settings.keysKept,
      getWeight: (name) => accounts.tryGetAccount(name)?.parameters.weight ?? 1,
    },
  });
  const links = createLinkTable({
    self: settings.host,
    guard: guardTask,
    tryGetAddress: (id) => membership.tryGetPlace(id)?.dataAddress,
    getRevisions: config.getDigest,
    onReport: (report) => gatewayTask.gateway.receiveReport(report),
    onRevisions: handleRevisions,
    onMalformed: (peer, message) => {
      counters.add("malformed_peer_message");
      logger.warn("peer_nonsense", { peer, message });
    },
  });
  const gatewayTask = createGatewayTask(clock, {
    onLate,
    host,
    logger,
    getLink: links.get,
    waitForSockets,
    gateway: {
      self: settings.host,
      incarnation,
      maxAttempts: MAX_ATTEMPTS,
      reserveTimeoutMs: settings.reserveTimeoutMs,
      suspectAfterMs: settings.linkSilenceMs,
      chooser: {
        policy: ChoicePolicy.ExpectedTime,
        failureDomain: settings.failureDomain,
        crossDomainMs: settings.crossDomainMs,
      },
      getCandidates: membership.getCandidates,
      previewCandidates: membership.previewCandidates,
      getLimits,
    },
  });
  const platform = createPlatformTask(host, {
    client: createPlatformClient(settings.platform.address, settings.platform),
    membership,
    config,
    counters,
    logger,
    applyDocuments: (documents) =>
      control.send(control.gossip.applyDocuments(documents)),
  });
  const probes = createProbeTask(host, {
    gateway: gatewayTask.gateway,
    accounts,
    counters,
    getLink: links.get,
    callsPerSecond: settings.measuring.callsPerSecond,
    bytesPerSecond: settings.measuring.bytesPerSecond,
  });
  const servers = await startServers();
  await synchronize();
  logger.info("ready", { incarnation, accounts: accounts.size() });
  return { getStatus, stop };

  async function startServers(): Promise<Record<ListenerName, HttpServer>> {
    const { listen } = settings;
    const peers = await listenOn(
      listen.peers,
      createPeerApp({
        guard: guardTask,
        getRevisions: config.getDigest,
        onRevisions: handleRevisions,
        onMalformed: ({ reason }, message) => {
          counters.add(reason);
          logger.warn("peer_nonsense", { reason, message });
        },
        onHandlerFailure: (error) => {
          counters.add("handler_failed");
          logHandlerFailure(logger, error, { handler: "peers" });
        },
      }),
    );
    await control.start();
    const operators = await listenOn(listen.operators, createOperatorsApp());
    const callers = await listenOn(listen.callers, createCallersApp());
    return { peers, operators, callers };
  }

  function createCallersApp() {
    return createCallerApp({
      task: gatewayTask,
      accounts,
      counters,
      logger,
      getLink: links.get,
      onResponse: (service, latencyMs) =>
        latencies.record(Phase.Response, { service }, latencyMs),
      getRefusalReason,
      memory,
      now: clock.now,
    });
  }

  function createOperatorsApp() {
    return createOperatorApp({
      counters: getCounterSets(),
      latencies,
      getStatus,
      explain: (query) =>
        explainCall(query, {
          host: settings.host,
          accounts,
          gateway: gatewayTask.gateway,
          getRevisions,
          getRefusalReason,
        }),
    });
  }

  function listenOn(
    address: string,
    app: ReturnType<typeof createCallersApp>,
  ): Promise<HttpServer> {
    return startHttpServer({
      address,
      app,
      onMalformed: ({ reason }: Diagnostic) => counters.add(reason),
      log: { counters, logger, isStopping: () => isDraining },
    });
  }

  /**
   * Gets hosts and configuration from peers and the platform before the first
   * request is accepted. Configuration is requested from peers first, so that
   * daemons that start at the same time don't all read every document from the
   * platform.
   */
  async function synchronize(): Promise<void> {
    membership.applyAnnouncement(control.gossip.createAnnouncement(), {
      isDirect: true,
    });
    await Promise.all([platform.readHosts(), control.greetSeedPeers()]);
    control.send(control.gossip.tick());
    await waitForPeers();
    await platform.readIndex();
    platform.start();
    probes.start();
    while (accounts.size() === 0) {
      logger.warn("not_ready", { reason: "no configuration" });
      await pause(NOT_READY_POLL_MS);
      await platform.readHosts();
      await platform.readIndex();
    }
    isReady = true;
  }

  /**
   * Waits until a peer has no newer configuration, so that a stale replica of
   * the platform does not bring back an older value. Startup continues
   * without one after PEER_WAIT_MS.
   */
  async function waitForPeers(): Promise<void> {
    const until = clock.now() + PEER_WAIT_MS;
    const hasPeers = settings.peers.length > 0 || membership.size() > 1;
    while (hasPeers && clock.now() < until) {
      if (control.gossip.getSyncedPeerCount() > 0) return;
      await pause(PEER_POLL_MS);
    }
    if (hasPeers) logger.warn("no_peer_heard", { waitedMs: PEER_WAIT_MS });
  }

  function onAccepted({ key, revision }: ConfigDocument): void {
    accounts.apply(config.get(key)!.parsed);
    logger.info("config_in_force", { key, revision });
  }

  function onRejected(reason: string, document: ConfigDocument): void {
    const { key, revision } = document;
    const decoded = decodeDocument(key, document.value);
    const first = decoded.err ? decoded.val[0] : undefined;
    logger.warn("config_rejected", {
      key,
      revision,
      reason,
      path: first?.path,
      found: first?.found,
      allowed: first?.allowed,
    });
  }

  function getRefusalReason(): DiagnosticName | undefined {
    if (isDraining) return "stopping";
    return isReady ? undefined : "not_ready";
  }

  function getLimits(name: string): AccountLimits {
    const parameters = accounts.tryGetAccount(name)?.parameters;
    if (parameters === undefined) return UNKNOWN_ACCOUNT_LIMITS;
    return {
      retryBudget: parameters.retryBudget,
      hedgeBudget: parameters.hedgeBudget * parameters.tailWeight,
      hedgePercentile: parameters.hedgePercentile,
    };
  }

  function handleRevisions(from: string, revisions: string): void {
    control.send(control.gossip.handleDigest(from, revisions));
  }

  function getStatus(): DaemonStatus {
    return {
      host: settings.host,
      incarnation,
      service: settings.service,
      failureDomain: settings.failureDomain,
      ready: isReady,
      draining: isDraining,
      watchingPlatform: platform.isWatching(),
      revisions: getRevisions(),
      accounts: getAccountNames(),
      members: membership.getMembers().map((member) => ({
        host: member.place.host,
        service: member.place.service,
        failureDomain: member.place.failureDomain,
        leaving: member.isLeaving,
        wordAgeMs: Number.isFinite(member.wordAgeMs)
          ? Math.round(member.wordAgeMs)
          : null,
      })),
      open: {
        gateway: gatewayTask.gateway.getOpenCount(),
        guard: guardTask.guard.getOpenCount(),
      },
      keyHorizon: guardTask.guard.getKeyHorizon(),
      controlBytes: control.getBytes(),
      counters: getAllCounters(),
    };
  }

  function getRevisions(): Record<string, number> {
    return Object.fromEntries(
      config.getRevisions().map(({ key, revision }) => [key, revision]),
    );
  }

  function getAccountNames(): string[] {
    const names: string[] = [];
    accounts.forEachAccount(({ name }) => names.push(name));
    return names;
  }

  function getCounterSets(): { role: string; counters: Counters }[] {
    return [
      { role: "gateway", counters: gatewayTask.gateway.counters },
      { role: "guard", counters: guardTask.guard.counters },
      { role: "control", counters: control.gossip.counters },
      { role: "daemon", counters },
    ];
  }

  function getAllCounters(): Record<string, number> {
    const all: Record<string, number> = {};
    for (const { role, counters: set } of getCounterSets()) {
      set.forEachCounter((name, value) => all[`${role}.${name}`] = value);
    }
    return all;
  }

  async function stop(): Promise<void> {
    if (isDraining) return;
    isDraining = true;
    logger.info("stopping", { open: gatewayTask.gateway.getOpenCount() });
    control.send(control.gossip.announce({ draining: true }));
    await withTimeout(finishOpenRequests(), settings.stopTimeoutMs);
    gatewayTask.endAll();
    await waitForSockets();
    lifecycle.add("control", control.close);
    lifecycle.add("platform", platform.close);
    lifecycle.add("guard", guardTask.close);
    lifecycle.add("gateway", gatewayTask.close);
    lifecycle.add("probes", probes.close);
    lifecycle.add("links", links.close);
    for (const [name, server] of Object.entries(servers)) {
      const isClosed = server.close(CLOSE_MS);
      lifecycle.add(name, () => isClosed);
    }
    const closed = await lifecycle.close();
    if (closed.isErr()) {
      for (const error of closed.error) logger.error("close", { ...error });
    }
    logger.info("stopped");
  }

  /** Callers' requests finish first, then peers' requests at the guard. */
  async function finishOpenRequests(): Promise<void> {
    const drained = guardTask.drain();
    await pause(DRAIN_NOTICE_MS);
    await servers.callers.close(settings.stopTimeoutMs);
    await drained;
    await servers.peers.close(settings.stopTimeoutMs);
  }
}

type ListenerName = "peers" | "operators" | "callers";

function getPlace(settings: HostSettings): HostPlace {
  return {
    host: settings.host,
    service: settings.service,
    failureDomain: settings.failureDomain,
    dataAddress: settings.announce.peers ?? settings.listen.peers,
    controlAddress: settings.announce.control ?? settings.listen.control,
  };
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

async function withTimeout(work: Promise<void>, ms: number): Promise<void> {
  let timer: NodeJS.Timeout | undefined;
  const timedOut = new Promise<void>((resolve) => {
    timer = setTimeout(resolve, ms);
  });
  await Promise.race([work, timedOut]);
  clearTimeout(timer);
}
