import { isLaterPosition, type StorePosition } from "@jasminetide/core/store";
import type { ObjectChange } from "./object_source.ts";

type LoggedChange<Value> = {
  change: ObjectChange<Value>;
  position: StorePosition;
};

/** Recent changes of the objects of one kind, for processes that lag behind. */
export class ChangeLog<Value> {
  #start: StorePosition | undefined;
  #changes: LoggedChange<Value>[] = [];

  private constructor() {}

  /** Creates a log that starts nowhere. */
  static create<Value>(): ChangeLog<Value> {
    return new ChangeLog();
  }

  /** Drops all changes; the log then starts at a position. */
  restart(position: StorePosition): void {
    this.#start = position;
    this.#changes = [];
  }

  /** Appends the changes that lead to a position. */
  append(
    changes: readonly ObjectChange<Value>[],
    position: StorePosition,
  ): void {
    for (const change of changes) this.#changes.push({ change, position });
    const excess = this.#changes.length - maxChanges;
    if (excess <= 0) return;
    this.#start = this.#changes[excess - 1].position;
    this.#changes.splice(0, excess);
  }

  /** Selects the changes after a position; undefined if some are missing. */
  select(since: StorePosition): ObjectChange<Value>[] | undefined {
    const start = this.#start;
    if (start === undefined || start.epoch !== since.epoch) return undefined;
    if (isLaterPosition(start, since)) return undefined;
    return this.#changes
      .filter(({ position }) => isLaterPosition(position, since))
      .map(({ change }) => change);
  }
}

/** Changes that are kept; more are made in a second only by a whole fleet. */
const maxChanges = 1000;
