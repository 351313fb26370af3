import {
  addScaledQuota,
  createEmptyQuota,
  getNonNegativeQuota,
  getSmallerQuota,
  type Quota,
  type QuotaRate,
} from "./quota.ts";

/** How a bucket fills up to a time. */
export type QuotaRefill = {
  rate: QuotaRate;
  /** Largest quota that accumulates. */
  burst: Quota;
  nowMs: number;
};

/** Token bucket of requests and tokens, which starts empty. */
export class QuotaBucket {
  readonly #level = createEmptyQuota();
  #updatedAtMs: number;

  private constructor(nowMs: number) {
    this.#updatedAtMs = nowMs;
  }

  /** Creates an empty bucket. */
  static create(nowMs: number): QuotaBucket {
    return new QuotaBucket(nowMs);
  }

  /** Adds what has accumulated since the last refill; returns the level. */
  refill({ burst, nowMs, rate }: QuotaRefill): Quota {
    const elapsedSeconds = Math.max(0, nowMs - this.#updatedAtMs) / 1000;
    addScaledQuota(this.#level, { by: rate, factor: elapsedSeconds });
    Object.assign(this.#level, getSmallerQuota(this.#level, burst));
    this.#updatedAtMs = Math.max(nowMs, this.#updatedAtMs);
    return { ...this.#level };
  }

  /** Takes as much of the wanted quota as is left. */
  take(wanted: Quota): Quota {
    const taken = getNonNegativeQuota(getSmallerQuota(wanted, this.#level));
    addScaledQuota(this.#level, { by: taken, factor: -1 });
    return taken;
  }
}
