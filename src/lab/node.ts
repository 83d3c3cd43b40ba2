/** A daemon of the lab: gateway, guard and control plane. */

import { createHash } from "node:crypto";
import { validateDocument } from "../client_account/decode.ts";
import type { AccountDocument } from "../client_account/types.ts";
import { type ConfigState, createConfigState } from "../core/config_state.ts";
import type {
  ConfigDocument,
  ControlSend,
  HostPlace,
  ListedHost,
} from "../core/config_types.ts";
import { createMembership, type Membership } from "../core/membership.ts";
import { createGossip, type Gossip } from "../core/gossip.ts";
import type { CoreHost, HostId, Incarnation, Millis } from "../core/types.ts";
import type { EventLoop } from "./event_loop.ts";
import { formatControlMessage } from "./format.ts";
import { createLabGateway, type LabGateway } from "./lab_gateway.ts";
import { createLabGuard, type LabGuard, type LabWork } from "./lab_guard.ts";
import type { LabEnvelope, LabHost, LabOptions, LabPayload } from "./types.ts";

const GRANT_TTL_MS = 500;
/** Time for which a leaving upstream is still a last choice, in ms. */
export const LEAVING_MS = 1_000;
const RESERVE_TIMEOUT_MS = 100;
const UNRESPONSIVE_AFTER_MS = 400;
const MAX_ATTEMPTS = 4;
const DEFAULT_QUEUE_CAPACITY = 64;
const DEFAULT_KEY_CAPACITY = 1_000;
const SUBSET_SIZE = 24;
const GOSSIP_FANOUT = 3;
const GOSSIP_INTERVAL_MS = 1_000;

/** What the lab provides to a node. */
export interface NodePort {
  readonly loop: EventLoop;
  send(envelope: LabEnvelope): void;
  /** Replaces unresponsive connections between two hosts by new ones. */
  reconnect(from: HostId, to: HostId): void;
  /** Incarnation of a host's upstream, as a list of upstreams would name it. */
  getInstance(host: HostId): string;
  /** Starts a request at the node's upstream. */
  execute(node: LabNode, work: LabWork): void;
  record(line: string): void;
}

/** A daemon of the lab. */
export interface LabNode {
  readonly place: HostPlace;
  readonly incarnation: Incarnation;
  readonly gateway: LabGateway;
  readonly guard: LabGuard;
  readonly membership: Membership;
  readonly config: ConfigState<AccountDocument>;
  readonly gossip: Gossip;
  isAlive: boolean;
  /** Time at which the daemon announced that it drains, in ms. */
  drainingSince?: Millis;
  receive(payload: LabPayload): void;
  drain(): void;
  applyHosts(hosts: readonly ListedHost[]): void;
  applyDocuments(documents: readonly ConfigDocument[]): void;
  sendHello(host: HostId): void;
}

