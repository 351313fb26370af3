import PQueue from "p-queue";
import { FencingGuard } from "./fencing.ts";

/** How the highest fencing number is learned after a start. */
export type FencedOrdersOptions = {
  /** Gets the number from the platform or the runner. */
  learn: () => Promise<number>;
};

/**
 * Carries out the orders to one runner one after another, so that no older
 * order overtakes a newer one on its way to a runner that ignores the number.
 */
export class FencedOrders {
  readonly #guard = FencingGuard.create();
  readonly #queue = new PQueue({ concurrency: 1 });
  readonly #options: FencedOrdersOptions;

  private constructor(options: FencedOrdersOptions) {
    this.#options = options;
  }

  /** Creates a gate that has learned nothing yet. */
  static create(options: FencedOrdersOptions): FencedOrders {
    return new FencedOrders(options);
  }

  /** Highest fencing number seen, 0 before any. */
  get highest(): number {
    return this.#guard.highest;
  }

  /**
   * Carries out an order.
   *
   * @throws AppError `staleFencingNumber` for an older number, or what learning
   * the number threw; the order is not carried out then.
   */
  run<Result>(
    fencingNumber: number,
    task: () => Promise<Result>,
  ): Promise<Result> {
    return this.#queue.add(async () => {
      if (!this.#guard.isLearned) {
        this.#guard.learn(await this.#options.learn());
      }
      this.#guard.admit(fencingNumber);
      return await task();
    });
  }
}
