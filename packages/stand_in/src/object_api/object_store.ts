/** An object with the version of its last write. */
export type StoreRow = { version: number; value: string };

/** What a write expects to find. */
export type StoreCondition = { version: number } | "absent" | "any";

/** Result of a conditional write or deletion. */
export type StoreWrite =
  | { type: "written"; version: number }
  | { type: "conflict"; version: number };

/** Versioned objects with conditional updates and watches, in memory. */
export class ObjectStore {
  #version = 0;
  readonly #rows = new Map<string, StoreRow>();
  /** What each object was before its last write. */
  readonly #earlier = new Map<string, StoreRow | undefined>();
  readonly #listeners = new Map<string, Set<() => void>>();

  private constructor() {}

  /** Creates an empty store. */
  static create(): ObjectStore {
    return new ObjectStore();
  }

  /** Gets an object by its path, `kind/name`. */
  get(path: string): StoreRow | undefined {
    return this.#rows.get(path);
  }

  /** Gets an object as it was before its last write, as a stale read does. */
  getStale(path: string): StoreRow | undefined {
    return this.#earlier.has(path) ? this.#earlier.get(path) : this.get(path);
  }

  /** Lists the paths below a prefix with their versions. */
  list(prefix: string): { path: string; version: number }[] {
    return [...this.#rows.entries()]
      .filter(([path]) => path.startsWith(prefix))
      .map(([path, row]) => ({ path, version: row.version }));
  }

  /** Writes an object if the condition holds. */
  put(path: string, value: string, condition: StoreCondition): StoreWrite {
    const current = this.#rows.get(path)?.version ?? 0;
    if (!isMet(condition, current)) {
      return { type: "conflict", version: current };
    }
    this.#version += 1;
    this.#earlier.set(path, this.#rows.get(path));
    this.#rows.set(path, { version: this.#version, value });
    this.#notify(path);
    return { type: "written", version: this.#version };
  }

  /**
   * Deletes an object if the condition holds. Versions never start again: an
   * object that is written anew has a higher one.
   */
  delete(path: string, condition: StoreCondition): StoreWrite {
    const current = this.#rows.get(path)?.version ?? 0;
    if (current === 0 || !isMet(condition, current)) {
      return { type: "conflict", version: current };
    }
    this.#version += 1;
    this.#earlier.set(path, this.#rows.get(path));
    this.#rows.delete(path);
    this.#notify(path);
    return { type: "written", version: this.#version };
  }

  /** Calls the listener at each write or deletion of an object. */
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
