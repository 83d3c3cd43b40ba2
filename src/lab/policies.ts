/** Policies of the lab: the product's own, and one with each part taken out. */

import { ChoicePolicy } from "../core/choice.ts";
import type { LabPolicy } from "./types.ts";

/** The product's own policy, for an account that pays for the tail. */
export const OWN_POLICY: LabPolicy = {
  choice: ChoicePolicy.ExpectedTime,
  hasRetryBudget: true,
  isFair: true,
  refusesEarly: true,
  prefersOwnDomain: true,
  hedgeBudget: 0.05,
  piggybacks: true,
  probesPerSecond: 0,
};

/** A plain policy that the baselines start from. */
const PLAIN_POLICY: LabPolicy = {
  choice: ChoicePolicy.Random,
  hasRetryBudget: true,
  isFair: true,
  refusesEarly: true,
  prefersOwnDomain: false,
  hedgeBudget: 0,
  piggybacks: true,
  probesPerSecond: 0,
};

/** Policies by name: first ours, then baselines, then ours less one part. */
export const POLICIES: Readonly<Record<string, LabPolicy>> = {
  own: OWN_POLICY,
  random: PLAIN_POLICY,
  "round-robin": { ...PLAIN_POLICY, choice: ChoicePolicy.RoundRobin },
  "least-own-in-flight": {
    ...PLAIN_POLICY,
    choice: ChoicePolicy.LeastOwnInFlight,
  },
  "two-choices-stale": {
    ...PLAIN_POLICY,
    choice: ChoicePolicy.TwoChoices,
    piggybacks: false,
    probesPerSecond: 1,
  },
  "hot-cold": { ...OWN_POLICY, choice: ChoicePolicy.HotCold },
  "no-hedge": { ...OWN_POLICY, hedgeBudget: 0 },
  "no-own-domain": { ...OWN_POLICY, prefersOwnDomain: false },
  "no-early-refusal": { ...OWN_POLICY, refusesEarly: false },
  "no-retry-budget": { ...OWN_POLICY, hasRetryBudget: false },
  "first-come": { ...OWN_POLICY, isFair: false },
};
