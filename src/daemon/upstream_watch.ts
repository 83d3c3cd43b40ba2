/**
 * Reads the load that the local upstream reports, many times a second, because
 * noisy neighbours change its speed within a tenth of a second.
 */

import type { IncomingHttpHeaders } from "node:http";
import { Client, type Dispatcher } from "undici";
import type { Counters } from "../core/counters.ts";
import type { UpstreamView } from "../core/guard_types.ts";
import { createSlotLimit } from "../core/slot_limit.ts";
import { createSlowPeriods } from "../core/slow_periods.ts";
import type { Millis, NoticeSource, ResponseNotice } from "../core/types.ts";
import { createSmallReads } from "../link/small_reads.ts";
import {
  EndlessResponseError,
  isEndlessHead,
} from "../upstream/response_errors.ts";
import {
  MAX_INFORMATIONAL_RESPONSES,
  MAX_RESPONSE_HEAD_BYTES,
} from "../upstream/response_reader.ts";
import type {
  UpstreamLoad,
  UpstreamProtocol,
} from "../upstream/upstream_protocol.ts";
import type { Clock } from "./clock.ts";

/** Age up to which admission uses a reading without waiting for another, in ms; the upstream's speed lasts some 150 ms. */
const FRESH_MS = 15;
/** Time between readings while queued requests wait for the end of a slow period, in ms. */
const DELAY_POLL_MS = 25;
/** Longest wait of an admission decision for a reading, in ms. */
const MAX_READ_WAIT_MS = 40;
/** Age from which a reading is ignored, in ms. */
const MAX_AGE_MS = 500;
/** Timeout of one reading, in ms; the same as MAX_AGE_MS. */
const TIMEOUT_MS = 500;
/** Timeout of one reading in all, in ms; TIMEOUT_MS starts again with each byte of a body. */
const MAX_READING_MS = 1_500;
/** Largest body of a health check, in bytes; its content is not used. */
const MAX_HEALTH_BODY_BYTES = 65_536;
/** Largest health check with its head and framing, in bytes. */
const MAX_HEALTH_BYTES = 1_048_576;

const ENDLESS_HEALTH = "a health check without end";
/** Lowest status of a response that is not informational. */
const FIRST_FINAL_STATUS = 200;

/** Settings of an upstream watch. */
export interface UpstreamWatchOptions {
  /** IP address and port. */
  readonly address: string;
  readonly protocol: UpstreamProtocol;
  readonly counters: Counters;
  /** Path of the health check, or undefined while no configuration names it. */
  getHealthPath(): string | undefined;
  /** Slots to assume until the upstream reports its own. */
  getListedSlots(): number;
  /** True while requests wait in the guard's queue. */
  hasWaiting(): boolean;
  /** Called after each reading. */
  onReading(): void;
  /** Receives the time for which a health check, sent at a time in ms, states that the upstream is cold. */
  onCold(coldMs: Millis, sentAt: Millis): void;
  /** True if every start needs a recent reading. */
  needsReadings(): boolean;
  /** True if a reading is due before a start, whatever the age of the load. */
  isReadingDue(): boolean;
  /** Called when the upstream refuses the connection of a health check. */
  onRefused(): void;
  /** Receives what a health check states about the upstream itself. */
  onNotice(notice: ResponseNotice, source: NoticeSource): void;
}

/** The load of one upstream. */
export interface UpstreamWatch extends UpstreamView {
  /** Resolves once there is a fresh reading, or after a short timeout. */
  refresh(): Promise<void>;
  /** Records the load that a response reported. */
  recordLoad(load: UpstreamLoad): void;
  /** Keeps the reading recent while requests wait, if they need that to start. */
  pollWhileWaiting(): void;
  /** Forgets an earlier start of the upstream; a health check under way is one of it. */
  forgetStart(): void;
  close(): Promise<void>;
}

