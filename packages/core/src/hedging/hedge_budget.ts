/** The operator's limit on hedges. */
export type HedgeShare = {
  /** Allowed hedges per request of the service within the window, 0 to 1. */
  maxShare: number;
  windowMs: number;
};

/** Requests and hedges counted in one slice of the window. */
type Slice = { startMs: number; requests: number; hedges: number };

/** What a budget counted in the window that ends now. */
export type HedgeUse = { requests: number; hedges: number };

/**
 * Limits the hedges of one service to a share of the requests that this router
 * sent there in a sliding window. Every router keeps to the share of its own
 * requests, so all of them together keep to it whatever their number, and a
 * restarted one begins without hedges.
 */
export class HedgeBudget {
  #share: HedgeShare;
  #slices: Slice[] = [];

  private constructor(share: HedgeShare) {
    this.#share = share;
  }

  /** Creates a budget without recorded requests or hedges. */
  static create(share: HedgeShare): HedgeBudget {
    return new HedgeBudget(share);
  }

  /** Sets a new limit; what was counted within the window still counts. */
  setShare(share: HedgeShare): void {
    this.#share = share;
  }

  /** Records the first attempt of a request. */
  recordRequest(nowMs: number): void {
    this.#getSlice(nowMs).requests += 1;
  }

  /** Records a hedge that was sent. */
  recordHedge(nowMs: number): void {
    this.#getSlice(nowMs).hedges += 1;
  }

  /** Checks whether one more hedge is within the limit. */
  hasLeft(nowMs: number): boolean {
    const { hedges, requests } = this.getUse(nowMs);
    return hedges + 1 <= this.#share.maxShare * requests;
  }

  /**
   * Gets what counts against the limit. Of the slice in which the window begins,
   * only the hedges count.
   */
  getUse(nowMs: number): HedgeUse {
    const windowStartMs = nowMs - this.#share.windowMs;
    const use = { requests: 0, hedges: 0 };
    for (const { hedges, requests, startMs } of this.#slices) {
      if (startMs >= windowStartMs) use.requests += requests;
      if (startMs + this.#widthMs > windowStartMs) use.hedges += hedges;
    }
    return use;
  }

  get #widthMs(): number {
    return this.#share.windowMs / slicesPerWindow;
  }

  #getSlice(nowMs: number): Slice {
    const startMs = Math.floor(nowMs / this.#widthMs) * this.#widthMs;
    const last = this.#slices.at(-1);
    if (last !== undefined && last.startMs >= startMs) return last;
    const oldestMs = nowMs - this.#share.windowMs - this.#widthMs;
    this.#slices = this.#slices.filter((slice) => slice.startMs >= oldestMs);
    const slice = { startMs, requests: 0, hedges: 0 };
    this.#slices.push(slice);
    return slice;
  }
}

/** Number of slices into which the window is divided. */
const slicesPerWindow = 20;
