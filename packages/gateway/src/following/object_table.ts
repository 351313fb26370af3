import type { TimerService, TimerSubscription } from "@jasminetide/core/timers";

/** Options of a table of objects. */
export type ObjectTableOptions = {
  timers: TimerService;
  /** Called when objects that were kept for a while have been removed. */
  onRemoved: () => void;
};

/**
 * The known objects of one kind. After an outage, objects that are gone from the
 * store are kept for a while, since their writers may write them again.
 */
export class ObjectTable<Value> {
  readonly #options: ObjectTableOptions;
  readonly #objects = new Map<string, Value>();
  /** Names of the objects that are kept although they are gone. */
  readonly #missing = new Set<string>();
  #keepUntilMs = 0;
  #removeTimer: TimerSubscription | undefined;

  private constructor(options: ObjectTableOptions) {
    this.#options = options;
  }

  /** Creates an empty table. */
  static create<Value>(options: ObjectTableOptions): ObjectTable<Value> {
    return new ObjectTable(options);
  }

  /** All objects, including those that are kept although they are gone. */
  get objects(): ReadonlyMap<string, Value> {
    return this.#objects;
  }

  /** Time for which objects that go missing are still kept. */
  get keepLeftMs(): number {
    return Math.max(0, this.#keepUntilMs - this.#options.timers.nowMs());
  }

  /** Lists the objects that are in the store. */
  listPresent(): { name: string; value: Value }[] {
    return [...this.#objects]
      .filter(([name]) => !this.#missing.has(name))
      .map(([name, value]) => ({ name, value }));
  }

  /** Replaces all objects. */
  replace(objects: ReadonlyMap<string, Value>): void {
    for (const name of this.#objects.keys()) {
      if (!objects.has(name)) this.apply(name, undefined);
    }
    for (const [name, value] of objects) this.apply(name, value);
  }

  /** Applies a change; the value is undefined if the object was deleted. */
  apply(name: string, value: Value | undefined): void {
    if (value !== undefined) {
      this.#missing.delete(name);
      this.#objects.set(name, value);
      return;
    }
    if (!this.#objects.has(name)) return;
    if (this.keepLeftMs > 0) this.#missing.add(name);
    else this.#objects.delete(name);
  }

  /** Keeps objects that go missing from now on for `durationMs` at least. */
  keepMissingFor(durationMs: number): void {
    const { timers } = this.#options;
    if (durationMs <= this.keepLeftMs) return;
    this.#keepUntilMs = timers.nowMs() + durationMs;
    this.#removeTimer?.[Symbol.dispose]();
    this.#removeTimer = timers.schedule(
      durationMs,
      () => this.#removeMissing(),
    );
  }

  [Symbol.dispose](): void {
    this.#removeTimer?.[Symbol.dispose]();
  }

  #removeMissing(): void {
    this.#keepUntilMs = 0;
    if (this.#missing.size === 0) return;
    for (const name of this.#missing) this.#objects.delete(name);
    this.#missing.clear();
    this.#options.onRemoved();
  }
}
