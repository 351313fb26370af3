import { mix32 } from "./mix32.ts";

/** The routers of a fleet, as one of them knows them. */
export type KnownRouters = {
  /** `hash32` of this router's name. */
  selfHash: number;
  /** `hash32` of the other routers' names; undefined if these are not known. */
  otherHashes: readonly number[] | undefined;
  /** Whether the list of routers lacks this one, so that others may as well. */
  isUnlisted?: boolean;
};

/**
 * Gets the place of this router among all for a key, from 0, by rendezvous
 * hashing (Thaler and Ravishankar, 1998). All routers agree on the order if they
 * know the same routers. Undefined if the others are not known.
 */
export function getRouterRank(
  keyHash: number,
  { otherHashes, selfHash }: KnownRouters,
): number | undefined {
  if (otherHashes === undefined) return undefined;
  const weight = mix32(keyHash, selfHash);
  let rank = 0;
  for (const otherHash of otherHashes) {
    if (mix32(keyHash, otherHash) > weight) rank += 1;
  }
  return rank;
}
