/** Number of requests and of tokens of a workspace. */
export type Quota = { requests: number; tokens: number };

/** Limits of one workspace per second, over all routers together. */
export type QuotaRate = Quota;

/** Creates a quota of 0 requests and 0 tokens. */
export function createEmptyQuota(): Quota {
  return { requests: 0, tokens: 0 };
}

/** Adds `factor` times the quota `by` to `quota` in place. */
export function addScaledQuota(
  quota: Quota,
  change: { by: Quota; factor: number },
): void {
  quota.requests += change.by.requests * change.factor;
  quota.tokens += change.by.tokens * change.factor;
}

/** Gets the minimum of two quotas, separately for each amount. */
export function getSmallerQuota(left: Quota, right: Quota): Quota {
  return {
    requests: Math.min(left.requests, right.requests),
    tokens: Math.min(left.tokens, right.tokens),
  };
}

/** Gets a quota in which negative amounts are replaced by 0. */
export function getNonNegativeQuota(quota: Quota): Quota {
  return {
    requests: Math.max(0, quota.requests),
    tokens: Math.max(0, quota.tokens),
  };
}
