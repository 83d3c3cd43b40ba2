/** A gateway with the timeouts and attempt limits of the store daemon, for tests and benchmarks of its decisions. */

import { ChoicePolicy } from "../core/choice.ts";
import { createGateway } from "../core/gateway.ts";
import type { Gateway, GatewayOptions } from "../core/gateway_types.ts";
import {
  type Arrival,
  type CoreHost,
  type GatewayAction,
  GatewayMessageKind,
  Repeatability,
} from "../core/types.ts";

/** Creates a gateway in failure domain "east" that has no candidate upstreams by default. */
export function createTestGateway(
  host: CoreHost,
  options: Partial<GatewayOptions>,
): Gateway {
  return createGateway(host, {
    self: "caller",
    incarnation: "caller#1",
    maxAttempts: 4,
    maxNonQueueingAttempts: 4,
    reserveTimeoutMs: 120,
    suspectAfterMs: 2_000,
    chooser: {
      policy: ChoicePolicy.ExpectedTime,
      failureDomain: "east",
      crossDomainMs: 3,
    },
    getCandidates: () => [],
    getLimits: () => ({ retryBudget: 0, hedgeBudget: 0, hedgePercentile: 99 }),
    ...options,
  });
}

/** Creates the arrival of an idempotent request. */
export function createArrival(
  id: string,
  overrides: Partial<Arrival> = {},
): Arrival {
  return {
    id,
    account: "all",
    service: "shop",
    repeatability: Repeatability.Idempotent,
    timeoutMs: 1_000,
    replayable: true,
    retriesLeft: 3,
    ...overrides,
  };
}

/** Passes the arrival of an idempotent request to a gateway and returns its actions. */
export function sendArrival(
  gateway: Gateway,
  id: string,
  overrides: Partial<Arrival> = {},
): GatewayAction[] {
  return gateway.handle({
    kind: GatewayMessageKind.Arrived,
    arrival: createArrival(id, overrides),
  });
}
