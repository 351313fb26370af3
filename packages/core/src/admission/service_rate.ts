/** Weight of a new sample in the moving average. */
const sampleWeight = 0.1;

/** Time that a token of estimated cost takes in one slot, averaged. */
export class ServiceRate {
  #msPerToken: number | undefined;

  private constructor() {}

  /** Creates a rate without a sample. */
  static create(): ServiceRate {
    return new ServiceRate();
  }

  /** Takes in a completed task. */
  observe(durationMs: number, costTokens: number): void {
    const sample = durationMs / Math.max(1, costTokens);
    this.#msPerToken = this.#msPerToken === undefined
      ? sample
      : this.#msPerToken + sampleWeight * (sample - this.#msPerToken);
  }

  /** Gets the time that work takes in one slot; 0 before the first sample. */
  getDurationMs(tokens: number): number {
    return (this.#msPerToken ?? 0) * tokens;
  }
}
