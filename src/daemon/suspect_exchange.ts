/**
 * Tells other daemons which requests are suspected to end upstreams. A few hosts,
 * the same for all daemons, collect what is observed of a suspect; once it is to
 * be refused, they tell all. A daemon that starts asks a few others.
 */

import type { Counters } from "../core/counters.ts";
import type { CrashSuspects, Suspect } from "../core/crash_suspects.ts";
import { COLLECTOR_COUNT, createHeldSuspects } from "../core/held_suspects.ts";
import { orderByHash } from "../core/host_order.ts";
import type { HostId, Millis } from "../core/types.ts";
import {
  decodeSuspects,
  encodeSuspects,
  type ToldSuspect,
} from "../link/suspects_codec.ts";
import type { GetLink } from "../link/types.ts";
import type { Logger } from "./logger.ts";

/** Tries to tell a host, and the time between two, in ms: 2 s in all, less than the 3 s for which retries aren't counted. */
const MAX_TRIES = 5;
const RETRY_MS = 500;
/** Time between further tries at a host that is still listed, in ms; it is told within 3 s of its return. */
const LATER_RETRY_MS = 2_000;
/** Suspects in one message, with up to 16 ends each: some 100 KB. */
const MAX_BATCH = 64;
/** Time for which changes of the list are gathered, in ms; a return of all hosts comes as one change each. */
const GATHER_MS = 250;

/** The exchange of one daemon. */
export interface SuspectExchange {
  /** Tells the hosts that collect what is known of a suspect that this daemon observed. */
  report(suspect: Suspect): void;
  /** Asks a few hosts for the requests that are refused now. */
  ask(): void;
  /** Handles another daemon's message; returns the reply, or undefined if it is malformed. */
  receive(text: string): string | undefined;
  /** Records that the daemon of a host may have started, and so know no suspects. */
  forgetHost(host: HostId): void;
  /** Records that other hosts may be listed than before. */
  recordListChange(): void;
  close(): void;
}

/** Settings of an exchange. */
export interface SuspectExchangeOptions {
  readonly self: HostId;
  readonly suspects: CrashSuspects;
  readonly getLink: GetLink;
  readonly counters: Counters;
  readonly logger: Logger;
  /** Hosts with a ready upstream to use. */
  getReady(): readonly HostId[];
  /** Hosts with any upstream in the list. */
  getListed(): readonly HostId[];
  /** All hosts, also those whose upstream is gone: their daemons may still pass on requests. */
  getHosts(): readonly HostId[];
}

/** What one host is to be told. */
interface Outbox {
  /** Signatures with the collectors, if the host is one of them. */
  readonly due: Map<string, readonly HostId[] | undefined>;
  /** True while a message is sent or waits for its next try. */
  isBusy: boolean;
  /** Tries since the last reply. */
  failures: number;
}

