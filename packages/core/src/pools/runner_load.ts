/** Load that a runner reports in an answer. */
export type ReportedLoad = { running: number; waiting: number; slots: number };

/**
 * Estimates how many requests of all routers a runner holds: the last reported
 * number, corrected by the requests that this router sent and completed since.
 */
export class RunnerLoad {
  /** Requests of this router that the runner has not answered in full. */
  ownOutstanding = 0;
  #reported = 0;
  #reportedWaiting = 0;
  #ownAtReport = 0;
  #reportedAtMs = Number.NEGATIVE_INFINITY;

  private constructor() {}

  /** Creates the load of a runner that has reported none yet. */
  static create(): RunnerLoad {
    return new RunnerLoad();
  }

  /** Records the load that an answer reported. */
  observe(load: ReportedLoad, nowMs: number): void {
    this.#reported = load.running + load.waiting;
    this.#reportedWaiting = load.waiting;
    this.#ownAtReport = this.ownOutstanding;
    this.#reportedAtMs = nowMs;
  }

  /** Whether the runner reported lately that requests wait there. */
  hasQueue(nowMs: number): boolean {
    return this.#reportedWaiting > 0 && this.#isReportValid(nowMs);
  }

  /** Gets the estimated number of requests that the runner holds. */
  getEstimate(nowMs: number): number {
    if (!this.#isReportValid(nowMs)) return this.ownOutstanding;
    const others = Math.max(0, this.#reported - this.#ownAtReport);
    return this.ownOutstanding + others;
  }

  #isReportValid(nowMs: number): boolean {
    return nowMs - this.#reportedAtMs <= maxReportAgeMs;
  }
}

/** Age from which a report is ignored, about the duration of a stream. */
const maxReportAgeMs = 2000;
