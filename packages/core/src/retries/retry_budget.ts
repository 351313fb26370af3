/** Refill ratio and capacity of a retry budget. */
export type RetryBudgetOptions = {
  /** Tokens added by each first attempt; a retry costs one token. */
  ratio: number;
  /** Capacity in tokens. */
  maximumTokens?: number;
};

const defaultMaximumTokens = 10;

/**
 * Token bucket that limits retries to a share of the traffic of one pool, so
 * that retries do not multiply the load of a failing pool. Each first attempt
 * adds a fraction of a token; each retry takes one.
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

  /** Number of tokens left; each allows one retry. */
  get tokens(): number {
    return this.#tokens;
  }

  /** Whether at least half of the capacity is left. */
  get hasHalfLeft(): boolean {
    return this.#tokens >= this.#maximumTokens / 2;
  }

  /** Records a first attempt. */
  recordAttempt(): void {
    this.#tokens = Math.min(this.#maximumTokens, this.#tokens + this.#ratio);
  }

  /** Takes a token for a retry; returns false when the budget is spent. */
  tryTake(): boolean {
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}
