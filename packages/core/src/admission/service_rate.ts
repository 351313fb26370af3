/** Weight of a new sample in the moving averages. */
const sampleWeight = 0.1;

/** Mean deviations that a cautious estimate adds to the mean. */
const cautionDeviations = 4;

/**
 * Time that a token of estimated cost takes in one slot: moving averages of
 * mean and deviation, as TCP estimates round-trip times (RFC 6298).
 */
export class ServiceRate {
  #msPerToken: number | undefined;
  #deviation = 0;

  private constructor() {}

  /** Creates a rate without a sample. */
  static create(): ServiceRate {
    return new ServiceRate();
  }

  /** Takes in a completed task. */
  observe(durationMs: number, costTokens: number): void {
    const sample = durationMs / Math.max(1, costTokens);
    const error = sample - (this.#msPerToken ?? sample);
    this.#msPerToken = sample - (1 - sampleWeight) * error;
    this.#deviation += sampleWeight * (Math.abs(error) - this.#deviation);
  }

  /** Gets the mean time of work in one slot; 0 before the first sample. */
  getDurationMs(tokens: number): number {
    return (this.#msPerToken ?? 0) * tokens;
  }

  /** Gets a time that most work of this size does not exceed. */
  getCautiousDurationMs(tokens: number): number {
    const perToken = (this.#msPerToken ?? 0) +
      cautionDeviations * this.#deviation;
    return perToken * tokens;
  }
}
