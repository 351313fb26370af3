import {
  type CachePath,
  chooseCachePath,
  type PoolView,
} from "@jasminetide/core/routing";
import { engineModel, hopMs, loadBounds } from "./scenario.ts";
import type { Source, TurnRequest } from "./sidecar_node.ts";

/** State of the sidecar at which a turn has arrived. */
export type PathOptions = {
  /** Peer that holds the prefix. */
  source: Source | undefined;
  /** Prompt tokens that this sidecar's engine has cached. */
  localTokens: number;
  pool: PoolView;
  canTransfer: boolean;
  nowMs: number;
};

/**
 * Chooses whether to recompute the prefix of a turn, to transfer it, or to
 * redirect the turn to its holder.
 */
export function choosePath(
  request: TurnRequest,
  options: PathOptions,
): CachePath {
  const { canTransfer, localTokens, nowMs, pool, source } = options;
  if (source === undefined) return "recompute";
  const { turn } = request;
  const view = pool.get(source.peer.id);
  const canHolderAdmit = view !== undefined &&
    view.loadTokens + turn.costTokens <=
      loadBounds.spillMultiple * pool.getMeanTokens(nowMs);
  return chooseCachePath({
    localTokens,
    heldTokens: Math.min(source.tokens, turn.promptTokens),
    canHolderAdmit,
    canRedirect: request.canRedirect && request.source === undefined,
  }, {
    ...engineModel,
    transferTokensPerSecond: canTransfer
      ? engineModel.transferTokensPerSecond
      : 0,
    redirectMs: 2 * hopMs,
  });
}
