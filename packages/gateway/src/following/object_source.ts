import type { StorePosition } from "@jasminetide/core/store";

/** Objects of one kind at one position of the platform's store. */
export type ObjectList<Value> = {
  objects: Map<string, Value>;
  position: StorePosition;
};

/** A change of one object; the value is undefined if it was deleted. */
export type ObjectChange<Value> = { name: string; value: Value | undefined };

/** Result of a watch: changes since a position. */
export type ObjectChanges<Value> =
  | {
    type: "changes";
    changes: ObjectChange<Value>[];
    position: StorePosition;
  }
  /** The store no longer has the changes since that position. */
  | { type: "expired" };

/** Reads the objects of one kind from the platform's store. */
export type ObjectSource<Value> = {
  /** @throws AppError `platformUnavailable` or `platformLimited`. */
  list: () => Promise<ObjectList<Value>>;
  /**
   * Waits for changes after a position for `waitMs` at most.
   *
   * @throws AppError `platformUnavailable` or `platformLimited`.
   */
  watch: (
    position: StorePosition,
    waitMs: number,
  ) => Promise<ObjectChanges<Value>>;
};

/**
 * Changes that one process sends to another, which has the objects up to an
 * earlier position.
 */
export type ObjectNews<Value> = {
  /** Position up to which the changes lead. */
  position: StorePosition;
  /** Whether the changes are all objects, and others are gone. */
  isWhole: boolean;
  changes: ObjectChange<Value>[];
  /** Time for which objects that are gone are still kept, after an outage. */
  keepMissingMs: number;
};
