/** How a retry budget fills and what it holds. */
export type RetryBudgetOptions = {
  /** Retries earned by each first attempt. */
  ratio: number;
  /** Most retries that can be saved up. */
  maximumTokens?: number;
};

const defaultMaximumTokens = 10;

/**
 * Bounds retries to a share of the traffic of one pool, so that a failing pool
 * is not sent a multiple of its load. Each first attempt earns a fraction of a
 * token; each retry takes one.
 */
export class RetryBudget {
  readonly #ratio: number;
  readonly #maximumTokens: number;
  #tokens: number;

  private constructor(options: RetryBudgetOptions) {
    this.#ratio = options.ratio;
    this.#maximumTokens = options.maximumTokens ?? defaultMaximumTokens;
    this.#tokens = this.#maximumTokens;
  }

  /** Creates a full budget. */
  static create(options: RetryBudgetOptions): RetryBudget {
    return new RetryBudget(options);
  }

  /** Retries that may be taken now. */
  get tokens(): number {
    return this.#tokens;
  }

  /** Records a first attempt. */
  recordAttempt(): void {
    this.#tokens = Math.min(this.#maximumTokens, this.#tokens + this.#ratio);
  }

  /** Takes a retry; false when the budget is spent. */
  tryTake(): boolean {
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}
