/**
 * Fencing numbers of one epoch of the store. Each epoch has a range of its own,
 * so that a number which was given out in writes that a restore has lost is
 * never given out again.
 */
const numbersPerEpoch = 2 ** 32;

/** Gets a number below all that are given out in an epoch of the store. */
export function getFencingFloor(storeEpoch: number): number {
  return storeEpoch * numbersPerEpoch;
}

/** Gets the number that follows the last one known, in an epoch of the store. */
export function getNextFencingNumber(
  last: number,
  storeEpoch: number,
): number {
  return Math.max(last, getFencingFloor(storeEpoch)) + 1;
}

/** Gets the epoch of the store in which a number was given out. */
export function getFencingEpoch(fencingNumber: number): number {
  return Math.floor(fencingNumber / numbersPerEpoch);
}
