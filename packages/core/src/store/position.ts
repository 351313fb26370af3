/**
 * Point in the history of the platform's store. Revisions are only comparable
 * within one epoch: a store that is restored from a copy starts a new epoch, and
 * its revisions go back.
 */
export type StorePosition = {
  /** Number of times that the store was restored. */
  epoch: number;
  revision: number;
};

/** Position before anything was read. */
export const initialPosition: StorePosition = { epoch: 0, revision: 0 };

/** Whether a position is later than another one. */
export function isLaterPosition(
  position: StorePosition,
  other: StorePosition,
): boolean {
  if (position.epoch !== other.epoch) return position.epoch > other.epoch;
  return position.revision > other.revision;
}

/** Whether two positions are the same point of the same epoch. */
export function isSamePosition(
  position: StorePosition,
  other: StorePosition,
): boolean {
  return position.epoch === other.epoch && position.revision === other.revision;
}
