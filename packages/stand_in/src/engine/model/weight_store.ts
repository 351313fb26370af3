/** Bandwidth of a weight store, shared by all readers. */
export type WeightStoreOptions = { bytesPerSecond: number };

const msPerSecond = 1000;

/** Store of model weights: a limited rate, one transfer after another. */
export class WeightStore {
  readonly #options: WeightStoreOptions;
  #busyUntilMs = 0;

  private constructor(options: WeightStoreOptions) {
    this.#options = options;
  }

  /** Creates an idle store. */
  static create(options: WeightStoreOptions): WeightStore {
    return new WeightStore(options);
  }

  /** Queues a transfer and returns the time at which it ends. */
  beginTransfer(bytes: number, nowMs: number): number {
    const durationMs = bytes / this.#options.bytesPerSecond * msPerSecond;
    this.#busyUntilMs = Math.max(this.#busyUntilMs, nowMs) + durationMs;
    return this.#busyUntilMs;
  }
}
