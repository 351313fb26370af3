import { AppError, assertInvariant } from "../results/mod.ts";

/**
 * Protects one runner from orders that were issued under an older lease.
 * Rejects all orders until the highest fencing number has been observed.
 */
export class FencingGuard {
  #highest: number | undefined;

  private constructor() {}

  /** Creates an uninitialized guard. */
  static create(): FencingGuard {
    return new FencingGuard();
  }

  /** Whether a fencing number has been observed since the start. */
  get isInitialized(): boolean {
    return this.#highest !== undefined;
  }

  /** Highest fencing number observed; 0 before the first. */
  get highest(): number {
    return this.#highest ?? 0;
  }

  /** Observes the number of the platform or the runner. */
  observe(fencingNumber: number): void {
    this.#raise(Math.max(fencingNumber, this.highest));
  }

  /**
   * Admits an order whose number is not below the highest.
   *
   * @throws AppError `staleFencingNumber` for a lower number, and
   * `platformUnavailable` before the first number is observed; `executed` is
   * `no`.
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