/** Creates a newly started daemon, which has no state of earlier incarnations. */
export function createLabNode(
  port: NodePort,
  options: { lab: LabOptions; host: LabHost; incarnation: Incarnation },
): LabNode {
  const { lab, host: self, incarnation } = options;
  const { loop } = port;
  const { policy } = lab;
  const place: HostPlace = {
    host: self.host,
    service: self.service,
    failureDomain: self.failureDomain,
    dataAddress: `${self.host}:data`,
    controlAddress: `${self.host}:control`,
  };
  const host: CoreHost = {
    now: loop.now,
    random: loop.random,
    sign: (text) =>
      createHash("sha256").update(`${incarnation} ${text}`).digest("hex"),
  };
  const config = createConfigState<AccountDocument>({
    validate: validateDocument,
  });
  const membership = createMembership(host, {
    self: self.host,
    failureDomain: self.failureDomain,
    subsetSize: SUBSET_SIZE,
  });
  const gossip = createGossip(host, {
    place,
    incarnation,
    config,
    membership,
    fanout: GOSSIP_FANOUT,
    onAccepted: ({ key, revision }) =>
      port.record(`${self.host} config ${key}@${revision} in force`),
    onRejected: (reason, { key, revision }) =>
      port.record(`${self.host} config ${key}@${revision} refused: ${reason}`),
  });
  const isAlive = () => node.isAlive;
  const gateway = createLabGateway(port, {
    host,
    isAlive,
    gateway: {
      self: self.host,
      incarnation,
      maxAttempts: MAX_ATTEMPTS,
      reserveTimeoutMs: RESERVE_TIMEOUT_MS,
      suspectAfterMs: UNRESPONSIVE_AFTER_MS,
      hasRetryBudget: policy.hasRetryBudget,
      chooser: {
        policy: policy.choice,
        failureDomain: self.failureDomain,
        crossDomainMs: 2 * lab.latency.crossDomainMs,
        ignoresFailureDomains: !policy.prefersOwnDomain,
      },
      leavingMs: LEAVING_MS,
      getCandidates: (service) =>
        membership.getCandidates(service).map((candidate) => ({
          ...candidate,
          instance: port.getInstance(candidate.host),
        })),
      getLimits: () => ({
        retryBudget: 0.1,
        hedgeBudget: policy.hedgeBudget,
        hedgePercentile: 95,
        ...lab.limits,
      }),
    },
  });
  const guard = createLabGuard(port, {
    host,
    isAlive,
    piggybacks: policy.piggybacks,
    getDigest: () => lab.spreads ? config.getDigest() : undefined,
    execute: (work) => port.execute(node, work),
    guard: {
      self: self.host,
      service: self.service,
      incarnation,
      slots: self.slots,
      queueCapacity: lab.queueCapacity ?? DEFAULT_QUEUE_CAPACITY,
      grantTtlMs: GRANT_TTL_MS,
      keyCapacity: lab.keyCapacity ?? DEFAULT_KEY_CAPACITY,
      leavingMs: LEAVING_MS,
      getWeight: lab.getWeight ?? (() => 1),
      isFirstComeFirstServed: !policy.isFair,
      refusesEarly: policy.refusesEarly,
    },
  });
  const node: LabNode = {
    place,
    incarnation,
    gateway,
    guard,
    membership,
    config,
    gossip,
    isAlive: true,
    receive,
    drain,
    applyHosts: membership.applyList,
    applyDocuments: (documents) => send(gossip.applyDocuments(documents)),
    sendHello: (to) => send([gossip.createHello(to)]),
  };
  membership.applyAnnouncement(gossip.createAnnouncement(), { isDirect: true });
  if (lab.spreads) scheduleGossipRound();
  return node;

  function receive(payload: LabPayload): void {
    switch (payload.kind) {
      case "ask":
        return guard.receiveRequest(payload);
      case "reply":
        gateway.receiveReply(payload);
        if (payload.digest !== undefined) {
          send(gossip.handleDigest(payload.from, payload.digest));
        }
        return;
      case "control":
        membership.applyAnnouncement(payload.word, { isDirect: true });
        port.record(
          `${self.host} control takes ${
            formatControlMessage(payload.msg)
          } from ${payload.word.host}`,
        );
        return send(gossip.handle(payload.word.host, payload.msg));
    }
  }

  function drain(): void {
    node.drainingSince = loop.now();
    port.record(`${self.host} drains`);
    guard.drain();
    send(gossip.announce({ draining: true }));
  }

  function send(sends: readonly ControlSend[]): void {
    for (const { to, msg } of sends) {
      const payload: LabPayload = {
        kind: "control",
        word: gossip.createAnnouncement(),
        msg,
      };
      port.send({ from: self.host, to, payload, onNewConnection: true });
    }
  }

  function scheduleGossipRound(): void {
    loop.schedule(
      loop.now() + GOSSIP_INTERVAL_MS * (0.5 + loop.random()),
      () => {
        if (!node.isAlive) return;
        send(gossip.tick());
        scheduleGossipRound();
      },
    );
  }
}
