import type { RunnerId } from "../tables/mod.ts";
import { type Rankable, rankRunners } from "./rank.ts";

/** The sidecar that looks up a hint, and the pool it searches. */
export type HintOwnerOptions = {
  /** Runner of the sidecar that looks up the hint. */
  self: RunnerId;
  /** Runners of the pool in that sidecar's view. */
  runners: readonly Rankable[];
};

/** Owners to query, other than the querying sidecar itself. */
const maxOwners = 2;

/**
 * Selects the sidecars that may store the hint for a chat: its home and the
 * next rank, which serves as home while the first is absent. An answer of one
 * of them suffices. The querying sidecar itself is left out.
 */
export function selectHintOwners(
  key: bigint,
  options: HintOwnerOptions,
): RunnerId[] {
  return rankRunners(key, options.runners, { count: maxOwners + 1 })
    .map((runner) => runner.id)
    .filter((id) => id !== options.self)
    .slice(0, maxOwners);
}