/** Creates an exchange. */
export function createSuspectExchange(
  options: SuspectExchangeOptions,
): SuspectExchange {
  const { self, suspects, counters, logger } = options;
  const timers = new Set<NodeJS.Timeout>();
  /** Hosts that are not told everything yet. */
  const outboxes = new Map<HostId, Outbox>();
  const held = createHeldSuspects({
    self,
    suspects,
    getReady: options.getReady,
    getListed: options.getListed,
    getHosts: options.getHosts,
    canReach: (host) => (outboxes.get(host)?.failures ?? 0) === 0,
  });
  let isGathering = false;
  let isClosed = false;
  return {
    report: ({ signature }) => {
      held.recordObserved(signature);
      tellDue();
    },
    ask: () => void askNext(0, 0),
    receive,
    forgetHost: held.forgetHost,
    recordListChange: gatherChange,
    close: () => {
      isClosed = true;
      timers.forEach((timer) => clearTimeout(timer));
    },
  };

  function tellDue(): void {
    for (const { signature, collectors, to } of held.takeTellings()) {
      const reported = to.filter((host) => collectors.includes(host));
      if (reported.length > 0) {
        counters.add("suspect_reported");
        logger.info("suspect_reported", { signature, to: reported.join() });
      }
      for (const host of to) {
        const isCollector = collectors.includes(host);
        post(host, signature, isCollector ? collectors : undefined);
      }
    }
  }

  /** Whom to tell may have changed: the list, or which hosts can be reached. */
  function gatherChange(): void {
    if (isGathering || held.size() === 0) return;
    isGathering = true;
    later(GATHER_MS, () => {
      isGathering = false;
      held.recordHostsChanged();
      tellDue();
    });
  }

  function post(
    host: HostId,
    signature: string,
    collectors: readonly HostId[] | undefined,
  ): void {
    let outbox = outboxes.get(host);
    if (outbox === undefined) {
      outbox = { due: new Map(), isBusy: false, failures: 0 };
      outboxes.set(host, outbox);
    }
    outbox.due.set(signature, collectors ?? outbox.due.get(signature));
    if (!outbox.isBusy) void send(host, outbox);
  }

  async function send(host: HostId, outbox: Outbox): Promise<void> {
    outbox.isBusy = true;
    const batch = new Map([...outbox.due].slice(0, MAX_BATCH));
    for (const signature of batch.keys()) outbox.due.delete(signature);
    const told = suspects.find([...batch.keys()]).map((it): ToldSuspect => {
      const collectors = batch.get(it.signature);
      return collectors === undefined ? it : { ...it, collectors };
    });
    const reply = await exchange(host, told);
    if (isClosed) return;
    if (reply === undefined) {
      for (const [signature, collectors] of batch) {
        outbox.due.set(signature, outbox.due.get(signature) ?? collectors);
      }
      return retry(host, outbox);
    }
    if (outbox.failures > 0) gatherChange();
    outbox.failures = 0;
    outbox.isBusy = false;
    if (outbox.due.size > 0) return void send(host, outbox);
    outboxes.delete(host);
  }

  function retry(host: HostId, outbox: Outbox): void {
    outbox.failures += 1;
    const { failures } = outbox;
    if (failures === 1) gatherChange();
    if (failures === MAX_TRIES) {
      counters.add("suspects_untold");
      logger.warn("suspects_untold", {
        peer: host,
        tries: failures,
        suspects: outbox.due.size,
      });
    }
    if (failures >= MAX_TRIES && !options.getListed().includes(host)) {
      return void outboxes.delete(host);
    }
    const waitMs = failures < MAX_TRIES ? RETRY_MS : LATER_RETRY_MS;
    later(waitMs, () => void send(host, outbox));
  }

  /** Asks hosts one after the other until enough of them have replied. */
  async function askNext(tried: number, replied: number): Promise<void> {
    const others = options.getListed().filter((host) => host !== self);
    const order = orderByHash(others, `asked by ${self}`);
    const missing = Math.min(COLLECTOR_COUNT, order.length) - replied;
    const asked = order.length === 0 ? [] : Array.from(
      { length: missing },
      (_, i) => order[(tried + i) % order.length]!,
    );
    const replies = await Promise.all(asked.map((host) => exchange(host, [])));
    const received = replies.filter((it) => it !== undefined).length;
    const isDone = order.length > 0 && received >= missing;
    if (isDone || isClosed) return;
    const next = tried + asked.length;
    const waitMs = next < MAX_TRIES * COLLECTOR_COUNT
      ? RETRY_MS
      : LATER_RETRY_MS;
    later(waitMs, () => void askNext(next, replied + received));
  }

  async function exchange(
    host: HostId,
    told: readonly ToldSuspect[],
  ): Promise<string | undefined> {
    const reply = await options.getLink(host)?.exchangeSuspects?.(
      encodeSuspects(told),
    );
    if (reply !== undefined && !isClosed) {
      tryMerge(reply, host);
      tellDue();
    }
    return reply;
  }

  /** The reply holds what is known of the same suspects, or of all that are refused if none was told. */
  function receive(text: string): string | undefined {
    const told = tryMerge(text);
    if (told === undefined) return undefined;
    tellDue();
    return encodeSuspects(
      told.length === 0
        ? suspects.getQuarantined()
        : suspects.find(told.map((it) => it.signature)),
    );
  }

  function tryMerge(
    text: string,
    peer?: HostId,
  ): readonly Suspect[] | undefined {
    const decoded = decodeSuspects(text);
    if (decoded.err) {
      counters.add("malformed_peer_message");
      logger.warn("peer_nonsense", { peer, message: decoded.val });
      return undefined;
    }
    const learned = suspects.merge(decoded.val);
    for (const { signature, collectors } of decoded.val) {
      if (collectors !== undefined) held.recordAsked(signature);
      if (!learned.has(signature)) continue;
      held.recordLearned(signature, collectors ?? []);
    }
    return decoded.val;
  }

  function later(ms: Millis, run: () => void): void {
    const timer = setTimeout(() => {
      timers.delete(timer);
      run();
    }, ms);
    timers.add(timer.unref());
  }
}
