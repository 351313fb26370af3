/** Amounts that a workspace's limits count. */
export type Quota = { requests: number; tokens: number };

/** Limits of one workspace over all routers, by second. */
export type QuotaRate = Quota;

/** Gets a quota of nothing. */
export function createEmptyQuota(): Quota {
  return { requests: 0, tokens: 0 };
}

/** Adds `factor` times a quota to another in place. */
export function updateQuota(
  quota: Quota,
  change: { by: Quota; factor: number },
): void {
  quota.requests += change.by.requests * change.factor;
  quota.tokens += change.by.tokens * change.factor;
}

/** Gets the smaller of two quotas, each amount by itself. */
export function getSmallerQuota(left: Quota, right: Quota): Quota {
  return {
    requests: Math.min(left.requests, right.requests),
    tokens: Math.min(left.tokens, right.tokens),
  };
}

/** Gets a quota without amounts below 0. */
export function getPositiveQuota(quota: Quota): Quota {
  return {
    requests: Math.max(0, quota.requests),
    tokens: Math.max(0, quota.tokens),
  };
}
