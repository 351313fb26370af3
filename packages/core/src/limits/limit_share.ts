import { mix32 } from "../hashing/mod.ts";

/** Routers that share the limits that runners state. */
export type LimitSharers = {
  /** `hash32` of this router's name. */
  selfHash: number;
  /** `hash32` of the other routers' names; undefined if these are not known. */
  otherHashes: readonly number[] | undefined;
};

/** Limit of a runner that routers share. */
export type SharedLimit = {
  /** `hash32` of the runner's id. */
  runnerHash: number;
  perSecond: number;
};

/**
 * Gets this router's share of a limit, 0 to 1. All routers find the same shares
 * if they know the same routers. If there are far more routers than requests a
 * second, some share the limit by rendezvous hashing (Thaler and Ravishankar,
 * 1998) and the others have none, so that each share is worth a request in
 * about a second.
 */
export function getLimitShare(
  { perSecond, runnerHash }: SharedLimit,
  { otherHashes, selfHash }: LimitSharers,
): number {
  if (otherHashes === undefined) return 1 / minAssumedRouters;
  const sharers = Math.min(
    otherHashes.length + 1,
    Math.ceil(perSecond) + extraSharers,
  );
  const weight = mix32(runnerHash, selfHash);
  let rank = 0;
  for (const otherHash of otherHashes) {
    if (mix32(runnerHash, otherHash) > weight) rank += 1;
  }
  return rank < sharers ? 1 / sharers : 0;
}

/** Routers that are assumed while the others are not known. */
const minAssumedRouters = 4;

/** Sharers beyond the requests a second, so that some may fail. */
const extraSharers = 2;
