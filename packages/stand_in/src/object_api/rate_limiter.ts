/** Rate limits of reads and writes. */
export type CallRates = { readsPerSecond: number; writesPerSecond: number };

/** Number of calls accepted and refused, and bytes, since the start. */
export type CallCounts = {
  reads: number;
  writes: number;
  limited: number;
  readBytes: number;
  writtenBytes: number;
};

type Bucket = { tokens: number; atMs: number };

const msPerSecond = 1000;

/** Limits reads and writes with token buckets of one second's capacity. */
export class RateLimiter {
  readonly counts: CallCounts = {
    reads: 0,
    writes: 0,
    limited: 0,
    readBytes: 0,
    writtenBytes: 0,
  };
  readonly #rates: CallRates;
  readonly #buckets = new Map<"read" | "write", Bucket>();

  private constructor(rates: CallRates) {
    this.#rates = rates;
  }

  /** Creates a rate limiter with full buckets. */
  static create(rates: CallRates): RateLimiter {
    return new RateLimiter(rates);
  }

  /** Counts one call; returns whether it is within the rate limit. */
  tryTake(kind: "read" | "write", nowMs: number): boolean {
    const { readsPerSecond, writesPerSecond } = this.#rates;
    const rate = kind === "read" ? readsPerSecond : writesPerSecond;
    const bucket = this.#buckets.get(kind) ?? { tokens: rate, atMs: nowMs };
    const elapsedMs = nowMs - bucket.atMs;
    const refill = elapsedMs === 0 ? 0 : elapsedMs / msPerSecond * rate;
    const tokens = Math.min(rate, bucket.tokens + refill);
    const isAccepted = tokens >= 1;
    this.#buckets.set(kind, {
      tokens: isAccepted ? tokens - 1 : tokens,
      atMs: nowMs,
    });
    if (!isAccepted) this.counts.limited += 1;
    else if (kind === "read") this.counts.reads += 1;
    else this.counts.writes += 1;
    return isAccepted;
  }
}
