import { hash32, mix32 } from "../hashing/mod.ts";
import type { RandomSource } from "../random/mod.ts";
import type { RunnerHealth } from "./runner_health.ts";
import type { RunnerLoad } from "./runner_load.ts";

/** Fields of a runner on which the choice depends. */
export type PoolRunner = {
  readonly id: string;
  readonly failureDomain: string;
  /** Requests that the runner executes concurrently. */
  readonly slots: number;
  readonly load: RunnerLoad;
  readonly health: RunnerHealth;
};

/** Context of the choice of a runner for a plain request. */
export type PlainChoiceContext = {
  nowMs: number;
  random: RandomSource;
  /** Failure domain of this router. */
  failureDomain: string;
};

/**
 * Chooses the runner of a plain request, one without a prompt: the runner with
 * the least load per slot. Recent failures and a different failure domain count
 * as additional load.
 */
export function choosePlainRunner<Runner extends PoolRunner>(
  runners: readonly Runner[],
  context: PlainChoiceContext,
): Runner | undefined {
  return chooseLeastLoaded(
    selectUsableRunners(runners, context.nowMs),
    (runner) => {
      const load = runner.load.getEstimate(context.nowMs) / runner.slots;
      const failureShare = runner.health.getFailureShare(context.nowMs);
      const domainPenalty = runner.failureDomain === context.failureDomain
        ? 0
        : otherDomainPenalty;
      const tieBreaker = context.random.getFloat() * maxTieBreaker;
      return load + failureShare * failurePenalty + domainPenalty + tieBreaker;
    },
  );
}

/**
 * Load per slot that is added for a runner in another failure domain than the
 * router's.
 */
const otherDomainPenalty = 0.02;

/** Largest random load per slot that is added to break ties. */
const maxTieBreaker = 0.05;

/**
 * Load per slot that is added for a runner which fails all requests; in
 * proportion to the failure share otherwise.
 */
const failurePenalty = 3;

/** Context of the choice of an engine for a request with a prompt. */
export type EngineChoiceContext = {
  nowMs: number;
  /** Identifier of the shared prefix, hashed to determine its home. */
  prefixId: string;
  /** Length of the shared prefix, in tokens. */
  sharedTokens: number;
  /** Runners whose cache probably holds the shared prefix. */
  holders: ReadonlySet<string>;
};

/** A chosen engine and a possible source for its copy of the prefix. */
export type EngineChoice<Runner> = {
  runner: Runner;
  /** Whether its cache probably holds the shared prefix. */
  isHolder: boolean;
  /**
   * The best-ranked engine other than the chosen one, from which the prefix may
   * be copied when no holder is recorded.
   */
  alternateHome: Runner | undefined;
};

/**
 * Chooses the engine of a request with a prompt: an engine that holds the
 * shared prefix and is below the load bound, else the first one below the bound
 * in rendezvous order (Thaler and Ravishankar, 1998), so that all routers choose
 * the same one. The bound is that of consistent hashing with bounded loads
 * (Mirrokni, Thorup and Zadimoghaddam, 2018). If no engine qualifies, chooses
 * the least loaded.
 */
export function chooseEngine<Runner extends PoolRunner>(
  runners: readonly Runner[],
  context: EngineChoiceContext,
): EngineChoice<Runner> | undefined {
  const { holders, nowMs, prefixId, sharedTokens } = context;
  const candidates = selectUsableRunners(runners, nowMs);
  const loadBound = getLoadBound(candidates, { nowMs, sharedTokens });
  const key = hash32(prefixId);
  const ranked = candidates
    .map((runner) => ({
      runner,
      isHolder: holders.has(runner.id),
      weight: mix32(key, hash32(runner.id)),
    }))
    .sort((a, b) =>
      Number(b.isHolder) - Number(a.isHolder) || b.weight - a.weight
    );
  const qualified = ranked.find(({ runner }) =>
    runner.load.getEstimate(nowMs) < Math.min(loadBound, runner.slots) &&
    runner.health.getFailureShare(nowMs) < maxHomeFailureShare
  );
  const chosen = qualified ??
    chooseLeastLoaded(
      ranked,
      ({ runner }) =>
        runner.load.getEstimate(nowMs) / runner.slots +
        runner.health.getFailureShare(nowMs) * failurePenalty,
    );
  if (chosen === undefined) return undefined;
  const alternate = ranked.find((candidate) => candidate !== chosen);
  return {
    runner: chosen.runner,
    isHolder: chosen.isHolder,
    alternateHome: alternate?.runner,
  };
}

/** Share of failed requests from which an engine is not used as a home. */
const maxHomeFailureShare = 0.3;

/**
 * Gets the number of requests at an engine from which it is not used as a home.
 * The bound is higher for requests with a long shared prefix, since their prefix
 * is costlier to compute at another engine.
 */
function getLoadBound(
  runners: readonly PoolRunner[],
  context: { nowMs: number; sharedTokens: number },
): number {
  if (runners.length === 0) return 0;
  let total = 0;
  for (const runner of runners) {
    total += runner.load.getEstimate(context.nowMs);
  }
  const costliness = Math.min(1, context.sharedTokens / longPrefixTokens);
  const multiple = shortPrefixMultiple +
    (longPrefixMultiple - shortPrefixMultiple) * costliness;
  return (total / runners.length) * multiple + boundSlack;
}

/** Bound for requests without a shared prefix, relative to the mean load. */
const shortPrefixMultiple = 1.3;

/** Bound for requests with a long shared prefix, relative to the mean load. */
const longPrefixMultiple = 1.7;

/** Length in tokens from which a prefix gets the full `longPrefixMultiple`. */
const longPrefixTokens = 4000;

/** Requests allowed beyond the multiple, so that small loads stay at home. */
const boundSlack = 3;

/** Filters out avoided runners, unless all are avoided. */
function selectUsableRunners<Runner extends PoolRunner>(
  runners: readonly Runner[],
  nowMs: number,
): readonly Runner[] {
  const usable = runners.filter(({ health }) => !health.isAvoided(nowMs));
  return usable.length > 0 ? usable : runners;
}

function chooseLeastLoaded<Runner>(
  runners: readonly Runner[],
  getLoad: (runner: Runner) => number,
): Runner | undefined {
  let best: Runner | undefined;
  let leastLoad = Number.POSITIVE_INFINITY;
  for (const runner of runners) {
    const load = getLoad(runner);
    if (load >= leastLoad) continue;
    best = runner;
    leastLoad = load;
  }
  return best;
}
