/**
 * Choice of an upstream among candidates. The policies stand in one table, the
 * product's own beside the baselines it is measured against.
 */

import type { LoadBook, LoadEntry } from "./load_book.ts";
import type {
  Candidate,
  CoreHost,
  FailureDomainName,
  HostId,
  Millis,
} from "./types.ts";

/** Ways to choose. */
export enum ChoicePolicy {
  /** Least expected time to answer; the product's own. */
  ExpectedTime = "expected-time",
  /** Fastest among those below the load quantile, else the least loaded. */
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
  /** True ignores failure domains, as a baseline. */
  readonly ignoresFailureDomains?: boolean;
}

/** Chooses upstreams. */
export interface Chooser {
  /** One of the candidates; undefined for none. */
  tryChoose(candidates: readonly Candidate[]): HostId | undefined;
  /** Expected time to answer in ms, for explanations. */
  getExpectedMs(candidate: Candidate): Millis;
}

const ASSUMED_SLOTS = 8;
const ASSUMED_SERVICE_MS = 10;
/** Even an upstream that always fails is tried now and then. */
const MAX_FAILURE_SHARE = 0.95;
/** Share of the time below which two candidates count as equal. */
const TIE_SHARE = 0.05;
const LOAD_QUANTILE = 0.75;

/** Typical rest of a slow spell, which a guard waits for, in ms. */
const SLOW_SPELL_MS = 100;

/** Upstreams this many times slower than the median count as such. */
const CLEARLY_SLOWER = 2;

/** What is usual among the candidates. */
interface Usual {
  readonly load: number;
  readonly serviceMs: Millis;
}

type Policy = (candidates: readonly Candidate[]) => Candidate;

/** Creates a chooser over a load book. */
export function createChooser(
  host: CoreHost,
  options: ChooserOptions & { readonly loads: LoadBook },
): Chooser {
  const { loads } = options;
  let turn = 0;
  const policies: Record<ChoicePolicy, Policy> = {
    [ChoicePolicy.ExpectedTime]: chooseExpectedTime,
    [ChoicePolicy.HotCold]: chooseHotCold,
    [ChoicePolicy.Random]: pickRandom,
    [ChoicePolicy.RoundRobin]: (all) => all[turn++ % all.length]!,
    [ChoicePolicy.LeastOwnInFlight]: (all) =>
      pickLeast(all, (c) => loads.get(c.host).unanswered),
    [ChoicePolicy.TwoChoices]: chooseTwo,
  };
  return { tryChoose, getExpectedMs };

  function tryChoose(candidates: readonly Candidate[]): HostId | undefined {
    if (candidates.length === 0) return undefined;
    return policies[options.policy](candidates).host;
  }

  function getExpectedMs(candidate: Candidate): Millis {
    return estimate(candidate, getUsual([candidate]));
  }

  function chooseExpectedTime(all: readonly Candidate[]): Candidate {
    const usual = getUsual(all);
    const costs = all.map((c) => estimate(c, usual));
    const least = Math.min(...costs);
    const limit = least * (1 + TIE_SHARE);
    return pickRandom(all.filter((_, index) => costs[index]! <= limit));
  }

  function chooseHotCold(all: readonly Candidate[]): Candidate {
    const prior = getPrior(all);
    const use = (c: Candidate) => getUse(loads.get(c.host), prior);
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

  /** Expected time to answer: waiting in rounds of the slots, service, distance. */
  function estimate(candidate: Candidate, usual: Usual): Millis {
    const entry = loads.get(candidate.host);
    const slots = entry.report?.slots ?? ASSUMED_SLOTS;
    const load = loads.getExpectedLoad(entry, usual.load);
    const serviceMs = getLikelyServiceMs(entry, usual);
    const waitMs = serviceMs * Math.max(0, load + 1 - slots) / slots;
    const crowdingMs = serviceMs * load / slots;
    const answerMs = waitMs + crowdingMs + serviceMs + getSlowMs(entry) +
      getDomainMs(candidate);
    const failureShare = loads.getFailureShare(entry);
    return answerMs / (1 - Math.min(failureShare, MAX_FAILURE_SHARE));
  }

  /** What a slow spell costs by the newest report, which ages with the spell. */
  function getSlowMs(entry: LoadEntry): Millis {
    const { report } = entry;
    if (report?.slowdown === undefined) return 0;
    const trust = 0.5 ** (loads.getAge(entry) / SLOW_SPELL_MS);
    const costMs = (report.slowdown - 1) * report.serviceMs;
    return trust * Math.min(Math.max(0, costMs), SLOW_SPELL_MS);
  }

  function getUsual(pool: readonly Candidate[]): Usual {
    const times = pool.map((c) => getServiceMs(loads.get(c.host)))
      .sort((a, b) => a - b);
    return {
      load: getPrior(pool),
      serviceMs: times[(times.length - 1) >> 1]!,
    };
  }

  /** The service's own time, unless this upstream is clearly slower. */
  function getLikelyServiceMs(entry: LoadEntry, usual: Usual): Millis {
    const own = getServiceMs(entry);
    return own > usual.serviceMs * CLEARLY_SLOWER ? own : usual.serviceMs;
  }

  function getPrior(pool: readonly Candidate[]): number {
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

  function getUse(entry: LoadEntry, prior: number): number {
    const slots = entry.report?.slots ?? ASSUMED_SLOTS;
    return loads.getExpectedLoad(entry, prior) / slots;
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
