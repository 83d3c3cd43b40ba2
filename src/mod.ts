/**
 * Public interface of the library: the decision core without I/O, the daemon
 * around it, and stand-ins of the platform and of upstreams for trials.
 */

export * from "./core/types.ts";
export * from "./core/config_types.ts";
export {
  type Diagnostic,
  DiagnosticCategory,
  type DiagnosticName,
  Diagnostics,
  tryGetDiagnostic,
} from "./core/diagnostics.ts";
export { createGateway } from "./core/gateway.ts";
export type {
  AccountLimits,
  Gateway,
  GatewayOptions,
} from "./core/gateway_types.ts";
export type {
  DecisionExplanation,
  ExplainedAttempt,
  ExplainedCandidate,
  ReasonAgainst,
} from "./core/explain_types.ts";
export { Exclusion } from "./core/exclusions.ts";
export { createGuard } from "./core/guard.ts";
export type { Guard, GuardOptions } from "./core/guard_types.ts";
export { ChoicePolicy, type ChooserOptions } from "./core/choice.ts";
export { type AdmissionQueue, createFairQueue } from "./core/fair_queue.ts";
export {
  createKeyTable,
  type KeyTable,
  tryParseKey,
} from "./core/key_table.ts";
export { createMembership, type Membership } from "./core/membership.ts";
export {
  type ConfigProblem,
  type ConfigState,
  createConfigState,
} from "./core/config_state.ts";
export { createGossip, type Gossip } from "./core/gossip.ts";
export { createTokenBucket, type TokenBucket } from "./core/token_bucket.ts";
export {
  type GossipDaemon,
  type GossipDaemonOptions,
  startGossipDaemon,
} from "./daemon/gossip_daemon.ts";
export {
  type HostSettings,
  hostSettingsSchema,
} from "./settings/host_settings.ts";
export { type PlatformStandIn, startPlatform } from "./stand_in/platform.ts";
export { startUpstream, type UpstreamStandIn } from "./stand_in/upstream.ts";
