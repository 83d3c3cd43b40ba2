/**
 * Choice of an upstream among candidates, by one of several policies: that of
 * the product, or a baseline for comparison.
 */

import { type DecisionTrace, Exclusion } from "./exclusions.ts";
import type { LoadEntry, LoadTable } from "./load_table.ts";
import type {
  Candidate,
  CoreHost,
  FailureDomainName,
  HostId,
  Millis,
} from "./types.ts";

/** Policies for choosing an upstream. */
export enum ChoicePolicy {
  /** Least expected response time; the policy of the product. */
  ExpectedTime = "expected-time",
  /** Fastest of those up to the load quantile; the least loaded if all are full. */
  HotCold = "hot-cold",
  Random = "random",
  RoundRobin = "round-robin",
  LeastOwnInFlight = "least-own-in-flight",
  TwoChoices = "two-choices",
}

/** Settings of a chooser. */
export interface ChooserOptions {
  readonly policy: ChoicePolicy;
  readonly failureDomain: FailureDomainName;
  /** Round trip to another failure domain, in ms. */
  readonly crossDomainMs: Millis;
  /** True ignores failure domains, as a baseline for comparison. */
  readonly ignoresFailureDomains?: boolean;
  /** Number of gateways that choose among the same hosts; by default the number of candidates. */
  getGatewayCount?(): number;
}

/** Chooses upstreams. */
export interface Chooser {
  /** Returns one of the candidates, or undefined if there are none. */
  tryChoose(candidates: readonly Candidate[]): HostId | undefined;
  /** Expected response time, in ms. */
  getExpectedMs(candidate: Candidate): Millis;
  /** A chooser that makes the next choices of this one, and changes nothing in it. */
  preview(how: ChoicePreview): Chooser;
}

/** Random numbers and loads of a previewed choice, and what collects its ratings. */
export interface ChoicePreview {
  random(): number;
  readonly loads: LoadTable;
  readonly trace: DecisionTrace;
}

/** Slots of an upstream without a report. */
const ASSUMED_SLOTS = 8;
/** Mean service time of an upstream with neither a report nor a latency, in ms. */
const ASSUMED_SERVICE_MS = 10;
/** Limit of the failure share, so that a failing upstream is still tried occasionally. */
const MAX_FAILURE_SHARE = 0.95;
/** Relative difference of expected times below which candidates count as equal. */
const TIE_SHARE = 0.05;
/** Quantile of the load up to which the hot-cold policy uses an upstream. */
const LOAD_QUANTILE = 0.75;

/** Typical remaining length of a slow period, for which a guard delays starts, in ms. */
const SLOW_REMAINDER_MS = 100;

/** Multiple of the median service time above which an upstream counts as clearly slower. */
const CLEARLY_SLOWER_FACTOR = 2;

/**
 * Time between two trials of a clearly slower upstream by all gateways together,
 * in ms. Nothing but a request shows that it has become faster.
 */
const SLOWER_TRIAL_INTERVAL_MS = 1_000;

/** Typical values of the candidates. */
interface TypicalValues {
  readonly load: number;
  readonly serviceMs: Millis;
  /** Age of a report from which its service time may be outdated, in ms. */
  readonly trialAgeMs: Millis;
}

type Policy = (candidates: readonly Candidate[]) => Candidate;

