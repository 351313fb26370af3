import { hash32, mix32 } from "../hashing/mod.ts";
import type { RandomSource } from "../random/mod.ts";
import type { RunnerHealth } from "./runner_health.ts";
import type { RunnerLoad } from "./runner_load.ts";

/** What choosing reads of a runner. */
export type PoolRunner = {
  readonly id: string;
  readonly failureDomain: string;
  /** Requests that it runs at a time. */
  readonly slots: number;
  readonly load: RunnerLoad;
  readonly health: RunnerHealth;
};

/** What the choice of a runner for a plain request depends on. */
export type PlainChoiceContext = {
  nowMs: number;
  random: RandomSource;
  /** Failure domain of this router. */
  failureDomain: string;
};

/**
 * Chooses the runner of a plain request: the least loaded for its slots,
 * where a runner that fails part of its requests counts as more loaded.
 */
export function choosePlainRunner<Runner extends PoolRunner>(
  runners: readonly Runner[],
  context: PlainChoiceContext,
): Runner | undefined {
  return chooseLeast(selectHealthy(runners, context.nowMs), (runner) => {
    const load = runner.load.getEstimate(context.nowMs) / runner.slots;
    const failures = runner.health.getFailureShare(context.nowMs);
    const distance = runner.failureDomain === context.failureDomain
      ? 0
      : otherDomainLoad;
    const tie = context.random.getFloat() * tieLoad;
    return load + failures * failureLoad + distance + tie;
  });
}

/** Load, as a share of the slots, that another failure domain counts for. */
const otherDomainLoad = 0.02;

/** Breaks ties between runners of equal load. */
const tieLoad = 0.05;

/** Load, as a share of the slots, that a runner which always fails counts for. */
const failureLoad = 3;

/** What the choice of an engine depends on. */
export type EngineChoiceContext = {
  nowMs: number;
  /** Identifier of the part of the prompt that decides the home. */
  homeKey: string;
  /** Size of the prompt up to and with that part, in tokens. */
  sharedTokens: number;
  /** Runners that are believed to hold the part in their cache. */
  holders: ReadonlySet<string>;
};

/** A chosen engine and where it may copy the shared part from. */
export type EngineChoice<Runner> = {
  runner: Runner;
  /** Whether it is believed to hold the shared part. */
  isHolder: boolean;
  /** The next best home, which may hold the part if nothing is known. */
  otherHome: Runner | undefined;
};

/**
 * Chooses the engine of a request with a prompt: an engine that holds the
 * shared part and is within the load bound, else the next by rendezvous hash
 * (Thaler and Ravishankar, 1998) within the bound, so that all routers find
 * the same one. The bound is that of consistent hashing with bounded loads
 * (Mirrokni, Thorup and Zadimoghaddam, 2018).
 */
export function chooseEngine<Runner extends PoolRunner>(
  runners: readonly Runner[],
  context: EngineChoiceContext,
): EngineChoice<Runner> | undefined {
  const { holders, homeKey, nowMs, sharedTokens } = context;
  const candidates = selectHealthy(runners, nowMs);
  const bound = getLoadBound(candidates, { nowMs, sharedTokens });
  const key = hash32(homeKey);
  const ranked = candidates
    .map((runner) => ({
      runner,
      isHolder: holders.has(runner.id),
      weight: mix32(key, hash32(runner.id)),
    }))
    .sort((a, b) =>
      Number(b.isHolder) - Number(a.isHolder) || b.weight - a.weight
    );
  const within = ranked.find(({ runner }) =>
    runner.load.getEstimate(nowMs) < Math.min(bound, runner.slots) &&
    runner.health.getFailureShare(nowMs) < failingShare
  );
  const chosen = within ??
    chooseLeast(
      ranked,
      ({ runner }) =>
        runner.load.getEstimate(nowMs) / runner.slots +
        runner.health.getFailureShare(nowMs) * failureLoad,
    );
  if (chosen === undefined) return undefined;
  const other = ranked.find((candidate) => candidate !== chosen);
  return {
    runner: chosen.runner,
    isHolder: chosen.isHolder,
    otherHome: other?.runner,
  };
}

/** Share of failed requests above which an engine is no home. */
const failingShare = 0.3;

/**
 * Most requests that an engine may hold and still be given one as a home.
 * Requests with much to read stay at their home longer than those that are
 * cheap to read elsewhere.
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
  const costliness = Math.min(1, context.sharedTokens / costlyTokens);
  const multiple = cheapMultiple +
    (costlyMultiple - cheapMultiple) * costliness;
  return (total / runners.length) * multiple + boundSlack;
}

/** Multiples of the mean load that a home may hold. */
const cheapMultiple = 1.3;
const costlyMultiple = 1.7;

/** Shared tokens from which the higher multiple holds in full. */
const costlyTokens = 4000;

/** Requests above that multiple, so that small loads stay at their homes. */
const boundSlack = 3;

/** Leaves out runners that are being avoided, unless all are. */
function selectHealthy<Runner extends PoolRunner>(
  runners: readonly Runner[],
  nowMs: number,
): readonly Runner[] {
  const healthy = runners.filter(({ health }) => !health.isAvoided(nowMs));
  return healthy.length > 0 ? healthy : runners;
}

function chooseLeast<Runner>(
  runners: readonly Runner[],
  weigh: (runner: Runner) => number,
): Runner | undefined {
  let best: Runner | undefined;
  let bestWeight = Number.POSITIVE_INFINITY;
  for (const runner of runners) {
    const weight = weigh(runner);
    if (weight >= bestWeight) continue;
    best = runner;
    bestWeight = weight;
  }
  return best;
}
