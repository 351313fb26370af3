import { build, type Histogram } from "hdr-histogram-js";

/** How durations are remembered. */
export type LatencyTrackerOptions = {
  /** Time after which the older half of the durations is forgotten. */
  windowMs?: number;
  /** Fewest durations before a quantile is given. */
  minimumSamples?: number;
};

const defaultWindowMs = 60_000;
const defaultMinimumSamples = 20;

/**
 * Quantiles of recent durations: two histograms that take turns, so that a
 * quantile reflects between one and two windows.
 */
export class LatencyTracker {
  readonly #windowMs: number;
  readonly #minimumSamples: number;
  #current = createHistogram();
  #previous = createHistogram();
  #turnedAtMs = 0;

  private constructor(options: LatencyTrackerOptions) {
    this.#windowMs = options.windowMs ?? defaultWindowMs;
    this.#minimumSamples = options.minimumSamples ?? defaultMinimumSamples;
  }

  /** Creates a tracker without durations. */
  static create(options: LatencyTrackerOptions = {}): LatencyTracker {
    return new LatencyTracker(options);
  }

  /** Records a duration in milliseconds. */
  record(durationMs: number, nowMs: number): void {
    this.#turn(nowMs);
    this.#current.recordValue(Math.max(0, Math.round(durationMs)));
  }

  /** Gets a quantile from 0 to 1; undefined with too few durations. */
  getQuantileMs(quantile: number, nowMs: number): number | undefined {
    this.#turn(nowMs);
    const histogram = this.#previous.totalCount > this.#current.totalCount
      ? this.#previous
      : this.#current;
    if (histogram.totalCount < this.#minimumSamples) return undefined;
    return histogram.getValueAtPercentile(quantile * 100);
  }

  #turn(nowMs: number): void {
    if (nowMs - this.#turnedAtMs < this.#windowMs) return;
    this.#turnedAtMs = nowMs;
    this.#previous = this.#current;
    this.#current = createHistogram();
  }
}

function createHistogram(): Histogram {
  return build({ numberOfSignificantValueDigits: 2 });
}
