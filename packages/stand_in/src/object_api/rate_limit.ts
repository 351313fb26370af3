/** Calls that a platform takes in a second, by kind. */
export type CallRates = { readsPerSecond: number; writesPerSecond: number };

/** Calls taken and refused since the start. */
export type CallCounts = {
  reads: number;
  writes: number;
  limited: number;
  readBytes: number;
  writtenBytes: number;
};

type Bucket = { tokens: number; atMs: number };

const msPerSecond = 1000;

/** Limits reads and writes by token buckets that hold one second's calls. */
export class RateLimit {
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

  /** Creates a limit with full buckets. */
  static create(rates: CallRates): RateLimit {
    return new RateLimit(rates);
  }

  /** Takes one call; says whether there was room for it. */
  tryTake(kind: "read" | "write", nowMs: number): boolean {
    const { readsPerSecond, writesPerSecond } = this.#rates;
    const rate = kind === "read" ? readsPerSecond : writesPerSecond;
    const bucket = this.#buckets.get(kind) ?? { tokens: rate, atMs: nowMs };
    const elapsedMs = nowMs - bucket.atMs;
    const earned = elapsedMs === 0 ? 0 : elapsedMs / msPerSecond * rate;
    const tokens = Math.min(rate, bucket.tokens + earned);
    const isTaken = tokens >= 1;
    this.#buckets.set(kind, {
      tokens: isTaken ? tokens - 1 : tokens,
      atMs: nowMs,
    });
    if (!isTaken) this.counts.limited += 1;
    else if (kind === "read") this.counts.reads += 1;
    else this.counts.writes += 1;
    return isTaken;
  }
}
