/**
 * Simulated fleet in virtual time: daemons, upstreams, callers, a platform and
 * faults. All decisions are made by the real core.
 */

import { type ListedHost, ListedState } from "../core/config_types.ts";
import type { ConfigDocument } from "../core/config_types.ts";
import { Execution, type HostId, type Millis } from "../core/types.ts";
import { createEventLoop, type EventLoop } from "./event_loop.ts";
import type { LabWork } from "./lab_guard.ts";
import { createNetwork, type Network } from "./network.ts";
import { createLabNode, type LabNode, type NodePort } from "./node.ts";
import type {
  LabCall,
  LabEnvelope,
  LabExecution,
  LabHost,
  LabOptions,
  LabOutcome,
} from "./types.ts";
import { createUpstreamModel, type UpstreamModel } from "./upstream_model.ts";

const HTTP_OK = 200;
const HTTP_ERROR = 500;
/** Time that a host takes to reply to a probe, in ms. */
const PROBE_MS = 6;
/** Time that an upstream which fails fast takes to respond, in ms. */
const FAIL_FAST_MS = 0.5;

/** A simulated fleet. */
export interface World {
  readonly loop: EventLoop;
  readonly network: Network;
  readonly executions: readonly LabExecution[];
  /** The platform from which daemons read their configuration. */
  readonly platform: LabPlatform;
  getNode(host: HostId): LabNode;
  getModel(host: HostId): UpstreamModel;
  getHosts(): readonly LabHost[];
  /** Sends a call to a gateway; `done` runs when the outcome reaches the caller. */
  call(
    gateway: HostId,
    call: LabCall,
    done: (outcome: LabOutcome) => void,
  ): void;
  /** Issues idempotency keys at a home, as callers request them ahead of use. */
  issueKeys(
    home: HostId,
    account: string,
    options: { count: number },
  ): string[];
  /** Stops the daemon and its upstream; connections of its peers are reset. */
  kill(host: HostId): void;
  /** Stops the host without resetting connections; messages to it get no reply. */
  vanish(host: HostId): void;
  /** Starts a new incarnation of a stopped daemon, and of its upstream unless that kept running. */
  restart(host: HostId, options?: { keepsUpstream?: boolean }): void;
  /** Suspends the processes of a host; their events wait until it resumes. */
  pause(host: HostId): void;
  resume(host: HostId): void;
  drain(host: HostId): void;
  /** Requests a host's load report; it arrives at the gateway after the round trip. */
  probe(from: HostId, to: HostId): void;
  /** Sends the platform's list of hosts to all live daemons. */
  publishList(states?: Readonly<Record<HostId, ListedState>>): void;
}

/** The platform of a lab. */
export interface LabPlatform {
  publish(key: string, value: string): number;
  /** True makes `read` return the documents of this moment until it is set to false. */
  setStale(isStale: boolean): void;
  setOutage(isOut: boolean): void;
  /** Documents of a replica that may be stale; undefined during an outage. */
  read(): readonly ConfigDocument[] | undefined;
  /** Documents of a current replica, also during an outage. */
  readCurrent(): readonly ConfigDocument[];
}

