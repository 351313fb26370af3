/** Weight of a new sample in the exponential moving averages. */
const sampleWeight = 0.1;

/** Number of mean deviations that a conservative estimate adds to the mean. */
const deviationFactor = 4;

/**
 * Estimates the service time of a request from its cost: moving averages of
 * the milliseconds per weighted token in one slot and of their deviation, in
 * the way TCP estimates round-trip times (RFC 6298).
 */
export class ServiceTimeEstimator {
  #msPerToken: number | undefined;
  #deviation = 0;

  private constructor() {}

  /** Creates an estimator without samples. */
  static create(): ServiceTimeEstimator {
    return new ServiceTimeEstimator();
  }

  /** Records the duration and cost of a completed task. */
  observe(durationMs: number, costTokens: number): void {
    const sample = durationMs / Math.max(1, costTokens);
    const error = sample - (this.#msPerToken ?? sample);
    this.#msPerToken = sample - (1 - sampleWeight) * error;
    this.#deviation += sampleWeight * (Math.abs(error) - this.#deviation);
  }

  /** Gets the mean duration of work in one slot; 0 before the first sample. */
  getDurationMs(tokens: number): number {
    return (this.#msPerToken ?? 0) * tokens;
  }

  /** Gets a duration that most tasks of this cost do not exceed. */
  getConservativeDurationMs(tokens: number): number {
    const perToken = (this.#msPerToken ?? 0) +
      deviationFactor * this.#deviation;
    return perToken * tokens;
  }
}
