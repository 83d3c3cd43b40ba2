/** A model of an upstream: service times, cold start, stragglers, shedding. */

import type { HostId, Millis } from "../core/types.ts";
import type { EventLoop } from "./event_loop.ts";

/** How a modelled upstream behaves; settable during a run. */
export interface ModelBehaviour {
  serviceMs: Millis;
  slowFactor: number;
  /** Share of requests that take ten times as long. */
  tailShare: number;
  /** Share of requests refused before they start. */
  shedShare: number;
  failsFast: boolean;
  /** Time after a start in which requests take three times as long, in ms. */
  coldMs: Millis;
}

/** A modelled upstream. */
export interface UpstreamModel {
  readonly host: HostId;
  readonly behaviour: ModelBehaviour;
  /** Time of one request's own work, in ms. */
  drawServiceMs(): Millis;
  sheds(): boolean;
  /** Starts the cold time again. */
  restart(): void;
}

const TAIL_FACTOR = 10;
const COLD_FACTOR = 3;
/** Share of the mean that every request takes at least. */
const LEAST_SHARE = 0.3;

/** Creates a model. */
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
  };
  let startedAt = loop.now();
  return {
    host: options.host,
    behaviour,
    drawServiceMs,
    sheds: () => behaviour.shedShare > 0 && loop.random() < behaviour.shedShare,
    restart: () => void (startedAt = loop.now()),
  };

  function drawServiceMs(): Millis {
    const varying = -Math.log(1 - loop.random()) * (1 - LEAST_SHARE);
    const isTail = loop.random() < behaviour.tailShare;
    const isCold = loop.now() - startedAt < behaviour.coldMs;
    return behaviour.serviceMs * (LEAST_SHARE + varying) *
      behaviour.slowFactor * (isTail ? TAIL_FACTOR : 1) *
      (isCold ? COLD_FACTOR : 1);
  }
}
