/** Bounds the repeats that all routers together may send to a service. */
export type RepeatBudgetOptions = {
  /** Repeats for each request, over the window. */
  ratio: number;
  /** Repeats beyond that, for all routers together. */
  slack: number;
  windowMs: number;
};

type Slice = { startMs: number; requests: number; repeats: number };

/**
 * This router's part of a budget of repeats for one service. Counts in slices
 * of the window, so that any span of the window's length stays below it.
 */
export class RepeatBudget {
  readonly #options: RepeatBudgetOptions;
  #slices: Slice[] = [];

  private constructor(options: RepeatBudgetOptions) {
    this.#options = options;
  }

  /** Creates an unspent budget. */
  static create(options: RepeatBudgetOptions): RepeatBudget {
    return new RepeatBudget(options);
  }

  /** Records the first send of a request. */
  recordRequest(nowMs: number): void {
    this.#getSlice(nowMs).requests += 1;
  }

  /**
   * Takes a repeat when this router's part allows it.
   *
   * @param routers how many routers share the budget.
   */
  tryTake(nowMs: number, routers: number): boolean {
    const slice = this.#getSlice(nowMs);
    let requests = 0;
    let repeats = 0;
    for (const each of this.#slices) {
      requests += each.requests;
      repeats += each.repeats;
    }
    const { ratio, slack } = this.#options;
    const limit = usedShare * (ratio * requests + slack / Math.max(1, routers));
    if (repeats + 1 > limit) return false;
    slice.repeats += 1;
    return true;
  }

  #getSlice(nowMs: number): Slice {
    const { windowMs } = this.#options;
    const widthMs = windowMs / slicesPerWindow;
    const startMs = Math.floor(nowMs / widthMs) * widthMs;
    const last = this.#slices.at(-1);
    if (last?.startMs === startMs) return last;
    this.#slices = this.#slices.filter((slice) =>
      slice.startMs > nowMs - windowMs - widthMs
    );
    const slice = { startMs, requests: 0, repeats: 0 };
    this.#slices.push(slice);
    return slice;
  }
}

const slicesPerWindow = 10;

/** Part of the budget that is used; routers may come and go unseen. */
const usedShare = 0.75;
