/**
 * Simulated network: latency by failure domain, and link faults: partitions,
 * loss, duplication, reordering, and connections that become unresponsive.
 */

import type { HostId, Millis } from "../core/types.ts";
import type { EventLoop } from "./event_loop.ts";
import type { LabEnvelope, LabLatency } from "./types.ts";

/** Faults of all links; shares are of all messages. */
export interface NetworkFaults {
  lossShare: number;
  duplicatedShare: number;
  /** Largest random delay added to each message, which reorders messages, in ms. */
  jitterMs: Millis;
  /** Share of messages that wait for retransmission, up to RETRANSMIT_MS. */
  delayedShare: number;
  /** True swaps the addresses of the next two responses to the same host. */
  swapsNextPair: boolean;
}

/** Options of a network. */
export interface NetworkOptions {
  readonly latency: LabLatency;
  getDomain(host: HostId): string | undefined;
  deliver(envelope: LabEnvelope): void;
  record(line: string): void;
}

/** A simulated network. */
export interface Network {
  readonly faults: NetworkFaults;
  send(envelope: LabEnvelope): void;
  /** Draws a one-way latency. */
  getDelay(from: HostId, to: HostId): Millis;
  /** Cuts all connections between two groups of hosts. */
  cut(left: readonly HostId[], right: readonly HostId[]): void;
  /** Restores all links that were cut. */
  heal(): void;
  isCut(a: HostId, b: HostId): boolean;
  /** Drops all messages on the open connections between two hosts until reconnect. */
  silence(from: HostId, to: HostId): void;
  /** Replaces unresponsive connections between two hosts by new ones. */
  reconnect(from: HostId, to: HostId): void;
}

/** Width of the range of latencies around their mean, as a share of the mean. */
const LATENCY_SPREAD = 0.2;
/** Longest delay of a message that is retransmitted, in ms. */
const RETRANSMIT_MS = 2_000;

/** Creates a network without faults. */
export function createNetwork(
  loop: EventLoop,
  options: NetworkOptions,
): Network {
  const cutLinks = new Set<string>();
  const silent = new Set<string>();
  const faults: NetworkFaults = {
    lossShare: 0,
    duplicatedShare: 0,
    jitterMs: 0,
    delayedShare: 0,
    swapsNextPair: false,
  };
  let pendingSwap: LabEnvelope | undefined;
  return {
    faults,
    send,
    getDelay,
    cut,
    heal: () => cutLinks.clear(),
    isCut: (a, b) => cutLinks.has(getLinkKey(a, b)),
    silence: (from, to) => void silent.add(getLinkKey(from, to)),
    reconnect: (from, to) => void silent.delete(getLinkKey(from, to)),
  };

  function send(envelope: LabEnvelope): void {
    if (faults.swapsNextPair && isResponse(envelope)) return swap(envelope);
    transmit(envelope);
    if (faults.duplicatedShare > 0 && loop.random() < faults.duplicatedShare) {
      options.record(`network duplicates a message to ${envelope.to}`);
      transmit({ ...envelope, isRepeated: true });
    }
  }

  /** Delays a response until another goes to its host, then swaps their addresses. */
  function swap(envelope: LabEnvelope): void {
    if (pendingSwap === undefined || pendingSwap.to !== envelope.to) {
      pendingSwap = envelope;
      return;
    }
    options.record(`network crosses two answers to ${envelope.to}`);
    const [a, b] = [pendingSwap.payload, envelope.payload];
    if (a.kind !== "reply" || b.kind !== "reply") return;
    transmit({ ...pendingSwap, payload: { ...a, to: b.to } });
    transmit({ ...envelope, payload: { ...b, to: a.to } });
    pendingSwap = undefined;
    faults.swapsNextPair = false;
  }

  function transmit(envelope: LabEnvelope): void {
    const { from, to } = envelope;
    const isLost = faults.lossShare > 0 && loop.random() < faults.lossShare;
    const isUnresponsive = silent.has(getLinkKey(from, to)) &&
      !envelope.onNewConnection;
    if (isLost || isUnresponsive) {
      options.record(`network loses a message ${from} > ${to}`);
      return;
    }
    const isDelayed = faults.delayedShare > 0 &&
      loop.random() < faults.delayedShare;
    const retransmitMs = isDelayed ? RETRANSMIT_MS * loop.random() : 0;
    loop.schedule(loop.now() + getDelay(from, to) + retransmitMs, () => {
      if (cutLinks.has(getLinkKey(from, to))) {
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
    const spread = 1 + LATENCY_SPREAD * (loop.random() - 0.5);
    return mean * spread + faults.jitterMs * loop.random();
  }

  function cut(left: readonly HostId[], right: readonly HostId[]): void {
    for (const a of left) for (const b of right) cutLinks.add(getLinkKey(a, b));
  }
}

function isResponse({ payload }: LabEnvelope): boolean {
  return payload.kind === "reply" && payload.reply.kind === "answer";
}

function getLinkKey(a: HostId, b: HostId): string {
  return a < b ? `${a}|${b}` : `${b}|${a}`;
}