/** Creates a watch of one upstream. */
export function createUpstreamWatch(
  clock: Clock,
  options: UpstreamWatchOptions,
): UpstreamWatch {
  const { counters } = options;
  let slowPeriods = createSlowPeriods();
  let slotLimit = createSlotLimit(clock);
  /** Health checks sent before this time, in ms, are of an earlier start. */
  let validFrom: Millis = -Infinity;
  /** Bytes of the health check that is being read. */
  let readBytes = 0;
  /** Ends the health check that is being read as endless. */
  let cutReading: (() => void) | undefined;
  const client = new Client(`http://${options.address}`, {
    connect: { timeout: TIMEOUT_MS, ...createSmallReads(countRead) },
    headersTimeout: TIMEOUT_MS,
    bodyTimeout: TIMEOUT_MS,
    maxHeaderSize: MAX_RESPONSE_HEAD_BYTES,
  });
  let instance: string | undefined;
  let instanceReadAt: Millis = -Infinity;
  let load: UpstreamLoad | undefined;
  let readAt: Millis = -Infinity;
  let reading: Promise<void> | undefined;
  let timer: NodeJS.Timeout | undefined;
  let waitTimer: NodeJS.Timeout | undefined;
  return {
    refresh,
    recordLoad,
    pollWhileWaiting,
    getUsableSlots,
    getShortWorkSlots: () => slotLimit.getUsableForShortWork(getSlots()),
    getKnownGoodSlots: () => slotLimit.getKnownGood(getSlots()),
    recordStart: (running) => slotLimit.recordStart(running),
    recordServiceTime: (running, ratio) => slotLimit.recordTime(running, ratio),
    getSlowdown,
    getBaseSlowdown: () => slowPeriods.getBase(),
    getStartDelayMs,
    getInstance,
    forgetStart,
    close,
  };

  function forgetStart(): void {
    slowPeriods = createSlowPeriods();
    slotLimit = createSlotLimit(clock);
    instance = undefined;
    instanceReadAt = -Infinity;
    load = undefined;
    readAt = -Infinity;
    validFrom = clock.now();
  }

  async function refresh(): Promise<void> {
    const isFresh = clock.now() - readAt < FRESH_MS;
    if (isFresh && !options.isReadingDue()) return;
    const path = options.getHealthPath();
    if (path === undefined) return;
    reading ??= probe(path).finally(() => reading = undefined);
    let timeout: NodeJS.Timeout | undefined;
    const timedOut = new Promise<void>((resolve) => {
      timeout = setTimeout(resolve, MAX_READ_WAIT_MS);
    });
    await Promise.race([reading, timedOut]);
    clearTimeout(timeout);
  }

  async function probe(path: string): Promise<void> {
    counters.add("upstream_probed");
    const sentAt = clock.now();
    try {
      const headers = await requestHealth(path);
      if (sentAt < validFrom) return options.onReading();
      instance = options.protocol.readInstance(headers);
      instanceReadAt = clock.now();
      reportCold(headers, sentAt);
      reportNotice(headers, sentAt);
      const reported = options.protocol.readLoad(headers);
      if (reported !== undefined) recordLoad(reported);
      else options.onReading();
    } catch (error) {
      const isEndless = isEndlessHead(error);
      if (isEndless) counters.add("response_cut_endless");
      const code = (error as { code?: string }).code ??
        (isEndless ? "endless" : "unknown");
      counters.add(`upstream_probe_failed_${code}`);
      if (code === "ECONNREFUSED") options.onRefused();
    }
  }

  /** Only an upstream names its incarnation, so that nothing else can show that it is not cold. */
  function reportCold(headers: IncomingHttpHeaders, sentAt: Millis): void {
    const coldMs = options.protocol.readColdMs(headers);
    if (instance === undefined || coldMs === undefined) return;
    options.onCold(coldMs, sentAt);
  }

  /** Counts all bytes of a reading, as the client has no bound for those that frame a body. */
  function countRead(bytes: number): void {
    readBytes += bytes;
    if (readBytes > MAX_HEALTH_BYTES) cutReading?.();
  }

  /**
   * Resolves to the headers of a health check's response once its body has ended
   * within its bounds. Uses the client without a stream for the body, as there is
   * a health check for most requests.
   */
  function requestHealth(path: string): Promise<IncomingHttpHeaders> {
    return new Promise((resolve, reject) => {
      let controller: Dispatcher.DispatchController | undefined;
      let informationalCount = 0;
      let bodyBytes = 0;
      let headers: IncomingHttpHeaders = {};
      const cut = () => abort(new EndlessResponseError(ENDLESS_HEALTH));
      const timeout = setTimeout(
        () => abort(new Error("a health check that takes too long")),
        MAX_READING_MS,
      );
      readBytes = 0;
      cutReading = cut;
      client.dispatch({ method: "GET", path }, {
        onRequestStart: (it) => controller = it,
        onResponseStart: (_it, status, received) => {
          headers = received;
          if (status >= FIRST_FINAL_STATUS) return;
          informationalCount += 1;
          if (informationalCount > MAX_INFORMATIONAL_RESPONSES) cut();
        },
        onResponseData: (_it, chunk) => {
          bodyBytes += chunk.length;
          if (bodyBytes > MAX_HEALTH_BODY_BYTES) cut();
        },
        onResponseEnd: () => {
          end();
          resolve(headers);
        },
        onResponseError: (_it, error) => {
          end();
          reject(error);
        },
      });

      function abort(error: Error): void {
        controller?.abort(error);
      }

      function end(): void {
        clearTimeout(timeout);
        cutReading = undefined;
      }
    });
  }

  /** Health checks need not state a limit that is in force. */
  function reportNotice(headers: IncomingHttpHeaders, sentAt: Millis): void {
    if (instance === undefined) return;
    const notice = options.protocol.readNotice(headers);
    options.onNotice({ ...notice, isComplete: false }, { instance, sentAt });
  }

  function recordLoad(reported: UpstreamLoad): void {
    load = reported;
    readAt = clock.now();
    slowPeriods.observe(reported.slowdown, readAt);
    options.onReading();
    if (getStartDelayMs() > 0) pollWhileDelayed();
  }

  /** Queued requests may wait for the end of a slow period, which only a reading shows. */
  function pollWhileDelayed(): void {
    if (timer !== undefined || !options.hasWaiting()) return;
    timer = setTimeout(() => {
      timer = undefined;
      void refresh().then(() => {
        options.onReading();
        if (getStartDelayMs() > 0) pollWhileDelayed();
      });
    }, DELAY_POLL_MS);
  }

  /** A request that starts from the queue needs a recent reading too. */
  function pollWhileWaiting(): void {
    if (waitTimer !== undefined || !options.needsReadings()) return;
    if (!options.hasWaiting()) return;
    waitTimer = setTimeout(() => {
      waitTimer = undefined;
      void refresh().then(pollWhileWaiting);
    }, DELAY_POLL_MS);
  }

  function getSlots(): number {
    return load?.slots ?? options.getListedSlots();
  }

  /** A slot is on trial only outside slow periods, which its requests are compared with. */
  function getUsableSlots(): number {
    return slowPeriods.isSlow(getSlowdown())
      ? slotLimit.getKnownGood(getSlots())
      : slotLimit.getUsable(getSlots());
  }

  function getSlowdown(): number {
    return isLoadCurrent() ? load!.slowdown : 1;
  }

  function getStartDelayMs(): Millis {
    return isLoadCurrent() ? slowPeriods.getStartDelayMs(clock.now()) : 0;
  }

  /** Only health checks name the instance, so that it has an age of its own. */
  function getInstance(): string | undefined {
    const isCurrent = clock.now() - instanceReadAt < MAX_AGE_MS;
    return isCurrent ? instance : undefined;
  }

  function isLoadCurrent(): boolean {
    return load !== undefined && clock.now() - readAt < MAX_AGE_MS;
  }

  async function close(): Promise<void> {
    clearTimeout(timer);
    clearTimeout(waitTimer);
    await client.destroy();
  }
}
