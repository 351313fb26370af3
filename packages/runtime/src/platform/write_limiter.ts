import PQueue from "p-queue";

/** What a write is for; money goes before everything else. */
export type WritePurpose = "money" | "other";

/** The budget of one process. */
export type WriteLimiterOptions = { writesPerSecond: number };

const intervalMs = 100;

const priorities: { [purpose in WritePurpose]: number } = {
  money: 1,
  other: 0,
};

/** Keeps all writes of a process within its share of the platform's rate. */
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

  /** Creates a limiter whose budget is unspent. */
  static create(options: WriteLimiterOptions): WriteLimiter {
    return new WriteLimiter(options);
  }

  /** Writes that wait for their turn. */
  get waiting(): number {
    return this.#queue.size;
  }

  /** Runs a write when its turn has come. */
  run<Result>(
    write: () => Promise<Result>,
    purpose: WritePurpose,
  ): Promise<Result> {
    return this.#queue.add(write, { priority: priorities[purpose] });
  }
}
