import { AppError } from "../results/mod.ts";

/** Reports that the store was restored from a copy. */
export type StoreRestored = {
  type: "store-restored";
  /** Epoch in which the store was before, as far as this process knows. */
  before: number;
  epoch: number;
};

/** Called once for each new epoch. */
export type StoreRestoredListener = (event: StoreRestored) => void;

/**
 * Epoch of the store as stated by its answers. Notices a new epoch on any answer
 * and refuses answers of an earlier one that arrive late.
 */
export class StoreEpoch {
  readonly #listeners = new Set<StoreRestoredListener>();
  #current: number | undefined;

  private constructor() {}

  /** Creates an epoch that is unknown until the first answer. */
  static create(): StoreEpoch {
    return new StoreEpoch();
  }

  /** Latest epoch that an answer has stated; 0 before the first. */
  get current(): number {
    return this.#current ?? 0;
  }

  /** Whether an answer has stated an epoch. */
  get isKnown(): boolean {
    return this.#current !== undefined;
  }

  /**
   * Observes the epoch of an answer. Listeners are told of a new one, but not of
   * the first: what was read before, if anything, belongs to no epoch.
   *
   * @param stated undefined if the answer states none.
   * @returns the epoch that the answer belongs to.
   * @throws AppError `platformUnavailable` for an answer of an earlier epoch.
   */
  observe(stated: number | undefined): number {
    const before = this.#current;
    if (stated === undefined || stated === before) return this.current;
    if (before !== undefined && stated < before) {
      throw AppError.create(
        "platformUnavailable",
        `Answer is from epoch ${stated} of the store, expected ${before}`,
      );
    }
    this.#current = stated;
    if (before === undefined) return stated;
    const event = { type: "store-restored", before, epoch: stated } as const;
    for (const listener of [...this.#listeners]) listener(event);
    return stated;
  }

  /** Calls the listener on each new epoch. */
  subscribe(listener: StoreRestoredListener): Disposable {
    this.#listeners.add(listener);
    return { [Symbol.dispose]: () => void this.#listeners.delete(listener) };
  }
}

/** Parses the epoch that an answer states; undefined if there is none. */
export function parseStoreEpoch(
  value: string | string[] | undefined,
): number | undefined {
  return typeof value === "string" && /^\d{1,15}$/.test(value)
    ? Number(value)
    : undefined;
}
