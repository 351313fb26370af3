import { AppError, assertInvariant } from "../results/mod.ts";

/**
 * Guards one runner against orders that were decided under an older lease.
 * Until the highest fencing number is learned, no order is taken.
 */
export class FencingGuard {
  #highest: number | undefined;

  private constructor() {}

  /** Creates a guard that has learned nothing yet. */
  static create(): FencingGuard {
    return new FencingGuard();
  }

  /** Whether the highest number was learned since the start. */
  get isLearned(): boolean {
    return this.#highest !== undefined;
  }

  /** Highest number seen; 0 before any. */
  get highest(): number {
    return this.#highest ?? 0;
  }

  /** Learns a number from the platform or the runner. */
  learn(fencingNumber: number): void {
    this.#raise(Math.max(fencingNumber, this.highest));
  }

  /**
   * Lets an order pass.
   *
   * @throws AppError `staleFencingNumber` for an older number, and
   * `platformUnavailable` before the highest was learned; `executed` is `no`.
   */
  admit(fencingNumber: number): void {
    if (this.#highest === undefined) {
      throw AppError.create(
        "platformUnavailable",
        "The highest fencing number is not known yet",
        { executed: "no" },
      );
    }
    if (fencingNumber < this.#highest) {
      throw AppError.create(
        "staleFencingNumber",
        `Order has fencing number ${fencingNumber}, expected at least ` +
          `${this.#highest}`,
      );
    }
    this.#raise(fencingNumber);
  }

  #raise(fencingNumber: number): void {
    const before = this.highest;
    this.#highest = fencingNumber;
    assertInvariant(
      fencingNumber >= before,
      "fencing-number-never-decreases",
      () => `went from ${before} to ${fencingNumber}`,
    );
  }
}
