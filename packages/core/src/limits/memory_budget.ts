/** Options of a budget. */
export type MemoryBudgetOptions = {
  /** Memory of all holders together. */
  limitBytes: number;
};

/** Memory that one holder uses. */
export type MemoryShare = Disposable & {
  /** Sets what the holder uses now. */
  set(bytes: number): void;
  /** Keeps the share from being chosen when the budget is exceeded. */
  retain(): void;
};

type Holder = { bytes: number; evict: (() => void) | undefined };

/**
 * Limits the memory that many holders use together. When they exceed it, the
 * largest of those that may be evicted are, so that a holder of an ordinary size
 * is not affected by others that grow without end.
 */
export class MemoryBudget {
  readonly #limitBytes: number;
  readonly #holders = new Set<Holder>();
  #usedBytes = 0;

  private constructor(options: MemoryBudgetOptions) {
    this.#limitBytes = options.limitBytes;
  }

  /** Creates a budget of which nothing is used. */
  static create(options: MemoryBudgetOptions): MemoryBudget {
    return new MemoryBudget(options);
  }

  /** Memory that the holders use together. */
  get usedBytes(): number {
    return this.#usedBytes;
  }

  /**
   * Adds a holder, which uses nothing yet.
   *
   * @param onEvicted called once if the holder has to give up its memory, which
   * no longer counts then.
   */
  hold(onEvicted: () => void): MemoryShare {
    const holder: Holder = { bytes: 0, evict: onEvicted };
    return {
      set: (bytes) => this.#set(holder, bytes),
      retain: () => {
        holder.evict = undefined;
      },
      [Symbol.dispose]: () => this.#remove(holder),
    };
  }

  #set(holder: Holder, bytes: number): void {
    if (bytes > 0) this.#holders.add(holder);
    this.#usedBytes += bytes - holder.bytes;
    holder.bytes = bytes;
    while (this.#usedBytes > this.#limitBytes) {
      const largest = this.#findLargest();
      if (largest?.evict === undefined) return;
      this.#remove(largest);
      largest.evict();
    }
  }

  #remove(holder: Holder): void {
    this.#holders.delete(holder);
    this.#usedBytes -= holder.bytes;
    holder.bytes = 0;
  }

  /** Finds the largest holder that may be evicted. */
  #findLargest(): Holder | undefined {
    let largest: Holder | undefined;
    for (const holder of this.#holders) {
      if (holder.evict === undefined) continue;
      if (largest === undefined || holder.bytes > largest.bytes) {
        largest = holder;
      }
    }
    return largest;
  }
}
