/** When a circuit breaker opens and when it allows a probe. */
export type CircuitBreakerOptions = {
  /** Share of failed attempts in the window at which the circuit opens. */
  failureRatio: number;
  /** Fewest attempts in the window with which the circuit may open. */
  minimumAttempts: number;
  /** Time over which attempts are counted. */
  windowMs: number;
  /** Time after which an open circuit becomes half-open. */
  openMs: number;
};

/** Default options, suitable for pools of any size. */
export const defaultCircuitBreakerOptions: CircuitBreakerOptions = {
  failureRatio: 0.9,
  minimumAttempts: 20,
  windowMs: 5000,
  openMs: 1000,
};

/** State of a circuit; `half-open` admits one attempt (a probe) at a time. */
export type CircuitState = "closed" | "open" | "half-open";

type Bucket = { startMs: number; attempts: number; failures: number };

/** Number of buckets that make up the sliding window. */
const bucketsPerWindow = 5;

/**
 * Stops attempts at a pool while almost all of them fail, so that callers get a
 * retry delay at once instead of waiting until their deadlines.
 */
export class CircuitBreaker {
  readonly #options: CircuitBreakerOptions;
  #buckets: Bucket[] = [];
  #openedAtMs: number | undefined;
  #isProbing = false;

  private constructor(options: CircuitBreakerOptions) {
    this.#options = options;
  }

  /** Creates a closed circuit. */
  static create(
    options: CircuitBreakerOptions = defaultCircuitBreakerOptions,
  ): CircuitBreaker {
    return new CircuitBreaker(options);
  }

  /** Gets the state at a time. */
  getState(nowMs: number): CircuitState {
    if (this.#openedAtMs === undefined) return "closed";
    const isDue = nowMs - this.#openedAtMs >= this.#options.openMs;
    return isDue ? "half-open" : "open";
  }

  /** Admits an attempt if the state allows it; returns whether it does. */
  tryAdmit(nowMs: number): boolean {
    const state = this.getState(nowMs);
    if (state === "closed") return true;
    if (state === "open" || this.#isProbing) return false;
    this.#isProbing = true;
    return true;
  }

  /** Gets the milliseconds until the next probe may be sent. */
  getRetryAfterMs(nowMs: number): number {
    if (this.#openedAtMs === undefined) return 0;
    return Math.max(1, this.#openedAtMs + this.#options.openMs - nowMs);
  }

  /** Records how an attempt ended. */
  record(outcome: "succeeded" | "failed", nowMs: number): void {
    if (this.#openedAtMs !== undefined) {
      this.#recordProbe(outcome, nowMs);
      return;
    }
    const bucket = this.#getBucket(nowMs);
    bucket.attempts += 1;
    if (outcome === "failed") bucket.failures += 1;
    if (this.#isFailing(nowMs)) this.#open(nowMs);
  }

  /** Records that an admitted attempt ended without indicating pool health. */
  release(): void {
    this.#isProbing = false;
  }

  #recordProbe(outcome: "succeeded" | "failed", nowMs: number): void {
    this.#isProbing = false;
    if (outcome === "succeeded") {
      this.#openedAtMs = undefined;
      this.#buckets = [];
    } else this.#openedAtMs = nowMs;
  }

  #open(nowMs: number): void {
    this.#openedAtMs = nowMs;
    this.#isProbing = false;
    this.#buckets = [];
  }

  #isFailing(nowMs: number): boolean {
    const { failureRatio, minimumAttempts, windowMs } = this.#options;
    this.#buckets = this.#buckets.filter((bucket) =>
      bucket.startMs > nowMs - windowMs
    );
    let attempts = 0;
    let failures = 0;
    for (const bucket of this.#buckets) {
      attempts += bucket.attempts;
      failures += bucket.failures;
    }
    return attempts >= minimumAttempts && failures >= failureRatio * attempts;
  }

  #getBucket(nowMs: number): Bucket {
    const widthMs = this.#options.windowMs / bucketsPerWindow;
    const startMs = Math.floor(nowMs / widthMs) * widthMs;
    const last = this.#buckets.at(-1);
    if (last !== undefined && last.startMs === startMs) return last;
    const bucket = { startMs, attempts: 0, failures: 0 };
    this.#buckets.push(bucket);
    return bucket;
  }
}
