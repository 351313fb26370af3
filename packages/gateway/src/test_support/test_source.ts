import { AppError } from "@jasminetide/core/results";
import type { ObjectChange, ObjectSource } from "../following/mod.ts";

type Waiting = { revision: number; notify: () => void };

/** Objects of a store that tests change and take away. */
export class TestSource<Value> implements ObjectSource<Value> {
  readonly #objects = new Map<string, Value>();
  #changes: ObjectChange<Value>[] = [];
  #waiting: Waiting[] = [];
  #isAway = false;
  #calls = 0;

  private constructor() {}

  /** Creates a store without objects. */
  static create<Value>(): TestSource<Value> {
    return new TestSource<Value>();
  }

  /** Calls that were answered or refused. */
  get calls(): number {
    return this.#calls;
  }

  /** Whether a watch waits for what follows the last change. */
  get isRead(): boolean {
    return this.#waiting.some(({ revision }) =>
      revision >= this.#changes.length
    );
  }

  /** Writes or deletes an object. */
  put(name: string, value: Value | undefined): void {
    if (value === undefined) this.#objects.delete(name);
    else this.#objects.set(name, value);
    this.#changes.push({ name, value });
    this.#notify();
  }

  /** Takes the store away or brings it back. */
  setAway(isAway: boolean): void {
    this.#isAway = isAway;
    this.#notify();
  }

  list(): Promise<{ objects: Map<string, Value>; revision: number }> {
    this.#calls += 1;
    if (this.#isAway) return Promise.reject(createOutage());
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
    if (!this.#isAway && revision >= this.#changes.length) {
      await new Promise<void>((notify) =>
        this.#waiting.push({ revision, notify })
      );
    }
    if (this.#isAway) throw createOutage();
    const changes = this.#changes.slice(revision);
    return { type: "changes", changes, revision: this.#changes.length };
  }

  #notify(): void {
    for (const { notify } of this.#waiting.splice(0)) notify();
  }
}

function createOutage(): AppError {
  return AppError.create("platformUnavailable", "away for a test");
}
