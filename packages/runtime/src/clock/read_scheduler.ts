/** Options of a scheduler. */
export type ReadSchedulerOptions = {
  /** Work in a turn of the event loop after which more is put off. */
  turnCost: number;
  /** Calls a handler in the next turn, after sockets were read. */
  onNextTurn: (handler: () => void) => void;
};

/**
 * Bounds the work for received bytes in a turn of the event loop. What exceeds
 * it waits for a later turn, in order, so that peers that send as fast as they
 * are read delay each other but nothing else.
 */
export class ReadScheduler {
  readonly #options: ReadSchedulerOptions;
  #waiting: (() => void)[] = [];
  #spentCost = 0;
  #isTurnAwaited = false;

  private constructor(options: ReadSchedulerOptions) {
    this.#options = options;
  }

  /** Creates a scheduler; by default for the turns of this process. */
  static create(options: Partial<ReadSchedulerOptions> = {}): ReadScheduler {
    return new ReadScheduler({
      turnCost: defaultTurnCost,
      onNextTurn: (handler) => void setImmediate(handler),
      ...options,
    });
  }

  /** Whether received bytes may be handled now instead of being put off. */
  get hasCapacity(): boolean {
    return this.#waiting.length === 0 &&
      this.#spentCost < this.#options.turnCost;
  }

  /** Records work that was done in this turn; see `getReadCost`. */
  recordWork(cost: number): void {
    this.#spentCost += cost;
    // Turns need not be told apart while little is done.
    if (this.#spentCost * 2 >= this.#options.turnCost) this.#awaitTurn();
  }

  /**
   * Does work in a later turn, after what was put off before. The work records
   * its cost.
   */
  defer(read: () => void): void {
    this.#waiting.push(read);
    this.#awaitTurn();
  }

  #awaitTurn(): void {
    if (this.#isTurnAwaited) return;
    this.#isTurnAwaited = true;
    this.#options.onNextTurn(() => this.#beginTurn());
  }

  #beginTurn(): void {
    this.#isTurnAwaited = false;
    this.#spentCost = 0;
    const waiting = this.#waiting;
    this.#waiting = [];
    let done = 0;
    try {
      while (
        done < waiting.length && this.#spentCost < this.#options.turnCost
      ) {
        const read = waiting[done];
        done += 1;
        read();
      }
    } finally {
      this.#waiting = [...waiting.slice(done), ...this.#waiting];
      if (this.#waiting.length > 0) this.#awaitTurn();
    }
  }
}

/**
 * Computes the cost of bytes that arrived in pieces: each piece costs as much as
 * some tens of bytes.
 */
export function getReadCost(bytes: number, pieces: number): number {
  return bytes + pieceCost * pieces;
}

/** Cost of a piece, in bytes. */
const pieceCost = 64;

/** Cost of a turn: what has arrived in a stall of some seconds, in usual pieces. */
const defaultTurnCost = 1024 * 1024;
