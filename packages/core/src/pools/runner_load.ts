/** What a runner said of its load in an answer. */
export type ReportedLoad = { running: number; waiting: number; slots: number };

/**
 * Estimates how many requests a runner holds for all routers together: what
 * it last reported, corrected by what this router has sent and seen end since.
 */
export class RunnerLoad {
  /** Requests of this router that are at the runner. */
  ownOutstanding = 0;
  #reported = 0;
  #ownAtReport = 0;
  #reportedAtMs = Number.NEGATIVE_INFINITY;

  private constructor() {}

  /** Creates the load of a runner of which nothing is known yet. */
  static create(): RunnerLoad {
    return new RunnerLoad();
  }

  /** Takes in what an answer said. */
  observe(load: ReportedLoad, nowMs: number): void {
    this.#reported = load.running + load.waiting;
    this.#ownAtReport = this.ownOutstanding;
    this.#reportedAtMs = nowMs;
  }

  /** Requests that the runner holds, by the best estimate. */
  getEstimate(nowMs: number): number {
    if (nowMs - this.#reportedAtMs > reportLifeMs) return this.ownOutstanding;
    const others = Math.max(0, this.#reported - this.#ownAtReport);
    return this.ownOutstanding + others;
  }
}

/** Age at which a report says nothing any more; streams last about as long. */
const reportLifeMs = 2000;
