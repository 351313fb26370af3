/**
 * Finds a window that ends with a hedge and has more hedges than the share of its
 * requests; returns its counts.
 */
export function findWindowAbove(
  hedgeTimesMs: readonly number[],
  requestTimesMs: readonly number[],
  { maxShare, windowMs }: { maxShare: number; windowMs: number },
): { hedges: number; requests: number } | undefined {
  for (const endMs of new Set(hedgeTimesMs)) {
    const isInside = (atMs: number) => atMs > endMs - windowMs && atMs <= endMs;
    const hedges = hedgeTimesMs.filter(isInside).length;
    const requests = requestTimesMs.filter(isInside).length;
    if (hedges > maxShare * requests) return { hedges, requests };
  }
  return undefined;
}
