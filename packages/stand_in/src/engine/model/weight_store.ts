/** Rate at which the store gives out weights, shared by all readers. */
export type WeightStoreOptions = { bytesPerSecond: number };

const msPerSecond = 1000;

/** Holds model weights and gives them out at a limited rate, in turn. */
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

  /** Begins a transfer and returns the time of its end. */
  begin(bytes: number, nowMs: number): number {
    const durationMs = bytes / this.#options.bytesPerSecond * msPerSecond;
    this.#busyUntilMs = Math.max(this.#busyUntilMs, nowMs) + durationMs;
    return this.#busyUntilMs;
  }
}
