/** Counts events, and limits those in any span of a second. */
export class SlidingWindow {
  /** Times of the events of the last second, the earliest first. */
  #timesMs: number[] = [];

  private constructor() {}

  /** Creates a window without events. */
  static create(): SlidingWindow {
    return new SlidingWindow();
  }

  /** Records an event. */
  record(nowMs: number): void {
    this.#drop(nowMs);
    this.#timesMs.push(nowMs);
  }

  /** Removes an event, unless it is out of the window. */
  remove(timeMs: number): void {
    const index = this.#timesMs.lastIndexOf(timeMs);
    if (index >= 0) this.#timesMs.splice(index, 1);
  }

  /**
   * Gets the time until one more event keeps each span within the limit.
   *
   * @param limit events in a second; infinitely long to wait if it is 0.
   */
  getWaitMs(limit: number, nowMs: number): number {
    this.#drop(nowMs);
    if (limit < 1) return Number.POSITIVE_INFINITY;
    const excess = this.#timesMs.length - limit;
    if (excess < 0) return 0;
    return this.#timesMs[excess] + windowMs - nowMs;
  }

  #drop(nowMs: number): void {
    const first = this.#timesMs.findIndex((timeMs) =>
      timeMs > nowMs - windowMs
    );
    if (first < 0) this.#timesMs = [];
    else if (first > 0) this.#timesMs.splice(0, first);
  }
}

const windowMs = 1000;
