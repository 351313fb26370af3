/** Cache and load situation of a turn at the runner that received it. */
export type CachePathInput = {
  /** Prompt tokens cached at the runner that received the turn. */
  localTokens: number;
  /** Prompt tokens cached at the runner that holds the chat. */
  heldTokens: number;
  /** Whether the holder can take the turn within its load bound. */
  canHolderAdmit: boolean;
  /** Whether the router may still be redirected to another runner. */
  canRedirect: boolean;
};

/** Costs of cache operations at the runners of a pool. */
export type CacheCosts = {
  /** Rate at which prompt tokens are computed. */
  prefillTokensPerSecond: number;
  /** Rate at which cached tokens are exported and imported. */
  transferTokensPerSecond: number;
  /** Time to start a transfer, in milliseconds. */
  transferStartMs: number;
  /** Delay that a redirect of the router to the holder adds, in milliseconds. */
  redirectMs: number;
};

/** How a turn obtains the KV cache of its prefix. */
export type CachePath = "redirect" | "transfer" | "recompute";

/**
 * Chooses the fastest way to obtain the cached prefix of a turn: redirect the
 * router to the holder, import the KV cache from the holder, or recompute the
 * prefix.
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
