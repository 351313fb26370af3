import { LatencyTracker } from "../retries/mod.ts";
import type { ReportedLoad } from "./runner_load.ts";

/** Time that the runners of one service take for a request without waiting. */
export class ServiceTime {
  readonly #times = LatencyTracker.create({ minimumSamples: 5 });

  private constructor() {}

  /** Creates the time of a service that has answered nothing yet. */
  static create(): ServiceTime {
    return new ServiceTime();
  }

  /**
   * Records an answer with the load that it reported. Those of runners where
   * requests wait are ignored, since most of them have waited as well.
   */
  observe(
    durationMs: number,
    { load, nowMs }: { load: ReportedLoad; nowMs: number },
  ): void {
    if (load.waiting > 0) return;
    this.#times.record(durationMs, nowMs);
  }

  /** Gets the median; a share of the goal while too few answers are known. */
  getMs({ goalMs, nowMs }: { goalMs: number; nowMs: number }): number {
    const medianMs = this.#times.getQuantileMs(0.5, nowMs);
    return Math.min(medianMs ?? goalMs * assumedWorkShare, goalMs);
  }
}

/** Share of the goal that the work is assumed to take. */
const assumedWorkShare = 0.25;
