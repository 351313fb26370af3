/** What is known when a turn reaches a runner that may lack its prefix. */
export type CachePathInput = {
  /** Prompt tokens cached at the runner itself. */
  localTokens: number;
  /** Prompt tokens cached at the runner that holds the chat. */
  heldTokens: number;
  /** Whether the holder's expected load leaves room for the turn. */
  canHolderAdmit: boolean;
  /** Whether the router may still be sent elsewhere. */
  canRedirect: boolean;
};

/** What cache operations cost at the runners of a pool. */
export type CacheCosts = {
  /** Speed at which prompt tokens are computed. */
  prefillTokensPerSecond: number;
  /** Speed at which cached tokens are exported and imported. */
  transferTokensPerSecond: number;
  /** Time to open a transfer, in milliseconds. */
  transferStartMs: number;
  /** Time that sending the router to the holder adds, in milliseconds. */
  redirectMs: number;
};

/** How the prefix of a turn comes to be computed. */
export type CachePath = "redirect" | "transfer" | "recompute";

/**
 * Chooses the cheapest way to the cached prefix of a turn: let the router go
 * to the holder, import the KV cache from it, or compute the prefix again.
 */
export function chooseCachePath(
  input: CachePathInput,
  costs: CacheCosts,
): CachePath {
  const missingTokens = input.heldTokens - input.localTokens;
  if (missingTokens <= 0) return "recompute";
  const recomputeMs = 1000 * missingTokens / costs.prefillTokensPerSecond;
  const transferMs = costs.transferStartMs +
    1000 * missingTokens / costs.transferTokensPerSecond;
  const redirectMs = input.canRedirect && input.canHolderAdmit
    ? costs.redirectMs
    : Infinity;
  if (redirectMs <= Math.min(recomputeMs, transferMs)) return "redirect";
  return transferMs < recomputeMs ? "transfer" : "recompute";
}
