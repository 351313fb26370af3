import type { RandomSource } from "../random/mod.ts";
import type { RunnerId } from "../tables/mod.ts";
import { getExpectedTokens, type RunnerView } from "./pool_view.ts";

/** Context of the choice of a runner for a lookup. */
export type LookupOptions = {
  random: RandomSource;
  /** Failure domain of the router. */
  failureDomain: string;
  /** Runners that have failed or refused the call. */
  tried: ReadonlySet<RunnerId>;
};

/**
 * Ratio of the mean load of the router's own failure domain to that of all
 * domains above which lookups leave the router's domain.
 */
const hotDomainRatio = 1.2;

/**
 * Chooses a runner for a lookup, which depends on no cached prefix, by the
 * power of two choices (Mitzenmacher, 2001). Stays in the router's own failure
 * domain unless that domain is overloaded relative to the others.
 *
 * @returns undefined when no untried runner is left.
 */
export function chooseLookupRunner(
  candidates: readonly RunnerView[],
  options: LookupOptions,
): RunnerView | undefined {
  const open = candidates.filter((runner) => !options.tried.has(runner.id));
  const local = open.filter((runner) =>
    runner.failureDomain === options.failureDomain
  );
  const isLocalHot = local.length === 0 ||
    getMeanLoad(local) > Math.max(1, hotDomainRatio * getMeanLoad(open));
  return chooseLessLoaded(isLocalHot ? open : local, options.random);
}

/** Chooses the less loaded of two runners drawn at random. */
export function chooseLessLoaded(
  runners: readonly RunnerView[],
  random: RandomSource,
): RunnerView | undefined {
  if (runners.length <= 1) return runners[0];
  const first = random.getInteger(runners.length);
  const second = (first + 1 + random.getInteger(runners.length - 1)) %
    runners.length;
  const [left, right] = [runners[first], runners[second]];
  return getLoad(right) < getLoad(left) ? right : left;
}

function getLoad(runner: RunnerView): number {
  return getExpectedTokens(runner) / runner.capacity;
}

function getMeanLoad(runners: readonly RunnerView[]): number {
  const total = runners.reduce((sum, runner) => sum + getLoad(runner), 0);
  return total / Math.max(1, runners.length);
}
