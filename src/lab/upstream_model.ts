/** Simulated upstream: service times, cold starts, slow requests, load shedding and statements about itself. */

import type { HostId, Millis, UpstreamNotice } from "../core/types.ts";
import type { EventLoop } from "./event_loop.ts";

/** Behaviour of a simulated upstream; can be changed during a run. */
export interface ModelBehaviour {
  /** Mean service time, in ms. */
  serviceMs: Millis;
  /** Factor on all service times. */
  slowFactor: number;
  /** Share of requests whose service time is multiplied by TAIL_FACTOR. */
  tailShare: number;
  /** Share of requests that are refused before they start. */
  shedShare: number;
  /** True responds to every request at once with an error. */
  failsFast: boolean;
  /** Time after a start in which service times are multiplied by COLD_FACTOR, in ms. */
  coldMs: Millis;
  /** Requests per second that its responses state as its limit; Infinity for none. */
  limitPerS: number;
  /** True states in its responses that it is leaving. */
  isLeaving: boolean;
}

/** A simulated upstream. */
export interface UpstreamModel {
  readonly host: HostId;
  readonly behaviour: ModelBehaviour;
  /** Draws the service time of a request without its downstream calls, in ms. */
  sampleServiceMs(): Millis;
  /** Draws whether a request is refused before it starts. */
  sampleShed(): boolean;
  /** Starts a new incarnation, which is cold and neither limited nor leaving. */
  restart(): void;
  getInstance(): string;
  /** What its responses state about it now. */
  getNotice(): UpstreamNotice;
}

const TAIL_FACTOR = 10;
const COLD_FACTOR = 3;
/** Shortest service time as a share of the mean. */
const MIN_SERVICE_SHARE = 0.3;

/** Creates a simulated upstream that has just started. */
export function createUpstreamModel(
  loop: EventLoop,
  options: { host: HostId; serviceMs: Millis },
): UpstreamModel {
  const behaviour: ModelBehaviour = {
    serviceMs: options.serviceMs,
    slowFactor: 1,
    tailShare: 0.01,
    shedShare: 0,
    failsFast: false,
    coldMs: 0,
    limitPerS: Infinity,
    isLeaving: false,
  };
  let startedAt = loop.now();
  let startCount = 1;
  return {
    host: options.host,
    behaviour,
    sampleServiceMs,
    sampleShed: () =>
      behaviour.shedShare > 0 && loop.random() < behaviour.shedShare,
    restart,
    getInstance,
    getNotice,
  };

  function restart(): void {
    startedAt = loop.now();
    startCount += 1;
    behaviour.limitPerS = Infinity;
    behaviour.isLeaving = false;
  }

  function getInstance(): string {
    return `${options.host}~${startCount}`;
  }

  function getNotice(): UpstreamNotice {
    const { limitPerS, isLeaving } = behaviour;
    return {
      instance: getInstance(),
      isLeaving,
      ...(limitPerS < Infinity && { limitPerS }),
    };
  }

  function sampleServiceMs(): Millis {
    const exponentialShare = -Math.log(1 - loop.random()) *
      (1 - MIN_SERVICE_SHARE);
    const isTail = loop.random() < behaviour.tailShare;
    const isCold = loop.now() - startedAt < behaviour.coldMs;
    return behaviour.serviceMs * (MIN_SERVICE_SHARE + exponentialShare) *
      behaviour.slowFactor * (isTail ? TAIL_FACTOR : 1) *
      (isCold ? COLD_FACTOR : 1);
  }
}
