/**
 * The part of a shared retry budget that one daemon may spend on a service.
 *
 * The whole fleet may send `ratio` times the requests of a window and `slack`
 * beyond. Each daemon takes the ratio of its own requests and an equal part of
 * the slack, so that the parts never sum to more without any exchange.
 */

import type { RetryAllowance } from "./gateway_types.ts";
import type { CoreHost, Millis, ServiceName } from "./types.ts";

/**
 * Share of its part that a daemon spends; what calls of a repeated request
 * repeat at other services is charged there and seen by nobody.
 */
const SPENT_SHARE = 0.6;
/** Steps of a sliding window. */
const STEPS = 10;

/** Settings of an allowance; the operator's figures. */
export interface RetryAllowanceOptions {
  /** Sends beyond the first for each request. */
  readonly ratio: number;
  readonly windowMs: Millis;
  /** Further sends in a window, for the whole fleet. */
  readonly slack: number;
  /** Daemons that share the slack. */
  getDaemonCount(): number;
}

interface Window {
  requests: number[];
  sends: number[];
  step: number;
}

/** Creates the allowances of a daemon, one for each service. */
export function createRetryAllowance(
  host: CoreHost,
  options: RetryAllowanceOptions,
): RetryAllowance {
  const windows = new Map<ServiceName, Window>();
  return { noteRequest, tryTake };

  function noteRequest(service: ServiceName): void {
    const window = advance(service);
    window.requests[window.step % STEPS]! += 1;
  }

  function tryTake(service: ServiceName): boolean {
    const window = advance(service);
    const slack = options.slack / Math.max(1, options.getDaemonCount());
    const allowed = SPENT_SHARE *
      (options.ratio * sum(window.requests) + slack);
    if (sum(window.sends) + 1 > allowed) return false;
    window.sends[window.step % STEPS]! += 1;
    return true;
  }

  /** The window of a service with the steps that have passed cleared. */
  function advance(service: ServiceName): Window {
    const step = Math.floor(host.now() / (options.windowMs / STEPS));
    let window = windows.get(service);
    if (window === undefined) {
      window = { requests: zeros(), sends: zeros(), step };
      windows.set(service, window);
    }
    const passed = Math.min(step - window.step, STEPS);
    for (let i = 1; i <= passed; i++) {
      window.requests[(window.step + i) % STEPS] = 0;
      window.sends[(window.step + i) % STEPS] = 0;
    }
    if (passed === STEPS) {
      window.requests.fill(0);
      window.sends.fill(0);
    }
    window.step = step;
    return window;
  }
}

function zeros(): number[] {
  return new Array<number>(STEPS).fill(0);
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
