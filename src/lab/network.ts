/**
 * The lab's network: latency by failure domain, and the faults of links: cuts,
 * loss, duplication, reordering, and connections that go silent.
 */

import type { HostId, Millis } from "../core/types.ts";
import type { EventLoop } from "./event_loop.ts";
import type { LabEnvelope, LabLatency } from "./types.ts";

/** Faults of all links, as shares of messages. */
export interface NetworkFaults {
  loss: number;
  duplication: number;
  /** Extra time of some messages, which reorders them, in ms. */
  jitterMs: Millis;
  /** Share of messages that wait for retransmission, up to RETRANSMIT_MS. */
  delay: number;
  /** True exchanges the addresses of the next two answers to one host. */
  crossesNext: boolean;
}

/** Settings of a network. */
export interface NetworkOptions {
  readonly latency: LabLatency;
  getDomain(host: HostId): string | undefined;
  deliver(envelope: LabEnvelope): void;
  record(line: string): void;
}

/** A network. */
export interface Network {
  readonly faults: NetworkFaults;
  send(envelope: LabEnvelope): void;
  getDelay(from: HostId, to: HostId): Millis;
  /** Cuts all connections between two groups of hosts. */
  cut(left: readonly HostId[], right: readonly HostId[]): void;
  heal(): void;
  isCut(a: HostId, b: HostId): boolean;
  /** Makes the open connections from one host to another silent for good. */
  silence(from: HostId, to: HostId): void;
  /** Opens new connections in place of silent ones. */
  replace(from: HostId, to: HostId): void;
}

/** Spread of a message's time around its mean, as a share. */
const TIME_SPREAD = 0.2;
const RETRANSMIT_MS = 2_000;

/** Creates a network without faults. */
export function createNetwork(
  loop: EventLoop,
  options: NetworkOptions,
): Network {
  const cuts = new Set<string>();
  const silent = new Set<string>();
  const faults: NetworkFaults = {
    loss: 0,
    duplication: 0,
    jitterMs: 0,
    delay: 0,
    crossesNext: false,
  };
  let held: LabEnvelope | undefined;
  return {
    faults,
    send,
    getDelay,
    cut,
    heal: () => cuts.clear(),
    isCut: (a, b) => cuts.has(getPair(a, b)),
    silence: (from, to) => void silent.add(getPair(from, to)),
    replace: (from, to) => void silent.delete(getPair(from, to)),
  };

  function send(envelope: LabEnvelope): void {
    if (faults.crossesNext && isAnswer(envelope)) return cross(envelope);
    transmit(envelope);
    if (faults.duplication > 0 && loop.random() < faults.duplication) {
      options.record(`network duplicates a message to ${envelope.to}`);
      transmit({ ...envelope, isRepeated: true });
    }
  }

  /** Holds an answer until another goes to the same host, then swaps them. */
  function cross(envelope: LabEnvelope): void {
    if (held === undefined || held.to !== envelope.to) {
      held = envelope;
      return;
    }
    options.record(`network crosses two answers to ${envelope.to}`);
    const [a, b] = [held.payload, envelope.payload];
    if (a.kind !== "reply" || b.kind !== "reply") return;
    transmit({ ...held, payload: { ...a, to: b.to } });
    transmit({ ...envelope, payload: { ...b, to: a.to } });
    held = undefined;
    faults.crossesNext = false;
  }

  function transmit(envelope: LabEnvelope): void {
    const { from, to } = envelope;
    const isLost = faults.loss > 0 && loop.random() < faults.loss;
    const isSilent = silent.has(getPair(from, to)) &&
      !envelope.onNewConnection;
    if (isLost || isSilent) {
      options.record(`network loses a message ${from} > ${to}`);
      return;
    }
    const isDelayed = faults.delay > 0 && loop.random() < faults.delay;
    const extra = isDelayed ? RETRANSMIT_MS * loop.random() : 0;
    loop.schedule(loop.now() + getDelay(from, to) + extra, () => {
      if (cuts.has(getPair(from, to))) {
        options.record(`network is cut ${from} > ${to}`);
      } else {options.deliver(
          isDelayed ? { ...envelope, isRepeated: true } : envelope,
        );}
    });
  }

  function getDelay(from: HostId, to: HostId): Millis {
    if (from === to) return 0;
    const isNear = options.getDomain(from) === options.getDomain(to);
    const { sameDomainMs, crossDomainMs } = options.latency;
    const mean = isNear ? sameDomainMs : crossDomainMs;
    const spread = 1 + TIME_SPREAD * (loop.random() - 0.5);
    return mean * spread + faults.jitterMs * loop.random();
  }

  function cut(left: readonly HostId[], right: readonly HostId[]): void {
    for (const a of left) for (const b of right) cuts.add(getPair(a, b));
  }
}

function isAnswer({ payload }: LabEnvelope): boolean {
  return payload.kind === "reply" && payload.reply.kind === "answer";
}

function getPair(a: HostId, b: HostId): string {
  return a < b ? `${a}|${b}` : `${b}|${a}`;
}
