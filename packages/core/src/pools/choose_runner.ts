import { hash32, mix32 } from "../hashing/mod.ts";
import type { RandomSource } from "../random/mod.ts";
import type { RunnerHealth } from "./runner_health.ts";
import type { RunnerLoad } from "./runner_load.ts";

/** Fields of a runner on which the choice depends. */
export type PoolRunner = {
  readonly id: string;
  /** `hash32` of the id, by which runners are ranked for a prefix. */
  readonly idHash: number;
  /** Time at which this router began to know the runner. */
  readonly listedAtMs: number;
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
  const { nowMs } = context;
  return chooseLeastLoaded(
    selectUsableRunners(runners, nowMs),
    (runner) => {
      const load = runner.load.getEstimate(nowMs) / runner.slots *
        runner.load.getSlowness(nowMs);
      const failureShare = runner.health.getFailureShare(nowMs);
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
  /** Whether a full engine may be chosen if all are full. */
  mayQueue: boolean;
};

/** A chosen engine. */
export type EngineChoice<Runner> = {
  runner: Runner;
  /** Whether its cache probably holds the shared prefix. */
  isHolder: boolean;
};

/** An engine with what its choice depends on. */
type Candidate<Runner> = EngineChoice<Runner> & {
  /** Place in rendezvous order; the highest is the home of the prefix. */
  weight: number;
  load: number;
  isFull: boolean;
  failureShare: number;
};

/**
 * Chooses the engine of a request with a prompt: an engine that holds the
 * shared prefix and is below the load bound, else the first one below the bound
 * in rendezvous order (Thaler and Ravishankar, 1998), so that all routers choose
 * the same one. The bound is that of consistent hashing with bounded loads
 * (Mirrokni, Thorup and Zadimoghaddam, 2018). If no engine qualifies, chooses
 * the least loaded that is not full; full ones only if the request may queue.
 */
export function chooseEngine<Runner extends PoolRunner>(
  runners: readonly Runner[],
  context: EngineChoiceContext,
): EngineChoice<Runner> | undefined {
  const usable = selectUsableRunners(runners, context.nowMs);
  const candidates = listCandidates(usable, context);
  const loadBound = getLoadBound(candidates, context.sharedTokens);
  let first: Candidate<Runner> | undefined;
  for (const candidate of candidates) {
    const isQualified = !candidate.isFull && candidate.load < loadBound &&
      candidate.failureShare < maxHomeFailureShare;
    if (isQualified && isRankedBefore(candidate, first)) first = candidate;
  }
  const free = candidates.filter(({ isFull }) => !isFull);
  return first ??
    chooseLeastLoaded(
      free.length > 0 || !context.mayQueue ? free : candidates,
      ({ failureShare, load, runner }) =>
        load / runner.slots + failureShare * failurePenalty,
    );
}

function listCandidates<Runner extends PoolRunner>(
  runners: readonly Runner[],
  context: EngineChoiceContext,
): Candidate<Runner>[] {
  const { holders, nowMs, prefixId } = context;
  const key = hash32(prefixId);
  return runners.map((runner) => {
    const load = runner.load.getEstimate(nowMs);
    return {
      runner,
      isHolder: holders.has(runner.id),
      weight: mix32(key, runner.idHash),
      load,
      isFull: load >= runner.slots,
      failureShare: runner.health.getFailureShare(nowMs),
    };
  });
}

/** Holders come first, then the order of the weights. */
function isRankedBefore(
  candidate: { isHolder: boolean; weight: number },
  other: { isHolder: boolean; weight: number } | undefined,
): boolean {
  if (other === undefined) return true;
  if (candidate.isHolder !== other.isHolder) return candidate.isHolder;
  return candidate.weight > other.weight;
}

/** What the choice of a source depends on. */
export type CopySourceContext = {
  nowMs: number;
  prefixId: string;
  /** Id of the engine that copies the prefix. */
  copierId: string;
};

/**
 * Chooses the engine from which a prefix may be copied when no holder is known:
 * the one that was the home of the prefix before the latest changes of the pool,
 * by which all routers sent it there. It may be draining.
 */
export function chooseCopySource<Runner extends PoolRunner>(
  runners: readonly Runner[],
  context: CopySourceContext,
): Runner | undefined {
  const { copierId, nowMs, prefixId } = context;
  const key = hash32(prefixId);
  let best: Runner | undefined;
  let bestScore = Number.NEGATIVE_INFINITY;
  for (const runner of runners) {
    if (runner.id === copierId || runner.health.isAvoided(nowMs)) continue;
    const isSettled = nowMs - runner.listedAtMs >= settlingMs;
    const score = mix32(key, runner.idHash) + (isSettled ? settledBonus : 0);
    if (score <= bestScore) continue;
    best = runner;
    bestScore = score;
  }
  return best;
}

/** Time in which most prefixes of a new engine have been requested there. */
const settlingMs = 8000;

/** Above any weight, so that settled engines rank before new ones. */
const settledBonus = 2 ** 32;

/** Share of failed requests from which an engine is not used as a home. */
const maxHomeFailureShare = 0.3;

/**
 * Gets the number of requests at an engine from which it is not used as a home.
 * The bound is higher for requests with a long shared prefix, since their prefix
 * is costlier to compute at another engine.
 */
function getLoadBound(
  candidates: readonly { load: number }[],
  sharedTokens: number,
): number {
  if (candidates.length === 0) return 0;
  let total = 0;
  for (const { load } of candidates) total += load;
  const costliness = Math.min(1, sharedTokens / longPrefixTokens);
  const multiple = shortPrefixMultiple +
    (longPrefixMultiple - shortPrefixMultiple) * costliness;
  return (total / candidates.length) * multiple + boundSlack;
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
