import {
  type CachePath,
  chooseCachePath,
  type PoolView,
} from "@jasminetide/core/routing";
import { engineModel, hopMs, loadBounds } from "./scenario.ts";
import type { Source, TurnRequest } from "./sidecar_node.ts";

/** What is known where a turn has arrived. */
export type PathOptions = {
  source: Source | undefined;
  localTokens: number;
  pool: PoolView;
  canTransfer: boolean;
  nowMs: number;
};

/** Chooses how the prefix of a turn comes to be cached. */
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
