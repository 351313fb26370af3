/** Objects of one kind at one revision of the platform's store. */
export type ObjectList<Value> = {
  objects: Map<string, Value>;
  revision: number;
};

/** A change of one object; the value is undefined if it was deleted. */
export type ObjectChange<Value> = { name: string; value: Value | undefined };

/** Result of a watch: changes since a revision. */
export type ObjectChanges<Value> =
  | { type: "changes"; changes: ObjectChange<Value>[]; revision: number }
  /** The store no longer has the changes since that revision. */
  | { type: "expired" };

/** Reads the objects of one kind from the platform's store. */
export type ObjectSource<Value> = {
  /** @throws AppError `platformUnavailable` or `platformLimited`. */
  list: () => Promise<ObjectList<Value>>;
  /**
   * Waits for changes after a revision for `waitMs` at most.
   *
   * @throws AppError `platformUnavailable` or `platformLimited`.
   */
  watch: (revision: number, waitMs: number) => Promise<ObjectChanges<Value>>;
};