/** Creates a chooser over a load table. */
export function createChooser(
  host: CoreHost,
  options: ChooserOptions & {
    readonly loads: LoadTable;
    readonly trace?: DecisionTrace;
    /** Index of the first round-robin choice; 0 by default. */
    readonly firstIndex?: number;
  },
): Chooser {
  const { loads, trace } = options;
  let nextIndex = options.firstIndex ?? 0;
  const policies: Record<ChoicePolicy, Policy> = {
    [ChoicePolicy.ExpectedTime]: chooseExpectedTime,
    [ChoicePolicy.HotCold]: chooseHotCold,
    [ChoicePolicy.Random]: pickRandom,
    [ChoicePolicy.RoundRobin]: (all) => all[nextIndex++ % all.length]!,
    [ChoicePolicy.LeastOwnInFlight]: (all) =>
      pickLeast(all, (c) => loads.get(c.host).outstanding),
    [ChoicePolicy.TwoChoices]: chooseTwo,
  };
  return { tryChoose, getExpectedMs, preview };

  function preview(how: ChoicePreview): Chooser {
    return createChooser({ ...host, random: how.random }, {
      ...options,
      loads: how.loads,
      trace: how.trace,
      firstIndex: nextIndex,
    });
  }

  function tryChoose(candidates: readonly Candidate[]): HostId | undefined {
    if (candidates.length === 0) return undefined;
    const chosen = policies[options.policy](candidates);
    const isTraced = options.policy === ChoicePolicy.ExpectedTime;
    if (!isTraced) traceOthers(candidates, chosen);
    return chosen.host;
  }

  function getExpectedMs(candidate: Candidate): Millis {
    return estimate(candidate, getTypicalValues([candidate]));
  }

  function chooseExpectedTime(all: readonly Candidate[]): Candidate {
    const typical = getTypicalValues(all);
    const costs = all.map((c) => estimate(c, typical));
    const least = Math.min(...costs);
    const limit = least * (1 + TIE_SHARE);
    const best = all.filter((candidate, index) => {
      const costMs = costs[index]!;
      trace?.rate(candidate, costMs);
      if (costMs > limit) trace?.exclude(candidate, Exclusion.Slower);
      return costMs <= limit;
    });
    const chosen = pickRandom(best);
    traceOthers(best, chosen);
    return chosen;
  }

  function traceOthers(pool: readonly Candidate[], chosen: Candidate): void {
    if (trace === undefined) return;
    for (const candidate of pool) {
      if (candidate !== chosen) trace.exclude(candidate, Exclusion.NotChosen);
    }
  }

  function chooseHotCold(all: readonly Candidate[]): Candidate {
    const meanLoad = getMeanLoad(all);
    const use = (c: Candidate) => getUtilization(loads.get(c.host), meanLoad);
    const sorted = all.map(use).sort((a, b) => a - b);
    const limit = sorted[Math.floor((sorted.length - 1) * LOAD_QUANTILE)]!;
    const cold = all.filter((c) => use(c) <= limit && use(c) < 1);
    if (cold.length === 0) return pickLeast(all, use);
    return pickLeast(
      cold,
      (c) => getServiceMs(loads.get(c.host)) + getDomainMs(c),
    );
  }

  function chooseTwo(all: readonly Candidate[]): Candidate {
    const first = pickRandom(all);
    const second = pickRandom(all);
    return pickLeast([first, second], (c) => {
      const report = loads.get(c.host).report;
      return report === undefined ? 0 : report.inFlight + report.queued;
    });
  }

  /** Expected response time: queueing, service, slow period, distance and failures. */
  function estimate(candidate: Candidate, typical: TypicalValues): Millis {
    const entry = loads.get(candidate.host);
    const slots = entry.report?.slots ?? ASSUMED_SLOTS;
    const load = loads.getExpectedLoad(entry, typical.load);
    const serviceMs = getLikelyServiceMs(entry, typical);
    const waitMs = serviceMs * Math.max(0, load + 1 - slots) / slots;
    const crowdingMs = serviceMs * load / slots;
    const startMs = Math.max(
      waitMs + getSlowMs(entry),
      loads.getTurnMs(entry),
    );
    const responseMs = startMs + crowdingMs + serviceMs +
      getDomainMs(candidate);
    const failureShare = loads.getFailureShare(entry);
    return responseMs / (1 - Math.min(failureShare, MAX_FAILURE_SHARE));
  }

  /** Expected cost of a slow period in ms; the report's weight halves every SLOW_REMAINDER_MS. */
  function getSlowMs(entry: LoadEntry): Millis {
    const { report } = entry;
    if (report?.slowdown === undefined) return 0;
    const reportWeight = 0.5 ** (loads.getAge(entry) / SLOW_REMAINDER_MS);
    const costMs = (report.slowdown - 1) * report.serviceMs;
    return reportWeight * Math.min(Math.max(0, costMs), SLOW_REMAINDER_MS);
  }

  function getTypicalValues(pool: readonly Candidate[]): TypicalValues {
    const times = pool.map((c) => getServiceMs(loads.get(c.host)))
      .sort((a, b) => a - b);
    return {
      load: getMeanLoad(pool),
      serviceMs: times[(times.length - 1) >> 1]!,
      trialAgeMs: SLOWER_TRIAL_INTERVAL_MS *
        (options.getGatewayCount?.() ?? pool.length),
    };
  }

  /**
   * Median service time of the candidates, unless this upstream is clearly
   * slower. Load pattern "slow first requests": an upstream is slow just after a
   * start, and no gateway that has another one would ask it again.
   */
  function getLikelyServiceMs(
    entry: LoadEntry,
    typical: TypicalValues,
  ): Millis {
    const own = getServiceMs(entry);
    const isClearlySlower = own > typical.serviceMs * CLEARLY_SLOWER_FACTOR;
    const isTrialDue = entry.outstanding === 0 &&
      loads.getAge(entry) >= typical.trialAgeMs;
    return isClearlySlower && !isTrialDue ? own : typical.serviceMs;
  }

  function getMeanLoad(pool: readonly Candidate[]): number {
    let sum = 0;
    let count = 0;
    for (const candidate of pool) {
      const report = loads.get(candidate.host).report;
      if (report === undefined) continue;
      sum += report.inFlight + report.queued;
      count += 1;
    }
    return count === 0 ? 0 : sum / count;
  }

  function getUtilization(entry: LoadEntry, meanLoad: number): number {
    const slots = entry.report?.slots ?? ASSUMED_SLOTS;
    return loads.getExpectedLoad(entry, meanLoad) / slots;
  }

  function getServiceMs(entry: LoadEntry): Millis {
    return entry.report?.serviceMs ?? entry.latencyMs ?? ASSUMED_SERVICE_MS;
  }

  function getDomainMs(candidate: Candidate): Millis {
    const isNear = options.ignoresFailureDomains === true ||
      candidate.failureDomain === options.failureDomain;
    return isNear ? 0 : options.crossDomainMs;
  }

  function pickRandom(pool: readonly Candidate[]): Candidate {
    return pool[Math.floor(host.random() * pool.length)]!;
  }
}

function pickLeast(
  pool: readonly Candidate[],
  getCost: (candidate: Candidate) => number,
): Candidate {
  let best = pool[0]!;
  let least = getCost(best);
  for (const candidate of pool) {
    const cost = getCost(candidate);
    if (cost < least) {
      best = candidate;
      least = cost;
    }
  }
  return best;
}
