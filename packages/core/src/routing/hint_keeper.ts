import type { RunnerId } from "../tables/mod.ts";
import { type Rankable, rankRunners } from "./rank.ts";

/** Who asks for the hint of a chat. */
export type HintKeeperOptions = {
  /** Runner beside the asking sidecar. */
  self: RunnerId;
  /** Runners of the pool as the asking sidecar knows them. */
  runners: readonly Rankable[];
};

const maxKeepers = 2;

/**
 * Selects the sidecars to ask where a chat is held, the first that answers
 * being enough: its home and the next rank, which is the home while that one
 * is away. The asking sidecar itself is left out.
 */
export function selectHintKeepers(
  key: bigint,
  options: HintKeeperOptions,
): RunnerId[] {
  return rankRunners(key, options.runners, { count: maxKeepers + 1 })
    .map((runner) => runner.id)
    .filter((id) => id !== options.self)
    .slice(0, maxKeepers);
}
