import type { RunnerId } from "../tables/mod.ts";
import { getLoadBoundTokens } from "./load_bound.ts";
import {
  getExpectedTokens,
  type PoolView,
  type RunnerView,
} from "./pool_view.ts";
import { rankRunners } from "./rank.ts";

/** A turn of a chat that needs a runner. */
export type ChatTurn = {
  /** 64-bit chat key. */
  key: bigint;
  /** Work of the turn in weighted tokens. */
  costTokens: number;
  /** Runner that the home named as holding the chat's cache. */
  holder?: RunnerId | undefined;
  /** Runners that have refused the turn. */
  tried: ReadonlySet<RunnerId>;
};

/** Bounds of the choice. */
export type ChooseOptions = {
  nowMs: number;
  /** Multiple of the mean load beyond which a turn spills to the next rank. */
  spillMultiple: number;
  minimumTokens: number;
};

/** The runner for a turn. */
export type ChatChoice = {
  runner: RunnerView;
  /** Place in the rendezvous order; 0 is the home. */
  rank: number;
  /** The first candidate of the order, which keeps the chat's hint. */
  home: RunnerView;
};

/** Ranks that a turn may spill to. */
const maxRanks = 8;

/**
 * Chooses the runner for a turn of a chat: the holder of its cache, or else
 * the first of its rendezvous order, while the expected load stays under the
 * spill bound (after consistent hashing with bounded loads, Mirrokni, Thorup
 * and Zadimoghaddam, 2018). Otherwise the one of the first ranks with the most
 * room: since the home keeps a hint, a spilled chat is found at any rank.
 *
 * @returns undefined when no untried runner takes work.
 */
export function chooseChatRunner(
  turn: ChatTurn,
  pool: PoolView,
  options: ChooseOptions,
): ChatChoice | undefined {
  const candidates = pool.getCandidates(options.nowMs);
  const order = rankRunners(turn.key, candidates, {
    count: maxRanks + turn.tried.size,
  });
  const home = order[0];
  const open = order.filter((runner) => !turn.tried.has(runner.id));
  if (home === undefined || open.length === 0) return undefined;
  const meanTokens = pool.getMeanTokens(options.nowMs);
  const getRoom = (runner: RunnerView) =>
    getLoadBoundTokens({
      meanTokens,
      multiple: options.spillMultiple,
      minimumTokens: options.minimumTokens,
      capacity: pool.getCapacity(runner, options.nowMs),
    }) - getExpectedTokens(runner) - turn.costTokens;
  const runner = findHolder(turn, candidates, getRoom) ??
    (getRoom(open[0]) >= 0 ? open[0] : findRoomiest(open, getRoom));
  return { runner, rank: order.indexOf(runner), home };
}

function findHolder(
  turn: ChatTurn,
  candidates: readonly RunnerView[],
  getRoom: (runner: RunnerView) => number,
): RunnerView | undefined {
  if (turn.holder === undefined || turn.tried.has(turn.holder)) {
    return undefined;
  }
  return candidates.find((candidate) =>
    candidate.id === turn.holder && getRoom(candidate) >= 0
  );
}

function findRoomiest(
  runners: readonly RunnerView[],
  getRoom: (runner: RunnerView) => number,
): RunnerView {
  return runners.reduce((best, runner) =>
    getRoom(runner) > getRoom(best) ? runner : best
  );
}