/** Starts all hosts and gives each daemon the list of hosts. */
export function createWorld(options: LabOptions): World {
  const loop = createEventLoop(options.seed);
  const hosts = new Map(options.hosts.map((h) => [h.host, h]));
  const nodes = new Map<HostId, LabNode>();
  const models = new Map<HostId, UpstreamModel>();
  const backlogs = new Map<HostId, (() => void)[]>();
  const startCounts = new Map<HostId, number>();
  const vanished = new Set<HostId>();
  const executions: LabExecution[] = [];
  const openCalls = new Map<LabNode, Set<(reason: string) => void>>();
  let listed: ListedHost[] = [];
  const network = createNetwork(loop, {
    latency: options.latency,
    getDomain: (id) => hosts.get(id)?.failureDomain,
    deliver,
    record,
  });
  const platform = createPlatform();
  const port: NodePort = {
    loop,
    send,
    reconnect: network.reconnect,
    getInstance: (id) => models.get(id)!.getInstance(),
    execute,
    record,
  };
  for (const host of options.hosts) {
    const { host: id, serviceMs } = host;
    models.set(id, createUpstreamModel(loop, { host: id, serviceMs }));
  }
  for (const host of options.hosts) start(host);
  publishList();
  return {
    loop,
    network,
    executions,
    platform,
    getNode,
    getModel: (id) => models.get(id)!,
    getHosts: () => options.hosts,
    call,
    issueKeys: (home, account, { count }) =>
      getNode(home).guard.guard.issueKeys(account, count),
    kill,
    vanish,
    restart,
    pause: (id) => void backlogs.set(id, backlogs.get(id) ?? []),
    resume,
    drain: (id) => runOn(id, () => getNode(id).drain()),
    probe,
    publishList,
  };

  function record(line: string): void {
    options.record?.(`${loop.now().toFixed(1).padStart(8)} ${line}`);
  }

  function getNode(id: HostId): LabNode {
    return nodes.get(id)!;
  }

  function start(host: LabHost): LabNode {
    const count = (startCounts.get(host.host) ?? 0) + 1;
    startCounts.set(host.host, count);
    const incarnation = `${host.host}#${count}`;
    const node = createLabNode(port, { lab: options, host, incarnation });
    nodes.set(host.host, node);
    openCalls.set(node, new Set());
    return node;
  }

  /** Runs a callback on a host, after it resumes if it is paused. */
  function runOn(id: HostId, run: () => void): void {
    const backlog = backlogs.get(id);
    if (backlog === undefined) run();
    else backlog.push(run);
  }

  function send(envelope: LabEnvelope): void {
    network.send(envelope);
  }

  function deliver(envelope: LabEnvelope): void {
    const { to, payload } = envelope;
    const node = nodes.get(to);
    if (node === undefined || !node.isAlive) return refuseConnection(envelope);
    runOn(to, () => {
      const current = getNode(to);
      if (current.isAlive) current.receive(payload);
      else refuseConnection(envelope);
    });
  }

  /** A killed host refuses connections; a vanished one does not reply. */
  function refuseConnection(envelope: LabEnvelope): void {
    const { from, to, payload, isRepeated } = envelope;
    if (payload.kind !== "ask" || vanished.has(to) || isRepeated) return;
    notifyNode(
      from,
      to,
      (node) => node.gateway.onConnectionRefused(payload),
    );
  }

  /** Notifies a daemon of an event at a peer, after the latency between them. */
  function notifyNode(
    id: HostId,
    peer: HostId,
    run: (node: LabNode) => void,
  ): void {
    const node = getNode(id);
    loop.schedule(loop.now() + network.getDelay(id, peer), () => {
      if (network.isCut(id, peer)) return;
      runOn(id, () => {
        if (node.isAlive) run(node);
      });
    });
  }

  function execute(node: LabNode, work: LabWork): void {
    const { host } = node.place;
    const model = models.get(host)!;
    if (model.behaviour.failsFast) {
      return after(
        FAIL_FAST_MS,
        () => node.guard.finishWork(work, HTTP_ERROR, model.getNotice()),
      );
    }
    if (model.sampleShed()) {
      const notice = model.getNotice();
      return after(
        0,
        () => node.guard.failWork(work, Execution.NotRun, notice),
      );
    }
    executions.push({
      call: work.call.id,
      operation: work.call.operation,
      key: work.key,
      host,
      at: loop.now(),
      isAtMostOnce: work.isAtMostOnce,
      instance: model.getInstance(),
      gateway: work.gateway,
      ...(node.drainingSince !== undefined && {
        drainingSince: node.drainingSince,
      }),
    });
    record(`${host} upstream runs ${work.call.id}`);
    after(model.sampleServiceMs(), () => callChain(node, work));

    function after(ms: Millis, run: () => void): void {
      loop.schedule(loop.now() + ms, () => runOn(host, run));
    }
  }

  /** Makes the upstream's next downstream call through its own daemon, then responds. */
  function callChain(node: LabNode, work: LabWork): void {
    const [next, ...rest] = work.call.chain ?? [];
    if (next === undefined || !node.isAlive || work.isCancelled) {
      return finish(HTTP_OK);
    }
    const child: LabCall = {
      ...work.call,
      id: `${work.ticket}>${next}`,
      operation: `${work.ticket}>${next}`,
      service: next,
      chain: rest,
      timeoutMs: Math.max(1, work.deadline - loop.now()),
      retriesLeft: work.retriesLeft,
    };
    node.gateway.call(child, (outcome) => {
      const isSuccess = outcome.execution === Execution.Ran &&
        outcome.status === HTTP_OK;
      finish(isSuccess ? HTTP_OK : HTTP_ERROR);
    });

    function finish(status: number): void {
      const notice = models.get(node.place.host)!.getNotice();
      node.guard.finishWork(work, status, notice);
    }
  }

  function call(
    gateway: HostId,
    call: LabCall,
    done: (outcome: LabOutcome) => void,
  ): void {
    const sentAt = loop.now();
    const callerMs = options.latency.callerMs;
    loop.schedule(sentAt + callerMs, () => {
      const node = getNode(gateway);
      if (!node.isAlive) {
        return finish({ execution: "unknown", reason: "connection refused" });
      }
      const open = openCalls.get(node)!;
      const fail = (reason: string) => finish({ execution: "unknown", reason });
      open.add(fail);
      runOn(gateway, () => {
        if (!node.isAlive) return;
        node.gateway.call(call, (outcome) => {
          open.delete(fail);
          finish(outcome);
        });
      });
    });

    function finish(
      result: Omit<LabOutcome, "call" | "latencyMs">,
    ): void {
      loop.schedule(loop.now() + callerMs, () => {
        done({ ...result, call, latencyMs: loop.now() - sentAt });
      });
    }
  }

  function stopNode(id: HostId): LabNode {
    const node = getNode(id);
    node.isAlive = false;
    backlogs.delete(id);
    for (const fail of openCalls.get(node) ?? []) fail("connection lost");
    openCalls.delete(node);
    return node;
  }

  function kill(id: HostId): void {
    record(`${id} is killed`);
    stopNode(id);
    for (const peer of nodes.values()) {
      if (peer.place.host !== id && peer.isAlive) {
        notifyNode(peer.place.host, id, (n) => n.gateway.onPeerReset(id));
      }
    }
  }

  function vanish(id: HostId): void {
    record(`${id} vanishes`);
    stopNode(id);
    vanished.add(id);
  }

  function restart(
    id: HostId,
    { keepsUpstream = false }: { keepsUpstream?: boolean } = {},
  ): void {
    if (getNode(id).isAlive) return;
    vanished.delete(id);
    record(`${id} starts again`);
    if (!keepsUpstream) models.get(id)!.restart();
    const node = start(hosts.get(id)!);
    node.applyHosts(listed);
    const documents = platform.read();
    if (documents !== undefined) node.applyDocuments(documents);
    const peers = options.hosts.filter((h) => h.host !== id);
    for (const peer of peers.slice(0, 2)) node.sendHello(peer.host);
  }

  function probe(from: HostId, to: HostId): void {
    const outboundMs = network.getDelay(from, to) + PROBE_MS;
    loop.schedule(loop.now() + outboundMs, () => {
      if (network.isCut(from, to) || !getNode(to).isAlive) return;
      const report = getNode(to).guard.guard.getReport();
      const returnMs = network.getDelay(to, from);
      loop.schedule(loop.now() + returnMs, () => {
        const node = getNode(from);
        if (node.isAlive) node.gateway.gateway.receiveReport(report);
      });
    });
  }

  function resume(id: HostId): void {
    const backlog = backlogs.get(id) ?? [];
    backlogs.delete(id);
    record(`${id} resumes`);
    for (const run of backlog) run();
  }

  function publishList(
    states: Readonly<Record<HostId, ListedState>> = {},
  ): void {
    listed = options.hosts.map(({ host, service, failureDomain }) => ({
      host,
      service,
      failureDomain,
      dataAddress: `${host}:data`,
      controlAddress: `${host}:control`,
      state: states[host] ?? ListedState.Live,
    }));
    for (const node of nodes.values()) {
      if (node.isAlive) runOn(node.place.host, () => node.applyHosts(listed));
    }
  }

  function createPlatform(): LabPlatform {
    const documents = new Map<string, ConfigDocument>();
    let staleSnapshot: readonly ConfigDocument[] | undefined;
    let isOut = false;
    let revision = 0;
    const read = () =>
      isOut ? undefined : staleSnapshot ?? [...documents.values()];
    return {
      publish,
      read,
      readCurrent: () => [...documents.values()],
      setStale,
      setOutage: (v) => void (isOut = v),
    };

    function publish(key: string, value: string): number {
      revision += 1;
      documents.set(key, { key, revision, value });
      record(`platform publishes ${key}@${revision}`);
      return revision;
    }

    function setStale(isStale: boolean): void {
      staleSnapshot = isStale
        ? staleSnapshot ?? [...documents.values()]
        : undefined;
    }
  }
}
