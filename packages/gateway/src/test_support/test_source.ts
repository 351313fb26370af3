import { AppError } from "@jasminetide/core/results";
import type { StorePosition } from "@jasminetide/core/store";
import type {
  ObjectChange,
  ObjectChanges,
  ObjectList,
  ObjectSource,
} from "../following/mod.ts";

type PendingWatch = { revision: number; notify: () => void };

/** What a store held at a time, from which it can be restored. */
export type TestSourceCopy<Value> = {
  objects: ReadonlyMap<string, Value>;
  changes: readonly ObjectChange<Value>[];
};

/** Store whose objects and availability are controlled by tests. */
export class TestSource<Value> implements ObjectSource<Value> {
  #objects = new Map<string, Value>();
  #changes: ObjectChange<Value>[] = [];
  #pendingWatches: PendingWatch[] = [];
  #epoch = 1;
  #isUnavailable = false;
  #isHistoryLost = false;
  #isSilent = false;
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

  /** Makes the store report every watch as expired. */
  setHistoryLost(isLost: boolean): void {
    this.#isHistoryLost = isLost;
    this.#notify();
  }

  /** Makes the store leave watches unanswered, or answer them. */
  setSilent(isSilent: boolean): void {
    this.#isSilent = isSilent;
    this.#notify();
  }

  /** Copies what the store holds. */
  copy(): TestSourceCopy<Value> {
    return { objects: new Map(this.#objects), changes: [...this.#changes] };
  }

  /** Restores the store from a copy, which begins a new epoch. */
  restore(copy: TestSourceCopy<Value>): void {
    this.#objects = new Map(copy.objects);
    this.#changes = [...copy.changes];
    this.#epoch += 1;
    this.#notify();
  }

  list(): Promise<ObjectList<Value>> {
    this.#calls += 1;
    if (this.#isUnavailable) return Promise.reject(createOutageError());
    return Promise.resolve({
      objects: new Map(this.#objects),
      position: { epoch: this.#epoch, revision: this.#changes.length },
    });
  }

  async watch(position: StorePosition): Promise<ObjectChanges<Value>> {
    const { epoch, revision } = position;
    this.#calls += 1;
    const canWait = epoch === this.#epoch && !this.#isHistoryLost &&
      !this.#isUnavailable;
    if (canWait && (this.#isSilent || revision >= this.#changes.length)) {
      await new Promise<void>((notify) =>
        this.#pendingWatches.push({ revision, notify })
      );
    }
    if (this.#isUnavailable) throw createOutageError();
    if (epoch !== this.#epoch || this.#isHistoryLost) {
      return { type: "expired" };
    }
    const changes = this.#changes.slice(revision);
    return {
      type: "changes",
      changes,
      position: { epoch, revision: this.#changes.length },
    };
  }

  #notify(): void {
    if (this.#isSilent) return;
    for (const { notify } of this.#pendingWatches.splice(0)) notify();
  }
}

function createOutageError(): AppError {
  return AppError.create("platformUnavailable", "unavailable for a test");
}
