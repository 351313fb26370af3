/** Load that a runner reports in an answer. */
export type ReportedLoad = {
  running: number;
  waiting: number;
  slots: number;
  /** How long work takes on its host now, 1 as usual; 1 if it isn't reported. */
  slowness?: number;
};

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
  #slowness = 1;

  private constructor() {}

  /** Creates the load of a runner that has reported none yet. */
  static create(): RunnerLoad {
    return new RunnerLoad();
  }

  /** Time of the last report. */
  get reportedAtMs(): number {
    return this.#reportedAtMs;
  }

  /**
   * Records the load that an answer reported, to this router or to another one,
   * unless a later report is known. What this router has sent since then counts
   * as part of it; reports of others are some tens of milliseconds old.
   */
  observe(load: ReportedLoad, atMs: number): void {
    if (atMs < this.#reportedAtMs) return;
    this.#slowness = load.slowness ?? 1;
    this.#reported = load.running + load.waiting;
    this.#reportedWaiting = load.waiting;
    this.#ownAtReport = this.ownOutstanding;
    this.#reportedAtMs = atMs;
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

  /**
   * Gets how long work takes on the runner's host, 1 as usual. A report counts
   * less with its age.
   */
  getSlowness(nowMs: number): number {
    const ageMs = Math.max(0, nowMs - this.#reportedAtMs);
    return 1 + (this.#slowness - 1) * 0.5 ** (ageMs / slownessHalfLifeMs);
  }

  #isReportValid(nowMs: number): boolean {
    return nowMs - this.#reportedAtMs <= maxReportAgeMs;
  }
}

/** Time in which the difference of a reported slowness from 1 halves. */
const slownessHalfLifeMs = 300;

/** Age from which a report is ignored, about the duration of a stream. */
const maxReportAgeMs = 2000;
