import TinyQueue from "tinyqueue";

type Event = { atMs: number; order: number; run: (nowMs: number) => void };

/**
 * Event queue of one experiment in virtual time. Events of the same time run in
 * the order in which they were scheduled.
 */
export class EventQueue {
  readonly #events = new TinyQueue<Event>([], compareEvents);
  #order = 0;
  #nowMs = 0;

  private constructor() {}

  /** Creates an empty queue with its clock at 0. */
  static create(): EventQueue {
    return new EventQueue();
  }

  get nowMs(): number {
    return this.#nowMs;
  }

  /** Schedules a call at a time, or at the present time if it has passed. */
  schedule(atMs: number, run: (nowMs: number) => void): void {
    this.#events.push({
      atMs: Math.max(atMs, this.#nowMs),
      order: this.#order++,
      run,
    });
  }

  /** Schedules a call each period, the first after one period. */
  subscribe(periodMs: number, run: (nowMs: number) => void): void {
    this.schedule(this.#nowMs + periodMs, (nowMs) => {
      run(nowMs);
      this.subscribe(periodMs, run);
    });
  }

  /** Runs all events up to a time and advances the clock to it. */
  advance(endMs: number): void {
    while ((this.#events.peek()?.atMs ?? Infinity) <= endMs) {
      const event = this.#events.pop();
      if (event === undefined) return;
      this.#nowMs = event.atMs;
      event.run(event.atMs);
    }
    this.#nowMs = endMs;
  }
}

function compareEvents(left: Event, right: Event): number {
  return left.atMs === right.atMs
    ? left.order - right.order
    : left.atMs - right.atMs;
}
