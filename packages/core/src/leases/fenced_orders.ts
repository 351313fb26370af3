import PQueue from "p-queue";
import { FencingGuard } from "./fencing.ts";
import { getFencingFloor } from "./fencing_number.ts";

/** Options of `FencedOrders`. */
export type FencedOrdersOptions = {
  /** Fetches the highest fencing number from the platform or the runner. */
  fetchHighest: () => Promise<number>;
};

/**
 * Runs the orders to one runner sequentially, so that a runner that ignores
 * fencing numbers never receives an older order after a newer one.
 */
export class FencedOrders {
  readonly #guard = FencingGuard.create();
  readonly #queue = new PQueue({ concurrency: 1 });
  readonly #options: FencedOrdersOptions;

  private constructor(options: FencedOrdersOptions) {
    this.#options = options;
  }

  /** Creates an instance that fetches the number at the first order. */
  static create(options: FencedOrdersOptions): FencedOrders {
    return new FencedOrders(options);
  }

  /** Highest fencing number observed; 0 before the first. */
  get highest(): number {
    return this.#guard.highest;
  }

  /**
   * Observes that the store is in an epoch: orders of earlier ones are refused
   * from now on.
   */
  observeStoreEpoch(storeEpoch: number): void {
    // Otherwise the number that is fetched first is of this epoch.
    if (!this.#guard.isInitialized) return;
    this.#guard.observe(getFencingFloor(storeEpoch));
  }

  /**
   * Runs an order after the earlier ones have ended.
   *
   * @throws AppError `staleFencingNumber` for a number below the highest, or
   * the error of `fetchHighest`; the order is not run in either case.
   */
  run<Result>(
    fencingNumber: number,
    task: () => Promise<Result>,
  ): Promise<Result> {
    return this.#queue.add(async () => {
      if (!this.#guard.isInitialized) {
        this.#guard.observe(await this.#options.fetchHighest());
      }
      this.#guard.admit(fencingNumber);
      return await task();
    });
  }
}
