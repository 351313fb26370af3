import type { RunnerId } from "../tables/mod.ts";
import { getLoadBoundTokens } from "./load_bound.ts";
import {
  getExpectedTokens,
  type PoolView,
  type RunnerView,
} from "./pool_view.ts";
import { rankRunners } from "./rank.ts";

/** A turn of a chat to be assigned to a runner. */
export type ChatTurn = {
  /** 64-bit chat key. */
  key: bigint;
  /** Cost of the turn in weighted tokens. */
  costTokens: number;
  /** Runner that holds the chat's cache, as reported by the chat's home. */
  holder?: RunnerId | undefined;
  /** Runners that have refused the turn. */
  tried: ReadonlySet<RunnerId>;
};

/** Time and load bounds for the choice. */
export type ChatRunnerOptions = {
  nowMs: number;
  /** Multiple of the mean load beyond which a turn spills to the next rank. */
  spillMultiple: number;
  /** Lower limit of the spill bound, for a capacity of 1. */
  minimumTokens: number;
};

/** The chosen runner for a turn. */
export type ChatChoice = {
  runner: RunnerView;
  /** Position in the rendezvous order; 0 is the home. */
  rank: number;
  /** First runner of the order; its sidecar stores the chat's hint. */
  home: RunnerView;
};

/** Number of ranks among which a turn may be placed, the home included. */
const maxRanks = 8;

/**
 * Chooses the runner for a turn of a chat: the holder of its cache, or else
 * the first runner of its rendezvous order, provided that its expected load
 * stays under the spill bound (after consistent hashing with bounded loads,
 * Mirrokni, Thorup and Zadimoghaddam, 2018). If neither qualifies, chooses the
 * runner with the most headroom among the first ranks: the hint at the home
 * makes a spilled chat findable at any rank.
 *
 * @returns undefined when no untried runner accepts work.
 */
export function chooseChatRunner(
  turn: ChatTurn,
  pool: PoolView,
  options: ChatRunnerOptions,
): ChatChoice | undefined {
  const candidates = pool.getCandidates(options.nowMs);
  const order = rankRunners(turn.key, candidates, {
    count: maxRanks + turn.tried.size,
  });
  const home = order[0];
  const open = order.filter((runner) => !turn.tried.has(runner.id));
  if (home === undefined || open.length === 0) return undefined;
  const meanTokens = pool.getMeanTokens(options.nowMs);
  const getHeadroom = (runner: RunnerView) =>
    getLoadBoundTokens({
      meanTokens,
      multiple: options.spillMultiple,
      minimumTokens: options.minimumTokens,
      capacity: pool.getCapacity(runner, options.nowMs),
    }) - getExpectedTokens(runner) - turn.costTokens;
  const runner = findHolder(turn, candidates, getHeadroom) ??
    (getHeadroom(open[0]) >= 0 ? open[0] : findMostHeadroom(open, getHeadroom));
  return { runner, rank: order.indexOf(runner), home };
}

function findHolder(
  turn: ChatTurn,
  candidates: readonly RunnerView[],
  getHeadroom: (runner: RunnerView) => number,
): RunnerView | undefined {
  if (turn.holder === undefined || turn.tried.has(turn.holder)) {
    return undefined;
  }
  return candidates.find((candidate) =>
    candidate.id === turn.holder && getHeadroom(candidate) >= 0
  );
}

function findMostHeadroom(
  runners: readonly RunnerView[],
  getHeadroom: (runner: RunnerView) => number,
): RunnerView {
  return runners.reduce((best, runner) =>
    getHeadroom(runner) > getHeadroom(best) ? runner : best
  );
}
