import PQueue from "p-queue";

/** Purpose of a write; those of money calls run before all others. */
export type WritePurpose = "money" | "other";

/** Rate limit of a process. */
export type WriteLimiterOptions = { writesPerSecond: number };

const intervalMs = 100;

const priorities: { [purpose in WritePurpose]: number } = {
  money: 1,
  other: 0,
};

/** Keeps the writes of a process within its share of the platform's rate. */
export class WriteLimiter {
  readonly #queue: PQueue;

  private constructor(options: WriteLimiterOptions) {
    this.#queue = new PQueue({
      interval: intervalMs,
      intervalCap: Math.max(
        1,
        Math.round(options.writesPerSecond * intervalMs / 1000),
      ),
    });
  }

  /** Creates a limiter that has not counted any writes. */
  static create(options: WriteLimiterOptions): WriteLimiter {
    return new WriteLimiter(options);
  }

  /** Number of waiting writes. */
  get queueLength(): number {
    return this.#queue.size;
  }

  /** Runs a write as soon as the rate and the writes before it permit. */
  run<Result>(
    write: () => Promise<Result>,
    purpose: WritePurpose,
  ): Promise<Result> {
    return this.#queue.add(write, { priority: priorities[purpose] });
  }
}
