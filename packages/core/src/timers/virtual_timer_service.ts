import type {
  TimerHandler,
  TimerService,
  TimerSubscription,
} from "./timer_service.ts";

type Entry = {
  dueMs: number;
  order: number;
  periodMs: number | undefined;
  handler: TimerHandler;
};

/**
 * Virtual time for tests and measurements. Time moves only by `advance` and
 * `advanceToNext`.
 */
export class VirtualTimerService implements TimerService {
  #nowMs: number;
  #suspendedMs = 0;
  #order = 0;
  #entries = new Set<Entry>();

  private constructor(startMs: number) {
    this.#nowMs = startMs;
  }

  /** Creates a service whose clock starts at `startMs`. */
  static create(startMs = 0): VirtualTimerService {
    return new VirtualTimerService(startMs);
  }

  nowMs(): number {
    return this.#nowMs;
  }

  wallMs(): number {
    return this.#nowMs + this.#suspendedMs;
  }

  /** Moves only the time of day, as while a host is suspended. */
  suspend(durationMs: number): void {
    this.#suspendedMs += durationMs;
  }

  subscribe(periodMs: number, handler: TimerHandler): TimerSubscription {
    return this.#add(periodMs, periodMs, handler);
  }

  schedule(delayMs: number, handler: TimerHandler): TimerSubscription {
    return this.#add(delayMs, undefined, handler);
  }

  /** Moves time forward and calls each handler that falls due, in order. */
  advance(durationMs: number): void {
    const endMs = this.#nowMs + durationMs;
    let entry = this.#getNext(endMs);
    while (entry !== undefined) {
      this.#nowMs = entry.dueMs;
      this.#run(entry);
      entry = this.#getNext(endMs);
    }
    this.#nowMs = endMs;
  }

  /**
   * Moves time to the next timer that falls due and calls its handler.
   *
   * @returns false when none is due by `endMs`; time then moves to `endMs`.
   */
  advanceToNext(endMs: number): boolean {
    const entry = this.#getNext(endMs);
    if (entry === undefined) {
      this.#nowMs = Math.max(this.#nowMs, endMs);
      return false;
    }
    this.#nowMs = entry.dueMs;
    this.#run(entry);
    return true;
  }

  #add(
    delayMs: number,
    periodMs: number | undefined,
    handler: TimerHandler,
  ): TimerSubscription {
    const dueMs = this.#nowMs + Math.max(0, delayMs);
    const entry: Entry = { dueMs, order: this.#order++, periodMs, handler };
    this.#entries.add(entry);
    return { [Symbol.dispose]: () => this.#entries.delete(entry) };
  }

  #getNext(endMs: number): Entry | undefined {
    let next: Entry | undefined;
    for (const entry of this.#entries) {
      if (entry.dueMs > endMs) continue;
      if (next === undefined || isBefore(entry, next)) next = entry;
    }
    return next;
  }

  #run(entry: Entry): void {
    if (entry.periodMs === undefined) this.#entries.delete(entry);
    else entry.dueMs += entry.periodMs;
    entry.order = this.#order++;
    entry.handler(this.#nowMs);
  }
}

function isBefore(left: Entry, right: Entry): boolean {
  if (left.dueMs !== right.dueMs) return left.dueMs < right.dueMs;
  return left.order < right.order;
}
