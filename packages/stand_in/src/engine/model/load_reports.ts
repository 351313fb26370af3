import type { EngineLoad } from "./types.ts";

/** Interval and delay of load reports. */
export type LoadReportsOptions = { periodMs: number; lagMs: number };

/** Samples the load once per period and reports it with a delay. */
export class LoadReports {
  readonly #options: LoadReportsOptions;
  readonly #samples: EngineLoad[] = [];

  private constructor(options: LoadReportsOptions) {
    this.#options = options;
  }

  /** Creates reports without any sample. */
  static create(options: LoadReportsOptions): LoadReports {
    return new LoadReports(options);
  }

  /** Records the actual load after a change. */
  record(load: EngineLoad): void {
    const last = this.#samples.at(-1);
    if (last !== undefined && this.#isSamePeriod(last, load)) {
      this.#samples.pop();
    }
    this.#samples.push(load);
    this.#expire(load.atMs);
  }

  /** Gets the newest readable report; undefined before the first. */
  get(nowMs: number): EngineLoad | undefined {
    const atMs = this.#getReportTime(nowMs);
    return this.#samples.findLast((sample) => sample.atMs <= atMs);
  }

  /** Only the last sample of a period is ever reported. */
  #isSamePeriod(left: EngineLoad, right: EngineLoad): boolean {
    const { periodMs } = this.#options;
    if (periodMs === 0) return left.atMs === right.atMs;
    return Math.ceil(left.atMs / periodMs) === Math.ceil(right.atMs / periodMs);
  }

  #getReportTime(nowMs: number): number {
    const { periodMs, lagMs } = this.#options;
    if (periodMs === 0) return nowMs - lagMs;
    return Math.floor((nowMs - lagMs) / periodMs) * periodMs;
  }

  #expire(nowMs: number): void {
    const atMs = this.#getReportTime(nowMs);
    const kept = this.#samples.findLastIndex((sample) => sample.atMs <= atMs);
    if (kept > 0) this.#samples.splice(0, kept);
  }
}
