/** Time in which a sound runner sends nothing. */
export class SilentPeriod {
  #ended: Promise<void> = Promise.resolve();
  #end: (() => void) | undefined;

  private constructor() {}

  /** Creates a period that has not begun. */
  static create(): SilentPeriod {
    return new SilentPeriod();
  }

  /** Settles when the period is over; at once while there is none. */
  get ended(): Promise<void> {
    return this.#ended;
  }

  /** Begins a period, unless one has begun. */
  begin(): void {
    if (this.#end !== undefined) return;
    this.#ended = new Promise((resolve) => {
      this.#end = resolve;
    });
  }

  /** Ends the period. */
  end(): void {
    this.#end?.();
    this.#end = undefined;
  }
}
