/** An object with the version of its last write. */
export type StoreRow = { version: number; value: string };

/** Condition on the current version of an object; "any" is always met. */
export type StoreCondition = { version: number } | "absent" | "any";

/** Result of a conditional write or deletion, with the resulting version. */
export type StoreWriteResult =
  | { type: "written"; version: number }
  | { type: "conflict"; version: number };

/** Objects of a store and its last version at some time. */
export type StoreCopy = {
  version: number;
  rows: ReadonlyMap<string, StoreRow>;
};

/** In-memory store of versioned objects with conditional writes and watches. */
export class ObjectStore {
  #epoch = 0;
  #version = 0;
  readonly #rows = new Map<string, StoreRow>();
  /** Each object as it was before its last write or deletion. */
  readonly #previous = new Map<string, StoreRow | undefined>();
  readonly #listeners = new Map<string, Set<() => void>>();

  private constructor() {}

  /** Creates an empty store. */
  static create(): ObjectStore {
    return new ObjectStore();
  }

  /** Number of times that the store was restored from a copy. */
  get epoch(): number {
    return this.#epoch;
  }

  /** Version of the last write. */
  get version(): number {
    return this.#version;
  }

  /** Copies all objects. */
  copy(): StoreCopy {
    return { version: this.#version, rows: new Map(this.#rows) };
  }

  /**
   * Replaces all objects by those of a copy, and so loses later writes. Versions
   * go back and are given out again. Ends all waiting watches.
   */
  restore(copy: StoreCopy): void {
    this.#epoch += 1;
    this.#version = copy.version;
    this.#rows.clear();
    this.#previous.clear();
    for (const [path, row] of copy.rows) this.#rows.set(path, row);
    for (const path of [...this.#listeners.keys()]) this.#notify(path);
  }

  /** Gets an object by its path, `kind/name`. */
  get(path: string): StoreRow | undefined {
    return this.#rows.get(path);
  }

  /** Gets an object as it was before its last write, for stale reads. */
  getStale(path: string): StoreRow | undefined {
    return this.#previous.has(path) ? this.#previous.get(path) : this.get(path);
  }

  /** Lists the paths below a prefix with their versions. */
  list(prefix: string): { path: string; version: number }[] {
    return [...this.#rows.entries()]
      .filter(([path]) => path.startsWith(prefix))
      .map(([path, row]) => ({ path, version: row.version }));
  }

  /** Writes an object if the condition holds. */
  put(
    path: string,
    value: string,
    condition: StoreCondition,
  ): StoreWriteResult {
    const current = this.#rows.get(path)?.version ?? 0;
    if (!isMet(condition, current)) {
      return { type: "conflict", version: current };
    }
    this.#version += 1;
    this.#previous.set(path, this.#rows.get(path));
    this.#rows.set(path, { version: this.#version, value });
    this.#notify(path);
    return { type: "written", version: this.#version };
  }

  /**
   * Deletes an object if the condition holds. An object that is written again
   * gets a higher version than before, as versions never start over.
   */
  delete(path: string, condition: StoreCondition): StoreWriteResult {
    const current = this.#rows.get(path)?.version ?? 0;
    if (current === 0 || !isMet(condition, current)) {
      return { type: "conflict", version: current };
    }
    this.#version += 1;
    this.#previous.set(path, this.#rows.get(path));
    this.#rows.delete(path);
    this.#notify(path);
    return { type: "written", version: this.#version };
  }

  /** Calls the listener on each write or deletion of an object. */
  subscribe(path: string, listener: () => void): Disposable {
    const listeners = this.#listeners.get(path) ?? new Set();
    this.#listeners.set(path, listeners);
    listeners.add(listener);
    return { [Symbol.dispose]: () => void listeners.delete(listener) };
  }

  #notify(path: string): void {
    for (const listener of [...this.#listeners.get(path) ?? []]) listener();
  }
}

function isMet(condition: StoreCondition, current: number): boolean {
  if (condition === "any") return true;
  if (condition === "absent") return current === 0;
  return condition.version === current;
}
