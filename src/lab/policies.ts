/** Policies to compare: the product's own, its variants with one part disabled, and baselines. */

import { ChoicePolicy } from "../core/choice.ts";
import type { LabPolicy } from "./types.ts";

/** The product's own policy, for an account that may hedge 5% of its requests. */
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

/** Random choice without hedging; the other baselines derive from it. */
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

/** Policies by name: the product's own, the baselines, and variants of the product's own. */
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
