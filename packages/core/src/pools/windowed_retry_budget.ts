/** Limits on the retries that all routers together may send to a service. */
export type RetryLimits = {
  /** Allowed retries per request within the window. */
  ratio: number;
  /** Additional retries per window, divided equally among the routers. */
  slack: number;
  windowMs: number;
};

/** Options of a budget. */
export type WindowedRetryBudgetOptions = RetryLimits & {
  /**
   * Start of this router's process. In the window after it, the router that it
   * replaces may have used its share already.
   */
  startedAtMs: number;
};

/** Requests and retries counted in one slice of the window. */
type Slice = { startMs: number; requests: number; retries: number };

/**
 * This router's share of the retry budget of one service, which limits retries
 * to a ratio of the requests in a sliding window plus a fixed number. Counts in
 * slices of the window, so that every span of the window's length stays within
 * the budget. (`RetryBudget` of `core/retries` is a token budget instead.)
 */
export class WindowedRetryBudget {
  #limits: RetryLimits;
  readonly #startedAtMs: number;
  #slices: Slice[] = [];

  private constructor(options: WindowedRetryBudgetOptions) {
    this.#limits = options;
    this.#startedAtMs = options.startedAtMs;
  }

  /** Creates a budget without recorded requests or retries. */
  static create(options: WindowedRetryBudgetOptions): WindowedRetryBudget {
    return new WindowedRetryBudget(options);
  }

  /** Sets new limits; what was counted within the window still counts. */
  setLimits(limits: RetryLimits): void {
    this.#limits = limits;
  }

  /** Records the first attempt of a request. */
  recordRequest(nowMs: number): void {
    this.#getSlice(nowMs).requests += 1;
  }

  /**
   * Takes a retry from the budget if this router's share allows it.
   *
   * @param routers number of routers that share the budget; undefined while it
   * is not known.
   * @returns whether the retry is allowed.
   */
  tryTake(nowMs: number, routers: number | undefined): boolean {
    const slice = this.#getSlice(nowMs);
    const { limit, retries } = this.#getUse(nowMs, routers);
    if (retries + 1 > limit) return false;
    slice.retries += 1;
    return true;
  }

  /** Checks whether at least half of this router's share is left. */
  hasHalfLeft(nowMs: number, routers: number | undefined): boolean {
    const { limit, retries } = this.#getUse(nowMs, routers);
    return retries <= limit / 2;
  }

  /** Gets the retries in the window and how many are allowed. */
  #getUse(
    nowMs: number,
    routers: number | undefined,
  ): { retries: number; limit: number } {
    this.#getSlice(nowMs);
    let requests = 0;
    let retries = 0;
    for (const each of this.#slices) {
      requests += each.requests;
      retries += each.retries;
    }
    const { ratio, slack, windowMs } = this.#limits;
    const hasStarted = nowMs - this.#startedAtMs < windowMs;
    const share = hasStarted || routers === undefined
      ? startShare
      : usableShare;
    const limit = share *
      (ratio * requests + slack / Math.max(1, routers ?? assumedRouters));
    return { retries, limit };
  }

  #getSlice(nowMs: number): Slice {
    const { windowMs } = this.#limits;
    const widthMs = windowMs / slicesPerWindow;
    const startMs = Math.floor(nowMs / widthMs) * widthMs;
    const last = this.#slices.at(-1);
    if (last?.startMs === startMs) return last;
    this.#slices = this.#slices.filter((slice) =>
      slice.startMs > nowMs - windowMs - widthMs
    );
    const slice = { startMs, requests: 0, retries: 0 };
    this.#slices.push(slice);
    return slice;
  }
}

/** Number of slices into which the window is divided. */
const slicesPerWindow = 10;

/**
 * Share of the budget that is used. The rest is a margin, since the number of
 * routers may change before this router detects it.
 */
const usableShare = 0.75;

/** Share that is used in the window after a start: what is left of it. */
const startShare = 1 - usableShare;

/** Number of routers that is assumed while it is not known. */
const assumedRouters = 8;
