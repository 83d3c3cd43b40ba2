/** One daemon of the lab: gateway side, guard side, and the control plane. */

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
import { createSpread, type Spread } from "../core/spread.ts";
import type { CoreHost, HostId, Incarnation, Millis } from "../core/types.ts";
import type { EventLoop } from "./event_loop.ts";
import { formatControl } from "./format.ts";
import { createLabGateway, type LabGateway } from "./lab_gateway.ts";
import { createLabGuard, type LabGuard, type LabWork } from "./lab_guard.ts";
import type { LabEnvelope, LabHost, LabOptions, LabPayload } from "./types.ts";

const GRANT_TTL_MS = 500;
const RESERVE_TIMEOUT_MS = 100;
const SILENCE_MS = 400;
const MAX_ATTEMPTS = 4;
const DEFAULT_QUEUE = 64;
const DEFAULT_KEYS = 1_000;
const SUBSET_SIZE = 24;
const FANOUT = 3;
const ROUND_MS = 1_000;

/** What a node asks of the lab. */
export interface NodePort {
  readonly loop: EventLoop;
  send(envelope: LabEnvelope): void;
  /** Opens new connections in place of silent ones. */
  replaceLink(from: HostId, to: HostId): void;
  /** Hands a request to the node's upstream. */
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
  readonly spread: Spread;
  isAlive: boolean;
  drainingSince?: Millis;
  receive(payload: LabPayload): void;
  drain(): void;
  takeList(hosts: readonly ListedHost[]): void;
  takeDocuments(documents: readonly ConfigDocument[]): void;
  greet(host: HostId): void;
}

/** Creates a daemon as it is after a start: it remembers nothing. */
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
  const spread = createSpread(host, {
    place,
    incarnation,
    config,
    membership,
    fanout: FANOUT,
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
      silenceMs: SILENCE_MS,
      hasRetryBudget: policy.hasRetryBudget,
      chooser: {
        policy: policy.choice,
        failureDomain: self.failureDomain,
        crossDomainMs: 2 * lab.latency.crossDomainMs,
        ignoresFailureDomains: !policy.prefersOwnDomain,
      },
      getCandidates: membership.getCandidates,
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
      queueCapacity: lab.queueCapacity ?? DEFAULT_QUEUE,
      grantTtlMs: GRANT_TTL_MS,
      keyCapacity: lab.keyCapacity ?? DEFAULT_KEYS,
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
    spread,
    isAlive: true,
    receive,
    drain,
    takeList: membership.takeList,
    takeDocuments: (documents) => send(spread.takeDocuments(documents)),
    greet: (to) => send([spread.greet(to)]),
  };
  membership.takeWord(spread.getWord(), { isDirect: true });
  if (lab.spreads) scheduleRound();
  return node;

  function receive(payload: LabPayload): void {
    switch (payload.kind) {
      case "ask":
        return guard.receiveAsk(payload);
      case "reply":
        gateway.receiveReply(payload);
        if (payload.digest !== undefined) {
          send(spread.hearDigest(payload.from, payload.digest));
        }
        return;
      case "control":
        membership.takeWord(payload.word, { isDirect: true });
        port.record(
          `${self.host} control takes ${
            formatControl(payload.msg)
          } from ${payload.word.host}`,
        );
        return send(spread.handle(payload.word.host, payload.msg));
    }
  }

  function drain(): void {
    node.drainingSince = loop.now();
    port.record(`${self.host} drains`);
    guard.drain();
    send(spread.announce({ draining: true }));
  }

  function send(sends: readonly ControlSend[]): void {
    for (const { to, msg } of sends) {
      const payload: LabPayload = {
        kind: "control",
        word: spread.getWord(),
        msg,
      };
      port.send({ from: self.host, to, payload, onNewConnection: true });
    }
  }

  function scheduleRound(): void {
    loop.schedule(loop.now() + ROUND_MS * (0.5 + loop.random()), () => {
      if (!node.isAlive) return;
      send(spread.tick());
      scheduleRound();
    });
  }
}
