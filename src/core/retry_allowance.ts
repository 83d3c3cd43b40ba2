/**
 * One daemon's part of the retry budget that the fleet shares for each service.
 *
 * The fleet may send retries and hedges up to `ratio` times the requests of a
 * window, plus `slack`. Each daemon uses the ratio of its own requests and an
 * equal part of the slack, so that the sum stays within the budget without
 * communication. Hedges count as retries here.
 */

import type { RetryAllowance, RetryCharge } from "./gateway_types.ts";
import type { CoreHost, Millis, ServiceName } from "./types.ts";

/**
 * Share of its part that a daemon uses. The rest is left for nested calls: a
 * retry repeats them at other services, where they count against the budget
 * although no daemon can recognize them as retries.
 */
const USABLE_SHARE = 0.6;
/** Number of steps in the sliding window. */
const STEPS = 10;

/** Settings of an allowance, as configured by the operator. */
export interface RetryAllowanceOptions {
  /** Retries allowed per request of the window. */
  readonly ratio: number;
  readonly windowMs: Millis;
  /** Retries allowed per window beyond the ratio, for the whole fleet. */
  readonly slack: number;
  /** Number of daemons that share the slack. */
  getDaemonCount(): number;
}

interface Window {
  requests: number[];
  retries: number[];
  step: number;
}

/** Creates the allowances of a daemon, one for each service. */
export function createRetryAllowance(
  host: CoreHost,
  options: RetryAllowanceOptions,
): RetryAllowance {
  const windows = new Map<ServiceName, Window>();
  return {
    recordRequest,
    tryAcquire: (service, cost = 1) => tryReserve(service, cost) !== undefined,
    tryReserve,
  };

  function recordRequest(service: ServiceName): void {
    const window = advance(service);
    window.requests[window.step % STEPS]! += 1;
  }

  function tryReserve(
    service: ServiceName,
    cost: number,
  ): RetryCharge | undefined {
    const window = advance(service);
    const slack = USABLE_SHARE * options.slack /
      Math.max(1, options.getDaemonCount());
    const allowed = slack +
      USABLE_SHARE * options.ratio * sum(window.requests);
    const used = sum(window.retries);
    const charged = used < slack ? 1 : cost;
    if (used + charged > allowed) return undefined;
    const { step } = window;
    window.retries[step % STEPS]! += charged;
    return { refund };

    function refund(): void {
      const { step: current, retries } = advance(service);
      if (current - step < STEPS) retries[step % STEPS]! -= charged;
    }
  }

  /** Returns the window of a service after clearing the steps that have expired. */
  function advance(service: ServiceName): Window {
    const step = Math.floor(host.now() / (options.windowMs / STEPS));
    let window = windows.get(service);
    if (window === undefined) {
      window = { requests: zeros(), retries: zeros(), step };
      windows.set(service, window);
    }
    const passed = Math.min(step - window.step, STEPS);
    for (let i = 1; i <= passed; i++) {
      window.requests[(window.step + i) % STEPS] = 0;
      window.retries[(window.step + i) % STEPS] = 0;
    }
    if (passed === STEPS) {
      window.requests.fill(0);
      window.retries.fill(0);
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
