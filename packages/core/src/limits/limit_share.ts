import { getRouterRank, type KnownRouters } from "../hashing/mod.ts";

/** Limit of a runner that routers share. */
export type SharedLimit = {
  /** `hash32` of the runner's id. */
  runnerHash: number;
  perSecond: number;
};

/**
 * Gets this router's share of a limit, 0 to 1. All routers find the same shares
 * if they know the same routers. If there are far more routers than requests a
 * second, those that rank first for the runner share the limit and the others
 * have none, so that each share is worth a request in about a second.
 */
export function getLimitShare(
  { perSecond, runnerHash }: SharedLimit,
  routers: KnownRouters,
): number {
  const rank = getRouterRank(runnerHash, routers);
  if (rank === undefined) return 1 / minAssumedRouters;
  const others = routers.otherHashes?.length ?? 0;
  const sharers = Math.min(others + 1, Math.ceil(perSecond) + extraSharers);
  return rank < sharers ? 1 / sharers : 0;
}

/**
 * Gets this router's share of a limit as a whole number of requests in a second.
 * The shares of all routers add up to the limit if they know the same routers;
 * those that rank first for the runner get what does not divide evenly. A router
 * that does not know the others has none: many may have started at once. So has
 * one that its list lacks, since the others may count without it.
 */
export function getRequestShare(
  { perSecond, runnerHash }: SharedLimit,
  routers: KnownRouters,
): number {
  const rank = getRouterRank(runnerHash, routers);
  if (rank === undefined || routers.isUnlisted === true) return 0;
  const requests = Math.floor(perSecond);
  const count = (routers.otherHashes?.length ?? 0) + 1;
  const evenShare = Math.floor(requests / count);
  return evenShare + (rank < requests % count ? 1 : 0);
}

/** Routers that are assumed while the others are not known. */
const minAssumedRouters = 4;

/** Sharers beyond the requests a second, so that some may fail. */
const extraSharers = 2;
