/** A store in memory that can be restored from a copy, for tests. */
import { AppError } from "@jasminetide/core/results";
import {
  isLaterPosition,
  StoreEpoch,
  type StorePosition,
  type StoreRestoredListener,
} from "@jasminetide/core/store";
import { type TimerService, wait } from "@jasminetide/core/timers";
import type {
  ObjectName,
  PlatformClient,
  StoredObject,
  WriteCondition,
} from "../platform/mod.ts";

type Row = { revision: number; value: string };

/** Objects of a store at some time. */
export type MemoryCopy = { revision: number; rows: ReadonlyMap<string, Row> };

const watchStepMs = 100;

/** Objects with revisions; a restore loses later writes and revisions. */
export class MemoryStore {
  epoch = 0;
  revision = 0;
  rows = new Map<string, Row>();

  /** Copies all objects. */
  copy(): MemoryCopy {
    return { revision: this.revision, rows: new Map(this.rows) };
  }

  /** Starts a new epoch with the objects of a copy. */
  restore(copy: MemoryCopy): void {
    this.epoch += 1;
    this.revision = copy.revision;
    this.rows = new Map(copy.rows);
  }
}

/** Client of a store in memory with the epochs that one process has seen. */
export class MemoryClient {
  readonly #store: MemoryStore;
  readonly #timers: TimerService;
  readonly #epoch = StoreEpoch.create();

  constructor(store: MemoryStore, timers: TimerService) {
    this.#store = store;
    this.#timers = timers;
  }

  /** This client as the type that processes use. */
  get client(): PlatformClient {
    return this as unknown as PlatformClient;
  }

  /** Latest epoch that an answer has stated. */
  get epoch(): number {
    return this.#epoch.current;
  }

  /** Calls the listener once for each new epoch. */
  subscribeRestored(listener: StoreRestoredListener): Disposable {
    return this.#epoch.subscribe(listener);
  }

  /** Answers a call that returns nothing. */
  answer(): void {
    this.#epoch.observe(this.#store.epoch);
  }

  /** Gets an object. */
  get(object: ObjectName): Promise<StoredObject | undefined> {
    this.answer();
    const row = this.#store.rows.get(getPath(object));
    if (row === undefined) return Promise.resolve(undefined);
    return Promise.resolve({
      position: { epoch: this.#store.epoch, revision: row.revision },
      value: row.value,
    });
  }

  /** Lists the objects of a kind. */
  list(kind: string): Promise<{ name: string; position: StorePosition }[]> {
    this.answer();
    const { epoch, rows } = this.#store;
    return Promise.resolve(
      [...rows].filter(([path]) => path.startsWith(`${kind}/`)).map((
        [path, { revision }],
      ) => ({
        name: path.slice(kind.length + 1),
        position: { epoch, revision },
      })),
    );
  }

  /** Writes an object if the condition holds. */
  put(
    object: ObjectName,
    options: { value: string; condition: WriteCondition },
  ): Promise<StorePosition> {
    this.answer();
    const { condition, value } = options;
    const { epoch, rows } = this.#store;
    const path = getPath(object);
    const current = rows.get(path)?.revision;
    const isMet = condition === "absent"
      ? current === undefined
      : condition.position.epoch === epoch &&
        condition.position.revision === current;
    if (!isMet) {
      return Promise.reject(
        AppError.create("versionConflict", "Another version"),
      );
    }
    this.#store.revision += 1;
    const { revision } = this.#store;
    rows.set(path, { revision, value });
    return Promise.resolve({ epoch, revision });
  }

  /** Waits a short time for a later object than at a position. */
  async watch(
    object: ObjectName,
    options: { after: StorePosition },
  ): Promise<StoredObject | undefined> {
    const { after } = options;
    if (after.epoch === this.#store.epoch) {
      await wait(this.#timers, watchStepMs);
    }
    const stored = await this.get(object);
    const isNew = stored !== undefined &&
      isLaterPosition(stored.position, after);
    return isNew ? stored : undefined;
  }
}

function getPath({ kind, name }: ObjectName): string {
  return `${kind}/${name}`;
}
