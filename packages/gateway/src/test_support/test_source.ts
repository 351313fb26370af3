import { AppError } from "@jasminetide/core/results";
import type { ObjectChange, ObjectSource } from "../following/mod.ts";

type PendingWatch = { revision: number; notify: () => void };

/** Store whose objects and availability are controlled by tests. */
export class TestSource<Value> implements ObjectSource<Value> {
  readonly #objects = new Map<string, Value>();
  #changes: ObjectChange<Value>[] = [];
  #pendingWatches: PendingWatch[] = [];
  #isUnavailable = false;
  #calls = 0;

  private constructor() {}

  /** Creates an empty store. */
  static create<Value>(): TestSource<Value> {
    return new TestSource<Value>();
  }

  /** Number of calls, including those that failed. */
  get calls(): number {
    return this.#calls;
  }

  /** Whether a watch waits for changes after the last one. */
  get isCaughtUp(): boolean {
    return this.#pendingWatches.some(({ revision }) =>
      revision >= this.#changes.length
    );
  }

  /** Writes an object, or deletes it if the value is undefined. */
  put(name: string, value: Value | undefined): void {
    if (value === undefined) this.#objects.delete(name);
    else this.#objects.set(name, value);
    this.#changes.push({ name, value });
    this.#notify();
  }

  /** Makes the store fail all calls, or answer again. */
  setUnavailable(isUnavailable: boolean): void {
    this.#isUnavailable = isUnavailable;
    this.#notify();
  }

  list(): Promise<{ objects: Map<string, Value>; revision: number }> {
    this.#calls += 1;
    if (this.#isUnavailable) return Promise.reject(createOutageError());
    return Promise.resolve({
      objects: new Map(this.#objects),
      revision: this.#changes.length,
    });
  }

  async watch(revision: number): Promise<{
    type: "changes";
    changes: ObjectChange<Value>[];
    revision: number;
  }> {
    this.#calls += 1;
    if (!this.#isUnavailable && revision >= this.#changes.length) {
      await new Promise<void>((notify) =>
        this.#pendingWatches.push({ revision, notify })
      );
    }
    if (this.#isUnavailable) throw createOutageError();
    const changes = this.#changes.slice(revision);
    return { type: "changes", changes, revision: this.#changes.length };
  }

  #notify(): void {
    for (const { notify } of this.#pendingWatches.splice(0)) notify();
  }
}

function createOutageError(): AppError {
  return AppError.create("platformUnavailable", "unavailable for a test");
}
